//! Timeouts of callers' connections, across changes of the configuration.
//!
//! Callers take up connections that have rested for a large part of the idle timeout that they know. They learn of a
//! change at other times than a gateway, so a shorter timeout applies only to waits that begin after every gateway
//! and caller had time to learn of it; a longer one applies at once, also to open connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use web::Timeouts;

use crate::Cx;

/// Idle timeout of a connection before a configuration is known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

/// Timeout of a request head before a configuration is known.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);

/// Values of a timeout that are in force now and were recently.
#[derive(Debug)]
pub struct ChangingTimeout {
    current: Duration,
    /// Previous values, each with the end of the time in which a wait may begin under it.
    previous: Vec<(Duration, Instant)>,
    /// Time in which a change of the configuration is in force everywhere.
    config_time: Duration,
}

impl ChangingTimeout {
    /// Creates a timeout with its first value.
    pub fn new(first: Duration, config_time: Duration) -> ChangingTimeout {
        ChangingTimeout {
            current: first,
            previous: Vec::new(),
            config_time,
        }
    }

    /// Replaces the value in force.
    pub fn replace(&mut self, timeout: Duration, now: Instant) {
        if timeout == self.current {
            return;
        }
        let may_apply = |(timeout, until): &(Duration, Instant)| {
            now.saturating_duration_since(*until) < *timeout
        };
        self.previous.retain(may_apply);
        self.previous.push((self.current, now + self.config_time));
        self.current = timeout;
    }

    /// Returns the longest value for a wait that began at an instant.
    pub fn at(&self, since: Instant) -> Duration {
        let applicable = self.previous.iter().filter(|(_, until)| since < *until);
        let longest = applicable.map(|(timeout, _)| *timeout).max();
        longest.unwrap_or_default().max(self.current)
    }
}

/// Timeouts of callers' connections.
#[derive(Debug)]
pub struct CallerTimeouts {
    idle: Mutex<ChangingTimeout>,
    head: Mutex<ChangingTimeout>,
}

impl CallerTimeouts {
    /// Creates the timeouts that apply before a configuration is known.
    pub fn new(config_time: Duration) -> CallerTimeouts {
        CallerTimeouts {
            idle: Mutex::new(ChangingTimeout::new(DEFAULT_IDLE_TIME, config_time)),
            head: Mutex::new(ChangingTimeout::new(DEFAULT_HEAD_TIME, config_time)),
        }
    }

    /// Applies each new configuration.
    pub(crate) async fn follow_configuration(self: Arc<Self>, cx: Arc<Cx>) {
        let mut catalog = cx.catalog.clone();
        loop {
            let limits = catalog.borrow_and_update().as_ref().map(|c| c.limits);
            if let Some(limits) = limits {
                let now = clock::now();
                lock(&self.idle).replace(limits.idle_time, now);
                lock(&self.head).replace(limits.head_time, now);
            }
            if catalog.changed().await.is_err() {
                return;
            }
        }
    }
}

impl Timeouts for CallerTimeouts {
    fn idle_timeout(&self, since: Instant) -> Duration {
        lock(&self.idle).at(since)
    }

    fn head_timeout(&self, since: Instant) -> Duration {
        lock(&self.head).at(since)
    }
}

fn lock(timeout: &Mutex<ChangingTimeout>) -> MutexGuard<'_, ChangingTimeout> {
    timeout.lock().unwrap_or_else(PoisonError::into_inner)
}
