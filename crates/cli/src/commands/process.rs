//! What the processes on VMs share: settings, logs, metrics, signals.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};
use settings::{LogCfg, NodeCfg, Settings};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use web::ServerLimits;

use crate::error::{Error, FaultList};
use crate::{logs, stop, usage};

/// Log prefix of this part.
const PART: &str = "settings";

/// Upper bounds of the buckets of times, in seconds; the objective's bounds are among them.
const SECONDS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.045, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// Time between two sums of what histograms were given: until then each sample takes memory, also where nobody
/// reads the metrics.
const SUM_INTERVAL: Duration = Duration::from_secs(5);

/// Renders the metrics.
pub type Render = Arc<dyn Fn() -> String + Send + Sync>;

/// Loads settings.
pub fn load(path: &Path) -> Result<Settings, Error> {
    settings::load(path).map_err(|faults| Error::Faults(path.to_owned(), FaultList(faults)))
}

/// Loads the settings of a gateway or a loader, with the faults that it runs with.
pub fn load_with_defaults(path: &Path) -> Result<(Settings, FaultList), Error> {
    let (settings, faults) = settings::load_with_defaults(path)
        .map_err(|faults| Error::Faults(path.to_owned(), FaultList(faults)))?;
    Ok((settings, FaultList(faults)))
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
    let runtime = Runtime::new().map_err(Error::Start)?;
    start_on(runtime, logs::Target::Errors, settings, log)
}

/// The same on one thread, with logs on standard output, and metrics served at an address. Logs the faults
/// of the settings that were replaced by defaults.
pub fn start_node(settings: &Path, node: &NodeCfg, faults: &FaultList) -> Result<Process, Error> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Start)?;
    let process = start_on(runtime, logs::Target::Output, settings, &node.log)?;
    for fault in &faults.0 {
        warn!(target: PART, "{PART}: event=default_taken {fault}");
    }
    let (render, stop) = (process.render.clone(), process.stop.clone());
    let listener = process
        .runtime
        .block_on(TcpListener::bind(node.metrics))
        .map_err(Error::Node)?;
    process.runtime.spawn(web::serve(
        listener,
        ServerLimits::internal(),
        stop,
        move |_| {
            let res = web::text(200, render());
            async move { res }
        },
    ));
    Ok(process)
}

fn start_on(
    runtime: Runtime,
    target: logs::Target,
    settings: &Path,
    log: &LogCfg,
) -> Result<Process, Error> {
    let handle = logs::start(log, target)?;
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &SECONDS)
        .and_then(|builder| builder.install_recorder())
        .map_err(|e| Error::Logs(e.to_string()))?;
    let stop = runtime
        .block_on(async { stop::follow(settings.to_owned(), handle, target) })
        .map_err(Error::Start)?;
    let sums = recorder.clone();
    runtime.spawn(async move {
        loop {
            tokio::time::sleep(SUM_INTERVAL).await;
            sums.run_upkeep();
        }
    });
    Ok(Process {
        runtime,
        stop,
        render: Arc::new(move || {
            usage::measure();
            recorder.render()
        }),
    })
}
