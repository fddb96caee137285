//! An edition as what changed from an earlier one.
//!
//! Edits touch few rows, so an edition travels as the lines between the first and the last that
//! differ. A check value tells whether the base was the one it was made from.

use base::{Digest, Revision};

use crate::Edition;

/// An edition on its way between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    /// Revision it leads to.
    pub revision: Revision,
    /// Id of the edit.
    pub edit: String,
    /// Who edited.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Revision it starts from; 0 where it holds the whole text.
    pub base: Revision,
    /// Lines kept from the head of the base's text.
    pub head: u32,
    /// Lines kept from its tail.
    pub tail: u32,
    /// Lines between.
    pub middle: String,
    /// Check value of the text it leads to.
    pub check: u64,
}

impl Patch {
    /// The whole edition.
    pub fn full(to: &Edition) -> Patch {
        Patch::new(to, 0, 0, 0, to.csv.clone())
    }

    /// What leads from one edition to another.
    pub fn between(base: &Edition, to: &Edition) -> Patch {
        if base.revision == 0 {
            return Patch::full(to);
        }
        let old: Vec<&str> = lines(&base.csv);
        let new: Vec<&str> = lines(&to.csv);
        let same = |(a, b): &(&&str, &&str)| a == b;
        let head = old.iter().zip(&new).take_while(same).count();
        let left = old.len().min(new.len()) - head;
        let ends = old.iter().rev().zip(new.iter().rev());
        let tail = ends.take(left).take_while(same).count();
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
            check: check(&to.csv),
        }
    }

    /// The edition it leads to; `None` where the base is not the one it was made from.
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
        (check(&csv) == self.check).then_some(Edition {
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

fn check(text: &str) -> u64 {
    let digest = Digest::of(text.as_bytes());
    let first: [u8; 8] = digest.as_bytes()[..8]
        .try_into()
        .expect("eight of 32 bytes");
    u64::from_le_bytes(first)
}
