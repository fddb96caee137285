//! Time that goes on while a VM is suspended.
//!
//! [`Instant::now`] doesn't count the time for which a VM is suspended (`CLOCK_MONOTONIC`): after it, what was
//! learned before looks as young as it was. A process would deny by an old configuration, send to an upstream
//! that is gone, and begin requests on a version that may not begin any more, all in the first moment after it
//! wakes. So each age, deadline, window and bound is measured by [`now`] (`CLOCK_BOOTTIME`), and the lint of
//! the crates that decide by age allows nothing else. Timers still rest while a VM is suspended; whoever wakes
//! by one looks at the time anew.

use std::future::Future;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::error::Elapsed;

/// Milliseconds by which tests have had the clock jump.
static JUMPED_MS: AtomicU64 = AtomicU64::new(0);

/// The moment, counting the time for which the VM was suspended. Moments of this clock go with each other
/// alone, and not with those of [`Instant::now`].
pub fn now() -> Instant {
    static FIRST: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (first, first_since_boot) = *FIRST.get_or_init(|| (Instant::now(), since_boot()));
    let jumped = Duration::from_millis(JUMPED_MS.load(Ordering::Relaxed));
    first + since_boot().saturating_sub(first_since_boot) + jumped
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // Neither is negative by the clock's contract.
    Duration::new(tv_sec.unsigned_abs(), u32::try_from(tv_nsec).unwrap_or(0))
}

/// Time since a moment of this clock; zero for one that is still to come.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Time until a moment of this clock; zero for one that has passed.
pub fn until(at: Instant) -> Duration {
    at.saturating_duration_since(now())
}

/// Sleeps until a moment of this clock, and for so much longer as the VM is suspended meanwhile.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep(until(at)).await;
}

/// Awaits something until a moment of this clock, and for so much longer as the VM is suspended meanwhile.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::time::timeout(until(at), future).await
}

/// Has the clock jump, as after the VM was suspended for so long. For tests.
pub fn jump(suspended: Duration) {
    let ms = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
    JUMPED_MS.fetch_add(ms, Ordering::Relaxed);
}
