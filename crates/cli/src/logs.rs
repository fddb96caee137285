//! Logs by `log4rs`, set up from checked settings; read again on SIGHUP.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use settings::LogCfg;

use crate::error::Error;

/// Time, level and message; messages start with the prefix of their part.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";

/// Sets logs up.
pub fn start(cfg: &LogCfg) -> Result<log4rs::Handle, Error> {
    log4rs::init_config(config(cfg)?).map_err(|e| Error::Logs(e.to_string()))
}

/// The configuration of `log4rs` for the settings.
pub fn config(cfg: &LogCfg) -> Result<Config, Error> {
    let appender = ConsoleAppender::builder().target(Target::Stderr);
    let appender = match cfg.json {
        true => appender.encoder(Box::new(JsonEncoder::new())),
        false => appender.encoder(Box::new(PatternEncoder::new(PATTERN))),
    };
    let mut builder =
        Config::builder().appender(Appender::builder().build("stderr", Box::new(appender.build())));
    for (part, level) in &cfg.levels {
        builder = builder.logger(Logger::builder().build(part, filter(level)));
    }
    builder
        .build(Root::builder().appender("stderr").build(filter(&cfg.level)))
        .map_err(|e| Error::Logs(e.to_string()))
}

fn filter(level: &str) -> LevelFilter {
    level.parse().unwrap_or(LevelFilter::Info)
}
