//! Earlier bodies of a document, so that a process some revisions behind gets only what changed since.

use std::collections::VecDeque;

use base::Revision;
use bytes::Bytes;

/// Most earlier bodies kept. In quick succession a process is up to three behind.
const EARLIER: usize = 3;

/// Earlier bodies, the newest last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Earlier(VecDeque<(Revision, Bytes)>);

impl Earlier {
    /// Adds the newest; the oldest go where they are too many.
    pub(crate) fn push(&mut self, revision: Revision, body: Bytes) {
        self.0.push_back((revision, body));
        let surplus = self.0.len().saturating_sub(EARLIER);
        self.0.drain(..surplus);
    }

    pub(crate) fn has(&self, revision: Revision) -> bool {
        self.0.iter().any(|(known, _)| *known == revision)
    }

    /// The body of a revision.
    pub(crate) fn body_of(&self, revision: Revision) -> Option<Bytes> {
        let found = self.0.iter().find(|(known, _)| *known == revision);
        found.map(|(_, body)| body.clone())
    }
}
