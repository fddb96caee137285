//! Configures `log4rs` from the log settings, which are reloaded on SIGHUP.
//!
//! Lines on standard output go through a bounded queue to a dedicated writer thread, so that a slow reader
//! never delays a request. Lines that don't fit into the queue are dropped and counted. [`flush`] waits for the
//! queued ones before the process exits.

use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target as Console};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};
use settings::LogCfg;

use crate::error::Error;

/// Pattern of a text line: time, level and message. Messages start with the name of their part.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";

/// Capacity of the queue, in lines; at some 300 bytes per line, 1.2 MB.
const QUEUE_LINES: usize = 4096;

/// Maximum time for which an exit is delayed by queued lines, if their reader is slow.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a flush is tried again while the queue is full.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard error, written directly.
    Stderr,
    /// Standard output, through the queue.
    Stdout,
}

/// Initializes the logs. The returned handle replaces their configuration.
pub fn start(cfg: &LogCfg, target: Target) -> Result<log4rs::Handle, Error> {
    log4rs::init_config(config(cfg, target)?).map_err(|e| Error::Logs(e.to_string()))
}

/// Returns the configuration of `log4rs` for the settings.
pub fn config(cfg: &LogCfg, target: Target) -> Result<Config, Error> {
    let encoder: Box<dyn Encode> = match cfg.json {
        true => Box::new(JsonEncoder::new()),
        false => Box::new(PatternEncoder::new(PATTERN)),
    };
    let appender: Box<dyn Append> = match target {
        Target::Stderr => {
            let appender = ConsoleAppender::builder().target(Console::Stderr);
            Box::new(appender.encoder(encoder).build())
        }
        Target::Stdout => Box::new(QueueAppender { encoder }),
    };
    let mut builder = Config::builder().appender(Appender::builder().build("lines", appender));
    for (part, level) in &cfg.levels {
        builder = builder.logger(Logger::builder().build(part, level_filter(level)));
    }
    builder
        .build(
            Root::builder()
                .appender("lines")
                .build(level_filter(&cfg.level)),
        )
        .map_err(|e| Error::Logs(e.to_string()))
}

/// Waits until the queued lines are written, or until the time for that is over.
pub fn flush() {
    log::logger().flush();
}

fn level_filter(level: &str) -> LevelFilter {
    level.parse().unwrap_or(LevelFilter::Info)
}

/// Appender that adds lines to the queue.
#[derive(Debug)]
struct QueueAppender {
    encoder: Box<dyn Encode>,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        let queue = queue();
        if queue.tx.try_send(Entry::Line(line.0)).is_err() {
            queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (done, written) = sync_channel(1);
        while queue().tx.try_send(Entry::Flush(done.clone())).is_err() {
            if Instant::now() >= deadline {
                return;
            }
            std::thread::sleep(FLUSH_RETRY_PAUSE);
        }
        // A writer that has ended, or that is blocked by its reader, can't report.
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Entry of the queue.
enum Entry {
    Line(Vec<u8>),
    /// Request to report when all lines before it are written.
    Flush(SyncSender<()>),
}

struct Queue {
    tx: SyncSender<Entry>,
    /// Lines dropped since the last report.
    dropped: Arc<AtomicU64>,
}

/// Returns the queue of the process, and starts its writer thread on the first call.
fn queue() -> &'static Queue {
    static QUEUE: OnceLock<Queue> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        std::thread::spawn(move || write_lines(&rx, &counter));
        Queue { tx, dropped }
    })
}

/// Writes queued lines until the process exits, and reports dropped lines.
fn write_lines(rx: &Receiver<Entry>, dropped: &AtomicU64) {
    let mut out = BufWriter::new(std::io::stdout());
    while let Ok(first) = rx.recv() {
        let mut written = Ok(());
        let mut flushes = Vec::new();
        for entry in std::iter::once(first).chain(std::iter::from_fn(|| rx.try_recv().ok())) {
            match entry {
                Entry::Line(line) => written = written.and_then(|()| out.write_all(&line)),
                Entry::Flush(done) => flushes.push(done),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            written = written.and_then(|()| writeln!(out, "logs: event=left_out lines={count}"));
        }
        if written.and_then(|()| out.flush()).is_err() {
            // Standard output is closed, and there is no other place to report it.
            return;
        }
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}
