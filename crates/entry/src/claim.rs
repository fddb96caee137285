//! Claims on idempotency keys, in the platform's table.
//!
//! A claim is a value written only if there is none under its key; the platform's table decides
//! who is first, so no entry needs to know of another. Claims made within a short interval go out
//! in one transaction. One entry of the failure domain, the claimer, writes for all: that saves
//! writes and nothing else, so it doesn't matter if two take themselves for the claimer.
//! docs/DESIGN.md weighs this against other ways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Digest, DomainName, Incarnation, RequestId, Set, VmId};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use store::{Kv, Op, PlatformError, ReadResult, Tag, Unless};
use tokio::sync::{Semaphore, mpsc, oneshot};
use wire::{Claim, ClaimOutcome};

/// Claims that may wait to be written; more are refused.
const MAX_QUEUED: usize = 4096;

/// Transactions on their way at once.
const MAX_CONCURRENT_WRITES: usize = 8;

/// What is written under a key: which request holds it, and where that request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Request.
    pub request: RequestId,
    /// Digest of the request's content.
    pub content: Digest,
    /// Upstream VM it was sent to.
    pub vm: VmId,
    /// Where that VM's agent takes requests.
    pub listen: SocketAddr,
    /// Incarnation of that agent.
    pub incarnation: Incarnation,
    /// Failure domain of that VM.
    pub domain: DomainName,
    /// Whether the request is known not to have run and not to be sent any more.
    pub released: bool,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied,
    /// Another claim stands.
    Conflict,
    /// It may have taken effect.
    Unknown,
    /// It did not take effect.
    Failed,
}

#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    tx: oneshot::Sender<ClaimOutcome>,
}

/// How claims are gathered.
#[derive(Debug, Clone, Copy)]
pub struct Batching {
    /// Time over which claims are gathered.
    pub interval: Duration,
    /// Claims in one write.
    pub max_batch: usize,
    /// Time a claim is kept.
    pub retention: Duration,
}

/// Writer and reader of claims.
#[derive(Debug, Clone)]
pub struct Claims {
    kv: Kv,
    batching: Batching,
    forward_queue: mpsc::Sender<PendingClaim>,
    write_queue: mpsc::Sender<PendingClaim>,
}

/// Key of a workspace's idempotency key.
pub fn claim_key(workspace: &str, key: &str) -> String {
    let digest = Digest::of(format!("{workspace}\0{key}").as_bytes());
    format!("claim/{digest}")
}

impl Claims {
    /// Starts the writer. `claimer` names the entry that writes for this one, or `None` where this
    /// one does; `forward` hands claims to it.
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

    /// Claims a key for a record.
    pub async fn claim(&self, key: String, record: &ClaimRecord) -> WriteOutcome {
        let value = serde_json::to_string(record).expect("plain data");
        let ttl = self.batching.retention;
        let claimed = enqueue(&self.forward_queue, Claim { key, value, ttl }).await;
        match claimed {
            ClaimOutcome::Won => WriteOutcome::Applied,
            ClaimOutcome::Taken => WriteOutcome::Conflict,
            ClaimOutcome::Unavailable => WriteOutcome::Failed,
            ClaimOutcome::Unknown => WriteOutcome::Unknown,
        }
    }

    /// Takes in claims, of this entry or another, and writes them with what else has gathered.
    pub async fn write_batched(&self, claims: Vec<Claim>) -> Vec<ClaimOutcome> {
        let written = claims.into_iter().map(|c| enqueue(&self.write_queue, c));
        join_all(written).await
    }

    /// Replaces a record that still has the tag.
    pub async fn replace(&self, key: &str, tag: Tag, record: &ClaimRecord) -> WriteOutcome {
        let value = serde_json::to_string(record).expect("plain data");
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

    /// The record under a key, with its tag.
    pub async fn read(&self, key: &str) -> Result<Option<(ClaimRecord, Tag)>, PlatformError> {
        match self.kv.get(&format!("/kv/{key}"), None).await? {
            ReadResult::Value(buf, tag) => serde_json::from_slice(&buf)
                .map(|record| Some((record, tag)))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            ReadResult::Absent | ReadResult::Unchanged => Ok(None),
        }
    }

    /// Writes claims in one transaction; claims whose key is taken are left out and told so.
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

/// Indices of the first claim on each key; later ones in the same batch come too late.
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

/// Puts a claim in line and waits for what becomes of it.
async fn enqueue(queue: &mpsc::Sender<PendingClaim>, claim: Claim) -> ClaimOutcome {
    let (tx, rx) = oneshot::channel();
    match queue.try_send(PendingClaim { claim, tx }) {
        Ok(()) => rx.await.unwrap_or(ClaimOutcome::Unknown),
        Err(_) => ClaimOutcome::Unavailable,
    }
}

/// Gathers claims for half the interval and writes each batch on a task of its own; a claim
/// passes two such lines, that of its entry and that of the claimer.
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
