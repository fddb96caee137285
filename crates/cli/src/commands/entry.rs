//! `driftnotch entry`: runs an entry.

use std::path::Path;

use settings::Settings;

use super::process::{self, Startup};
use crate::error::Error;

/// Runs an entry until a stop signal.
pub fn run(settings: &Path) -> Result<(), Error> {
    let startup = Startup::multi_threaded()?;
    let Settings::Entry(cfg) = process::load(settings)? else {
        return Err(Error::WrongRole(settings.to_owned(), "an entry"));
    };
    let process = startup.start(settings, &cfg.process.log)?;
    process
        .runtime
        .block_on(entry::run(*cfg, process.stop, process.render))
        .map_err(Error::Entry)
}
