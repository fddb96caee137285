//! Reads the platform: the table's edition in force and the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use base::{Revision, Set};
use log::{info, warn};
use store::{Member, MemberRole, MemberState, Members, Tables, Tag};

use crate::Entry;
use crate::membership::links::offer;

/// Log prefix of this part.
const PART: &str = "poll";

/// Follows the edition in force for as long as the process runs.
pub async fn table(entry: Arc<Entry>, tables: Tables) {
    let mut known: Option<(Tag, Revision)> = None;
    let mut down = false;
    loop {
        let asked = clock::now();
        let tag = known.as_ref().map(|(tag, _)| tag);
        match tables.current(tag).await {
            Ok(Some(current)) => {
                let revision = current.edition.revision;
                known = current.tag.map(|tag| (tag, revision));
                offer(&entry, current.edition);
                entry.force.confirm(revision, asked);
                note_up(&mut down);
            }
            Ok(None) => {
                let revision = known.as_ref().map_or(0, |(_, revision)| *revision);
                entry.force.confirm(revision, asked);
                note_up(&mut down);
            }
            Err(e) if !down => {
                warn!(target: PART, "{PART}: the table can't be read: {e}");
                down = true;
            }
            Err(_) => {}
        }
        metrics::gauge!("driftnotch_table_revision").set(entry.force.revision() as f64);
        let age = entry
            .force
            .confirmation_age()
            .map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics::gauge!("driftnotch_table_age_seconds").set(age);
        tokio::time::sleep(jittered(entry.cfg.table_poll)).await;
    }
}

fn note_up(down: &mut bool) {
    if std::mem::take(down) {
        info!(target: PART, "{PART}: the table can be read again");
    }
}

/// Follows the list of VMs for as long as the process runs.
pub async fn members(entry: Arc<Entry>, members: Members) {
    let mut tag = None;
    loop {
        match members.list(tag.as_ref()).await {
            Ok(Some((list, new_tag))) => {
                tag = Some(new_tag);
                take_list(&entry, &list);
            }
            Ok(None) => {}
            Err(e) => warn!(target: PART, "{PART}: the list of VMs can't be read: {e}"),
        }
        entry.limiter.tidy();
        tokio::time::sleep(jittered(entry.cfg.members_poll)).await;
    }
}

fn take_list(entry: &Entry, list: &[Member]) {
    let entries = list.iter().filter(|m| m.role == MemberRole::Entry);
    entry.book.add(entries.map(|m| &m.addr));
    let leaving: Set<String> = list
        .iter()
        .filter(|m| m.state == MemberState::Leaving)
        .map(|m| m.vm.clone())
        .collect();
    entry.fleet.set_listed_leaving(leaving);
}

/// A pause of a tenth more or less, so that entries don't ask all at once.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.9 + 0.2 * rand::random::<f64>())
}
