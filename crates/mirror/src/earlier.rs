//! Earlier bodies of a document, so that a process some revisions behind gets only what changed since.
//!
//! Each is kept as a step back: packed against the body that came after it, some 100 bytes for one changed
//! route of 1,600. To get at a body, one goes back from the current one step by step. A body stands whole
//! until its step is packed.

use std::collections::VecDeque;

use base::Revision;
use bytes::Bytes;

use crate::pack::{PackError, pack, unpack};

/// Most earlier bodies kept. Of a series of 26 changes 0.2 s apart a process may miss all; going back as
/// far takes 1.3 ms of a core for 1,600 routes, 12 ms for 10,000.
const EARLIER: usize = 32;

/// Most that earlier bodies take, in bytes, the newest of them not counted: three whole bodies of 1,600
/// routes, should changes come faster than they are packed. As steps 26 take 3 KB.
const EARLIER_BYTES: usize = 1 << 20;

/// Earlier bodies, the newest last. Whole ones are newer than all that are packed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Earlier(VecDeque<Body>);

#[derive(Debug, Clone)]
struct Body {
    revision: Revision,
    kept: Kept,
}

#[derive(Debug, Clone)]
enum Kept {
    Whole(Bytes),
    /// Packed against the body after it.
    Step {
        bytes: Bytes,
        length: usize,
    },
}

impl Earlier {
    /// Adds the newest; the oldest go where they are too many or too large.
    pub(crate) fn push(&mut self, revision: Revision, body: Bytes) {
        let newest = Body {
            revision,
            kept: Kept::Whole(body),
        };
        let room = self.fitting();
        self.0.drain(..self.0.len() - room);
        self.0.push_back(newest);
    }

    /// How many of those held there is room for beside a newer one.
    fn fitting(&self) -> usize {
        let sums = self.0.iter().rev().scan(0, |sum, body| {
            *sum += body.kept.len();
            Some(*sum)
        });
        let fitting = sums.take_while(|sum| *sum <= EARLIER_BYTES).count();
        fitting.min(EARLIER - 1)
    }

    pub(crate) fn has(&self, revision: Revision) -> bool {
        self.0.iter().any(|body| body.revision == revision)
    }

    /// The body of a revision, going back from the current one.
    pub(crate) fn body_of(
        &self,
        revision: Revision,
        current: &Bytes,
    ) -> Result<Option<Bytes>, PackError> {
        if !self.has(revision) {
            return Ok(None);
        }
        let mut body = current.clone();
        for earlier in self.0.iter().rev() {
            body = earlier.kept.before(&body)?;
            if earlier.revision == revision {
                break;
            }
        }
        Ok(Some(body))
    }

    /// Packs those that stand whole.
    pub(crate) fn pack(&mut self, current: &Bytes) -> Result<(), PackError> {
        let mut after = current.clone();
        for body in self.0.iter_mut().rev() {
            let Kept::Whole(whole) = &body.kept else {
                break;
            };
            let whole = whole.clone();
            body.kept = Kept::Step {
                bytes: pack(&whole, &after)?,
                length: whole.len(),
            };
            after = whole;
        }
        Ok(())
    }

    /// Takes the steps that were packed of the same bodies meanwhile.
    pub(crate) fn take_steps(&mut self, packed: &Earlier) {
        for body in &mut self.0 {
            let same = packed.0.iter().find(|p| p.revision == body.revision);
            if let Some(same) = same {
                body.kept = same.kept.clone();
            }
        }
    }
}

impl Kept {
    fn len(&self) -> usize {
        match self {
            Kept::Whole(bytes) | Kept::Step { bytes, .. } => bytes.len(),
        }
    }

    /// The body, of which the one after it is given.
    fn before(&self, after: &Bytes) -> Result<Bytes, PackError> {
        match self {
            Kept::Whole(body) => Ok(body.clone()),
            Kept::Step { bytes, length } => unpack(bytes, after, *length),
        }
    }
}
