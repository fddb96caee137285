//! What the processes on VMs share: settings, logs, metrics, signals.

use std::path::Path;
use std::sync::Arc;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};
use settings::{LogCfg, Settings};
use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::error::{Error, FaultList};
use crate::{logs, stop, usage};

/// Upper bounds of the buckets of times, in seconds; the objective's bounds are among them.
const SECONDS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.045, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// Renders the metrics.
pub type Render = Arc<dyn Fn() -> String + Send + Sync>;

/// Loads settings.
pub fn load(path: &Path) -> Result<Settings, Error> {
    settings::load(path).map_err(|faults| Error::Faults(path.to_owned(), FaultList(faults)))
}

/// What a process runs with.
pub struct Process {
    /// Runtime.
    pub runtime: Runtime,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
    /// Renders the metrics.
    pub render: Render,
}

/// Starts logs, metrics, the runtime and the signal handlers.
pub fn start(settings: &Path, log: &LogCfg) -> Result<Process, Error> {
    let handle = logs::start(log)?;
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &SECONDS)
        .and_then(|builder| builder.install_recorder())
        .map_err(|e| Error::Logs(e.to_string()))?;
    let runtime = Runtime::new().map_err(Error::Start)?;
    let stop = runtime
        .block_on(async { stop::follow(settings.to_owned(), handle) })
        .map_err(Error::Start)?;
    Ok(Process {
        runtime,
        stop,
        render: Arc::new(move || {
            usage::measure();
            recorder.render()
        }),
    })
}
