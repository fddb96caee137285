//! Releases, outages of the origin, wrong manifests and restarts of loaders in any order.

mod common;

use std::time::Duration;

use catalog::WeightsVersion;
use common::{CHUNKS, Fleet, LOADERS, lock, wait_until};
use proptest::collection::vec;
use proptest::prelude::*;

/// What happens to the loaders or the origin.
#[derive(Debug, Clone)]
enum Event {
    /// The next version is released, some seconds after the one before; the origin provides these two.
    Release(u64),
    /// The origin is unreachable.
    Outage,
    /// Only the first loader reaches the origin.
    Cut,
    /// All loaders reach the origin.
    Return,
    /// A loader restarts.
    Restart(usize),
    /// The next manifest has wrong digests.
    WrongDigests(Vec<usize>),
}

fn event() -> impl Strategy<Value = Event> {
    // Releases within the bound of 10 s, and beyond it.
    let gap = prop_oneof![0..3_u64, 4..9_u64, 11..15_u64];
    prop_oneof![
        3 => gap.prop_map(Event::Release),
        2 => Just(Event::Outage),
        1 => Just(Event::Cut),
        1 => Just(Event::Return),
        2 => (0..LOADERS).prop_map(Event::Restart),
        2 => vec(0..CHUNKS, 1..4).prop_map(Event::WrongDigests),
    ]
}

/// Returns for each event how long before the last release it happened, by the gaps of the releases after it.
fn release_ages(events: &[(Event, u64)]) -> Vec<Duration> {
    let mut age = 0;
    let mut ages: Vec<Duration> = Vec::new();
    for (event, _) in events.iter().rev() {
        ages.push(Duration::from_secs(age));
        if let Event::Release(gap) = event {
            age += gap;
        }
    }
    ages.reverse();
    ages
}

/// Lets events happen, each followed by a pause in milliseconds; returns the newest version.
fn play(fleet: &mut Fleet, events: &[(Event, u64)]) -> WeightsVersion {
    let mut newest = 1;
    for ((event, pause), age) in events.iter().zip(release_ages(events)) {
        match event {
            Event::Release(_) => {
                newest += 1;
                lock(&fleet.origin).oldest = newest - 1;
                fleet.release(newest, age);
            }
            Event::Outage => fleet.open(0),
            Event::Cut => lock(&fleet.origin).is_cut_off = true,
            Event::Return => {
                lock(&fleet.origin).is_cut_off = false;
                fleet.open(usize::MAX);
            }
            Event::Restart(i) => fleet.restart_loader(*i),
            Event::WrongDigests(wrong) => lock(&fleet.origin).wrong_digests.push(wrong.clone()),
        }
        std::thread::sleep(Duration::from_millis(*pause));
    }
    newest
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 0, ..cases::cases(4) })]

    /// Guards against any order of events after which a loader never gets the newest version.
    #[test]
    fn all_engines_get_the_newest_version_once_the_origin_provides_it(
        events in vec((event(), 0..800_u64), 3..10),
    ) {
        let mut fleet = Fleet::start();
        fleet.open(usize::MAX);

        let newest = play(&mut fleet, &events);
        lock(&fleet.origin).is_cut_off = false;
        fleet.open(usize::MAX);

        wait_until(&format!("all engines hold version {newest}: {events:?}"), || fleet.all_hold(newest));
    }
}
