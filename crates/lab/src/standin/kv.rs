//! In-memory key-value store with tags, conditions and transactions, behind the platform's table
//! and object store.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use bytes::Bytes;
use store::{Committed, Op, Refusal, Transaction, Unless};

#[derive(Debug, Clone)]
struct Value {
    buf: Bytes,
    tag: u64,
    expires_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    values: Map<String, Value>,
    last_tag: u64,
    reads: u64,
    writes: u64,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    inner: Mutex<Inner>,
}

impl Store {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a value with its tag.
    pub fn get(&self, key: &str) -> Option<(Bytes, String)> {
        let mut inner = self.inner();
        inner.reads += 1;
        inner.live(key).map(|v| (v.buf.clone(), tag(v.tag)))
    }

    /// Writes a value under a condition; returns its tag, or `None` if the condition failed.
    pub fn put(&self, key: &str, buf: Bytes, unless: Option<&Unless>) -> Option<String> {
        let mut inner = self.inner();
        inner.writes += 1;
        let allowed = unless.is_none_or(|unless| inner.allows(key, unless));
        allowed.then(|| inner.write(key, buf, None))
    }

    /// Commits a transaction, or returns the keys whose condition failed.
    pub fn commit(&self, transaction: Transaction) -> Result<Committed, Refusal> {
        let mut inner = self.inner();
        inner.writes += 1;
        let refused = |op: &&Op| !inner.allows(&op.key, &op.unless);
        let keys: Vec<String> = transaction
            .ops
            .iter()
            .filter(refused)
            .map(|op| op.key.clone())
            .collect();
        if !keys.is_empty() {
            return Err(Refusal { keys });
        }
        let tags = transaction
            .ops
            .into_iter()
            .map(|op| inner.write(&op.key, op.value.into(), op.ttl_s))
            .collect();
        Ok(Committed { tags })
    }

    /// Returns the number of reads and of writes.
    pub fn counts(&self) -> (u64, u64) {
        let inner = self.inner();
        (inner.reads, inner.writes)
    }
}

impl Inner {
    fn live(&self, key: &str) -> Option<&Value> {
        let value = self.values.get(key)?;
        value
            .expires_at
            .is_none_or(|expires_at| expires_at > Instant::now())
            .then_some(value)
    }

    fn allows(&self, key: &str, unless: &Unless) -> bool {
        match (self.live(key), unless) {
            (None, Unless::Present) => true,
            (Some(v), Unless::Changed(wanted)) => tag(v.tag) == *wanted,
            _ => false,
        }
    }

    fn write(&mut self, key: &str, buf: Bytes, ttl_s: Option<u64>) -> String {
        self.last_tag += 1;
        let value = Value {
            buf,
            tag: self.last_tag,
            expires_at: ttl_s.map(|s| Instant::now() + Duration::from_secs(s)),
        };
        self.values.insert(key.to_owned(), value);
        tag(self.last_tag)
    }
}

fn tag(n: u64) -> String {
    format!("\"{n}\"")
}
