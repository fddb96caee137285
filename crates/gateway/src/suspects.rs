//! Requests under which upstreams ended, as this gateway knows them.
//!
//! [`decide::quarantine`] judges them. Whatever sends a request on asks here first, before it waits for a slot
//! and again as it has one: the first try, one after an answer was lost, and a stream that goes on elsewhere.
//! [`crate::suspect_updates`] tells other gateways.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, Set, UpstreamIncarnation};
use beacon::SuspectUpdate;
use decide::quarantine::{Decision, Isolation, Quarantine, UpstreamExit};
use log::info;
use rand::RngExt;
use tokio::sync::watch;

use crate::Cx;
use crate::announcements::DueSuspects;
use crate::announcements::PendingUpdates;
use crate::announcements::Scope;
use crate::announcements::case_from_update;
use crate::announcements::suspect_update;
use crate::refusal::Refusal;
use crate::request::RoutedRequest;
use crate::unconfirmed::{UnconfirmedExit, UnconfirmedExits};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "suspects";

/// When to come back with a request that is being tried elsewhere: most streams have ended by then.
const TRIED_RETRY: Duration = Duration::from_millis(1500);

/// How long such a request waits: a caller whose answer broke off may be back before the news of it. Anyone else
/// who sends the same meanwhile would wait for seconds, and is refused.
const TRIED_WAIT: Duration = Duration::from_millis(60);

/// Time after its start in which a gateway has learned what the store has of such requests, if it can. Until
/// then its requests wait for that, as they do for a configuration.
const LEARN_TIME: Duration = Duration::from_secs(1);

/// Time between two looks whether it's over.
const RECHECK: Duration = Duration::from_millis(5);

/// Longest time by which trials of the same request at several gateways are parted, so that the others hear
/// of the first.
const APART_TIME: Duration = Duration::from_millis(40);

/// Age of an end up to which other requests have yet to meet the upstream: its entry lapses within 4 s, and it
/// may be back after 2 s.
const JUST_ENDED: Duration = Duration::from_secs(1);

/// Time between the announcement of a trial and the trial: news takes 4 ms within a failure domain and up to
/// twice that and two ways between regions elsewhere.
const ANNOUNCE_TIME: Duration = Duration::from_millis(20);

/// All that is known of them.
#[derive(Debug)]
pub struct Suspects {
    quarantine: Mutex<Quarantine>,
    unconfirmed: UnconfirmedExits,
    /// What other gateways are to be told.
    pub(crate) pending: PendingUpdates,
    /// Told when a request is held back, or no more.
    changed: watch::Sender<()>,
    /// Requests that this gateway found are to be held back, and that aren't stored yet.
    own: Mutex<Set<Fingerprint>>,
    /// Whether what the store has of them is known.
    known: watch::Sender<bool>,
}

/// The run of a suspect; over when dropped.
#[derive(Debug)]
pub struct TrialGuard {
    suspects: Arc<Suspects>,
    request: Fingerprint,
    number: u32,
    upstream: SocketAddr,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut quarantine = self.suspects.quarantine();
        let was_under_way = quarantine.end_trial(&self.request, self.number, self.upstream);
        drop(quarantine);
        if was_under_way {
            self.suspects.pending.add(self.request, Scope::Everywhere);
        }
    }
}

impl Suspects {
    /// Nothing known yet; requests are held back for `hold_time` and longer.
    pub(crate) fn new(hold_time: Duration) -> Suspects {
        Suspects {
            quarantine: Mutex::new(Quarantine::new(hold_time)),
            unconfirmed: UnconfirmedExits::default(),
            pending: PendingUpdates::default(),
            changed: watch::Sender::new(()),
            own: Mutex::default(),
            known: watch::Sender::new(false),
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn verdict(&self, job: &RoutedRequest) -> Decision {
        let quarantine = self.quarantine();
        match quarantine.is_empty() {
            // Usually so; neither fingerprint nor time is asked for.
            true => Decision::Allow,
            false => quarantine.decide(&job.fingerprint(), clock::now()),
        }
    }

    /// Upstreams where suspects are being tried.
    pub(crate) fn active_trials(&self, now: Instant) -> Vec<SocketAddr> {
        self.quarantine().trial_upstreams(now)
    }

    /// Begins a trial where the request is a suspect; refused where it may not be tried now. It's announced
    /// first: of several that begin in one moment one goes on.
    pub(crate) async fn begin_trial(
        self: &Arc<Suspects>,
        job: &RoutedRequest,
        upstream: SocketAddr,
    ) -> Result<Option<TrialGuard>, Refusal> {
        if self.verdict(job) == Decision::Allow {
            return Ok(None);
        }
        let request = job.fingerprint();
        let begun = self
            .quarantine()
            .begin_trial(&request, upstream, clock::now());
        let Some(number) = begun else {
            return Err(refusal(self.verdict(job)));
        };
        let trial = TrialGuard {
            suspects: self.clone(),
            request,
            number,
            upstream,
        };
        self.pending.add(request, Scope::Everywhere);
        tokio::time::sleep(ANNOUNCE_TIME).await;
        let goes_on = self
            .quarantine()
            .is_current_trial(&request, number, upstream);
        match goes_on {
            true => Ok(Some(trial)),
            false => Err(refusal(self.verdict(job))),
        }
    }

    /// Notes that an answer was lost; whether its upstream ended may show later.
    pub(crate) fn record_lost_response(&self, job: &RoutedRequest, upstream: &Upstream) {
        self.unconfirmed.add(UnconfirmedExit {
            request: job.fingerprint(),
            upstream: upstream.addr,
            exit: end_of(upstream),
        });
    }

    /// Takes which upstreams live: those that aren't among them have ended, also under requests whose answer
    /// was lost before.
    pub fn confirm_exits(&self, lives: &Set<UpstreamIncarnation>) {
        for ended in self.unconfirmed.take_confirmed(lives, clock::now()) {
            self.note_end(ended.request, ended.upstream, ended.exit, "-", "-");
        }
    }

    /// Notes that an upstream ended while it had a request.
    pub(crate) fn record_exit(&self, job: &RoutedRequest, upstream: &Upstream) {
        let workspace = job.workspace.as_ref().map_or("-", |t| &t.workspace);
        let (request, end) = (job.fingerprint(), end_of(upstream));
        self.note_end(request, upstream.addr, end, &job.route.name, workspace);
    }

    fn note_end(
        &self,
        request: Fingerprint,
        upstream: SocketAddr,
        end: UpstreamExit,
        route: &str,
        workspace: &str,
    ) {
        let now = clock::now();
        let mut quarantine = self.quarantine();
        let is_news = quarantine.record_exit(request, upstream, end);
        let is_held = quarantine.is_quarantined(&request, now);
        let ends = quarantine.suspect(&request).map_or(0, |c| c.exits.len());
        drop(quarantine);
        if is_news {
            self.pending.add(request, Scope::Everywhere);
        }
        if is_held && is_news {
            info!(target: PART, "{PART}: event=held request={request} ends={ends} route={route} workspace={workspace}");
            metrics::counter!("driftnotch_held_total").increment(1);
            self.own().insert(request);
            self.changed.send_replace(());
        }
    }

    /// Notes that a request ran to its end.
    pub(crate) fn record_completion(&self, job: &RoutedRequest) {
        let now = clock::now();
        self.unconfirmed.forget(|| job.fingerprint());
        let mut quarantine = self.quarantine();
        if quarantine.is_empty() {
            return;
        }
        let request = job.fingerprint();
        if quarantine.record_completion(&request, now) {
            drop(quarantine);
            self.pending.add(request, Scope::Everywhere);
            self.changed.send_replace(());
        }
    }

    /// Clears a request that is held back, as an operator wants.
    pub fn clear(&self, request: &Fingerprint) {
        let now = clock::now();
        let mut quarantine = self.quarantine();
        let cleared =
            quarantine.is_quarantined(request, now) && quarantine.record_completion(request, now);
        drop(quarantine);
        if cleared {
            info!(target: PART, "{PART}: event=cleared request={request}");
            self.pending.add(*request, Scope::Everywhere);
            self.changed.send_replace(());
        }
    }

    /// Takes what another gateway tells; `scope` says whom what is news is passed on to, if anyone. Gives the
    /// lives of upstreams that ended just now, as far as that is news.
    pub fn receive(
        &self,
        notes: Vec<SuspectUpdate>,
        scope: Option<Scope>,
    ) -> Vec<UpstreamIncarnation> {
        let now = clock::now();
        let mut ended = Vec::new();
        for note in notes {
            let request = note.request;
            let lately = note.exits.iter().filter(|(_, ago)| *ago < JUST_ENDED);
            let lately: Vec<UpstreamIncarnation> = lately.map(|(life, _)| *life).collect();
            let mut quarantine = self.quarantine();
            let was_held = quarantine.is_quarantined(&request, now);
            let is_news = quarantine.merge(request, case_from_update(note, now));
            let is_held = quarantine.is_quarantined(&request, now);
            drop(quarantine);
            if is_news {
                ended.extend(lately);
            }
            if let Some(scope) = scope.filter(|_| is_news) {
                self.pending.add(request, scope);
            }
            if was_held != is_held {
                info!(target: PART, "{PART}: event=heard request={request} held={is_held}");
                self.changed.send_replace(());
            }
        }
        ended
    }

    /// What is to be told now, at most so many cases to other failure domains; and when more is.
    pub(crate) fn due(&self, now: Instant, most_far: usize) -> (DueSuspects, Option<Instant>) {
        let mut quarantine = self.quarantine();
        quarantine.expire(now);
        self.pending.due(&quarantine, now, most_far)
    }

    /// All that something is held against, the gravest first, at most so many.
    pub(crate) fn most_severe(&self, most: usize) -> Vec<SuspectUpdate> {
        let now = clock::now();
        let quarantine = self.quarantine();
        let gravest = quarantine.most_severe().into_iter().take(most);
        gravest
            .map(|(r, case)| suspect_update(r, case, now))
            .collect()
    }

    /// Told when a request is held back, or no more.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Requests that are held back now.
    pub fn quarantined(&self) -> Vec<SuspectUpdate> {
        let now = clock::now();
        let quarantine = self.quarantine();
        let gravest = quarantine.most_severe().into_iter();
        let held = gravest.filter(|(r, _)| quarantine.is_quarantined(r, now));
        held.map(|(r, case)| suspect_update(r, case, now)).collect()
    }

    fn own(&self) -> MutexGuard<'_, Set<Fingerprint>> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this gateway found that a request is to be held back, and hasn't stored it.
    pub fn is_store_pending(&self, request: &Fingerprint) -> bool {
        self.own().contains(request)
    }

    /// Notes that such a request is stored.
    pub fn mark_stored(&self, request: &Fingerprint) {
        self.own().remove(request);
    }

    /// Notes that what the store has of such requests is known.
    pub fn mark_loaded(&self) {
        self.known.send_replace(true);
    }

    /// Waits until that is known, while the gateway has just started.
    async fn wait_known(&self, cx: &Cx) {
        if *self.known.borrow() {
            return;
        }
        let known_by = cx.started + LEARN_TIME.max(cx.cfg.start_wait);
        let until = known_by.min(clock::now() + cx.cfg.start_wait);
        let mut known = self.known.subscribe();
        let learned = known.wait_for(|known| *known);
        // What isn't known by then is learned from what happens.
        let _ = clock::timeout_at(until, learned).await;
    }

    /// How many requests something is held against, and how many of them are held back.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let now = clock::now();
        let quarantine = self.quarantine();
        let open = quarantine.suspects();
        let held = open.filter(|(r, _)| quarantine.is_quarantined(r, now));
        (quarantine.suspects().count(), held.count())
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.quarantine().is_empty()
    }
}

/// Waits until a request may be sent on; with which care, where upstreams ended under it.
pub(crate) async fn wait_until_permitted(
    cx: &Cx,
    job: &RoutedRequest,
) -> Result<Option<Isolation>, Refusal> {
    cx.suspects.wait_known(cx).await;
    if cx.suspects.is_empty() {
        return Ok(None);
    }
    let patience = (clock::now() + TRIED_WAIT).min(job.deadline);
    loop {
        let now = clock::now();
        match cx.suspects.verdict(job) {
            Decision::Allow => return Ok(None),
            Decision::Trial(care) => return Ok(Some(care)),
            Decision::WaitUntil(at) if at < job.deadline => {
                let apart = APART_TIME.mul_f64(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(at.saturating_duration_since(now) + apart).await;
            }
            Decision::InTrial if now < patience => tokio::time::sleep(RECHECK).await,
            verdict => return Err(refusal(verdict)),
        }
    }
}

/// The answer to a request that may not be sent on now.
fn refusal(verdict: Decision) -> Refusal {
    match verdict {
        Decision::Quarantined(_) => Refusal::Quarantined,
        _ => Refusal::Suspect(TRIED_RETRY),
    }
}

fn end_of(upstream: &Upstream) -> UpstreamExit {
    UpstreamExit {
        incarnation: upstream.incarnation,
        at: clock::now(),
    }
}
