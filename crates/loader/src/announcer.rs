//! Announces the chunks of a version that is being fetched to other loaders.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fetch::{Fetch, GRACE_TIME};
use crate::peers::{Scope, announce, announce_to};

/// Minimum interval of announcements to loaders of the own failure domain.
const MIN_INTERVAL: Duration = Duration::from_millis(150);

/// Part of that interval per loader of the failure domain: at most a hundred datagrams a second are sent there.
const INTERVAL_PER_LOADER: Duration = Duration::from_millis(10);

/// Interval of announcements to a few loaders of each other failure domain, whose links carry requests too. Chunks
/// fetched from the origin are announced to all loaders there at once, and again after this interval.
const FAR_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the interval of announcements to the loaders of a failure domain, by their number.
pub(crate) fn announce_interval(loaders: usize) -> Duration {
    let total = INTERVAL_PER_LOADER * u32::try_from(loaders).unwrap_or(u32::MAX);
    total.max(MIN_INTERVAL)
}

/// State of the announcements of one fetch.
pub(crate) struct Announcer {
    /// Held chunks as last announced to the receivers of chunks from this loader.
    have: Vec<bool>,
    /// Last announcement in the own failure domain.
    last_near: Instant,
    /// Last announcement to other failure domains.
    last_far: Instant,
    /// Chunks that had been fetched from the origin by then.
    from_origin: u32,
    /// Whether those chunks are to be announced once more, in case the first announcement was lost.
    repeat_far: bool,
    /// Whether other loaders were asked for their chunks a second time.
    asked_again: bool,
}

impl Announcer {
    pub(crate) fn new(fetch: &Fetch, now: Instant) -> Announcer {
        Announcer {
            have: fetch.set.have(),
            last_near: now,
            last_far: now,
            from_origin: 0,
            repeat_far: false,
            asked_again: false,
        }
    }

    /// Announces new chunks at once to the loaders that fetch chunks from this one.
    pub(crate) fn announce_to_receivers(&mut self, fetch: &Fetch) {
        let have = fetch.set.have();
        if have != self.have {
            let receivers = fetch.swarm.receivers(&fetch.policy);
            let receivers: Vec<SocketAddr> = receivers.iter().map(|p| p.addr).collect();
            announce_to(&fetch.cx, &fetch.set, &receivers);
            self.have = have;
        }
    }

    /// Sends the announcements that are due: at intervals to the own failure domain and to a few loaders of each
    /// other one, and at once to all loaders of other domains if chunks were fetched from the origin.
    pub(crate) fn announce_if_due(&mut self, fetch: &Fetch) {
        if !self.asked_again && clock::since(fetch.started) > GRACE_TIME / 2 {
            // Asks for the chunks of other loaders once more, in case the first datagram was lost.
            self.asked_again = true;
            announce(&fetch.cx, &fetch.set, true, Scope::NearAndSample);
            return;
        }
        if clock::since(self.last_near) >= announce_interval(fetch.near_loaders) {
            announce(&fetch.cx, &fetch.set, false, Scope::Near);
            self.last_near = clock::now();
        }
        let is_new = fetch.counts.origin != self.from_origin;
        if is_new || clock::since(self.last_far) >= FAR_INTERVAL {
            let scope = match is_new || self.repeat_far {
                true => Scope::Far,
                false => Scope::Sample,
            };
            announce(&fetch.cx, &fetch.set, false, scope);
            self.from_origin = fetch.counts.origin;
            self.repeat_far = is_new;
            self.last_far = clock::now();
        }
    }
}
