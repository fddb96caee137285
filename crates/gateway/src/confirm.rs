//! Confirmations of the configuration, before a request is denied by it.
//!
//! Whoever reads the store for the failure domain is asked, one question at a time for all requests that
//! wait; that gateway has its own copy confirmed by the store where it is too old. No other asks the store: an
//! answer may be the whole configuration, and the link to the store is shared. A reader that stands still is
//! replaced by the next in rank within a second.
//! Ages count from the moment at which a question left, so they are never too low.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use decide::denial::{Decision, DenialPolicy};
use log::{debug, warn};
use tokio::sync::Notify;
use tokio::sync::watch;
use web::{Client, DialOptions, Request};

use crate::Cx;

/// Log prefix of this part.
const PART: &str = "confirm";

/// Longest wait of another gateway's question for the store, whose answers take up to 0.2 s while it is
/// slow. What the copy here is worth is told then, so that the other knows that this one isn't gone.
const PASSING_WAIT: Duration = Duration::from_millis(250);

/// Longest wait for another gateway: for as long as it may wait itself, and the way there and back.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of confirmations, and who is asked for them.
#[derive(Debug)]
pub struct Confirmations {
    denials: Mutex<DenialPolicy>,
    /// Told that a question is over, whatever came of it.
    over: watch::Sender<bool>,
    /// Has what reads the store read it at once.
    store: Arc<Notify>,
    client: Client,
}

impl Confirmations {
    /// Nothing asked yet; a change is to be in force within `config_time`.
    pub fn new(config_time: Duration, store: Arc<Notify>) -> Confirmations {
        Confirmations {
            denials: Mutex::new(DenialPolicy::new(config_time)),
            over: watch::Sender::new(true),
            store,
            client: Client::new(DialOptions::with_timeout(ASK_TIMEOUT)),
        }
    }

    fn denials(&self) -> MutexGuard<'_, DenialPolicy> {
        self.denials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn oldest(&self) -> Duration {
        self.denials().max_age()
    }
}

/// Time since the store confirmed the configuration in force here; the longest there is where a newer one is
/// held but not in force, or none is.
pub(crate) fn age(cx: &Cx) -> Duration {
    let held = cx.mirror.get(cx.configuration.name);
    let in_force = *cx.configuration.in_force.borrow();
    let held = held.filter(|copy| copy.revision == in_force);
    held.map_or(Duration::MAX, |copy| clock::since(copy.confirmed))
}

/// What to do with a request that the configuration in force here doesn't allow.
pub(crate) fn decision(cx: &Cx) -> Decision {
    cx.confirmations.denials().decide(age(cx), clock::now())
}

/// Asks for a confirmation, unless that is under way, and waits until the configuration was confirmed or a
/// newer one is in force, or until it is known that neither can be had now; `until` at the latest.
pub(crate) async fn wait_for_confirmation(cx: &Arc<Cx>, until: Instant) {
    let mut confirmed = cx.mirror.confirmations();
    let mut in_force = cx.configuration.in_force.subscribe();
    let mut over = cx.confirmations.over.subscribe();
    if cx.confirmations.over.send_replace(false) {
        tokio::spawn(ask(cx.clone()));
    }
    let news = async {
        tokio::select! {
            _ = confirmed.changed() => {}
            _ = in_force.changed() => {}
            _ = over.wait_for(|over| *over) => {}
        }
    };
    if clock::timeout_at(until, news).await.is_err() {
        debug!(target: PART, "{PART}: event=late");
    }
}

/// Says that a question is over, also where its task ends otherwise.
struct Question(Arc<Cx>);

impl Drop for Question {
    fn drop(&mut self) {
        self.0.confirmations.over.send_replace(true);
    }
}

/// Has the configuration confirmed.
async fn ask(cx: Arc<Cx>) {
    let question = Question(cx);
    let cx = &question.0;
    let reaches_store = *cx.reaches_store.borrow();
    let own = &cx.cfg.node.vm;
    let reader = cx.loads.store_reader(own, reaches_store, clock::now());
    match reader {
        Some(reader) => ask_gateway(cx, reader).await,
        None if reaches_store => {
            let wait = cx.cfg.node.store_timeout;
            read_store(cx, cx.confirmations.oldest(), wait).await;
        }
        // A store that can't be reached is asked again and again by all else; none waits for it here.
        None => {}
    }
    in_force(cx).await;
    let age = age(cx);
    if age > cx.confirmations.oldest() {
        warn!(target: PART, "{PART}: event=unconfirmed revision={} age={age:?} reaches_store={reaches_store}", cx.mirror.revision(cx.configuration.name));
        cx.confirmations.denials().record_failure(clock::now());
    }
}

/// Waits a moment while a newer configuration that has come is put in force.
async fn in_force(cx: &Cx) {
    let held = cx.mirror.revision(cx.configuration.name);
    let mut in_force = cx.configuration.in_force.subscribe();
    let newest = in_force.wait_for(|revision| *revision >= held);
    if tokio::time::timeout(cx.cfg.start_wait, newest)
        .await
        .is_err()
    {
        debug!(target: PART, "{PART}: event=not_in_force revision={held}");
    }
}

async fn ask_gateway(cx: &Cx, from: std::net::SocketAddr) {
    let name = cx.configuration.name;
    // Its age grows on the way.
    let oldest = cx.confirmations.oldest();
    let oldest = oldest - ASK_TIMEOUT.min(oldest / 2);
    let client = &cx.confirmations.client;
    let asked = mirror::fetch_confirmed(&cx.mirror, name, client, from, ASK_TIMEOUT, oldest);
    match asked.await {
        Ok(newer) => debug!(target: PART, "{PART}: event=asked from={from} newer={newer}"),
        Err(e) => debug!(target: PART, "{PART}: event=not_asked from={from} why=\"{e}\""),
    }
}

/// Has the store read from here, and waits until the copy is at most so old.
async fn read_store(cx: &Cx, oldest: Duration, wait: Duration) {
    let mut confirmed = cx.mirror.confirmations();
    let mut changed = cx.mirror.changes();
    cx.confirmations.store.notify_one();
    let young = || {
        cx.mirror
            .age(cx.configuration.name)
            .is_some_and(|age| age <= oldest)
    };
    let news = async {
        while !young() {
            tokio::select! {
                _ = confirmed.changed() => {}
                _ = changed.changed() => {}
            }
        }
    };
    if tokio::time::timeout(wait, news).await.is_err() {
        debug!(target: PART, "{PART}: event=store_late");
    }
}

/// Has the configuration confirmed before it is passed on to a process that wants it so; a process that asks
/// is never asked back.
pub(crate) async fn confirm_before_serving(cx: &Cx, req: &Request) {
    let Some(oldest) = mirror::requested_max_age(req) else {
        return;
    };
    let age = cx.mirror.age(cx.configuration.name);
    if age.is_none_or(|age| age > oldest) {
        read_store(cx, oldest, PASSING_WAIT).await;
    }
}
