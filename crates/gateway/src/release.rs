//! Versions of weights that were released, and until when older ones may begin requests.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Model};
use catalog::{FIRST_VERSION, Release, ReleaseList, WeightsVersion};
use tokio::sync::watch;

/// Part of the bound left unused: a request may wait at an engine before it begins, and on a narrow
/// link it may reach the engine a second after it was sent, or even taken back.
const MARGIN: Duration = Duration::from_millis(1500);

/// Part of [`MARGIN`] after which a request that was sent and hasn't begun is taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(900);

/// A version, and until when older ones may begin requests.
#[derive(Debug, Clone, Copy)]
struct Until {
    version: WeightsVersion,
    until: Instant,
}

/// Releases by model.
#[derive(Debug)]
pub struct Releases {
    newest: watch::Sender<ReleaseList>,
    version_time: Duration,
    contact_time: Duration,
    first: Mutex<bool>,
    releases: Mutex<Map<Model, Vec<Until>>>,
}

impl Releases {
    /// No releases. Older versions may begin requests for `version_time` after a release; of one
    /// found at the start of the process it isn't known when it was made, so only for
    /// `contact_time`, from when on the process is held to its bounds.
    pub fn new(version_time: Duration, contact_time: Duration) -> Releases {
        let (newest, _) = watch::channel(ReleaseList::default());
        Releases {
            newest,
            version_time,
            contact_time,
            first: Mutex::new(true),
            releases: Mutex::default(),
        }
    }

    /// Takes what the platform's store says of releases. A higher version that is known already stays, see
    /// [`ReleaseList::merge`].
    pub fn apply(&self, list: ReleaseList, now: Instant) {
        let mut first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        let bound = match std::mem::take(&mut *first) {
            true => self.contact_time.min(self.version_time),
            false => self.version_time,
        };
        drop(first);
        self.add(&list, now + bound.saturating_sub(MARGIN));
    }

    /// Takes a version that an engine holds, as its loader tells: it was released before, also where the store
    /// doesn't say so any more. It isn't known when.
    pub fn observe(&self, model: &Model, version: WeightsVersion, now: Instant) {
        if version <= FIRST_VERSION || self.newest.borrow().version(model) >= Some(version) {
            return;
        }
        let model = model.clone();
        let list = ReleaseList {
            revision: 0,
            releases: vec![Release { model, version }],
        };
        let bound = self.contact_time.min(self.version_time);
        self.add(&list, now + bound.saturating_sub(MARGIN));
    }

    fn add(&self, list: &ReleaseList, until: Instant) {
        let mut releases = self.releases.lock().unwrap_or_else(PoisonError::into_inner);
        for Release { model, version } in &list.releases {
            let known = releases.entry(model.clone()).or_default();
            if known.last().is_none_or(|r| r.version < *version) {
                let version = *version;
                known.push(Until { version, until });
            }
        }
        drop(releases);
        self.newest.send_if_modified(|newest| newest.merge(list));
    }

    /// The newest releases, where another process knows less.
    pub fn newer_than(&self, known: &[Release]) -> Option<ReleaseList> {
        let newest = self.newest.borrow();
        newest.is_ahead_of(known).then(|| newest.clone())
    }

    /// Told of the newest releases.
    pub fn newest(&self) -> watch::Receiver<ReleaseList> {
        self.newest.subscribe()
    }

    /// Until when a version may begin requests; `None` where no newer one was released.
    pub fn may_begin_until(&self, model: &Model, version: WeightsVersion) -> Option<Instant> {
        let releases = self.releases.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = releases.get(model)?.iter().find(|r| r.version > version)?;
        Some(newer.until + BEGIN_MARGIN)
    }

    /// Oldest version that may begin requests now.
    pub fn oldest_allowed(&self, model: &Model, now: Instant) -> WeightsVersion {
        let releases = self.releases.lock().unwrap_or_else(PoisonError::into_inner);
        let due = |r: &&Until| r.until <= now;
        let newest_due = releases
            .get(model)
            .and_then(|all| all.iter().rev().find(due));
        newest_due.map_or(0, |r| r.version)
    }
}
