//! The edition in force against an oracle: the newest that was ever offered.

use std::time::{Duration, Instant};

use base::Domains;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use table::{ActiveTable, Edition};

#[derive(Debug, Clone)]
enum Step {
    Offer(u64),
    OfferBroken(u64),
    Confirm(u64),
}

/// The oracle.
#[derive(Debug, Clone, Default)]
struct Newest {
    revision: u64,
    confirmed: bool,
}

impl ReferenceStateMachine for Newest {
    type State = Newest;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Newest> {
        Just(Newest::default()).boxed()
    }

    fn transitions(_: &Newest) -> BoxedStrategy<Step> {
        prop_oneof![
            (0..20u64).prop_map(Step::Offer),
            (0..20u64).prop_map(Step::OfferBroken),
            (0..20u64).prop_map(Step::Confirm),
        ]
        .boxed()
    }

    fn apply(mut state: Newest, step: &Step) -> Newest {
        match step {
            Step::Offer(n) => state.revision = state.revision.max(*n),
            Step::OfferBroken(_) => {}
            Step::Confirm(n) => state.confirmed |= *n == state.revision,
        }
        state
    }
}

struct Holder;

fn edition(revision: u64, csv: String) -> Edition {
    Edition {
        revision,
        csv,
        ..Edition::initial()
    }
}

impl StateMachineTest for Holder {
    type SystemUnderTest = ActiveTable;
    type Reference = Newest;

    fn init_test(_: &Newest) -> ActiveTable {
        ActiveTable::new(Domains::new(vec![("recife".into(), "pernambuco".into())]))
    }

    fn apply(force: ActiveTable, _: &Newest, step: Step) -> ActiveTable {
        match step {
            Step::Offer(n) => drop(force.offer(edition(n, Edition::initial().csv))),
            Step::OfferBroken(n) => drop(force.offer(edition(n, "no table".into()))),
            Step::Confirm(n) => force.confirm(n, Instant::now()),
        }
        force
    }

    fn check_invariants(force: &ActiveTable, oracle: &Newest) {
        assert_eq!(force.revision(), oracle.revision);
        assert_eq!(force.current().edition.revision, oracle.revision);
        assert_eq!(force.confirmation_age().is_some(), oracle.confirmed);
    }
}

prop_state_machine! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn only_newer_editions_come_into_force(sequential 1..40 => Holder);
}

#[test]
fn a_confirmation_never_grows_older() {
    let force = ActiveTable::new(Domains::default());
    let now = Instant::now();
    force.confirm(0, now);
    force.confirm(0, now - Duration::from_secs(60));
    assert!(force.confirmation_age().expect("confirmed") < Duration::from_secs(60));
}
