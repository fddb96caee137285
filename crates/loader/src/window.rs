//! How many chunks a loader brings at once.
//!
//! What has been asked for waits on the VM's link in front of whatever is sent to it next: a request to the
//! engine, which then arrives seconds late, maybe after the version that it was sent to had to end. So all
//! versions that are being brought share one window, and it narrows where chunks come slowly: the link
//! carries less than it should, or other VMs do.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time of one chunk from which on fewer are brought at once: a request to the engine waits about as long
/// behind them.
const SLOW: Duration = Duration::from_millis(350);

/// What each chunk that comes sooner adds to how many are brought at once.
const WIDEN: f64 = 0.25;

#[derive(Debug)]
struct State {
    most: f64,
    at_once: f64,
    in_flight: usize,
}

/// Chunks that are brought at once, of all versions together.
#[derive(Debug, Clone)]
pub struct Window(Arc<Mutex<State>>);

impl Window {
    /// A window of `most` chunks at first and at most.
    pub fn new(most: usize) -> Window {
        Window(Arc::new(Mutex::new(State {
            most: most as f64,
            at_once: most as f64,
            in_flight: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether another chunk may be asked for by one who waits for `own` already. Who waits for none always
    /// may, so that no version waits for another to be whole.
    pub fn has_room(&self, own: usize) -> bool {
        let state = self.state();
        own == 0 || state.in_flight < state.at_once as usize
    }

    /// Counts a chunk as asked for until it is dropped.
    pub fn begin(&self) -> InFlight {
        self.state().in_flight += 1;
        InFlight(self.clone())
    }

    /// Takes how long a chunk took, or to find out that it doesn't come.
    pub fn took(&self, time: Duration) {
        let mut state = self.state();
        state.at_once = match time > SLOW {
            true => (state.at_once / 2.0).max(1.0),
            false => (state.at_once + WIDEN).min(state.most),
        };
    }
}

/// A chunk that was asked for.
#[derive(Debug)]
pub struct InFlight(Window);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}
