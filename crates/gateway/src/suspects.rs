//! Suspects: requests during which upstreams exited, as known to this gateway.
//!
//! [`decide::quarantine`] decides about them. Each attempt is checked here before it waits for a slot and again when
//! it has one: a first attempt, a retry after a lost response, and a stream that is resumed at another upstream.
//! `crate::suspect_updates` sends updates to other gateways.
//!
//! A part of a prompt that is blamed for exits is quarantined like a request, by its own fingerprint, and with it all
//! requests that have it. `crate::prompt_parts` has the evidence.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, Set, UpstreamIncarnation};
use beacon::{PartUpdate, SuspectUpdate};
use decide::part_evidence::{BlamedPart, LostRun};
use decide::quarantine::{
    Decision, Isolation, QUARANTINE_THRESHOLD, Quarantine, SuspectState, UpstreamExit,
};
use log::info;
use rand::RngExt;
use tokio::sync::watch;

use crate::Cx;
use crate::activity::Activity;
use crate::announcements::{
    DueSuspects, PendingUpdates, Scope, suspect_from_update, suspect_update,
};
use crate::prompt_parts::PromptParts;
use crate::refusal::Refusal;
use crate::request::{PromptPart, RoutedRequest};
use crate::unconfirmed::{UnconfirmedExit, UnconfirmedExits};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "suspects";

/// Retry delay for a request that is on trial elsewhere: most streams have completed by then.
const ON_TRIAL_RETRY: Duration = Duration::from_millis(1500);

/// Maximum wait of a request that is on trial elsewhere: a caller whose response broke off may retry before the
/// update about that arrives. Another caller of the same request would wait for seconds, and is refused.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(60);

/// Time after its start within which a gateway has loaded the stored suspects, if it can. Until then requests wait
/// for them, as they do for a configuration.
const STORE_LOAD_TIME: Duration = Duration::from_secs(1);

/// Time between two checks whether the trial is over.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum random delay that staggers trials of the same request at several gateways, so that the others receive the
/// update of the first.
const MAX_STAGGER: Duration = Duration::from_millis(40);

/// Age up to which an exit may still affect other requests: the entry of the upstream expires within 4 s, and the
/// upstream may have recovered after 2 s.
const RECENT_EXIT: Duration = Duration::from_secs(1);

/// Time between the announcement of a trial and its start: an update takes 4 ms within a failure domain, and up to
/// twice that plus two one-way trips between regions elsewhere.
const ANNOUNCE_TIME: Duration = Duration::from_millis(20);

/// Suspects known to this gateway.
#[derive(Debug)]
pub struct Suspects {
    quarantine: Mutex<Quarantine>,
    unconfirmed: UnconfirmedExits,
    /// Evidence on parts of prompts.
    pub(crate) parts: PromptParts,
    /// Pending updates to other gateways.
    pub(crate) pending: PendingUpdates,
    /// Notifies of changes of the quarantined requests.
    changed: watch::Sender<()>,
    /// Requests that this gateway has quarantined and that aren't stored yet.
    unstored: Mutex<Set<Fingerprint>>,
    /// Whether the stored suspects were loaded.
    store_loaded: watch::Sender<bool>,
}

/// Run of a request whose response was lost.
#[derive(Debug)]
pub(crate) struct LostResponse {
    /// Fingerprint of the request.
    pub(crate) request: Fingerprint,
    /// Fingerprints of the shared parts of its prompt.
    parts: Vec<Fingerprint>,
    /// Ids of these parts.
    part_ids: Vec<PromptPart>,
    route: String,
    workspace: Option<String>,
    /// When it was sent to the upstream.
    started: Instant,
}

impl LostResponse {
    /// Returns the run of an attempt.
    pub(crate) fn of(req: &RoutedRequest, activity: &Activity) -> LostResponse {
        LostResponse {
            request: req.fingerprint(),
            parts: req.part_fingerprints(),
            part_ids: req.metadata.shared_parts.clone(),
            route: req.route.name.clone(),
            workspace: req.workspace.as_ref().map(|w| w.workspace.clone()),
            started: activity.started().unwrap_or_else(clock::now),
        }
    }

    fn workspace(&self) -> &str {
        self.workspace.as_deref().unwrap_or("-")
    }

    fn part_id(&self, part: &Fingerprint) -> &str {
        let i = self.parts.iter().position(|p| p == part);
        i.and_then(|i| self.part_ids.get(i)).map_or("-", |id| id)
    }
}

/// Trial of a suspect, which ends when this is dropped.
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
        let was_current = quarantine.end_trial(&self.request, self.number, self.upstream);
        drop(quarantine);
        if was_current {
            self.suspects.pending.add(self.request, Scope::Everywhere);
        }
    }
}

impl Suspects {
    /// Creates an empty collection; requests are quarantined for `hold_time` and longer.
    pub(crate) fn new(hold_time: Duration) -> Suspects {
        Suspects {
            quarantine: Mutex::new(Quarantine::new(hold_time)),
            unconfirmed: UnconfirmedExits::default(),
            parts: PromptParts::new(hold_time),
            pending: PendingUpdates::default(),
            changed: watch::Sender::new(()),
            unstored: Mutex::default(),
            store_loaded: watch::Sender::new(false),
        }
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn decision(&self, req: &RoutedRequest) -> Decision {
        self.strictest(req)
            .map_or(Decision::Allow, |(_, decision)| decision)
    }

    /// Returns the strictest decision on a request and the quarantined parts of its prompt, and what it is about; `None`
    /// if nothing is known of them.
    fn strictest(&self, req: &RoutedRequest) -> Option<(Fingerprint, Decision)> {
        let quarantine = self.quarantine();
        if quarantine.is_empty() {
            // The usual case, which needs neither the fingerprints nor the time.
            return None;
        }
        let now = clock::now();
        let parts = req.part_fingerprints();
        let blamed = parts
            .iter()
            .filter(|part| is_blamed(&quarantine, part))
            .filter(|part| !self.parts.is_doubtful(part, &parts));
        let subjects = blamed.copied().chain([req.fingerprint()]);
        let decisions = subjects.map(|subject| (subject, quarantine.decide(&subject, now)));
        decisions.max_by_key(|(_, decision)| *decision)
    }

    /// Returns the upstreams where suspects are on trial.
    pub(crate) fn active_trials(&self, now: Instant) -> Vec<SocketAddr> {
        self.quarantine().trial_upstreams(now)
    }

    /// Begins a trial where the request is a suspect; refuses it where it may not be tried now. The trial is
    /// announced before it starts: of several that begin at the same time only one proceeds.
    pub(crate) async fn begin_trial(
        self: &Arc<Suspects>,
        req: &RoutedRequest,
        upstream: SocketAddr,
    ) -> Result<Option<TrialGuard>, Refusal> {
        let request = match self.strictest(req) {
            None | Some((_, Decision::Allow)) => return Ok(None),
            Some((subject, _)) => subject,
        };
        let trial = self
            .quarantine()
            .begin_trial(&request, upstream, clock::now());
        let Some(number) = trial else {
            return Err(refusal(self.decision(req)));
        };
        let trial = TrialGuard {
            suspects: self.clone(),
            request,
            number,
            upstream,
        };
        self.pending.add(request, Scope::Everywhere);
        tokio::time::sleep(ANNOUNCE_TIME).await;
        let is_current = self
            .quarantine()
            .is_current_trial(&request, number, upstream);
        match is_current {
            true => Ok(Some(trial)),
            false => Err(refusal(self.decision(req))),
        }
    }

    /// Records that a response was lost; whether its upstream exited may become known later.
    pub(crate) fn record_lost_response(&self, run: LostResponse, upstream: &Upstream) {
        self.unconfirmed.add(UnconfirmedExit {
            run,
            upstream: upstream.addr,
            exit: exit_of(upstream),
        });
    }

    /// Records the exits of upstreams that aren't among the listed incarnations, for requests whose responses were
    /// lost there.
    pub fn confirm_exits(&self, listed: &Set<UpstreamIncarnation>) {
        for unconfirmed in self.unconfirmed.take_confirmed(listed, clock::now()) {
            self.add_lost_run(&unconfirmed.run, unconfirmed.upstream, unconfirmed.exit);
        }
    }

    /// Records that an upstream exited while it ran a request.
    pub(crate) fn record_exit(&self, run: &LostResponse, upstream: &Upstream) {
        self.add_lost_run(run, upstream.addr, exit_of(upstream));
    }

    /// Adds an exit to the request, unless parts of its prompt are blamed: then to those that were known to be when it
    /// was sent.
    fn add_lost_run(&self, run: &LostResponse, upstream: SocketAddr, exit: UpstreamExit) {
        let blamed = self.blamed_parts(&run.parts);
        if blamed.is_empty() {
            self.add_exit(run.request, upstream, exit, run);
        }
        for (part, last_exit) in blamed {
            if run.started >= last_exit {
                self.add_exit(part, upstream, exit, run);
            }
        }
        let lost = LostRun {
            request: run.request,
            incarnation: exit.incarnation,
            started: run.started,
            ended: exit.at,
            parts: run.parts.clone(),
        };
        for blamed in self.parts.record_lost(lost) {
            let id = run.part_id(&blamed.part);
            info!(target: PART, "{PART}: event=held request={} part={id} ends={} route={} workspace={}", blamed.part, blamed.exits.len(), run.route, run.workspace());
            metrics::counter!("driftnotch_held_total").increment(1);
            self.unstored().insert(blamed.part);
            self.quarantine_part(blamed);
        }
    }

    /// Returns those of these parts that are blamed, each with the time of its last exit.
    fn blamed_parts(&self, parts: &[Fingerprint]) -> Vec<(Fingerprint, Instant)> {
        let quarantine = self.quarantine();
        let blamed = parts.iter().filter(|part| is_blamed(&quarantine, part));
        let with_last_exit = blamed.filter_map(|part| {
            let last = quarantine.suspect(part)?.exits.last()?;
            Some((*part, last.at))
        });
        with_last_exit.collect()
    }

    fn quarantine_part(&self, blamed: BlamedPart) {
        let state = SuspectState {
            exits: blamed.exits,
            ..SuspectState::default()
        };
        if self.quarantine().merge(blamed.part, state) {
            self.pending.add(blamed.part, Scope::Everywhere);
            self.changed.send_replace(());
        }
    }

    /// Applies another gateway's evidence on parts of prompts, and relays what is new to `relay_to`.
    pub(crate) fn receive_parts(&self, updates: Vec<PartUpdate>, relay_to: Option<Scope>) {
        let now = clock::now();
        let changes = self.parts.receive(updates, relay_to, now);
        for blamed in changes.blamed {
            info!(target: PART, "{PART}: event=heard request={} held=true", blamed.part);
            self.quarantine_part(blamed);
        }
        for (part, at) in changes.cleared {
            self.record_subject_completion(&part, at);
        }
    }

    fn add_exit(
        &self,
        request: Fingerprint,
        upstream: SocketAddr,
        exit: UpstreamExit,
        run: &LostResponse,
    ) {
        let now = clock::now();
        let mut quarantine = self.quarantine();
        let is_new = quarantine.record_exit(request, upstream, exit);
        let is_quarantined = quarantine.is_quarantined(&request, now);
        let exits = quarantine.suspect(&request).map_or(0, |s| s.exits.len());
        drop(quarantine);
        if is_new {
            self.pending.add(request, Scope::Everywhere);
        }
        if is_quarantined && is_new {
            info!(target: PART, "{PART}: event=held request={request} part={} ends={exits} route={} workspace={}", run.part_id(&request), run.route, run.workspace());
            metrics::counter!("driftnotch_held_total").increment(1);
            self.unstored().insert(request);
            self.changed.send_replace(());
        }
    }

    /// Records that a request ran to completion.
    pub(crate) fn record_completion(&self, req: &RoutedRequest) {
        let now = clock::now();
        self.unconfirmed.forget(|| req.fingerprint());
        if self.is_empty() && self.parts.is_empty() {
            return;
        }
        let parts = req.part_fingerprints();
        self.parts.record_completion(&parts, now);
        for subject in parts.iter().chain([&req.fingerprint()]) {
            self.record_subject_completion(subject, now);
        }
    }

    /// Records that a request, or a part of its prompt, ran to completion.
    fn record_subject_completion(&self, subject: &Fingerprint, at: Instant) {
        let mut quarantine = self.quarantine();
        if quarantine.record_completion(subject, at) {
            drop(quarantine);
            self.pending.add(*subject, Scope::Everywhere);
            self.changed.send_replace(());
        }
    }

    /// Clears a quarantined request, as requested by an operator.
    pub fn clear(&self, request: &Fingerprint) {
        let now = clock::now();
        let mut quarantine = self.quarantine();
        let is_cleared =
            quarantine.is_quarantined(request, now) && quarantine.record_completion(request, now);
        drop(quarantine);
        if is_cleared {
            self.parts.clear(request, now);
            info!(target: PART, "{PART}: event=cleared request={request}");
            self.pending.add(*request, Scope::Everywhere);
            self.changed.send_replace(());
        }
    }

    /// Applies updates of another gateway, and relays those that are new to `relay_to`. Returns the incarnations of
    /// upstreams that exited within `RECENT_EXIT`, where that is new.
    pub fn receive(
        &self,
        updates: Vec<SuspectUpdate>,
        relay_to: Option<Scope>,
    ) -> Vec<UpstreamIncarnation> {
        let now = clock::now();
        let mut exited = Vec::new();
        for update in updates {
            let request = update.request;
            let recent = update.exits.iter().filter(|(_, ago)| *ago < RECENT_EXIT);
            let recent: Vec<UpstreamIncarnation> =
                recent.map(|(incarnation, _)| *incarnation).collect();
            let mut quarantine = self.quarantine();
            let was_quarantined = quarantine.is_quarantined(&request, now);
            let is_new = quarantine.merge(request, suspect_from_update(update, now));
            let is_quarantined = quarantine.is_quarantined(&request, now);
            drop(quarantine);
            if is_new {
                exited.extend(recent);
            }
            if let Some(scope) = relay_to.filter(|_| is_new) {
                self.pending.add(request, scope);
            }
            if was_quarantined && !is_quarantined {
                self.parts.clear(&request, now);
            }
            if was_quarantined != is_quarantined {
                info!(target: PART, "{PART}: event=heard request={request} held={is_quarantined}");
                self.changed.send_replace(());
            }
        }
        exited
    }

    /// Returns the updates that are due, with at most `max_far` for other failure domains, and when the next ones are
    /// due.
    pub(crate) fn due(&self, now: Instant, max_far: usize) -> (DueSuspects, Option<Instant>) {
        let mut quarantine = self.quarantine();
        quarantine.expire(now);
        self.pending.due(&quarantine, now, max_far)
    }

    /// Returns up to `max` suspects, the most severe first.
    pub(crate) fn most_severe(&self, max: usize) -> Vec<SuspectUpdate> {
        let now = clock::now();
        let quarantine = self.quarantine();
        let suspects = quarantine.most_severe().into_iter().take(max);
        suspects
            .map(|(r, suspect)| suspect_update(r, suspect, now))
            .collect()
    }

    /// Subscribes to changes of the quarantined requests.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> Vec<SuspectUpdate> {
        let now = clock::now();
        let quarantine = self.quarantine();
        let suspects = quarantine.most_severe().into_iter();
        let quarantined = suspects.filter(|(r, _)| quarantine.is_quarantined(r, now));
        quarantined
            .map(|(r, suspect)| suspect_update(r, suspect, now))
            .collect()
    }

    fn unstored(&self) -> MutexGuard<'_, Set<Fingerprint>> {
        self.unstored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this gateway has quarantined a request and hasn't stored it yet.
    pub fn is_store_pending(&self, request: &Fingerprint) -> bool {
        self.unstored().contains(request)
    }

    /// Records that a quarantined request was stored.
    pub fn mark_stored(&self, request: &Fingerprint) {
        self.unstored().remove(request);
    }

    /// Records that the stored suspects were loaded.
    pub fn mark_loaded(&self) {
        self.store_loaded.send_replace(true);
    }

    /// Waits until the stored suspects are loaded, while the gateway has just started.
    async fn wait_until_loaded(&self, cx: &Cx) {
        if *self.store_loaded.borrow() {
            return;
        }
        let load_by = cx.started + STORE_LOAD_TIME.max(cx.cfg.start_wait);
        let until = load_by.min(clock::now() + cx.cfg.start_wait);
        let mut store_loaded = self.store_loaded.subscribe();
        let loaded = store_loaded.wait_for(|loaded| *loaded);
        // After the timeout the gateway learns of suspects by exits and updates.
        let _ = clock::timeout_at(until, loaded).await;
    }

    /// Returns the number of suspects, and of those that are quarantined.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let now = clock::now();
        let quarantine = self.quarantine();
        let suspects = quarantine.suspects();
        let quarantined = suspects.filter(|(r, _)| quarantine.is_quarantined(r, now));
        (quarantine.suspects().count(), quarantined.count())
    }

    /// Returns whether no suspects are known, including cleared ones.
    pub fn is_empty(&self) -> bool {
        self.quarantine().is_empty()
    }
}

/// Waits until a request may be sent. Returns the isolation that it needs where it is a suspect.
pub(crate) async fn wait_until_permitted(
    cx: &Cx,
    req: &RoutedRequest,
) -> Result<Option<Isolation>, Refusal> {
    cx.suspects.wait_until_loaded(cx).await;
    if cx.suspects.is_empty() {
        return Ok(None);
    }
    let wait_until = (clock::now() + MAX_TRIAL_WAIT).min(req.deadline);
    loop {
        let now = clock::now();
        match cx.suspects.decision(req) {
            Decision::Allow => return Ok(None),
            Decision::Trial(isolation) => return Ok(Some(isolation)),
            Decision::WaitUntil(at) if at < req.deadline => {
                let stagger = MAX_STAGGER.mul_f64(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(at.saturating_duration_since(now) + stagger).await;
            }
            Decision::OnTrial if now < wait_until => tokio::time::sleep(RECHECK_INTERVAL).await,
            decision => return Err(refusal(decision)),
        }
    }
}

/// Returns the refusal of a request that may not be sent now.
fn refusal(decision: Decision) -> Refusal {
    match decision {
        Decision::Quarantined(_) => Refusal::Quarantined,
        _ => Refusal::Suspect(ON_TRIAL_RETRY),
    }
}

/// Returns whether a part of a prompt is blamed for exits.
fn is_blamed(quarantine: &Quarantine, part: &Fingerprint) -> bool {
    let suspect = quarantine.suspect(part);
    suspect.is_some_and(|s| s.exits.len() >= QUARANTINE_THRESHOLD)
}

fn exit_of(upstream: &Upstream) -> UpstreamExit {
    UpstreamExit {
        incarnation: upstream.incarnation,
        at: clock::now(),
    }
}
