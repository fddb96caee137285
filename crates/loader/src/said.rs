//! What a loader that brings a version tells others of it, and how often.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fetch::{Fetch, SETTLED};
use crate::peers::{Reach, announce, announce_to};

/// Time after which a loader that brings a version says so again to those of its failure domain.
const SAY_AGAIN: Duration = Duration::from_millis(150);

/// The same for each of them, where they are many: at most a hundred datagrams a second.
const SAY_AGAIN_EACH: Duration = Duration::from_millis(10);

/// The same towards a few of each other failure domain, whose links carry requests too. All there hear at
/// once of chunks drawn from the origin, and once more after this time.
const SAY_AGAIN_FAR: Duration = Duration::from_millis(400);

/// Time after which it is said again to so many loaders of the failure domain.
pub(crate) fn say_again(loaders: usize) -> Duration {
    let each = SAY_AGAIN_EACH * u32::try_from(loaders).unwrap_or(u32::MAX);
    each.max(SAY_AGAIN)
}

/// What was last told of a version that is being brought.
pub(crate) struct Said {
    /// Chunks held, as those that take chunks from here were last told.
    have: Vec<bool>,
    /// When these were last told.
    near: Instant,
    /// When those of other failure domains were.
    far: Instant,
    /// Chunks drawn from the origin by then.
    drawn: u32,
    /// Whether those of other failure domains are to hear of them once more, should the first have been lost.
    drawn_again: bool,
    /// Whether the others were asked for what they have a second time.
    asked_again: bool,
}

impl Said {
    pub(crate) fn new(fetch: &Fetch, now: Instant) -> Said {
        Said {
            have: fetch.set.have(),
            near: now,
            far: now,
            drawn: 0,
            drawn_again: false,
            asked_again: false,
        }
    }

    /// Tells those that take chunks from here of each chunk as it comes.
    pub(crate) fn say_to_takers(&mut self, fetch: &Fetch) {
        let have = fetch.set.have();
        if have != self.have {
            let takers = fetch.swarm.takers(&fetch.rule);
            let takers: Vec<SocketAddr> = takers.iter().map(|p| p.addr).collect();
            announce_to(&fetch.cx, &fetch.set, &takers);
            self.have = have;
        }
    }

    /// Tells other loaders what has come since: those near after a while, those far of chunks that were
    /// drawn from the origin, and all again after a longer one.
    pub(crate) fn say(&mut self, fetch: &Fetch) {
        if !self.asked_again && clock::since(fetch.begun) > SETTLED / 2 {
            // What others have is asked for once more, in case the first was lost.
            self.asked_again = true;
            announce(&fetch.cx, &fetch.set, true, Reach::NearAndSome);
            return;
        }
        if clock::since(self.near) >= say_again(fetch.near) {
            announce(&fetch.cx, &fetch.set, false, Reach::Near);
            self.near = clock::now();
        }
        let drawn = fetch.counts.origin != self.drawn;
        if drawn || clock::since(self.far) >= SAY_AGAIN_FAR {
            let reach = match drawn || self.drawn_again {
                true => Reach::Far,
                false => Reach::Some,
            };
            announce(&fetch.cx, &fetch.set, false, reach);
            self.drawn = fetch.counts.origin;
            self.drawn_again = drawn;
            self.far = clock::now();
        }
    }
}
