//! `driftnotch loader`: runs a loader.

use std::path::Path;

use settings::Settings;

use super::process::{self, Startup};
use crate::error::Error;

/// Runs a loader until a stop signal.
pub fn run(settings: &Path) -> Result<(), Error> {
    let startup = Startup::single_threaded()?;
    let (Settings::Loader(cfg), faults) = process::load_with_defaults(settings)? else {
        return Err(Error::WrongRole(settings.to_owned(), "a loader"));
    };
    let process = startup.start_node(settings, &cfg.node, &faults)?;
    process
        .runtime
        .block_on(platform::loader::run(*cfg, process.stop))
        .map_err(Error::Node)
}
