//! Final answers of the gateway's own.
//!
//! 503 says that the request has not run and never will; it is given only where nothing was sent,
//! or where every upstream it was sent to refused it for certain. Everything else after sending is
//! 502 or 504, which promise nothing. So is what is held back since upstreams end under it: earlier attempts
//! of it have run, and to come back soon helps nobody.

use std::time::Duration;

use displaydoc::Display;
use hyper::header::{HeaderValue, RETRY_AFTER};
use web::{Response, text};

/// Why the gateway answers itself.
#[derive(Debug, Clone, Display, PartialEq)]
pub enum Refusal {
    /// the head can't be read: {0}
    BadHead(String),
    /// no route leads there; check the host and the path
    NoRoute,
    /// the key is missing or unknown; send a valid one
    NoKey,
    /// the body is larger than {0} bytes; send less
    TooLarge(usize),
    /// the body did not come in time; send it sooner
    SlowBody,
    /// the body broke off; send it again
    BrokenBody,
    /// no configuration is known yet; come back soon
    NotReady(Duration),
    /// the configuration here may be out of date, and does not allow the request; come back soon
    Unconfirmed(Duration),
    /// all upstreams are busy; come back later
    Busy(Duration),
    /// no upstream can run the request now; come back later
    NoUpstream(Duration),
    /// all upstreams are rate limited or in a back-off; come back later
    NotBefore(Duration),
    /// no upstream took the request; come back later
    NotTaken(Duration),
    /// an upstream ended under the request, which is being tried at another; come back later
    Suspect(Duration),
    /// upstreams end when they run this request, so it is sent to no more of them for now; send another one
    Quarantined,
    /// the time for the request is over; it has not run
    NoTime(Duration),
    /// the time for the request is over; it may have run
    TimedOut,
    /// the upstream's answer was lost ({0}); the request may have run
    Lost(String),
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::BadHead(_) => 400,
            Refusal::NoKey => 401,
            Refusal::NoRoute => 404,
            Refusal::SlowBody => 408,
            Refusal::TooLarge(_) => 413,
            Refusal::BrokenBody => 400,
            Refusal::NotReady(_)
            | Refusal::Unconfirmed(_)
            | Refusal::Busy(_)
            | Refusal::NoUpstream(_)
            | Refusal::NotBefore(_)
            | Refusal::NotTaken(_)
            | Refusal::Suspect(_)
            | Refusal::NoTime(_) => 503,
            Refusal::Lost(_) | Refusal::Quarantined => 502,
            Refusal::TimedOut => 504,
        }
    }

    /// When to come back.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NotReady(after)
            | Refusal::Unconfirmed(after)
            | Refusal::Busy(after)
            | Refusal::NoUpstream(after)
            | Refusal::NotBefore(after)
            | Refusal::NotTaken(after)
            | Refusal::Suspect(after)
            | Refusal::NoTime(after) => Some(*after),
            _ => None,
        }
    }

    /// Short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::BadHead(_) => "bad_head",
            Refusal::NoRoute => "no_route",
            Refusal::NoKey => "no_key",
            Refusal::TooLarge(_) => "too_large",
            Refusal::SlowBody => "slow_body",
            Refusal::BrokenBody => "broken_body",
            Refusal::NotReady(_) => "not_ready",
            Refusal::Unconfirmed(_) => "unconfirmed",
            Refusal::Busy(_) => "busy",
            Refusal::NoUpstream(_) => "no_upstream",
            Refusal::NotBefore(_) => "not_before",
            Refusal::NotTaken(_) => "not_taken",
            Refusal::Suspect(_) => "suspect",
            Refusal::Quarantined => "held",
            Refusal::NoTime(_) => "no_time",
            Refusal::TimedOut => "timed_out",
            Refusal::Lost(_) => "lost",
        }
    }

    /// The answer.
    pub fn answer(&self) -> Response {
        let mut res = text(self.status(), format!("{self}\n"));
        if let Some(after) = self.retry_after() {
            let seconds = format!("{:.2}", after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits and a point");
            res.headers_mut().insert(RETRY_AFTER, value);
        }
        res
    }
}
