//! Datagram transport and messages between gateways and loaders.
//!
//! Loaders publish the status of their engines and the chunks they hold; gateways publish their loads, suspect
//! requests and rate limits. Nothing is acknowledged: every datagram carries its subject in full, so a lost one
//! only delays the receiver until the next. Sequence numbers grow within one incarnation of a sender; a new
//! incarnation has a larger `Incarnation`, unless the VM's clock was set back.

mod member;
mod msg;
mod socket;

pub use member::{Member, Role};
pub use msg::{
    ChunkMap, Demand, DemandUpdate, EngineStatus, Holding, Load, LoadChange, LoadUpdate,
    LostRunUpdate, Msg, NORMAL_PACE, PaceUpdate, PartUpdate, RateLimitUpdate, SuspectUpdate,
    TrialUpdate,
};
pub use socket::{Beacon, MAX_DATAGRAM, batch_messages, decode, encode};
