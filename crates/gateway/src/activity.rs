//! When bytes last arrived from an upstream, for one attempt and for the upstream as a whole.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use decide::hedging::{self, Silence};

use crate::upstream::Upstream;

/// Minimum wait of a request that has no slot yet.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Activity of an attempt, shared by its connection and by the request.
#[derive(Debug, Default)]
pub(crate) struct Activity(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Upstream, once the attempt has a slot there.
    upstream: Option<Arc<Upstream>>,
    /// When the attempt was about to be sent.
    started: Option<Instant>,
    /// When bytes last arrived, or the wait for them began.
    last: Option<Instant>,
    /// Whether the silence since then was reported.
    is_reported: bool,
}

impl Activity {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the activity of an attempt that is about to be sent.
    pub(crate) fn start(&self, upstream: &Arc<Upstream>) {
        let mut state = self.state();
        let now = clock::now();
        state.upstream = Some(upstream.clone());
        state.started = Some(now);
        state.last = Some(now);
    }

    /// Returns the upstream, if the attempt has a slot.
    pub(crate) fn upstream(&self) -> Option<Arc<Upstream>> {
        self.state().upstream.clone()
    }

    /// Returns when the attempt was about to be sent.
    pub(crate) fn started(&self) -> Option<Instant> {
        self.state().started
    }

    /// Records that bytes arrived.
    pub(crate) fn record_bytes(&self) {
        let now = clock::now();
        let mut state = self.state();
        state.last = Some(now);
        state.is_reported = false;
        if let Some(upstream) = &state.upstream {
            upstream.record_activity(now);
        }
    }

    /// Begins a new wait for bytes: the time in which the caller didn't read isn't silence of the upstream.
    pub(crate) fn restart_wait(&self) {
        self.state().last = Some(clock::now());
    }

    /// Returns how long the upstream has been silent; zero before the request is sent.
    pub(crate) fn silence(&self) -> Duration {
        self.state().last.map_or(Duration::ZERO, clock::since)
    }

    /// Waits until the upstream has been silent for so long that a second attempt is due.
    pub(crate) async fn wait_for_silence(&self, max: Duration, deadline: Instant) {
        loop {
            let last = self.state().last;
            let since = last.unwrap_or_else(clock::now);
            let delay = hedging::delay(max, deadline.saturating_duration_since(since));
            let remaining = delay.saturating_sub(clock::since(since));
            if remaining.is_zero() && last.is_some() {
                return;
            }
            tokio::time::sleep(remaining.max(MIN_WAIT)).await;
        }
    }

    /// Returns how long the upstream has been silent, and what that shows; `None` if it was reported before.
    pub(crate) fn report_silence(&self) -> Option<(Arc<Upstream>, Duration, Silence)> {
        let mut state = self.state();
        let upstream = state.upstream.clone()?;
        let silence = clock::since(state.last?);
        if std::mem::replace(&mut state.is_reported, true) {
            return None;
        }
        let since_activity = upstream.since_activity(clock::now());
        let shown = Silence::classify(silence, since_activity);
        Some((upstream, silence, shown))
    }
}
