//! Messages of the control links.

use std::net::SocketAddr;
use std::time::Duration;

use base::{DomainName, Incarnation, Model, Revision, VmId};
use table::Version;

/// Age of what was never confirmed; no hold allows it.
pub const NEVER_CONFIRMED: Duration = Duration::from_secs(u32::MAX as u64);

/// Who an agent is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentInfo {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Where entries send requests.
    pub listen: SocketAddr,
    /// Where peers fetch chunks.
    pub peer: SocketAddr,
    /// Whether the upstream is a plain service.
    pub service: bool,
    /// Whether a plain service's reads may be repeated.
    pub repeatable: bool,
}

/// A version an agent fetches, holds or has live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: Version,
    /// Whether requests may be sent for it.
    pub live: bool,
    /// Chunks verified, in thousandths.
    pub permille: u16,
}

/// Heartbeat of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Revision of the table it serves by.
    pub revision: Revision,
    /// Requests running at its upstream.
    pub running: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Versions.
    pub holdings: Vec<Holding>,
    /// State of the entry's list of entries the agent has seen.
    pub entries_seen: u64,
    /// Whether the holdings are those of the last heartbeat on the link, and left out.
    pub same_holdings: bool,
}

/// An agent that has joined the entry that tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentStatus {
    /// Who it is.
    pub info: AgentInfo,
    /// Its last heartbeat.
    pub beat: Heartbeat,
}

/// What revision a process serves by, and how long ago the platform confirmed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Revision.
    pub revision: Revision,
    /// Time since the confirmation.
    pub age: Duration,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// The entry's revision.
    pub freshness: Freshness,
    /// Time to the next heartbeat.
    pub interval: Duration,
    /// Whether the platform lists the VM as leaving.
    pub leaving: bool,
    /// State of the entry's list of entries.
    pub entries_seen: u64,
    /// Control addresses of the domain's entries, where the agent has not seen them.
    pub entries: Vec<SocketAddr>,
}

/// An agent that may have chunks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Where it serves chunks.
    pub addr: SocketAddr,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// An agent of another failure domain with a version live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: Version,
    /// VM.
    pub vm: VmId,
    /// Where it takes requests.
    pub listen: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Agents that fetch or hold a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// Version.
    pub version: Version,
    /// Agents.
    pub peers: Vec<Peer>,
}

/// What entries tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryUpdate {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Control address.
    pub control: SocketAddr,
    /// Revision.
    pub freshness: Freshness,
    /// Whether the entry is stopping.
    pub leaving: bool,
    /// Control addresses of the entries it knows.
    pub entries: Vec<SocketAddr>,
    /// State of what the sender tells.
    pub state: u64,
    /// The last state the sender has of the receiver's.
    pub applied_state: u64,
    /// Whether the lists below are told; else the receiver has them already.
    pub has_lists: bool,
    /// Within a failure domain: agents that have joined the sender.
    pub agents: Vec<AgentStatus>,
    /// Between failure domains: a bounded sample of live replicas.
    pub replicas: Vec<Replica>,
    /// Between failure domains: rollouts.
    pub rollouts: Vec<Rollout>,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Key in the platform's table.
    pub key: String,
    /// Who claims, and for which request.
    pub value: String,
    /// Time the claim is kept.
    pub ttl: Duration,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It was written.
    Won,
    /// Another claim stands.
    Taken,
    /// It may have been written.
    Unknown,
    /// It was not written; the platform is down.
    Unavailable,
}
