//! Compares the ledger of unsafe requests with a model: an id starts at most once, and an id that was reported as
//! sealed never starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agent::ledger::{Ledger, RecordedResponse};
use base::Settled;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const MAX_BYTES: usize = 100;
const MAX_IDS: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Begin(u8),
    Settle(u8),
    Finish(u8, usize),
    Lose(u8),
    Refuse(u8),
}

/// Generator of steps. It has no state: the actual states depend on which ids the ledger starts, and are recorded with
/// the system under test.
#[derive(Debug, Clone, Default)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = Steps;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Steps> {
        Just(Steps).boxed()
    }

    fn transitions(_: &Steps) -> BoxedStrategy<Step> {
        let id = 0..10u8;
        prop_oneof![
            id.clone().prop_map(Step::Begin),
            id.clone().prop_map(Step::Settle),
            (id.clone(), 0..120usize).prop_map(|(id, n)| Step::Finish(id, n)),
            id.clone().prop_map(Step::Lose),
            id.prop_map(Step::Refuse),
        ]
        .boxed()
    }

    fn apply(state: Steps, _: &Step) -> Steps {
        state
    }
}

/// Actual state of an id that the ledger has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ActualState {
    Running,
    Ran,
    NeverRan,
}

struct Sut {
    ledger: Ledger,
    actual_states: BTreeMap<u8, ActualState>,
    starts: BTreeMap<u8, u32>,
    reported_sealed: BTreeSet<u8>,
}

struct LedgerTest;

/// Returns the id with a creation time equal to its number. Ids therefore reach the ledger in any order of creation.
fn request_id(id: u8) -> String {
    format!("{id:012x}{:020x}", 7)
}

fn recorded(len: usize) -> RecordedResponse {
    RecordedResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![0; len]),
    }
}

impl Sut {
    fn complete(&mut self, id: u8, actual: ActualState, complete: impl Fn(&Ledger, &str)) {
        if self.actual_states.get(&id) == Some(&ActualState::Running) {
            self.actual_states.insert(id, actual);
            complete(&self.ledger, &request_id(id));
        }
    }

    fn settle(&mut self, id: u8) {
        let (reported, response) = self.ledger.settle(&request_id(id));
        let actual = self.actual_states.get(&id);
        let is_consistent = match reported {
            Settled::Sealed => matches!(actual, None | Some(ActualState::NeverRan)),
            Settled::Running => actual == Some(&ActualState::Running),
            Settled::Done => actual == Some(&ActualState::Ran) && response.is_some(),
            // `Gone` is consistent with any state.
            Settled::Gone => true,
        };
        assert!(
            is_consistent,
            "id {id} is reported as {reported}, but is {actual:?}"
        );
        if reported == Settled::Sealed {
            self.reported_sealed.insert(id);
        }
    }
}

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Sut;
    type Reference = Steps;

    fn init_test(_: &Steps) -> Sut {
        Sut {
            ledger: Ledger::with_max_ids(MAX_BYTES, Duration::from_secs(3600), MAX_IDS),
            actual_states: BTreeMap::new(),
            starts: BTreeMap::new(),
            reported_sealed: BTreeSet::new(),
        }
    }

    fn apply(mut sut: Sut, _: &Steps, step: Step) -> Sut {
        match step {
            Step::Begin(id) if sut.ledger.begin(&request_id(id)) => {
                assert!(
                    !sut.reported_sealed.contains(&id),
                    "id {id} was reported as sealed"
                );
                sut.actual_states.insert(id, ActualState::Running);
                *sut.starts.entry(id).or_default() += 1;
            }
            Step::Begin(_) => {}
            Step::Settle(id) => sut.settle(id),
            Step::Finish(id, n) => sut.complete(id, ActualState::Ran, |l, id| {
                l.finish(id, Some(recorded(n)))
            }),
            Step::Lose(id) => sut.complete(id, ActualState::Ran, |l, id| l.finish(id, None)),
            Step::Refuse(id) => sut.complete(id, ActualState::NeverRan, Ledger::seal),
        }
        sut
    }

    fn check_invariants(sut: &Sut, _: &Steps) {
        assert!(sut.starts.values().all(|n| *n == 1), "{:?}", sut.starts);
        assert!(sut.ledger.stored_bytes() <= MAX_BYTES);
    }
}

prop_state_machine! {
    #![proptest_config(cases::cases(500))]

    #[test]
    fn starts_an_id_once_and_reports_its_actual_state(sequential 1..60 => LedgerTest);
}

#[test]
fn does_not_start_a_sealed_id() {
    let ledger = Ledger::new(MAX_BYTES, Duration::from_secs(60));
    assert_eq!(ledger.settle("a").0, Settled::Sealed);
    assert!(!ledger.begin("a"));
}

#[test]
fn does_not_report_an_evicted_id_as_not_run() {
    let ledger = Ledger::with_max_ids(MAX_BYTES, Duration::from_secs(60), 2);
    assert!(ledger.begin(&request_id(1)));
    ledger.finish(&request_id(1), None);
    assert!(ledger.begin(&request_id(2)) && ledger.begin(&request_id(3)));
    assert_eq!(ledger.settle(&request_id(1)).0, Settled::Gone);
    assert!(!ledger.begin(&request_id(1)), "an evicted id started again");
    assert_eq!(
        ledger.settle(&request_id(4)).0,
        Settled::Sealed,
        "a newer id can't have been evicted"
    );
}

#[test]
fn evicts_responses_after_the_retention_time() {
    let ledger = Ledger::new(MAX_BYTES, Duration::ZERO);
    assert!(ledger.begin("a"));
    ledger.finish("a", Some(recorded(10)));
    assert_eq!(ledger.settle("a").0, Settled::Gone);
    assert_eq!(ledger.stored_bytes(), 0);
}
