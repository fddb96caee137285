//! Decides by their announcements which other loaders count as present: they are expected to take part in a fetch.

use std::net::SocketAddr;
use std::time::Duration;

use base::{DomainName, Map, Set};
use beacon::Member;

use crate::announcer::announce_interval;
use crate::peers::PeerChunks;

/// Announcement intervals without an announcement after which a fetching loader no longer counts as present.
const MAX_SILENT_INTERVALS: f64 = 3.4;

/// Time after which another failure domain no longer counts as present if none of its fetching loaders has sent an
/// announcement here.
const MAX_FAR_SILENCE: Duration = Duration::from_millis(1300);

/// Loaders that count as present, by their announcements.
pub(crate) struct Presence<'a> {
    received: &'a Map<SocketAddr, PeerChunks>,
    own: &'a DomainName,
    max_silence: Duration,
    /// Failure domains with a loader whose announcement was received.
    domains: Set<&'a DomainName>,
}

impl<'a> Presence<'a> {
    pub(crate) fn new(
        members: &'a [Member],
        received: &'a Map<SocketAddr, PeerChunks>,
        own: &'a DomainName,
        near_loaders: usize,
    ) -> Presence<'a> {
        let is_active = |m: &&Member| {
            let chunks = received.get(&m.peer_addr);
            chunks.is_some_and(|c| c.is_complete() || clock::since(c.at) < MAX_FAR_SILENCE)
        };
        let domains = members.iter().filter(is_active).map(|m| &m.domain);
        Presence {
            received,
            own,
            max_silence: announce_interval(near_loaders).mul_f64(MAX_SILENT_INTERVALS),
            domains: domains.collect(),
        }
    }

    /// Returns whether a loader counts as present. One that has announced nothing does until the grace time is over.
    pub(crate) fn is_present(&self, m: &Member, grace_over: bool) -> bool {
        match self.received.get(&m.peer_addr) {
            _ if m.domain != *self.own && self.domains.contains(&m.domain) => true,
            Some(chunks) => chunks.is_complete() || clock::since(chunks.at) < self.max_silence,
            None => !grace_over,
        }
    }
}
