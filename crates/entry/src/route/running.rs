//! A running request, from the choice of its upstream to the last byte of its response.

use std::sync::Arc;

use crate::Entry;
use crate::membership::upstream::{Slot, Upstream};

/// Running request that occupies a slot; frees it when dropped.
#[derive(Debug)]
pub struct RunningRequest {
    slot: Option<Slot>,
    entry: Arc<Entry>,
}

impl RunningRequest {
    /// Creates a running request in a slot.
    pub fn new(entry: &Arc<Entry>, slot: Slot) -> RunningRequest {
        RunningRequest {
            slot: Some(slot),
            entry: entry.clone(),
        }
    }

    /// Returns the upstream that runs it.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self
            .slot
            .as_ref()
            .expect("the slot is held until drop")
            .upstream
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.slot = None;
        self.entry.queue.slot_freed();
    }
}
