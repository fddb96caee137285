//! Patches: editions as differences from an earlier edition.
//!
//! Edits change few rows. An edition is therefore sent as the lines from the first to the last that differ,
//! with a checksum of the resulting text, which detects a wrong base.

use base::{Digest, Revision};

use crate::Edition;

/// Edition in the form that processes exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    /// Resulting revision.
    pub revision: Revision,
    /// Id of the edit.
    pub edit: String,
    /// Author of the edit.
    pub author: String,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Revision of the base; 0 if the patch has the full text.
    pub base: Revision,
    /// Number of lines retained at the start of the base.
    pub head: u32,
    /// Number of lines retained at the end of the base.
    pub tail: u32,
    /// Text between them.
    pub middle: String,
    /// Checksum of the resulting text.
    pub check: u64,
}

impl Patch {
    /// Creates a patch with the full text of an edition.
    pub fn full(to: &Edition) -> Patch {
        Patch::new(to, 0, 0, 0, to.csv.clone())
    }

    /// Creates the patch from one edition to another.
    pub fn between(base: &Edition, to: &Edition) -> Patch {
        if base.revision == 0 {
            return Patch::full(to);
        }
        let old: Vec<&str> = lines(&base.csv);
        let new: Vec<&str> = lines(&to.csv);
        let is_equal = |(a, b): &(&&str, &&str)| a == b;
        let head = old.iter().zip(&new).take_while(is_equal).count();
        let remaining = old.len().min(new.len()) - head;
        let from_end = old.iter().rev().zip(new.iter().rev());
        let tail = from_end.take(remaining).take_while(is_equal).count();
        let middle = new[head..new.len() - tail].concat();
        Patch::new(to, base.revision, head as u32, tail as u32, middle)
    }

    fn new(to: &Edition, base: Revision, head: u32, tail: u32, middle: String) -> Patch {
        Patch {
            revision: to.revision,
            edit: to.edit.clone(),
            author: to.author.clone(),
            at_ms: to.at_ms,
            base,
            head,
            tail,
            middle,
            check: checksum(&to.csv),
        }
    }

    /// Returns the resulting edition; `None` if `base` is not the one that the patch was made from.
    pub fn apply(self, base: Option<&Edition>) -> Option<Edition> {
        let csv = match (self.base, base) {
            (0, _) => self.middle,
            (_, Some(base)) if base.revision == self.base => {
                let old = lines(&base.csv);
                let head = old.get(..self.head as usize)?;
                let tail = old.get(old.len().checked_sub(self.tail as usize)?..)?;
                head.concat() + &self.middle + &tail.concat()
            }
            _ => return None,
        };
        (checksum(&csv) == self.check).then_some(Edition {
            revision: self.revision,
            edit: self.edit,
            author: self.author,
            at_ms: self.at_ms,
            csv,
        })
    }
}

fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

fn checksum(text: &str) -> u64 {
    let digest = Digest::of(text.as_bytes());
    let first: [u8; 8] = digest.as_bytes()[..8]
        .try_into()
        .expect("a digest has 32 bytes");
    u64::from_le_bytes(first)
}
