//! Metrics of the processor time and memory that this process uses.

use std::fs;

/// Clock ticks per second, the unit in which Linux reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Updates the metrics from `/proc/self`; leaves a metric unchanged where it can't be read.
pub fn update_metrics() {
    if let Some(seconds) = processor_seconds() {
        metrics::gauge!("process_cpu_seconds_total").set(seconds);
    }
    if let Some(bytes) = resident_bytes() {
        metrics::gauge!("process_resident_memory_bytes").set(bytes);
    }
}

/// Returns the processor time, user and system, in seconds.
fn processor_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The name in parentheses may contain spaces. User and system time are the 12th and 13th fields after it.
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory, in bytes.
fn resident_bytes() -> Option<f64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
