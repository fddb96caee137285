//! Clock that keeps running while the VM is suspended.
//!
//! [`Instant::now`] (`CLOCK_MONOTONIC`) doesn't count the time during which a VM is suspended, so state from
//! before a suspension doesn't appear older after it. Right after resuming, a process would deny requests by an
//! outdated configuration, send to an upstream that is gone, and start requests on a version past its bound.
//! Every age, deadline, window and bound is therefore measured by [`now`] (`CLOCK_BOOTTIME`); a lint enforces
//! this in the crates that decide by age. Timers still pause while a VM is suspended, so code that is woken by a
//! timer reads the clock again.

use std::future::Future;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::error::Elapsed;

/// Maximum time between two readings of the clock while [`deadline`] waits.
pub const RESUME_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Milliseconds by which tests have advanced the clock.
static JUMPED_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the current time, including time during which the VM was suspended. Instants of this clock can't be
/// compared with those of [`Instant::now`].
pub fn now() -> Instant {
    static START: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (start, start_since_boot) = *START.get_or_init(|| (Instant::now(), since_boot()));
    let jumped = Duration::from_millis(JUMPED_MS.load(Ordering::Relaxed));
    start + since_boot().saturating_sub(start_since_boot) + jumped
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The clock guarantees that neither is negative.
    Duration::new(tv_sec.unsigned_abs(), u32::try_from(tv_nsec).unwrap_or(0))
}

/// Returns the time since an instant of this clock; zero for a future one.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Returns the time until an instant of this clock; zero for a past one.
pub fn until(at: Instant) -> Duration {
    at.saturating_duration_since(now())
}

/// Sleeps until an instant of this clock, plus any time during which the VM is suspended meanwhile.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep(until(at)).await;
}

/// Waits until an instant of this clock, which may have passed while the VM was suspended: returns within
/// [`RESUME_CHECK_INTERVAL`] after the VM has resumed.
pub async fn deadline(at: Instant) {
    loop {
        let remaining = until(at);
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(RESUME_CHECK_INTERVAL)).await;
    }
}

/// Awaits a future until an instant of this clock, plus any time during which the VM is suspended meanwhile.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::time::timeout(until(at), future).await
}

/// Advances the clock as if the VM had been suspended for that time. For tests.
pub fn jump(suspended: Duration) {
    let ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
    JUMPED_MS.fetch_add(ms, Ordering::Relaxed);
}
