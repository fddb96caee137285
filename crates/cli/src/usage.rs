//! Processor time and memory of this process, as metrics.

use std::fs;

/// Ticks a second in which Linux counts processor time.
const TICKS: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE: f64 = 4096.0;

/// Sets the metrics to what the system counts now; leaves them where it doesn't tell.
pub fn measure() {
    if let Some(seconds) = processor_seconds() {
        metrics::gauge!("process_cpu_seconds_total").set(seconds);
    }
    if let Some(bytes) = resident_bytes() {
        metrics::gauge!("process_resident_memory_bytes").set(bytes);
    }
}

fn processor_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th after it.
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS)
}

fn resident_bytes() -> Option<f64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}
