//! Messages of the control links.

use std::net::SocketAddr;
use std::time::Duration;

use base::{DomainName, Incarnation, Model, Revision, VmId};
use table::Version;

/// Age of a revision that was never confirmed; longer than any hold.
pub const NEVER_CONFIRMED: Duration = Duration::from_secs(u32::MAX as u64);

/// Description of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentInfo {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address for requests of entries.
    pub listen: SocketAddr,
    /// Address for chunk fetches of peers.
    pub peer: SocketAddr,
    /// Whether the upstream is a plain service.
    pub service: bool,
    /// Whether reads of a plain service may be retried.
    pub repeatable: bool,
}

/// Version that an agent fetches, holds or has live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: Version,
    /// Whether it accepts requests.
    pub live: bool,
    /// Fraction of its chunks verified, in thousandths.
    pub permille: u16,
}

/// Heartbeat of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Revision of the table that the agent serves.
    pub revision: Revision,
    /// Requests in flight at its upstream.
    pub running: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Versions.
    pub holdings: Vec<Holding>,
    /// Last state of the entry's list of entries that the agent received.
    pub entries_seen: u64,
    /// Whether the holdings are unchanged since the last heartbeat on the link, and omitted.
    pub same_holdings: bool,
}

/// Status of an agent that has joined the sending entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentStatus {
    /// Description.
    pub info: AgentInfo,
    /// Last heartbeat.
    pub beat: Heartbeat,
}

/// Revision that a process serves, and the time since its confirmation by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Revision.
    pub revision: Revision,
    /// Time since its confirmation.
    pub age: Duration,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Revision of the entry.
    pub freshness: Freshness,
    /// Time until the next heartbeat.
    pub interval: Duration,
    /// Whether the platform lists the VM as leaving.
    pub leaving: bool,
    /// State of the entry's list of entries.
    pub entries_seen: u64,
    /// Control addresses of the entries of the failure domain; empty if the agent has this state.
    pub entries: Vec<SocketAddr>,
}

/// Agent that may have chunks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for chunk fetches.
    pub addr: SocketAddr,
    /// Whether it is about to be removed.
    pub leaving: bool,
}

/// Agent of another failure domain that has a version live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: Version,
    /// VM.
    pub vm: VmId,
    /// Address for requests.
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

/// Update that an entry sends to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryUpdate {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Control address.
    pub control: SocketAddr,
    /// Revision and its age.
    pub freshness: Freshness,
    /// Whether the entry is stopping.
    pub leaving: bool,
    /// Control addresses of entries that the sender knows.
    pub entries: Vec<SocketAddr>,
    /// State of the sender's lists below, a number that increases with each change.
    pub state: u64,
    /// Last state of the receiver that the sender applied; 0 for none.
    pub applied_state: u64,
    /// Whether the lists below are included; they are omitted if the receiver has them.
    pub has_lists: bool,
    /// Within a failure domain: agents that have joined the sender.
    pub agents: Vec<AgentStatus>,
    /// Between failure domains: a bounded sample of live replicas.
    pub replicas: Vec<Replica>,
    /// Between failure domains: rollouts of the sender's failure domain.
    pub rollouts: Vec<Rollout>,
}

/// Claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Key in the platform's table service.
    pub key: String,
    /// Claimant and request.
    pub value: String,
    /// Time to live of the claim.
    pub ttl: Duration,
}

/// Outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It was written.
    Won,
    /// The key has another claim.
    Taken,
    /// It may have been written.
    Unknown,
    /// It was not written, since the platform is unavailable.
    Unavailable,
}
