//! Logs by `log4rs`, set up from checked settings; read again on SIGHUP.
//!
//! Lines on standard output are written by a thread of their own from a bounded queue, so that a
//! reader that is slow never holds a request up; lines that don't fit are counted and left out.

use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target as Console};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};
use settings::LogCfg;

use crate::error::Error;

/// Time, level and message; messages start with the prefix of their part.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";

/// Lines that wait to be written; at some 300 bytes each, 1.2 MB.
const QUEUE: usize = 4096;

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard error, at once.
    Errors,
    /// Standard output, through a queue.
    Output,
}

/// Sets logs up.
pub fn start(cfg: &LogCfg, target: Target) -> Result<log4rs::Handle, Error> {
    log4rs::init_config(config(cfg, target)?).map_err(|e| Error::Logs(e.to_string()))
}

/// The configuration of `log4rs` for the settings.
pub fn config(cfg: &LogCfg, target: Target) -> Result<Config, Error> {
    let encoder: Box<dyn Encode> = match cfg.json {
        true => Box::new(JsonEncoder::new()),
        false => Box::new(PatternEncoder::new(PATTERN)),
    };
    let appender: Box<dyn Append> = match target {
        Target::Errors => {
            let appender = ConsoleAppender::builder().target(Console::Stderr);
            Box::new(appender.encoder(encoder).build())
        }
        Target::Output => Box::new(Queued { encoder }),
    };
    let mut builder = Config::builder().appender(Appender::builder().build("lines", appender));
    for (part, level) in &cfg.levels {
        builder = builder.logger(Logger::builder().build(part, filter(level)));
    }
    builder
        .build(Root::builder().appender("lines").build(filter(&cfg.level)))
        .map_err(|e| Error::Logs(e.to_string()))
}

fn filter(level: &str) -> LevelFilter {
    level.parse().unwrap_or(LevelFilter::Info)
}

/// Puts lines into the queue.
#[derive(Debug)]
struct Queued {
    encoder: Box<dyn Encode>,
}

impl Append for Queued {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        let queue = queue();
        if queue.tx.try_send(line.0).is_err() {
            queue.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

struct Queue {
    tx: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

/// The queue of the process; its writer starts with the first line.
fn queue() -> &'static Queue {
    static QUEUED: OnceLock<Queue> = OnceLock::new();
    QUEUED.get_or_init(|| {
        let (tx, rx) = sync_channel(QUEUE);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = left_out.clone();
        std::thread::spawn(move || write(&rx, &counted));
        Queue { tx, left_out }
    })
}

/// Writes lines until the process ends.
fn write(rx: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    let mut out = BufWriter::new(std::io::stdout());
    while let Ok(line) = rx.recv() {
        let rest = std::iter::from_fn(|| rx.try_recv().ok());
        let mut written = out.write_all(&line);
        for line in rest {
            written = written.and_then(|()| out.write_all(&line));
        }
        let lost = left_out.swap(0, Ordering::Relaxed);
        if lost > 0 {
            written = written.and_then(|()| writeln!(out, "logs: event=left_out lines={lost}"));
        }
        if written.and_then(|()| out.flush()).is_err() {
            // Nobody reads any more, and there is nowhere else to say so.
            return;
        }
    }
}
