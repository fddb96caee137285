//! Signals: SIGTERM and SIGINT stop as planned, a second one ends at once, SIGHUP reads the log
//! settings again.

use std::path::{Path, PathBuf};

use log::{error, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::logs;

/// Log prefix of this part.
const PART: &str = "signals";

/// Exit code of a process that was ended at once.
const ENDED: i32 = 1;

/// Follows the signals; the receiver turns true when a planned stop begins.
pub fn follow(
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
                _ = term.recv() => stop(&tx),
                _ = int.recv() => stop(&tx),
                _ = hup.recv() => reload(&settings, &handle, target),
            }
        }
    });
    Ok(rx)
}

fn stop(tx: &watch::Sender<bool>) {
    if tx.send_replace(true) {
        error!(target: PART, "{PART}: ended by a second signal; requests were cut off");
        std::process::exit(ENDED);
    }
}

fn reload(settings: &Path, handle: &log4rs::Handle, target: logs::Target) {
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
