//! Confirmation of the configuration before it denies a request.
//!
//! A gateway sends its query to the gateway that reads the store for the failure domain, one query at a time for all
//! waiting requests. That gateway has its own replica confirmed by the store where it is too old. No other gateway
//! queries the store: a response may be the complete configuration, and the link to the store is shared. A stalled
//! reader is replaced by the next gateway in rank within a second.
//!
//! Ages count from the time at which a query was sent, so they are never too low.

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

/// Maximum wait for the store on behalf of another gateway; the store takes up to 0.2 s to respond while it is slow.
/// After this wait the replica is served with its current age, so that the other gateway knows that this one is
/// reachable.
const SERVE_WAIT: Duration = Duration::from_millis(250);

/// Timeout of a query to another gateway: its own maximum wait, [`SERVE_WAIT`], and the round trip.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// State of confirmations, and the client that queries for them.
#[derive(Debug)]
pub struct Confirmations {
    denial_policy: Mutex<DenialPolicy>,
    /// `true` while no query is in progress.
    idle: watch::Sender<bool>,
    /// Wakes the reader of the store.
    wake_reader: Arc<Notify>,
    client: Client,
}

impl Confirmations {
    /// Creates the state before the first query; a change has to be in force within `config_time`.
    pub fn new(config_time: Duration, wake_reader: Arc<Notify>) -> Confirmations {
        Confirmations {
            denial_policy: Mutex::new(DenialPolicy::new(config_time)),
            idle: watch::Sender::new(true),
            wake_reader,
            client: Client::new(DialOptions::with_timeout(QUERY_TIMEOUT)),
        }
    }

    fn denial_policy(&self) -> MutexGuard<'_, DenialPolicy> {
        self.denial_policy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn max_age(&self) -> Duration {
        self.denial_policy().max_age()
    }
}

/// Returns the time since the store confirmed the configuration in force. It is [`Duration::MAX`] where none is in
/// force, or the replica holds a newer one that isn't.
pub(crate) fn age(cx: &Cx) -> Duration {
    let replica = cx.mirror.get(cx.configuration.name);
    let in_force = *cx.configuration.in_force.borrow();
    let replica = replica.filter(|r| r.revision == in_force);
    replica.map_or(Duration::MAX, |r| clock::since(r.confirmed))
}

/// Returns what to do with a request that the configuration in force doesn't allow.
pub(crate) fn decision(cx: &Cx) -> Decision {
    cx.confirmations
        .denial_policy()
        .decide(age(cx), clock::now())
}

/// Starts a query for a confirmation unless one is in progress. Waits until the configuration was confirmed, a newer
/// one is in force, or the query has finished without either; until `until` at the latest.
pub(crate) async fn wait_for_confirmation(cx: &Arc<Cx>, until: Instant) {
    let mut confirmed = cx.mirror.confirmations();
    let mut in_force = cx.configuration.in_force.subscribe();
    let mut idle = cx.confirmations.idle.subscribe();
    if cx.confirmations.idle.send_replace(false) {
        tokio::spawn(query(cx.clone()));
    }
    let progress = async {
        tokio::select! {
            _ = confirmed.changed() => {}
            _ = in_force.changed() => {}
            _ = idle.wait_for(|idle| *idle) => {}
        }
    };
    if clock::timeout_at(until, progress).await.is_err() {
        debug!(target: PART, "{PART}: event=confirmation_timed_out");
    }
}

/// Marks a query as finished when dropped, even if its task panics or is cancelled.
struct QueryGuard(Arc<Cx>);

impl Drop for QueryGuard {
    fn drop(&mut self) {
        self.0.confirmations.idle.send_replace(true);
    }
}

/// Has the configuration confirmed.
async fn query(cx: Arc<Cx>) {
    let guard = QueryGuard(cx);
    let cx = &guard.0;
    let reaches_store = *cx.reaches_store.borrow();
    let own = &cx.cfg.node.vm;
    let reader = cx.loads.store_reader(own, reaches_store, clock::now());
    match reader {
        Some(reader) => query_gateway(cx, reader).await,
        None if reaches_store => {
            let wait = cx.cfg.node.store_timeout;
            read_store(cx, cx.confirmations.max_age(), wait).await;
        }
        // Other parts keep retrying an unreachable store; no request waits for it here.
        None => {}
    }
    wait_in_force(cx).await;
    let age = age(cx);
    if age > cx.confirmations.max_age() {
        warn!(target: PART, "{PART}: event=unconfirmed revision={} age={age:?} reaches_store={reaches_store}", cx.mirror.revision(cx.configuration.name));
        cx.confirmations
            .denial_policy()
            .record_failure(clock::now());
    }
}

/// Waits for up to `start_wait` until the newest configuration that was received is in force.
async fn wait_in_force(cx: &Cx) {
    let newest = cx.mirror.revision(cx.configuration.name);
    let mut in_force = cx.configuration.in_force.subscribe();
    let reached = in_force.wait_for(|revision| *revision >= newest);
    if tokio::time::timeout(cx.cfg.start_wait, reached)
        .await
        .is_err()
    {
        debug!(target: PART, "{PART}: event=not_in_force revision={newest}");
    }
}

async fn query_gateway(cx: &Cx, from: std::net::SocketAddr) {
    let name = cx.configuration.name;
    // The age of the replica grows in transit.
    let max_age = cx.confirmations.max_age();
    let max_age = max_age - QUERY_TIMEOUT.min(max_age / 2);
    let client = &cx.confirmations.client;
    let response = mirror::fetch_confirmed(&cx.mirror, name, client, from, QUERY_TIMEOUT, max_age);
    match response.await {
        Ok(newer) => debug!(target: PART, "{PART}: event=queried from={from} newer={newer}"),
        Err(e) => debug!(target: PART, "{PART}: event=query_failed from={from} why=\"{e}\""),
    }
}

/// Reads the store from this gateway, and waits for up to `wait` until the replica is at most `max_age` old.
async fn read_store(cx: &Cx, max_age: Duration, wait: Duration) {
    let mut confirmed = cx.mirror.confirmations();
    let mut changed = cx.mirror.changes();
    cx.confirmations.wake_reader.notify_one();
    let is_fresh = || {
        cx.mirror
            .age(cx.configuration.name)
            .is_some_and(|age| age <= max_age)
    };
    let refreshed = async {
        while !is_fresh() {
            tokio::select! {
                _ = confirmed.changed() => {}
                _ = changed.changed() => {}
            }
        }
    };
    if tokio::time::timeout(wait, refreshed).await.is_err() {
        debug!(target: PART, "{PART}: event=store_timed_out");
    }
}

/// Has the configuration confirmed before it is served to a process that requests a confirmed replica. The store is
/// read directly, so that two gateways never query each other.
pub(crate) async fn confirm_before_serving(cx: &Cx, req: &Request) {
    let Some(max_age) = mirror::requested_max_age(req) else {
        return;
    };
    let age = cx.mirror.age(cx.configuration.name);
    if age.is_none_or(|age| age > max_age) {
        read_store(cx, max_age, SERVE_WAIT).await;
    }
}
