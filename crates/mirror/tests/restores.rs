//! Replicas of a store that is restored from backups, with responses and announcements that arrive late, twice or never.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::StoreRevision;
use bytes::Bytes;
use mirror::Mirror;
use proptest::collection::vec;
use proptest::prelude::*;

const NAME: &str = "configuration";

/// Number of processes.
const REPLICAS: usize = 3;

/// A step of a run. Indexes are taken modulo what there is.
#[derive(Debug, Clone)]
enum Step {
    /// The store accepts a change.
    Write,
    /// The store is backed up.
    BackUp,
    /// The store is restored from a backup.
    Restore(usize),
    /// A process requests the document from the store.
    Read(usize),
    /// A process requests the document from another one.
    Fetch(usize, usize),
    /// A response or confirmation arrives; any may arrive again.
    Deliver(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Write),
        1 => Just(Step::BackUp),
        1 => any::<usize>().prop_map(Step::Restore),
        3 => any::<usize>().prop_map(Step::Read),
        3 => any::<(usize, usize)>().prop_map(|(to, from)| Step::Fetch(to, from)),
        6 => any::<usize>().prop_map(Step::Deliver),
    ]
}

/// A document as the store or a process sent it.
#[derive(Debug, Clone)]
struct Response {
    to: usize,
    revision: StoreRevision,
    body: Bytes,
    confirmed: Instant,
}

/// A store, processes, and the responses in transit.
struct Run {
    current: (StoreRevision, Bytes),
    backups: Vec<(u64, Bytes)>,
    /// Bodies by the revision that the store assigned to them.
    assigned: BTreeMap<StoreRevision, Bytes>,
    replicas: Vec<Mirror>,
    in_transit: Vec<Response>,
    writes: u64,
    start: Instant,
}

impl Run {
    fn new() -> Run {
        let mut run = Run {
            current: (StoreRevision::new(Some(0), 0), Bytes::new()),
            backups: Vec::new(),
            assigned: BTreeMap::new(),
            replicas: (0..REPLICAS).map(|_| Mirror::default()).collect(),
            in_transit: Vec::new(),
            writes: 0,
            start: Instant::now(),
        };
        run.write();
        run
    }

    /// Returns the time of a step: one second later than that of the step before.
    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.writes + self.in_transit.len() as u64)
    }

    fn write(&mut self) {
        self.writes += 1;
        let revision = &mut self.current.0;
        revision.number += 1;
        self.current.1 = Bytes::from(self.writes.to_string());
        self.assigned.insert(self.current.0, self.current.1.clone());
    }

    fn restore(&mut self, backup: usize) {
        if self.backups.is_empty() {
            return;
        }
        let (number, body) = self.backups[backup % self.backups.len()].clone();
        let era = self.current.0.era.map(|era| era + 1);
        self.current = (StoreRevision::new(era, number), body.clone());
        self.assigned.insert(self.current.0, body);
    }

    fn read(&mut self, to: usize) {
        let (revision, body) = self.current.clone();
        let response = Response {
            to: to % REPLICAS,
            revision,
            body,
            confirmed: self.now(),
        };
        self.in_transit.push(response);
    }

    fn fetch(&mut self, to: usize, from: usize) {
        if let Some(replica) = self.replicas[from % REPLICAS].get(NAME) {
            self.in_transit.push(Response {
                to: to % REPLICAS,
                revision: replica.revision,
                body: replica.body,
                confirmed: replica.confirmed,
            });
        }
    }

    fn deliver(&mut self, n: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let response = self.in_transit[n % self.in_transit.len()].clone();
        let replica = &self.replicas[response.to];
        replica.update(NAME, response.revision, response.body, response.confirmed);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write => self.write(),
            Step::BackUp => self
                .backups
                .push((self.current.0.number, self.current.1.clone())),
            Step::Restore(backup) => self.restore(backup),
            Step::Read(to) => self.read(to),
            Step::Fetch(to, from) => self.fetch(to, from),
            Step::Deliver(n) => self.deliver(n),
        }
    }

    /// Returns the revisions that the processes hold.
    fn held(&self) -> Vec<StoreRevision> {
        self.replicas.iter().map(|r| r.revision(NAME)).collect()
    }
}

proptest! {
    #![proptest_config(cases::cases(512))]

    #[test]
    fn replicas_never_go_back_and_agree_once_the_store_is_read(steps in vec(step(), 1..120)) {
        let mut run = Run::new();
        for step in steps {
            let before = run.held();

            run.apply(step);

            for (before, after) in before.iter().zip(run.held()) {
                prop_assert!(*before <= after, "{before} then {after}");
            }
            for replica in run.replicas.iter().filter_map(|r| r.get(NAME)) {
                prop_assert_eq!(run.assigned.get(&replica.revision), Some(&replica.body));
            }
        }
        for n in 0..REPLICAS {
            run.read(n);
            run.deliver(run.in_transit.len() - 1);
        }
        for replica in &run.replicas {
            let replica = replica.get(NAME).expect("a replica");
            prop_assert_eq!((replica.revision, replica.body), run.current.clone());
        }
    }
}
