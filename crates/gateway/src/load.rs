//! What other gateways have in flight at each upstream.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, VmId};
use beacon::{Load, LoadNote};

/// A note older than this says nothing any more; notes come several times as often.
const NOTE_TIME: Duration = Duration::from_millis(1500);

/// Requests of others at an upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Others {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens not yet read.
    pub unread: u64,
}

#[derive(Debug, Default)]
struct State {
    notes: Map<VmId, (LoadNote, Instant)>,
    sums: Map<SocketAddr, Others>,
}

/// Notes of all other gateways.
#[derive(Debug, Default)]
pub struct LoadBook {
    state: Mutex<State>,
}

impl LoadBook {
    /// Takes a note, unless a newer one is known.
    pub fn take(&self, note: LoadNote) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = state.notes.get(&note.from).is_none_or(|(known, _)| {
            (note.incarnation, note.number) > (known.incarnation, known.number)
        });
        if newer {
            let now = Instant::now();
            state.notes.insert(note.from.clone(), (note, now));
            state.notes.retain(|_, (_, at)| now - *at < NOTE_TIME);
            state.sum();
        }
    }

    /// What others have in flight at an upstream.
    pub fn others(&self, upstream: &SocketAddr) -> Others {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.sums.get(upstream).copied().unwrap_or_default()
    }
}

impl State {
    fn sum(&mut self) {
        self.sums.clear();
        for Load {
            upstream,
            requests,
            unread,
        } in self.notes.values().flat_map(|(note, _)| &note.loads)
        {
            let sum = self.sums.entry(*upstream).or_default();
            sum.requests += u32::from(*requests);
            sum.unread += u64::from(*unread);
        }
    }
}
