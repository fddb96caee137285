//! Message types.
//!
//! Datagrams are encoded by postcard, which writes fields by position: fields and variants must keep their order.
//! [`SuspectUpdate`] and [`TrialUpdate`] are also stored as JSON, by field name.
//!
//! The eras of a [`LoadUpdate`]'s revisions and the verified releases of an [`EngineStatus`] follow the message, where
//! processes of earlier releases ignore them.

use std::net::SocketAddr;
use std::time::Duration;

use base::{
    DomainName, Era, Fingerprint, Incarnation, Model, StoreRevision, UpstreamIncarnation, VmId,
};
use catalog::{Release, ReleaseList, ServiceName, StartTime};
use serde::{Deserialize, Serialize};

/// Weights of one model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Model.
    pub model: Model,
    /// Version of all its layers; `None` while layers are missing or of different versions.
    pub version: Option<u64>,
}

/// State of an engine, published by the loader on its VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Incarnation of the loader.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub sequence: u64,
    /// Address of the engine.
    pub upstream: SocketAddr,
    /// Whether it accepts no new requests because it switches weights.
    pub switching: bool,
    /// Time until it leaves service for new weights; `None` if no switch is planned.
    pub leaves_in: Option<Duration>,
    /// Weights it holds.
    pub holdings: Vec<Holding>,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Releases known to the loader.
    pub releases: Vec<Release>,
    /// Start time of the engine, if it reports one.
    pub start_time: Option<StartTime>,
    /// Releases that the loader knows from operators or has verified at the origin; none from an earlier release.
    #[serde(skip)]
    pub verified: Vec<Release>,
}

/// Requests of one gateway, or of one failure domain, at an upstream, and their recent outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Requests in flight.
    pub requests: u16,
    /// Prompt tokens of requests without a first event.
    pub unread: u32,
    /// Recently failed requests, decayed by age.
    pub failed: u16,
    /// Recently answered requests, decayed by age.
    pub answered: u16,
}

/// Loads of one gateway, or of all gateways of a failure domain, and the revisions of the sender's documents.
///
/// An upstream that is omitted has nothing in flight in the update of a gateway, and its last published load in
/// the update of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// VM of the sending gateway.
    pub from: VmId,
    /// Failure domain of that gateway.
    pub domain: DomainName,
    /// Incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub sequence: u64,
    /// Whether that gateway reaches the platform's store.
    pub reaches_store: bool,
    /// Revision of its configuration.
    #[serde(with = "number")]
    pub configuration: StoreRevision,
    /// Revision of its member list.
    #[serde(with = "number")]
    pub members: StoreRevision,
    /// Revision of its list of upstreams.
    #[serde(with = "number")]
    pub upstreams: StoreRevision,
    /// Time since the store last confirmed that list.
    pub upstreams_age: Duration,
    /// Address that serves its replicated documents.
    pub replica_addr: SocketAddr,
    /// Loads. The update of a failure domain has those that changed most; a load that has ended is listed with
    /// nothing in flight.
    pub loads: Vec<Load>,
}

/// Eras of the revisions in a [`LoadUpdate`], in the order of its fields.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Eras([Option<Era>; 3]);

impl LoadUpdate {
    pub(crate) fn eras(&self) -> Eras {
        Eras([self.configuration.era, self.members.era, self.upstreams.era])
    }

    pub(crate) fn set_eras(&mut self, eras: Eras) {
        let Eras([configuration, members, upstreams]) = eras;
        self.configuration.era = configuration;
        self.members.era = members;
        self.upstreams.era = upstreams;
    }
}

/// Encodes the number of a revision alone.
mod number {
    use base::{Revision, StoreRevision};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(
        revision: &StoreRevision,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        revision.number.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<StoreRevision, D::Error> {
        Revision::deserialize(deserializer).map(|number| StoreRevision::new(None, number))
    }
}

/// Changed loads of one gateway, relayed by another gateway of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChange {
    /// VM of the gateway that has these loads.
    pub from: VmId,
    /// Incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Sequence number of the update of that gateway with the same loads.
    pub sequence: u64,
    /// Current values of the loads that changed; a load that has ended is listed with nothing in flight.
    pub loads: Vec<Load>,
}

/// Demand of one gateway, or of one failure domain, for a service, observed over a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Service.
    pub service: ServiceName,
    /// Thousandths of slots that its requests need: requests per second, each weighted by its expected
    /// milliseconds in a slot.
    pub millislots: u32,
    /// Bytes per second of the requests and their expected responses.
    pub bytes: u32,
    /// Part of the demand, in thousandths of slots, that may not run in a failure domain, by domain.
    pub barred: Vec<(DomainName, u32)>,
}

/// Demand of one gateway, or of all gateways of a failure domain. A service that is omitted has none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandUpdate {
    /// VM of the sending gateway.
    pub from: VmId,
    /// Failure domain of that gateway.
    pub domain: DomainName,
    /// Incarnation of that gateway.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub sequence: u64,
    /// Demand by service.
    pub demands: Vec<Demand>,
}

/// A gateway's record of a request during which upstreams exited. Durations are times elapsed since the event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Upstream incarnations that exited while they ran it, since it last ran to completion.
    #[serde(rename = "ends")]
    pub exits: Vec<(UpstreamIncarnation, Duration)>,
    /// Last time it ran to completion, if recorded.
    pub finished: Option<Duration>,
    /// Current or last trial.
    pub trial: Option<TrialUpdate>,
}

/// A trial of a suspect request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialUpdate {
    /// Number of the trial, counted per request.
    pub number: u32,
    /// Upstream that runs it; `None` once the trial is over.
    pub upstream: Option<SocketAddr>,
    /// Time since it started.
    pub ago: Duration,
}

/// A gateway's evidence on a part of a prompt. Durations are times elapsed since the event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartUpdate {
    /// A run of a request was lost because its upstream exited.
    Lost(LostRunUpdate),
    /// A request with the part completed.
    Completed {
        /// Part.
        part: Fingerprint,
        /// Time since then.
        ago: Duration,
    },
}

/// A run of a request that was lost because its upstream exited.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRunUpdate {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Upstream incarnation that exited.
    pub incarnation: UpstreamIncarnation,
    /// Time since the request was sent to it.
    pub started: Duration,
    /// Time since the exit.
    pub ended: Duration,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
}

/// Rate limit of an upstream, as advertised in its latest response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitUpdate {
    /// Incarnation of the upstream.
    pub incarnation: UpstreamIncarnation,
    /// Requests per 1,000 s that it accepts from all gateways together; `None` once the limit is lifted.
    pub per_1000_s: Option<u64>,
    /// Time since that response.
    pub ago: Duration,
}

/// Pace of an engine at its normal speed, in thousandths.
pub const NORMAL_PACE: u32 = 1000;

/// Pace of an engine, published by the loader on its VM: the factor by which its work takes longer than normal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceUpdate {
    /// Address of the engine.
    pub upstream: SocketAddr,
    /// Incarnation of the loader.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub sequence: u64,
    /// Pace in thousandths, see [`NORMAL_PACE`].
    pub pace: u32,
}

/// Chunks of a version that a loader holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMap {
    /// Address that serves the loader's chunks.
    pub from: SocketAddr,
    /// Model.
    pub model: Model,
    /// Version.
    pub version: u64,
    /// One bit per chunk, least significant bit first.
    pub bits: Vec<u8>,
    /// Whether the receiver should reply with its own chunk map.
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

    /// Returns the flags of the first `n` chunks.
    pub fn unpack(&self, n: usize) -> Vec<bool> {
        let flag = |i: usize| self.bits.get(i / 8).is_some_and(|b| b >> (i % 8) & 1 == 1);
        (0..n).map(flag).collect()
    }
}

impl Msg {
    /// Returns the update with revisions, if the message is one.
    pub(crate) fn load_update(&self) -> Option<&LoadUpdate> {
        match self {
            Msg::Load(update) | Msg::DomainLoad(update) | Msg::RelayedLoad(update) => Some(update),
            _ => None,
        }
    }

    /// Returns the update with revisions for changing it.
    pub(crate) fn load_update_mut(&mut self) -> Option<&mut LoadUpdate> {
        match self {
            Msg::Load(update) | Msg::DomainLoad(update) | Msg::RelayedLoad(update) => Some(update),
            _ => None,
        }
    }

    /// Returns the kind, a label value of the metrics.
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
            Msg::Pace(_) => "pace",
            Msg::FarPace(_) => "far_pace",
            Msg::Demand(_) => "demand",
            Msg::DomainDemand(_) => "domain_demand",
            Msg::RelayedDemand(_) => "relayed_demand",
            Msg::Parts(_) => "parts",
            Msg::FarParts(_) => "far_parts",
        }
    }
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// From a loader to gateways: the status of its engine.
    Engine(EngineStatus),
    /// From a gateway to gateways of its failure domain: its own loads.
    Load(LoadUpdate),
    /// From one gateway of a failure domain to one gateway of each other domain: the loads of its whole domain.
    DomainLoad(LoadUpdate),
    /// A [`Msg::DomainLoad`], relayed to the gateways of the receiver's failure domain.
    RelayedLoad(LoadUpdate),
    /// From one gateway of a failure domain to its other gateways: recent changes of loads in the domain.
    LoadChanges(Vec<LoadChange>),
    /// From a loader to loaders: the chunks that it holds.
    Chunks(ChunkMap),
    /// From a gateway to loaders: all releases, when one becomes known or a loader misses one.
    Releases(ReleaseList),
    /// From a gateway to gateways of its failure domain: requests during which upstreams exited.
    Suspects(Vec<SuspectUpdate>),
    /// [`Msg::Suspects`] to a gateway of another failure domain, which relays those that are new to it.
    FarSuspects(Vec<SuspectUpdate>),
    /// From a gateway to gateways of its failure domain: rate limits that upstreams advertise.
    RateLimits(Vec<RateLimitUpdate>),
    /// [`Msg::RateLimits`] to a gateway of another failure domain, which relays those that are new to it.
    FarRateLimits(Vec<RateLimitUpdate>),
    /// From a loader to gateways of its failure domain, or relayed to them: the pace of its engine.
    Pace(PaceUpdate),
    /// [`Msg::Pace`] to a gateway of another failure domain, which relays it there.
    FarPace(PaceUpdate),
    /// From a gateway to the leaders of its failure domain: its own demand.
    Demand(DemandUpdate),
    /// From one gateway of a failure domain to one gateway of each other domain: the demand of its whole domain.
    DomainDemand(DemandUpdate),
    /// A [`Msg::DomainDemand`] of any failure domain, to the gateways of the sender's failure domain.
    RelayedDemand(DemandUpdate),
    /// From a gateway to gateways of its failure domain: evidence on parts of prompts.
    Parts(Vec<PartUpdate>),
    /// [`Msg::Parts`] to a gateway of another failure domain, which relays what is new to it.
    FarParts(Vec<PartUpdate>),
}
