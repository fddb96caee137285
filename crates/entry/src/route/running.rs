//! A request counted as running, from its choice of an upstream to its last byte.

use std::sync::Arc;

use crate::Entry;
use crate::membership::upstream::{Slot, Upstream};

/// A running request; frees its slot when dropped.
#[derive(Debug)]
pub struct RunningRequest {
    slot: Option<Slot>,
    entry: Arc<Entry>,
}

impl RunningRequest {
    /// Counts a request as running.
    pub fn new(entry: &Arc<Entry>, slot: Slot) -> RunningRequest {
        RunningRequest {
            slot: Some(slot),
            entry: entry.clone(),
        }
    }

    /// Where it runs.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.slot.as_ref().expect("held until dropped").upstream
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.slot = None;
        self.entry.queue.slot_freed();
    }
}
