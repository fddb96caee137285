//! Signal handling: SIGTERM and SIGINT begin a planned stop, a second one exits at once, SIGHUP reloads
//! the log settings.

use std::path::{Path, PathBuf};

use log::{error, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::logs;

/// Log prefix of this part.
const PART: &str = "signals";

/// Exit code after a second stop signal.
const FORCED_EXIT_CODE: i32 = 1;

/// Spawns the signal handlers. The returned receiver turns true when a planned stop begins.
pub fn install(
    settings: PathBuf,
    handle: log4rs::Handle,
    target: logs::Target,
) -> std::io::Result<watch::Receiver<bool>> {
    let (tx, rx) = watch::channel(false);
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => begin_stop(&tx),
                _ = int.recv() => begin_stop(&tx),
                _ = hup.recv() => reload_logs(&settings, &handle, target),
            }
        }
    });
    Ok(rx)
}

/// Begins a planned stop, or exits if one has already begun.
fn begin_stop(tx: &watch::Sender<bool>) {
    if tx.send_replace(true) {
        error!(target: PART, "{PART}: ended by a second signal; requests were cut off");
        std::process::exit(FORCED_EXIT_CODE);
    }
}

/// Reloads the log settings; on failure, leaves the logs unchanged.
fn reload_logs(settings: &Path, handle: &log4rs::Handle, target: logs::Target) {
    let log = match settings::load_with_defaults(settings) {
        Ok((settings, _)) => settings.log().clone(),
        Err(faults) => {
            let n = faults.len();
            error!(target: PART, "{PART}: the settings have {n} faults; logs stay as they are; run `driftnotch check`");
            return;
        }
    };
    match logs::config(&log, target) {
        Ok(config) => {
            handle.set_config(config);
            info!(target: PART, "{PART}: the log settings were read again");
        }
        Err(e) => error!(target: PART, "{PART}: {e}"),
    }
}
