//! Signal handling: SIGTERM and SIGINT begin a planned stop, SIGHUP reloads the log settings.
//!
//! During a planned stop, SIGINT exits at once, which is for a person at a terminal. A further SIGTERM changes nothing:
//! platforms repeat it while a process drains, and the stop is bounded by its own timeouts.
//!
//! [`Signals::catch`] runs before the settings are read: until then, each of these signals terminates the process.
//! Signals that arrive before [`Signals::handle`] are handled then.

use std::path::{Path, PathBuf};

use log::{error, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::logs;

/// Log prefix of this part.
const PART: &str = "signals";

/// Exit code after SIGINT during a planned stop.
const FORCED_EXIT_CODE: i32 = 1;

/// Signals that the process catches.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Catches signals from now on. Must be called in the context of a runtime.
    pub fn catch() -> std::io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Spawns the task that handles the signals. The returned receiver turns true when a planned stop begins.
    pub fn handle(
        mut self,
        settings: PathBuf,
        handle: log4rs::Handle,
        target: logs::Target,
    ) -> watch::Receiver<bool> {
        let (tx, rx) = watch::channel(false);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = self.term.recv() => terminate(&tx),
                    _ = self.int.recv() => interrupt(&tx),
                    _ = self.hup.recv() => reload_logs(&settings, &handle, target),
                }
            }
        });
        rx
    }
}

/// Begins a planned stop, or does nothing if one has already begun.
fn terminate(tx: &watch::Sender<bool>) {
    if tx.send_replace(true) {
        info!(target: PART, "{PART}: SIGTERM during a planned stop; it goes on, SIGINT would end it");
    }
}

/// Begins a planned stop, or exits if one has already begun.
fn interrupt(tx: &watch::Sender<bool>) {
    if tx.send_replace(true) {
        error!(target: PART, "{PART}: ended by SIGINT during a planned stop; requests were cut off");
        logs::flush();
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
