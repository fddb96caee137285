//! Session of an agent at an entry, with the calls available after joining.

use table::{Edition, Patch, Version};

use crate::control_capnp::seat;
use crate::convert;
use crate::link::with_timeout;
use crate::{Heartbeat, HeartbeatReply, Peer, WireError};

/// Session of an agent at an entry.
pub struct AgentSession {
    client: seat::Client,
}

impl std::fmt::Debug for AgentSession {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AgentSession")
    }
}

impl AgentSession {
    pub(crate) fn new(client: seat::Client) -> AgentSession {
        AgentSession { client }
    }

    /// Sends a heartbeat.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Result<HeartbeatReply, WireError> {
        let mut req = self.client.beat_request();
        convert::write_heartbeat(req.get().init_beat(), heartbeat);
        let res = with_timeout(req.send().promise).await?;
        convert::read_heartbeat_reply(res.get()?.get_reply()?)
    }

    /// Waits, without a timeout, until the entry has a later revision than `have`, and returns it as a patch.
    pub async fn watch(&self, have: base::Revision) -> Result<Patch, WireError> {
        let mut req = self.client.watch_request();
        req.get().set_have(have);
        let res = req.send().promise.await?;
        convert::read_patch(res.get()?.get_edition()?)
    }

    /// Sends an edition that the entry lacks.
    pub async fn offer(&self, edition: &Edition) -> Result<(), WireError> {
        let mut req = self.client.offer_request();
        convert::write_patch(req.get().init_edition(), &Patch::full(edition));
        with_timeout(req.send().promise).await.map(drop)
    }

    /// Returns the agents that fetch or hold a version.
    pub async fn peers(&self, version: &Version) -> Result<Vec<Peer>, WireError> {
        let mut req = self.client.peers_request();
        req.get().set_version(version.to_string().as_str());
        let res = with_timeout(req.send().promise).await?;
        convert::read_peers(res.get()?.get_peers()?)
    }
}
