//! The active edition compared with a model: the newest edition offered.

use std::time::{Duration, Instant};

use base::Domains;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use table::{ActiveTable, Edition};

#[derive(Debug, Clone)]
enum Step {
    Offer(u64),
    OfferInvalid(u64),
    Confirm(u64),
}

/// Reference model: the newest revision offered, and whether it was confirmed.
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
            (0..20u64).prop_map(Step::OfferInvalid),
            (0..20u64).prop_map(Step::Confirm),
        ]
        .boxed()
    }

    fn apply(mut state: Newest, step: &Step) -> Newest {
        match step {
            Step::Offer(n) => state.revision = state.revision.max(*n),
            Step::OfferInvalid(_) => {}
            Step::Confirm(n) => state.confirmed |= *n == state.revision,
        }
        state
    }
}

struct ActiveTableTest;

fn edition(revision: u64, csv: String) -> Edition {
    Edition {
        revision,
        csv,
        ..Edition::initial()
    }
}

impl StateMachineTest for ActiveTableTest {
    type SystemUnderTest = ActiveTable;
    type Reference = Newest;

    fn init_test(_: &Newest) -> ActiveTable {
        ActiveTable::new(Domains::new(vec![("recife".into(), "pernambuco".into())]))
    }

    fn apply(active: ActiveTable, _: &Newest, step: Step) -> ActiveTable {
        match step {
            Step::Offer(n) => drop(active.offer(edition(n, Edition::initial().csv))),
            Step::OfferInvalid(n) => drop(active.offer(edition(n, "no table".into()))),
            Step::Confirm(n) => active.confirm(n, Instant::now()),
        }
        active
    }

    fn check_invariants(active: &ActiveTable, model: &Newest) {
        assert_eq!(active.revision(), model.revision);
        assert_eq!(active.current().edition.revision, model.revision);
        assert_eq!(active.confirmation_age().is_some(), model.confirmed);
    }
}

prop_state_machine! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn activates_only_newer_editions(sequential 1..40 => ActiveTableTest);
}

#[test]
fn older_confirmations_are_ignored() {
    let active = ActiveTable::new(Domains::default());
    let now = Instant::now();
    active.confirm(0, now);
    active.confirm(0, now - Duration::from_secs(60));
    assert!(active.confirmation_age().expect("confirmed") < Duration::from_secs(60));
}
