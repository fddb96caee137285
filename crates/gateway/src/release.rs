//! Released versions of weights, and the time until which older versions may begin requests.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Model};
use catalog::{FIRST_VERSION, Release, ReleaseList, WeightsVersion};
use decide::rollout::GATEWAY_MARGIN;
use tokio::sync::watch;

/// Part of [`GATEWAY_MARGIN`] after which a request that was sent and hasn't begun is cancelled.
const BEGIN_MARGIN: Duration = Duration::from_millis(900);

/// A released version, and the time until which older versions may begin requests.
#[derive(Debug, Clone, Copy)]
struct Deadline {
    version: WeightsVersion,
    until: Instant,
}

/// Releases by model.
#[derive(Debug)]
pub struct Releases {
    newest: watch::Sender<ReleaseList>,
    version_time: Duration,
    contact_time: Duration,
    /// Whether the next list from the store is the first one.
    is_first_list: Mutex<bool>,
    releases: Mutex<Map<Model, Vec<Deadline>>>,
}

impl Releases {
    /// Creates an empty collection. Older versions may begin requests for `version_time` after a release. The time
    /// of a release that is found at the start of the process is unknown, so its bound is `contact_time`, from
    /// which on the process has to keep its bounds.
    pub fn new(version_time: Duration, contact_time: Duration) -> Releases {
        let (newest, _) = watch::channel(ReleaseList::default());
        Releases {
            newest,
            version_time,
            contact_time,
            is_first_list: Mutex::new(true),
            releases: Mutex::default(),
        }
    }

    /// Applies the releases in the platform's store. A higher version that is already known stays, see
    /// [`ReleaseList::merge`].
    pub fn apply(&self, list: ReleaseList, now: Instant) {
        let mut is_first_list = self
            .is_first_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let bound = match std::mem::take(&mut *is_first_list) {
            true => self.contact_time.min(self.version_time),
            false => self.version_time,
        };
        drop(is_first_list);
        self.add(&list, now + bound.saturating_sub(GATEWAY_MARGIN));
    }

    /// Records releases that another process has verified. They were made at an unknown time, even where the operators'
    /// rows don't name them any more.
    pub fn observe(&self, verified: &[Release], now: Instant) {
        let is_release = |r: &&Release| r.version > FIRST_VERSION;
        let list = ReleaseList {
            revision: 0,
            releases: verified.iter().filter(is_release).cloned().collect(),
        };
        let is_new = list.is_ahead_of(&self.newest.borrow().releases);
        if is_new {
            let bound = self.contact_time.min(self.version_time);
            self.add(&list, now + bound.saturating_sub(GATEWAY_MARGIN));
        }
    }

    fn add(&self, list: &ReleaseList, until: Instant) {
        let mut releases = self.releases.lock().unwrap_or_else(PoisonError::into_inner);
        for Release { model, version } in &list.releases {
            let known = releases.entry(model.clone()).or_default();
            if known.last().is_none_or(|r| r.version < *version) {
                let version = *version;
                known.push(Deadline { version, until });
            }
        }
        drop(releases);
        self.newest.send_if_modified(|newest| newest.merge(list));
    }

    /// Returns the newest releases where they are ahead of those that another process knows.
    pub fn newer_than(&self, known: &[Release]) -> Option<ReleaseList> {
        let newest = self.newest.borrow();
        newest.is_ahead_of(known).then(|| newest.clone())
    }

    /// Subscribes to the newest releases.
    pub fn newest(&self) -> watch::Receiver<ReleaseList> {
        self.newest.subscribe()
    }

    /// Returns the time until which a version may begin requests; `None` where no newer one was released.
    pub fn may_begin_until(&self, model: &Model, version: WeightsVersion) -> Option<Instant> {
        let releases = self.releases.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = releases.get(model)?.iter().find(|r| r.version > version)?;
        Some(newer.until + BEGIN_MARGIN)
    }

    /// Returns the oldest version that may begin requests now.
    pub fn oldest_allowed(&self, model: &Model, now: Instant) -> WeightsVersion {
        let releases = self.releases.lock().unwrap_or_else(PoisonError::into_inner);
        let due = |r: &&Deadline| r.until <= now;
        let newest_due = releases
            .get(model)
            .and_then(|all| all.iter().rev().find(due));
        newest_due.map_or(0, |r| r.version)
    }
}
