//! Polls the platform for the edition of the table in force and for the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use base::{Revision, Set};
use log::{info, warn};
use store::{Member, MemberRole, MemberState, Members, Tables, Tag};

use crate::Entry;
use crate::membership::links::apply_edition;

/// Log prefix of this part.
const PART: &str = "poll";

/// Polls the edition in force for as long as the process runs.
pub async fn table(entry: Arc<Entry>, tables: Tables) {
    let mut known: Option<(Tag, Revision)> = None;
    let mut failing = false;
    loop {
        let requested_at = clock::now();
        let tag = known.as_ref().map(|(tag, _)| tag);
        match tables.current(tag).await {
            Ok(Some(current)) => {
                let revision = current.edition.revision;
                known = current.tag.map(|tag| (tag, revision));
                apply_edition(&entry, current.edition);
                entry.active_table.confirm(revision, requested_at);
                log_recovery(&mut failing);
            }
            Ok(None) => {
                let revision = known.as_ref().map_or(0, |(_, revision)| *revision);
                entry.active_table.confirm(revision, requested_at);
                log_recovery(&mut failing);
            }
            Err(e) if !failing => {
                warn!(target: PART, "{PART}: failed to read the table: {e}");
                failing = true;
            }
            Err(_) => {}
        }
        metrics::gauge!("driftnotch_table_revision").set(entry.active_table.revision() as f64);
        let age = entry
            .active_table
            .confirmation_age()
            .map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics::gauge!("driftnotch_table_age_seconds").set(age);
        tokio::time::sleep(jittered(entry.cfg.table_poll)).await;
    }
}

fn log_recovery(failing: &mut bool) {
    if std::mem::take(failing) {
        info!(target: PART, "{PART}: reading the table works again");
    }
}

/// Polls the list of VMs for as long as the process runs.
pub async fn members(entry: Arc<Entry>, members: Members) {
    let mut tag = None;
    loop {
        match members.list(tag.as_ref()).await {
            Ok(Some((list, new_tag))) => {
                tag = Some(new_tag);
                apply_member_list(&entry, &list);
            }
            Ok(None) => {}
            Err(e) => warn!(target: PART, "{PART}: failed to read the list of VMs: {e}"),
        }
        entry.limiter.remove_idle();
        tokio::time::sleep(jittered(entry.cfg.members_poll)).await;
    }
}

fn apply_member_list(entry: &Entry, list: &[Member]) {
    let entries = list.iter().filter(|m| m.role == MemberRole::Entry);
    entry.address_book.add(entries.map(|m| &m.addr));
    let draining: Set<String> = list
        .iter()
        .filter(|m| m.state == MemberState::Leaving)
        .map(|m| m.vm.clone())
        .collect();
    entry.fleet.set_listed_draining(draining);
}

/// Returns the interval with a jitter of 10 % either way, which spreads the polls of the entries.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(0.9 + 0.2 * rand::random::<f64>())
}
