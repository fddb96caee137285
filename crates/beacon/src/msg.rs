//! Messages.

use std::net::SocketAddr;
use std::time::Duration;

use base::{DomainName, Fingerprint, Incarnation, LifeId, Model, Revision, VmId};
use catalog::{Release, ReleaseList, StartTime};
use serde::{Deserialize, Serialize};

/// What an engine holds of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Model.
    pub model: Model,
    /// Version of all of its layers; `None` while it holds a part or a mixture.
    pub version: Option<u64>,
}

/// State of an engine, told by the loader beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Incarnation of the loader.
    pub incarnation: Incarnation,
    /// Grows with each note of that incarnation.
    pub sequence: u64,
    /// Address of the engine.
    pub upstream: SocketAddr,
    /// Whether it takes no new requests while it changes weights.
    pub switching: bool,
    /// Time until it is to leave service for new weights; `None` where that isn't planned.
    pub leaves_in: Option<Duration>,
    /// What it holds.
    pub holdings: Vec<Holding>,
    /// Requests it runs.
    pub running: u32,
    /// Requests it has queued.
    pub queued: u32,
    /// Releases that the loader acts on.
    pub releases: Vec<Release>,
    /// Start of the engine's life, where it tells it.
    pub start_time: Option<StartTime>,
}

/// One gateway's part of what an upstream runs, and how it lately fared there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Requests in flight.
    pub requests: u16,
    /// Prompt tokens of requests that have had no event yet.
    pub unread: u32,
    /// Requests that lately failed there, older ones counting less.
    pub failed: u16,
    /// Requests that were lately answered, counted alike.
    pub answered: u16,
}

/// What a gateway has in flight at all upstreams, those left out having nothing; or what all gateways of a
/// failure domain have, those left out having what was told before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// VM of the gateway that sends it.
    pub from: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Incarnation of the gateway.
    pub incarnation: Incarnation,
    /// Grows with each note of that incarnation.
    pub sequence: u64,
    /// Whether it reaches the platform's store.
    pub reaches_store: bool,
    /// Revision of the configuration it holds.
    pub configuration: Revision,
    /// Revision of the list of our own processes it holds.
    pub members: Revision,
    /// Revision of the list of upstreams it holds.
    pub upstreams: Revision,
    /// Time since the store last confirmed that list.
    pub upstreams_age: Duration,
    /// Where it passes its copies of documents on.
    pub replica_addr: SocketAddr,
    /// Loads; of a failure domain those that changed most, and nothing in flight where they have gone.
    pub loads: Vec<Load>,
}

/// What has changed of one gateway's loads, passed on by another of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChange {
    /// VM of the gateway whose loads they are.
    pub from: VmId,
    /// Incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Number of its note that tells the same.
    pub sequence: u64,
    /// Loads that changed, as they are now; nothing in flight where they have gone.
    pub loads: Vec<Load>,
}

/// What a gateway knows of a request under which upstreams ended; times are those since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub request: Fingerprint,
    /// Lives of upstreams that ended under it since it last ran to its end.
    #[serde(rename = "ends")]
    pub exits: Vec<(LifeId, Duration)>,
    /// When it last ran to its end, where that is remembered.
    pub finished: Option<Duration>,
    /// Where it's tried now, or was tried last.
    pub trial: Option<TrialUpdate>,
}

/// A trial of such a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialUpdate {
    /// Grows with each trial of the request.
    pub number: u32,
    /// Where it runs; `None` once it's over.
    pub upstream: Option<SocketAddr>,
    /// Time since it began.
    pub ago: Duration,
}

/// Rate limit of an upstream, by its latest answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitUpdate {
    /// The upstream.
    pub incarnation: LifeId,
    /// Requests in 1,000 s that it takes of all gateways together; `None` once the limit is lifted.
    pub per_1000_s: Option<u64>,
    /// Time since that answer.
    pub ago: Duration,
}

/// Chunks of a version that a loader has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMap {
    /// Where the loader serves chunks.
    pub from: SocketAddr,
    /// Model.
    pub model: Model,
    /// Version.
    pub version: u64,
    /// A bit for each chunk, the lowest bit of each byte first.
    pub bits: Vec<u8>,
    /// Whether it asks the receiver to say what it has in turn.
    pub wants_reply: bool,
}

impl ChunkMap {
    /// Packs flags into bits.
    pub fn pack(have: &[bool]) -> Vec<u8> {
        let byte = |flags: &[bool]| {
            let bit = |(i, has): (usize, &bool)| u8::from(*has) << i;
            flags.iter().enumerate().map(bit).sum()
        };
        have.chunks(8).map(byte).collect()
    }

    /// The flags of the first `n` chunks.
    pub fn unpack(&self, n: usize) -> Vec<bool> {
        let flag = |i: usize| self.bits.get(i / 8).is_some_and(|b| b >> (i % 8) & 1 == 1);
        (0..n).map(flag).collect()
    }
}

impl Msg {
    /// Kind, as metrics name it.
    pub fn kind(&self) -> &'static str {
        match self {
            Msg::Engine(_) => "engine",
            Msg::Load(_) => "load",
            Msg::DomainLoad(_) => "domain_load",
            Msg::RelayedLoad(_) => "relayed_load",
            Msg::LoadChanges(_) => "load_changes",
            Msg::Chunks(_) => "chunks",
            Msg::Releases(_) => "releases",
            Msg::Suspects(_) => "suspects",
            Msg::FarSuspects(_) => "far_suspects",
            Msg::RateLimits(_) => "rate_limits",
            Msg::FarRateLimits(_) => "far_rate_limits",
        }
    }
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// From a loader to gateways.
    Engine(EngineStatus),
    /// From a gateway to those of its failure domain: what it has in flight itself.
    Load(LoadUpdate),
    /// From one gateway of a failure domain to one of each other domain: what all of its domain have in
    /// flight.
    DomainLoad(LoadUpdate),
    /// The same, passed on to the gateways of the receiver's failure domain.
    RelayedLoad(LoadUpdate),
    /// From one gateway of a failure domain to the others of it: what changed lately in all of it.
    LoadChanges(Vec<LoadChange>),
    /// From a loader to loaders.
    Chunks(ChunkMap),
    /// From a gateway to a loader whose releases are older than the gateway's.
    Releases(ReleaseList),
    /// From a gateway to those of its failure domain: requests under which upstreams ended.
    Suspects(Vec<SuspectUpdate>),
    /// The same to a gateway of another failure domain, which passes on what is news to it.
    FarSuspects(Vec<SuspectUpdate>),
    /// From a gateway to those of its failure domain: rate limits that upstreams advertise.
    RateLimits(Vec<RateLimitUpdate>),
    /// The same to a gateway of another failure domain, which relays what it didn't know.
    FarRateLimits(Vec<RateLimitUpdate>),
}
