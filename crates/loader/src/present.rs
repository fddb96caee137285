//! Which other loaders are counted on, by what they have said.

use std::net::SocketAddr;
use std::time::Duration;

use base::{DomainName, Map, Set};
use beacon::Member;

use crate::peers::Heard;
use crate::said::say_again;

/// Times that a loader which brings a version may miss saying so before it is not counted on.
const SILENT_TIMES: f64 = 3.4;

/// Time after which another failure domain isn't counted on, of whose loaders that bring a version none has
/// said anything here.
const SILENT_FAR: Duration = Duration::from_millis(1300);

/// Which loaders are counted on, by what they have said.
pub(crate) struct Present<'a> {
    heard: &'a Map<SocketAddr, Heard>,
    own: &'a DomainName,
    silent: Duration,
    /// Other failure domains of which any loader was heard.
    domains: Set<&'a DomainName>,
}

impl<'a> Present<'a> {
    pub(crate) fn new(
        members: &'a [Member],
        heard: &'a Map<SocketAddr, Heard>,
        own: &'a DomainName,
        near: usize,
    ) -> Present<'a> {
        let is_heard = |m: &&Member| {
            let heard = heard.get(&m.peer_addr);
            heard.is_some_and(|h| h.is_whole() || clock::since(h.at) < SILENT_FAR)
        };
        let domains = members.iter().filter(is_heard).map(|m| &m.domain);
        Present {
            heard,
            own,
            silent: say_again(near).mul_f64(SILENT_TIMES),
            domains: domains.collect(),
        }
    }

    /// Whether a loader is counted on; those that have said nothing are until all have had time to.
    pub(crate) fn is_present(&self, m: &Member, settled: bool) -> bool {
        match self.heard.get(&m.peer_addr) {
            _ if m.domain != *self.own && self.domains.contains(&m.domain) => true,
            Some(heard) => heard.is_whole() || clock::since(heard.at) < self.silent,
            None => !settled,
        }
    }
}
