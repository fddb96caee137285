//! Shared by the commands that run a process on a VM: settings, logs, metrics and signals.

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
use crate::signals::Signals;
use crate::{logs, resources};

/// Log prefix of this part.
const PART: &str = "settings";

/// Upper bounds of the buckets of latency histograms, in seconds. The defaults of `token_bound` (0.045) and
/// `first_token_bound` (1.7) are among them.
const LATENCY_BUCKETS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.045, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// Time between two aggregations of histogram samples. Until its aggregation each sample takes memory, also
/// where no collector reads the metrics.
const AGGREGATION_INTERVAL: Duration = Duration::from_secs(5);

/// Function that renders the metrics in the Prometheus text format.
pub type Render = Arc<dyn Fn() -> String + Send + Sync>;

/// Loads and validates settings.
pub fn load(path: &Path) -> Result<Settings, Error> {
    settings::load(path).map_err(|faults| Error::Faults(path.to_owned(), FaultList(faults)))
}

/// Loads the settings of a gateway or a loader, with the faults of the values that defaults replaced.
pub fn load_with_defaults(path: &Path) -> Result<(Settings, FaultList), Error> {
    let (settings, faults) = settings::load_with_defaults(path)
        .map_err(|faults| Error::Faults(path.to_owned(), FaultList(faults)))?;
    Ok((settings, FaultList(faults)))
}

/// Process whose settings haven't been read yet, but which catches signals.
pub struct Startup {
    runtime: Runtime,
    signals: Signals,
}

/// Runtime environment of a process.
pub struct Process {
    /// Async runtime.
    pub runtime: Runtime,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
    /// Renders the metrics.
    pub render: Render,
}

impl Startup {
    /// Creates a multi-threaded runtime, and catches signals.
    pub fn multi_threaded() -> Result<Startup, Error> {
        Startup::on(Runtime::new())
    }

    /// Creates a single-threaded runtime, and catches signals.
    pub fn single_threaded() -> Result<Startup, Error> {
        Startup::on(Builder::new_current_thread().enable_all().build())
    }

    fn on(runtime: std::io::Result<Runtime>) -> Result<Startup, Error> {
        let runtime = runtime.map_err(Error::Start)?;
        let signals = runtime.block_on(async { Signals::catch() });
        Ok(Startup {
            signals: signals.map_err(Error::Start)?,
            runtime,
        })
    }

    /// Starts the logs to standard error, the metrics and the signal handling.
    pub fn start(self, settings: &Path, log: &LogCfg) -> Result<Process, Error> {
        self.start_on(logs::Target::Stderr, settings, log)
    }

    /// Starts the environment of a gateway or a loader: logs to standard output, and metrics served at
    /// `node.metrics`. Logs the faults of the values that defaults replaced.
    pub fn start_node(
        self,
        settings: &Path,
        node: &NodeCfg,
        faults: &FaultList,
    ) -> Result<Process, Error> {
        let process = self.start_on(logs::Target::Stdout, settings, &node.log)?;
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
        self,
        target: logs::Target,
        settings: &Path,
        log: &LogCfg,
    ) -> Result<Process, Error> {
        let Startup { runtime, signals } = self;
        let handle = logs::start(log, target)?;
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &LATENCY_BUCKETS)
            .and_then(|builder| builder.install_recorder())
            .map_err(|e| Error::Logs(e.to_string()))?;
        let stop = runtime.block_on(async { signals.handle(settings.to_owned(), handle, target) });
        let aggregator = recorder.clone();
        runtime.spawn(async move {
            loop {
                tokio::time::sleep(AGGREGATION_INTERVAL).await;
                aggregator.run_upkeep();
            }
        });
        Ok(Process {
            runtime,
            stop,
            render: Arc::new(move || {
                resources::update_metrics();
                recorder.render()
            }),
        })
    }
}
