//! `driftnotch agent`: runs an agent.

use std::path::Path;

use settings::Settings;

use super::process::{self, Startup};
use crate::error::Error;

/// Runs an agent until a stop signal.
pub fn run(settings: &Path) -> Result<(), Error> {
    let startup = Startup::multi_threaded()?;
    let Settings::Agent(cfg) = process::load(settings)? else {
        return Err(Error::WrongRole(settings.to_owned(), "an agent"));
    };
    let process = startup.start(settings, &cfg.process.log)?;
    process
        .runtime
        .block_on(agent::run(*cfg, process.stop, process.render))
        .map_err(Error::Agent)
}
