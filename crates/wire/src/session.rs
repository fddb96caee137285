//! An agent's seat at an entry: what it may call once it has joined.

use table::{Edition, Patch, Version};

use crate::control_capnp::seat;
use crate::convert;
use crate::link::timely;
use crate::{Heartbeat, HeartbeatReply, Peer, WireError};

/// The agent's end of its seat.
pub struct AgentSession {
    seat: seat::Client,
}

impl std::fmt::Debug for AgentSession {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AgentSession")
    }
}

impl AgentSession {
    pub(crate) fn new(seat: seat::Client) -> AgentSession {
        AgentSession { seat }
    }

    /// Sends a heartbeat.
    pub async fn heartbeat(&self, beat: &Heartbeat) -> Result<HeartbeatReply, WireError> {
        let mut req = self.seat.beat_request();
        convert::write_heartbeat(req.get().init_beat(), beat);
        let res = timely(req.send().promise).await?;
        convert::read_heartbeat_reply(res.get()?.get_reply()?)
    }

    /// Waits, for as long as it takes, until the entry has a later revision than `have`.
    pub async fn watch(&self, have: base::Revision) -> Result<Patch, WireError> {
        let mut req = self.seat.watch_request();
        req.get().set_have(have);
        let res = req.send().promise.await?;
        convert::read_patch(res.get()?.get_edition()?)
    }

    /// Hands the entry an edition that it has not.
    pub async fn offer(&self, edition: &Edition) -> Result<(), WireError> {
        let mut req = self.seat.offer_request();
        convert::write_patch(req.get().init_edition(), &Patch::full(edition));
        timely(req.send().promise).await.map(drop)
    }

    /// Agents that fetch or hold a version.
    pub async fn peers(&self, version: &Version) -> Result<Vec<Peer>, WireError> {
        let mut req = self.seat.peers_request();
        req.get().set_version(version.to_string().as_str());
        let res = timely(req.send().promise).await?;
        convert::read_peers(res.get()?.get_peers()?)
    }
}
