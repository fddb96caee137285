//! `driftnotch gateway`: runs a gateway.

use std::path::Path;

use settings::Settings;

use super::process::{self, Startup};
use crate::error::Error;

/// Runs a gateway until a stop signal.
pub fn run(settings: &Path) -> Result<(), Error> {
    let startup = Startup::single_threaded()?;
    let (Settings::Gateway(cfg), faults) = process::load_with_defaults(settings)? else {
        return Err(Error::WrongRole(settings.to_owned(), "a gateway"));
    };
    let process = startup.start_node(settings, &cfg.node, &faults)?;
    process
        .runtime
        .block_on(platform::gateway::run(*cfg, process.stop))
        .map_err(Error::Node)
}
