//! Congestion window for chunk fetches.
//!
//! Requested chunks queue on the VM's link ahead of whatever is sent to the VM next. A request to the engine would
//! arrive seconds late behind them, possibly past the bound of the version that it was sent for. All versions
//! that are being fetched therefore share one window, which shrinks if chunks arrive slowly because this VM's
//! link, or those of other VMs, carry less than they should.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Latency of a chunk above which the window shrinks; a request to the engine waits about as long behind the
/// chunks in flight.
const SLOW: Duration = Duration::from_millis(350);

/// Increase of the window for each chunk that is faster.
const INCREASE: f64 = 0.25;

#[derive(Debug)]
struct State {
    max: f64,
    limit: f64,
    in_flight: usize,
}

/// Limit on concurrent chunk fetches, shared by all versions.
#[derive(Debug, Clone)]
pub struct Window(Arc<Mutex<State>>);

impl Window {
    /// Creates a window with `max` chunks as its initial and maximum size.
    pub fn new(max: usize) -> Window {
        Window(Arc::new(Mutex::new(State {
            max: max as f64,
            limit: max as f64,
            in_flight: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a version with `own` chunks in flight may request another. A version with none always may,
    /// so that no version has to wait for another to be complete.
    pub fn has_capacity(&self, own: usize) -> bool {
        let state = self.state();
        own == 0 || state.in_flight < state.limit as usize
    }

    /// Returns whether a version with `own` chunks in flight may request another while an older version has precedence:
    /// at most one, if the window isn't full, which delays a chunk of the older version by the time of one chunk.
    pub fn has_spare_capacity(&self, own: usize) -> bool {
        let state = self.state();
        own == 0 && state.in_flight < state.limit as usize
    }

    /// Counts a chunk as in flight until the guard is dropped.
    pub fn begin(&self) -> InFlight {
        self.state().in_flight += 1;
        InFlight(self.clone())
    }

    /// Records the time until a chunk arrived or failed, and adapts the window.
    pub fn record_latency(&self, elapsed: Duration) {
        let mut state = self.state();
        state.limit = match elapsed > SLOW {
            true => (state.limit / 2.0).max(1.0),
            false => (state.limit + INCREASE).min(state.max),
        };
    }
}

/// Guard of a chunk in flight.
#[derive(Debug)]
pub struct InFlight(Window);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}
