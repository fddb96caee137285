//! How long a request waits on a VM's link behind chunks that its loader asked for.

use std::collections::VecDeque;
use std::time::Duration;

use loader::window::{InFlight, Window};

const FETCHES: usize = 6;
const CHUNK_BITS: f64 = 32_768.0 * 8.0;
const WIDE: f64 = 7_600_000.0;
const NARROW: f64 = 910_000.0;

/// A link that carries chunks one after the other, of several versions.
struct Link {
    window: Window,
    /// Bits a second.
    rate: f64,
    now: Duration,
    /// Chunks on their way: the version, and when each was asked for.
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

    /// Asks for as many chunks of each version as there is room for.
    fn ask(&mut self, versions: usize) {
        for version in 0..versions {
            let own = |queue: &VecDeque<(usize, Duration, InFlight)>| {
                queue.iter().filter(|(v, ..)| *v == version).count()
            };
            while self.window.has_room(own(&self.queue)) {
                let begun = (version, self.now, self.window.begin());
                self.queue.push_back(begun);
            }
        }
    }

    /// Carries chunks of so many versions, and tells how long a request waited behind them at most.
    fn carry(&mut self, versions: usize, chunks: usize) -> Duration {
        let mut longest = Duration::ZERO;
        for _ in 0..chunks {
            self.ask(versions);
            longest = longest.max(self.chunk_time() * self.queue.len() as u32);
            self.now += self.chunk_time();
            let Some((_, asked, in_flight)) = self.queue.pop_front() else {
                continue;
            };
            drop(in_flight);
            self.window.took(self.now - asked);
        }
        longest
    }
}

#[test]
fn a_link_as_wide_as_it_should_be_is_filled() {
    let mut link = Link::new(WIDE);

    link.carry(1, 100);

    assert_eq!(link.queue.len(), FETCHES - 1);
}

#[test]
fn on_a_narrow_link_a_request_waits_behind_two_chunks_at_most() {
    let mut link = Link::new(NARROW);
    link.carry(1, 2 * FETCHES);

    let waited = link.carry(1, 50);

    assert!(waited <= 2 * link.chunk_time(), "{waited:?}");
}

#[test]
fn it_waits_no_longer_when_another_version_is_brought_too() {
    let mut link = Link::new(NARROW);
    link.carry(1, 2 * FETCHES);

    let waited = link.carry(2, 50);

    // One of each version, and one that the window has widened for.
    assert!(waited <= 3 * link.chunk_time(), "{waited:?}");
}

#[test]
fn each_version_comes_on() {
    let mut link = Link::new(NARROW);

    for _ in 0..20 {
        link.carry(2, 1);
        link.ask(2);
        let versions = link.queue.iter().map(|(version, ..)| *version);
        let mut versions: Vec<_> = versions.collect();
        versions.sort_unstable();
        versions.dedup();
        assert_eq!(versions, [0, 1]);
    }
}

#[test]
fn what_is_given_up_makes_room() {
    let window = Window::new(1);
    let asked = window.begin();
    assert!(!window.has_room(1));

    drop(asked);

    assert!(window.has_room(1));
}
