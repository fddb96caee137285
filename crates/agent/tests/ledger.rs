//! The ledger of unsafe requests against an oracle: an id starts at most once, and what was said
//! not to have run never starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agent::ledger::{Ledger, RecordedResponse};
use base::Settled;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const MEMORY: usize = 100;
const IDS: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Begin(u8),
    Settle(u8),
    Finish(u8, usize),
    Lose(u8),
    Refuse(u8),
}

/// The steps are all there is to choose; what truly happened follows from what the ledger let
/// start, and is kept beside it.
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

/// What truly happened to an id that was let start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Truth {
    Running,
    Ran,
    NeverRan,
}

struct Sut {
    ledger: Ledger,
    truths: BTreeMap<u8, Truth>,
    starts: BTreeMap<u8, u32>,
    told_sealed: BTreeSet<u8>,
}

struct LedgerTest;

/// Ids are made in no order: their times are their numbers.
fn name(id: u8) -> String {
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
    fn end(&mut self, id: u8, truth: Truth, end: impl Fn(&Ledger, &str)) {
        if self.truths.get(&id) == Some(&Truth::Running) {
            self.truths.insert(id, truth);
            end(&self.ledger, &name(id));
        }
    }

    fn settle(&mut self, id: u8) {
        let (said, answer) = self.ledger.settle(&name(id));
        let truth = self.truths.get(&id);
        let truthful = match said {
            Settled::Sealed => matches!(truth, None | Some(Truth::NeverRan)),
            Settled::Running => truth == Some(&Truth::Running),
            Settled::Done => truth == Some(&Truth::Ran) && answer.is_some(),
            // Gone claims nothing.
            Settled::Gone => true,
        };
        assert!(truthful, "said {said} of {id}, which is {truth:?}");
        if said == Settled::Sealed {
            self.told_sealed.insert(id);
        }
    }
}

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Sut;
    type Reference = Steps;

    fn init_test(_: &Steps) -> Sut {
        Sut {
            ledger: Ledger::with_max_ids(MEMORY, Duration::from_secs(3600), IDS),
            truths: BTreeMap::new(),
            starts: BTreeMap::new(),
            told_sealed: BTreeSet::new(),
        }
    }

    fn apply(mut sut: Sut, _: &Steps, step: Step) -> Sut {
        match step {
            Step::Begin(id) if sut.ledger.begin(&name(id)) => {
                assert!(!sut.told_sealed.contains(&id), "{id} was said never to run");
                sut.truths.insert(id, Truth::Running);
                *sut.starts.entry(id).or_default() += 1;
            }
            Step::Begin(_) => {}
            Step::Settle(id) => sut.settle(id),
            Step::Finish(id, n) => sut.end(id, Truth::Ran, |l, id| l.finish(id, Some(recorded(n)))),
            Step::Lose(id) => sut.end(id, Truth::Ran, |l, id| l.finish(id, None)),
            Step::Refuse(id) => sut.end(id, Truth::NeverRan, Ledger::seal),
        }
        sut
    }

    fn check_invariants(sut: &Sut, _: &Steps) {
        assert!(sut.starts.values().all(|n| *n == 1), "{:?}", sut.starts);
        assert!(sut.ledger.stored_bytes() <= MEMORY);
    }
}

prop_state_machine! {
    #![proptest_config(cases::cases(500))]

    #[test]
    fn an_id_starts_once_and_its_state_is_told_truthfully(sequential 1..60 => LedgerTest);
}

#[test]
fn a_sealed_id_never_starts() {
    let ledger = Ledger::new(MEMORY, Duration::from_secs(60));
    assert_eq!(ledger.settle("a").0, Settled::Sealed);
    assert!(!ledger.begin("a"));
}

#[test]
fn once_ids_had_to_be_forgotten_an_unknown_one_is_not_said_not_to_have_run() {
    let ledger = Ledger::with_max_ids(MEMORY, Duration::from_secs(60), 2);
    assert!(ledger.begin(&name(1)));
    ledger.finish(&name(1), None);
    assert!(ledger.begin(&name(2)) && ledger.begin(&name(3)));
    assert_eq!(ledger.settle(&name(1)).0, Settled::Gone);
    assert!(!ledger.begin(&name(1)), "nor does it start again");
    assert_eq!(
        ledger.settle(&name(4)).0,
        Settled::Sealed,
        "a later id was never here"
    );
}

#[test]
fn an_answer_past_its_retention_is_gone() {
    let ledger = Ledger::new(MEMORY, Duration::ZERO);
    assert!(ledger.begin("a"));
    ledger.finish("a", Some(recorded(10)));
    assert_eq!(ledger.settle("a").0, Settled::Gone);
    assert_eq!(ledger.stored_bytes(), 0);
}
