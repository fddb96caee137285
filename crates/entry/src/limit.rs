//! Limits of rows and workspaces.
//!
//! A limit holds for a whole failure domain. Each of its entries enforces its part, the limit
//! divided by the number of entries that are up, so no coordinator is needed; the part follows
//! entries that come and go. The last part is rounded up, so a small limit is never nought.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use table::Row;

use crate::refusal::Refusal;

/// Burst of a rate limit: what may come at once, as time's worth of it.
const BURST: Duration = Duration::from_secs(1);

/// Idle counters are dropped after this long.
const IDLE: Duration = Duration::from_secs(60);

/// What is limited.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subject {
    Row(String),
    Workspace(String, String),
}

#[derive(Debug)]
struct Counter {
    tokens: f64,
    filled: Instant,
    running: u32,
}

/// Counters of all subjects.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    counters: Arc<Mutex<Map<Subject, Counter>>>,
}

/// A request counted as running; uncounted when dropped.
#[derive(Debug)]
pub struct Counted {
    limiter: Limiter,
    subjects: [Subject; 2],
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut counters = self.limiter.lock();
        for subject in &self.subjects {
            if let Some(counter) = counters.get_mut(subject) {
                counter.running = counter.running.saturating_sub(1);
            }
        }
    }
}

impl Limiter {
    /// Counts a request in, or refuses it with the time to come back after.
    pub fn enter(&self, row: &Row, workspace: &str, entries: u32) -> Result<Counted, Refusal> {
        let name = row.name();
        let subjects = [
            Subject::Row(name.clone()),
            Subject::Workspace(name.clone(), workspace.to_owned()),
        ];
        let l = row.limits;
        let wanted = [
            (&subjects[0], name.as_str(), l.rps, l.running),
            (
                &subjects[1],
                workspace,
                l.workspace_rps,
                l.workspace_running,
            ),
        ];
        let mut counters = self.lock();
        for (subject, who, rps, running) in wanted {
            let counter = counters.entry(subject.clone()).or_insert_with(|| Counter {
                tokens: f64::INFINITY,
                filled: clock::now(),
                running: 0,
            });
            counter.check(
                who,
                rps.map(|n| part(n, entries)),
                running.map(|n| part(n, entries)),
            )?;
        }
        for (subject, _, rps, _) in wanted {
            let counter = counters.get_mut(subject).expect("made above");
            counter.running += 1;
            counter.tokens -= f64::from(u8::from(rps.is_some()));
        }
        Ok(Counted {
            limiter: self.clone(),
            subjects,
        })
    }

    /// Drops counters that have been idle.
    pub fn tidy(&self) {
        self.lock()
            .retain(|_, c| c.running > 0 || clock::since(c.filled) < IDLE);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<Subject, Counter>> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counter {
    fn check(&mut self, who: &str, rps: Option<f64>, running: Option<f64>) -> Result<(), Refusal> {
        if let Some(limit) = running.filter(|limit| f64::from(self.running) >= limit.ceil()) {
            let after = Duration::from_secs_f64((1.0 / limit).clamp(0.1, 10.0));
            return Err(Refusal::OverLimit(
                who.to_owned(),
                "running requests",
                after,
            ));
        }
        let Some(rate) = rps else {
            return Ok(());
        };
        self.fill(rate);
        if self.tokens < 1.0 {
            let after = Duration::from_secs_f64((1.0 - self.tokens) / rate);
            return Err(Refusal::OverLimit(
                who.to_owned(),
                "requests a second",
                after,
            ));
        }
        Ok(())
    }

    fn fill(&mut self, rate: f64) {
        let now = clock::now();
        let earned = now.duration_since(self.filled).as_secs_f64() * rate;
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + earned).min(most);
        self.filled = now;
    }
}

fn part(limit: u32, entries: u32) -> f64 {
    f64::from(limit) / f64::from(entries.max(1))
}
