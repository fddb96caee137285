//! Limits on the request rate and on running requests, by row and by workspace.
//!
//! A limit applies to a whole failure domain. Each entry enforces an equal part of it, the limit
//! divided by the number of entries that are up, so no coordinator is needed; the part changes as
//! entries join and leave. A part of a limit on running requests is rounded up, so that a small
//! limit never becomes zero.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use table::Row;

use crate::refusal::Refusal;

/// Burst of a rate limit, as the time in which the rate allows as many requests.
const BURST: Duration = Duration::from_secs(1);

/// Time after which an idle counter is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Scope of a limit: a row, or a workspace within a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LimitScope {
    Row(String),
    Workspace(String, String),
}

#[derive(Debug)]
struct Counter {
    tokens: f64,
    refilled_at: Instant,
    running: u32,
}

/// Counters of all scopes.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    counters: Arc<Mutex<Map<LimitScope, Counter>>>,
}

/// Permit of a running request; counts the request as completed when dropped.
#[derive(Debug)]
pub struct LimitPermit {
    limiter: Limiter,
    scopes: [LimitScope; 2],
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        let mut counters = self.limiter.lock();
        for scope in &self.scopes {
            if let Some(counter) = counters.get_mut(scope) {
                counter.running = counter.running.saturating_sub(1);
            }
        }
    }
}

impl Limiter {
    /// Counts a request as running, or refuses it with the time after which it may be retried.
    pub fn acquire(
        &self,
        row: &Row,
        workspace: &str,
        entries: u32,
    ) -> Result<LimitPermit, Refusal> {
        let name = row.name();
        let scopes = [
            LimitScope::Row(name.clone()),
            LimitScope::Workspace(name.clone(), workspace.to_owned()),
        ];
        let limits = row.limits;
        let checks = [
            (&scopes[0], name.as_str(), limits.rps, limits.running),
            (
                &scopes[1],
                workspace,
                limits.workspace_rps,
                limits.workspace_running,
            ),
        ];
        let mut counters = self.lock();
        for (scope, name, rps, running) in checks {
            let counter = counters.entry(scope.clone()).or_insert_with(|| Counter {
                tokens: f64::INFINITY,
                refilled_at: clock::now(),
                running: 0,
            });
            counter.check(
                name,
                rps.map(|n| per_entry(n, entries)),
                running.map(|n| per_entry(n, entries)),
            )?;
        }
        for (scope, _, rps, _) in checks {
            let counter = counters.get_mut(scope).expect("inserted above");
            counter.running += 1;
            counter.tokens -= f64::from(u8::from(rps.is_some()));
        }
        Ok(LimitPermit {
            limiter: self.clone(),
            scopes,
        })
    }

    /// Removes idle counters.
    pub fn remove_idle(&self) {
        self.lock()
            .retain(|_, c| c.running > 0 || clock::since(c.refilled_at) < IDLE_TIMEOUT);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<LimitScope, Counter>> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counter {
    fn check(&mut self, name: &str, rps: Option<f64>, running: Option<f64>) -> Result<(), Refusal> {
        if let Some(limit) = running.filter(|limit| f64::from(self.running) >= limit.ceil()) {
            let after = Duration::from_secs_f64((1.0 / limit).clamp(0.1, 10.0));
            return Err(Refusal::OverLimit(
                name.to_owned(),
                "running requests",
                after,
            ));
        }
        let Some(rate) = rps else {
            return Ok(());
        };
        self.refill(rate);
        if self.tokens < 1.0 {
            let after = Duration::from_secs_f64((1.0 - self.tokens) / rate);
            return Err(Refusal::OverLimit(
                name.to_owned(),
                "requests a second",
                after,
            ));
        }
        Ok(())
    }

    fn refill(&mut self, rate: f64) {
        let now = clock::now();
        let earned = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        let max_tokens = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + earned).min(max_tokens);
        self.refilled_at = now;
    }
}

fn per_entry(limit: u32, entries: u32) -> f64 {
    f64::from(limit) / f64::from(entries.max(1))
}
