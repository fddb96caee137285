//! Metrics of what a gateway knows: which configuration, since when, and how far others are ahead; upstreams
//! that limit their rate or are draining; and requests under which upstreams ended.

use std::sync::Arc;
use std::time::Duration;

use crate::Cx;

/// Time between two looks. Metrics are fetched each few seconds.
const INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the gauges up to date.
pub(crate) async fn update_gauges(cx: Arc<Cx>) {
    loop {
        set(&cx);
        tokio::time::sleep(INTERVAL).await;
    }
}

fn set(cx: &Cx) {
    let name = cx.configuration.name;
    let version = cx.catalog.borrow().as_ref().map_or(0, |c| c.revision);
    let held = cx.mirror.revision(name);
    let heard = cx.loads.newest_configuration(clock::now()).max(held);
    let age = cx.mirror.age(name).unwrap_or_default();
    let reaches_store = u8::from(*cx.reaches_store.borrow());
    metrics::gauge!("driftnotch_configuration_version").set(version as f64);
    metrics::gauge!("driftnotch_configuration_revision", "of" => "own").set(held as f64);
    metrics::gauge!("driftnotch_configuration_revision", "of" => "newest_heard").set(heard as f64);
    metrics::gauge!("driftnotch_configuration_age_seconds").set(age.as_secs_f64());
    metrics::gauge!("driftnotch_store_reached").set(f64::from(reaches_store));
    let feedback = cx.feedback.current();
    metrics::gauge!("driftnotch_rate_limited_upstreams").set(feedback.rate_limited() as f64);
    metrics::gauge!("driftnotch_draining_upstreams").set(feedback.draining() as f64);
    drop(feedback);
    let (known, held) = cx.suspects.counts();
    metrics::gauge!("driftnotch_suspects", "of" => "known").set(known as f64);
    metrics::gauge!("driftnotch_suspects", "of" => "held").set(held as f64);
}
