//! Drained failure domains: their upstreams get no new requests until the drain is cancelled.
//!
//! Requests in flight complete there, and loaders continue to stage weights, so that the domain is ready when the
//! drain is cancelled.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{DomainName, Domains, Map, Revision};
use log::{info, warn};

/// Log prefix of this part.
const PART: &str = "drain";

/// Drained failure domains, each with the revision of the operator's row.
pub type DrainList = Map<DomainName, Revision>;

/// Drains in force.
#[derive(Debug, Default)]
pub struct Drains {
    current: Mutex<Arc<DrainList>>,
}

impl Drains {
    fn lock(&self) -> MutexGuard<'_, Arc<DrainList>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the drains in force.
    pub fn current(&self) -> Arc<DrainList> {
        self.lock().clone()
    }

    /// Returns whether a failure domain is drained.
    pub fn contains(&self, domain: &str) -> bool {
        self.lock().contains_key(domain)
    }

    /// Replaces the list; returns the failure domains whose drain was cancelled.
    pub fn replace(&self, list: DrainList, known: &Domains) -> Vec<DomainName> {
        let before = std::mem::replace(&mut *self.lock(), Arc::new(list.clone()));
        for (domain, revision) in list.iter().filter(|(d, _)| !before.contains_key(*d)) {
            log_start(domain, *revision, known);
        }
        let cancelled = before.keys().filter(|domain| !list.contains_key(*domain));
        let cancelled: Vec<DomainName> = cancelled.cloned().collect();
        for domain in &cancelled {
            info!(target: PART, "{PART}: event=cancelled domain={domain}");
            set_gauge(domain, 0.0);
        }
        let is_all_drained =
            known.names().next().is_some() && known.names().all(|d| list.contains_key(d));
        if is_all_drained && list != *before {
            warn!(target: PART, "{PART}: event=all_drained domains={} remedy=\"cancel a drain, until then all requests are rejected\"", list.len());
        }
        cancelled
    }
}

fn log_start(domain: &str, revision: Revision, known: &Domains) {
    info!(target: PART, "{PART}: event=started domain={domain} revision={revision}");
    set_gauge(domain, 1.0);
    if known.names().next().is_some() && !known.contains(domain) {
        let hint = base::nearest::hint(domain, known.names().map(String::as_str));
        warn!(target: PART, "{PART}: event=unknown_domain domain={domain} remedy=\"no failure domain has this name{hint}\"");
    }
}

fn set_gauge(domain: &str, drained: f64) {
    metrics::gauge!("driftnotch_drained", "domain" => domain.to_owned()).set(drained);
}
