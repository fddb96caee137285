//! Gauges of a gateway's state: revision and age of its configuration, the newest revision among its peers, the gateways
//! that share the retry budget, upstreams that limit their rate or are draining, and suspects.

use std::sync::Arc;
use std::time::Duration;

use crate::Cx;

/// Time between two updates. Metrics are scraped every few seconds.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the gauges periodically.
pub(crate) async fn update_gauges(cx: Arc<Cx>) {
    loop {
        set(&cx);
        tokio::time::sleep(UPDATE_INTERVAL).await;
    }
}

fn set(cx: &Cx) {
    let name = cx.configuration.name;
    let version = cx.catalog.borrow().as_ref().map_or(0, |c| c.revision);
    let own = cx.mirror.revision(name);
    let newest = cx.loads.newest_configuration(clock::now()).max(own);
    let age = cx.mirror.age(name).unwrap_or_default();
    let reaches_store = u8::from(*cx.reaches_store.borrow());
    metrics::gauge!("driftnotch_configuration_version").set(version as f64);
    metrics::gauge!("driftnotch_configuration_revision", "of" => "own").set(own.number as f64);
    metrics::gauge!("driftnotch_configuration_revision", "of" => "newest_heard")
        .set(newest.number as f64);
    metrics::gauge!("driftnotch_configuration_age_seconds").set(age.as_secs_f64());
    metrics::gauge!("driftnotch_store_reached").set(f64::from(reaches_store));
    metrics::gauge!("driftnotch_retry_sharers").set(cx.retry_sharers().unwrap_or(0) as f64);
    metrics::gauge!("driftnotch_body_memory_bytes").set(cx.memory.used() as f64);
    let feedback = cx.feedback.current();
    metrics::gauge!("driftnotch_rate_limited_upstreams").set(feedback.rate_limited() as f64);
    metrics::gauge!("driftnotch_draining_upstreams").set(feedback.draining() as f64);
    drop(feedback);
    let slow = cx.paces.slow_engines(clock::now());
    metrics::gauge!("driftnotch_slow_engines").set(slow as f64);
    cx.pools.report();
    let (open, quarantined) = cx.suspects.counts();
    metrics::gauge!("driftnotch_suspects", "of" => "known").set(open as f64);
    metrics::gauge!("driftnotch_suspects", "of" => "held").set(quarantined as f64);
}
