//! Datagrams between processes: what an engine holds and how loaded it is, which chunks a loader
//! has, and what each gateway has in flight.
//!
//! Every datagram states the whole of its subject, so one that is lost costs time only: the next
//! one says it again. Nothing is acknowledged. Numbers that order them grow within one life of a
//! sender; a new life has a larger `Incarnation`, unless the VM's clock was set back.

mod member;
mod msg;
mod socket;

pub use member::{Member, Role};
pub use msg::{
    ChunkMap, EngineStatus, Holding, Load, LoadChange, LoadUpdate, Msg, RateLimitUpdate,
    SuspectUpdate, TrialUpdate,
};
pub use socket::{Beacon, MAX_DATAGRAM, batch_messages, encode};
