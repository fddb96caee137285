//! Claims on idempotency keys, stored in the platform's table.
//!
//! A claim is a value that is written only if its key is absent. The platform's table decides which
//! claim is first, so entries need no coordination. Claims made within a short interval are batched
//! into one transaction. One entry of the failure domain, the claim writer, writes the claims of
//! all; this only reduces the number of writes, so it is harmless if two entries act as the writer.
//! docs/DESIGN.md compares this with alternatives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Digest, DomainName, Incarnation, RequestId, Set, VmId};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use store::{Kv, Op, PlatformError, ReadResult, Tag, Unless};
use tokio::sync::{Semaphore, mpsc, oneshot};
use wire::{Claim, ClaimOutcome};

/// Maximum length of a claim queue; further claims are refused.
const MAX_QUEUED: usize = 4096;

/// Maximum number of concurrent batch writes of a queue.
const MAX_CONCURRENT_WRITES: usize = 8;

/// Stored value of a claim: the request that holds the key, and where it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Request id.
    pub request: RequestId,
    /// Digest of the request's content.
    pub content: Digest,
    /// Upstream VM that it was sent to.
    pub vm: VmId,
    /// Address at which the VM's agent accepts requests.
    pub listen: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Whether the request is known not to have run and won't be sent any more.
    pub released: bool,
}

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// Another claim holds the key.
    Conflict,
    /// The write may have taken effect.
    Unknown,
    /// The write did not take effect.
    Failed,
}

#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    tx: oneshot::Sender<ClaimOutcome>,
}

/// Batching of claims.
#[derive(Debug, Clone, Copy)]
pub struct Batching {
    /// Time over which claims are batched.
    pub interval: Duration,
    /// Maximum number of claims in one write.
    pub max_batch: usize,
    /// Time for which a claim is retained.
    pub retention: Duration,
}

/// Reader and batching writer of claims.
#[derive(Debug, Clone)]
pub struct Claims {
    kv: Kv,
    batching: Batching,
    forward_queue: mpsc::Sender<PendingClaim>,
    write_queue: mpsc::Sender<PendingClaim>,
}

/// Returns the table key for an idempotency key of a workspace.
pub fn claim_key(workspace: &str, key: &str) -> String {
    let digest = Digest::of(format!("{workspace}\0{key}").as_bytes());
    format!("claim/{digest}")
}

impl Claims {
    /// Starts the queues. `claim_writer` returns the entry that writes for this one, or `None` if
    /// this entry writes its own; `forward` sends claims to that entry.
    pub fn start<C, W, F>(kv: Kv, batching: Batching, claim_writer: C, forward: W) -> Claims
    where
        C: Fn() -> Option<SocketAddr> + Send + Sync + 'static,
        W: Fn(SocketAddr, Vec<Claim>) -> F + Send + Sync + 'static,
        F: Future<Output = Vec<ClaimOutcome>> + Send + 'static,
    {
        let (write_queue, to_write) = mpsc::channel(MAX_QUEUED);
        let (forward_queue, to_forward) = mpsc::channel(MAX_QUEUED);
        let claims = Claims {
            kv,
            batching,
            forward_queue,
            write_queue,
        };
        let committer = claims.clone();
        tokio::spawn(batch_claims(to_write, batching, move |batch| {
            let committer = committer.clone();
            async move { committer.commit(batch).await }
        }));
        let writer = claims.clone();
        tokio::spawn(batch_claims(to_forward, batching, move |batch| {
            let forwarded = claim_writer().map(|to| forward(to, batch.clone()));
            let writer = writer.clone();
            async move {
                match forwarded {
                    Some(forwarded) => forwarded.await,
                    None => writer.write_batched(batch).await,
                }
            }
        }));
        claims
    }

    /// Claims a key with a record.
    pub async fn claim(&self, key: String, record: &ClaimRecord) -> WriteOutcome {
        let value = serde_json::to_string(record).expect("a claim record is plain data");
        let ttl = self.batching.retention;
        let claimed = enqueue(&self.forward_queue, Claim { key, value, ttl }).await;
        match claimed {
            ClaimOutcome::Won => WriteOutcome::Applied,
            ClaimOutcome::Taken => WriteOutcome::Conflict,
            ClaimOutcome::Unavailable => WriteOutcome::Failed,
            ClaimOutcome::Unknown => WriteOutcome::Unknown,
        }
    }

    /// Queues claims, of this entry or another, for the next batches and waits for their outcomes.
    pub async fn write_batched(&self, claims: Vec<Claim>) -> Vec<ClaimOutcome> {
        let written = claims.into_iter().map(|c| enqueue(&self.write_queue, c));
        join_all(written).await
    }

    /// Replaces a record if it still has the tag.
    pub async fn replace(&self, key: &str, tag: Tag, record: &ClaimRecord) -> WriteOutcome {
        let value = serde_json::to_string(record).expect("a claim record is plain data");
        let claim = Claim {
            key: key.to_owned(),
            value,
            ttl: self.batching.retention,
        };
        match self.kv.commit(vec![op(&claim, Unless::Changed(tag))]).await {
            Ok(Ok(_)) => WriteOutcome::Applied,
            Ok(Err(_)) => WriteOutcome::Conflict,
            Err(e) if e.may_have_written() => WriteOutcome::Unknown,
            Err(_) => WriteOutcome::Failed,
        }
    }

    /// Returns the record under a key, with its tag.
    pub async fn read(&self, key: &str) -> Result<Option<(ClaimRecord, Tag)>, PlatformError> {
        match self.kv.get(&format!("/kv/{key}"), None).await? {
            ReadResult::Value(buf, tag) => serde_json::from_slice(&buf)
                .map(|record| Some((record, tag)))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            ReadResult::Absent | ReadResult::Unchanged => Ok(None),
        }
    }

    /// Writes claims in one transaction, without those whose key is already taken.
    pub async fn commit(&self, claims: Vec<Claim>) -> Vec<ClaimOutcome> {
        let mut results = vec![ClaimOutcome::Taken; claims.len()];
        let mut remaining: Vec<usize> = first_of_each_key(&claims);
        while !remaining.is_empty() {
            let ops = remaining
                .iter()
                .map(|i| op(&claims[*i], Unless::Present))
                .collect();
            metrics::counter!("driftnotch_claim_writes_total").increment(1);
            let result = match self.kv.commit(ops).await {
                Ok(Ok(_)) => ClaimOutcome::Won,
                Ok(Err(taken)) => {
                    let before = remaining.len();
                    remaining.retain(|i| !taken.contains(&claims[*i].key));
                    match remaining.len() < before {
                        true => continue,
                        false => ClaimOutcome::Unknown,
                    }
                }
                Err(e) if e.may_have_written() => ClaimOutcome::Unknown,
                Err(_) => ClaimOutcome::Unavailable,
            };
            remaining.drain(..).for_each(|i| results[i] = result);
        }
        results
    }
}

/// Returns the indices of the first claim on each key; later ones in the same batch lose.
fn first_of_each_key(claims: &[Claim]) -> Vec<usize> {
    let mut seen: Set<&str> = Set::default();
    (0..claims.len())
        .filter(|i| seen.insert(&claims[*i].key))
        .collect()
}

fn op(claim: &Claim, unless: Unless) -> Op {
    Op {
        key: claim.key.clone(),
        unless,
        value: claim.value.clone(),
        ttl_s: Some(claim.ttl.as_secs()),
    }
}

/// Queues a claim and waits for its outcome.
async fn enqueue(queue: &mpsc::Sender<PendingClaim>, claim: Claim) -> ClaimOutcome {
    let (tx, rx) = oneshot::channel();
    match queue.try_send(PendingClaim { claim, tx }) {
        Ok(()) => rx.await.unwrap_or(ClaimOutcome::Unknown),
        Err(_) => ClaimOutcome::Unavailable,
    }
}

/// Batches claims and writes each batch in its own task.
///
/// A batch collects for half the interval, because a claim passes through two such queues: its
/// entry's and the claim writer's.
async fn batch_claims<W, F>(mut rx: mpsc::Receiver<PendingClaim>, batching: Batching, write: W)
where
    W: Fn(Vec<Claim>) -> F,
    F: Future<Output = Vec<ClaimOutcome>> + Send + 'static,
{
    let writes = Arc::new(Semaphore::new(MAX_CONCURRENT_WRITES));
    while let Some(first) = rx.recv().await {
        let mut batch = vec![first];
        let batch_until = clock::now() + batching.interval / 2;
        while batch.len() < batching.max_batch {
            match clock::timeout_at(batch_until, rx.recv()).await {
                Ok(Some(next)) => batch.push(next),
                Ok(None) | Err(_) => break,
            }
        }
        let Ok(permit) = writes.clone().acquire_owned().await else {
            return;
        };
        let (claims, txs): (Vec<Claim>, Vec<_>) =
            batch.into_iter().map(|p| (p.claim, p.tx)).unzip();
        let written = write(claims);
        tokio::spawn(async move {
            for (tx, claimed) in txs.into_iter().zip(written.await) {
                let _ = tx.send(claimed);
            }
            drop(permit);
        });
    }
}
