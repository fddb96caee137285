//! Queueing of requests on a VM's link behind chunks in flight.

use std::collections::VecDeque;
use std::time::Duration;

use loader::window::{InFlight, Window};

const FETCHES: usize = 6;
const CHUNK_BITS: f64 = 32_768.0 * 8.0;
/// Rate of a fast link, in bits per second.
const FAST: f64 = 7_600_000.0;
/// Rate of a slow link, in bits per second.
const SLOW: f64 = 910_000.0;

/// A link that carries chunks of several versions sequentially.
struct Link {
    window: Window,
    /// Bits per second.
    rate: f64,
    now: Duration,
    /// Chunks in flight: the version and the time of the request.
    queue: VecDeque<(usize, Duration, InFlight)>,
}

impl Link {
    fn new(rate: f64) -> Link {
        Link {
            window: Window::new(FETCHES),
            rate,
            now: Duration::ZERO,
            queue: VecDeque::new(),
        }
    }

    fn chunk_time(&self) -> Duration {
        Duration::from_secs_f64(CHUNK_BITS / self.rate)
    }

    /// Requests as many chunks of each version as the window permits.
    fn request(&mut self, versions: usize) {
        for version in 0..versions {
            let own = |queue: &VecDeque<(usize, Duration, InFlight)>| {
                queue.iter().filter(|(v, ..)| *v == version).count()
            };
            while self.window.has_capacity(own(&self.queue)) {
                let chunk = (version, self.now, self.window.begin());
                self.queue.push_back(chunk);
            }
        }
    }

    /// Carries chunks of some versions; returns the longest time that a request would have been queued behind them.
    fn carry(&mut self, versions: usize, chunks: usize) -> Duration {
        let mut longest = Duration::ZERO;
        for _ in 0..chunks {
            self.request(versions);
            longest = longest.max(self.chunk_time() * self.queue.len() as u32);
            self.now += self.chunk_time();
            let Some((_, requested, in_flight)) = self.queue.pop_front() else {
                continue;
            };
            drop(in_flight);
            self.window.record_latency(self.now - requested);
        }
        longest
    }
}

#[test]
fn window_fills_a_fast_link() {
    let mut link = Link::new(FAST);

    link.carry(1, 100);

    assert_eq!(link.queue.len(), FETCHES - 1);
}

#[test]
fn request_queues_behind_at_most_two_chunks_on_a_slow_link() {
    let mut link = Link::new(SLOW);
    link.carry(1, 2 * FETCHES);

    let waited = link.carry(1, 50);

    assert!(waited <= 2 * link.chunk_time(), "{waited:?}");
}

#[test]
fn versions_share_the_window() {
    let mut link = Link::new(SLOW);
    link.carry(1, 2 * FETCHES);

    let waited = link.carry(2, 50);

    // One chunk of each version, and one for which the window has grown.
    assert!(waited <= 3 * link.chunk_time(), "{waited:?}");
}

#[test]
fn every_version_makes_progress() {
    let mut link = Link::new(SLOW);

    for _ in 0..20 {
        link.carry(2, 1);
        link.request(2);
        let versions = link.queue.iter().map(|(version, ..)| *version);
        let mut versions: Vec<_> = versions.collect();
        versions.sort_unstable();
        versions.dedup();
        assert_eq!(versions, [0, 1]);
    }
}

#[test]
fn dropped_guard_frees_capacity() {
    let window = Window::new(1);
    let guard = window.begin();
    assert!(!window.has_capacity(1));

    drop(guard);

    assert!(window.has_capacity(1));
}

/// Guards against chunks of a successor that delay those of an older version that is completed first.
#[test]
fn version_without_precedence_takes_at_most_one_free_place() {
    let window = Window::new(2);
    assert!(window.has_spare_capacity(0));
    assert!(!window.has_spare_capacity(1));

    let _older = [window.begin(), window.begin()];

    assert!(!window.has_spare_capacity(0));
    assert!(window.has_capacity(0));
}
