//! Final responses that the gateway generates itself.
//!
//! Status 503 promises that the request has not run and never will. It is returned only if nothing was sent, or if
//! every upstream that received the request rejected it for certain. All other responses after sending are 502 or
//! 504, which promise nothing. A request that is quarantined because upstreams exit while running it gets 502 as
//! well: earlier attempts of it have run, and an early retry doesn't help.

use std::time::Duration;

use displaydoc::Display;
use hyper::header::{HeaderValue, RETRY_AFTER};
use web::{Response, text};

/// Reason why the gateway refuses a request or gives it up. The texts are the bodies of the responses.
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
    /// there isn't enough memory for the body now; retry later
    NoMemory(Duration),
    /// no configuration is known yet; come back soon
    NotReady(Duration),
    /// the configuration here may be out of date, and does not allow the request; come back soon
    Unconfirmed(Duration),
    /// all upstreams are busy; come back later
    Busy(Duration),
    /// the free capacity is reserved for other requests; come back later
    Reserved(Duration),
    /// no upstream can run the request now; come back later
    NoUpstream(Duration),
    /// all upstreams are busy; capacity is expected after the stated delay
    BusyPromised(Duration),
    /// all upstreams are busy and no capacity is expected; come back later
    BusyUnpromised(Duration),
    /// no upstream can run the request now; capacity is expected after the stated delay
    NoUpstreamPromised(Duration),
    /// no upstream can run the request now and no capacity is expected; come back later
    NoUpstreamUnpromised(Duration),
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
    /// Returns the status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::BadHead(_) => 400,
            Refusal::NoKey => 401,
            Refusal::NoRoute => 404,
            Refusal::SlowBody => 408,
            Refusal::TooLarge(_) => 413,
            Refusal::BrokenBody => 400,
            Refusal::NoMemory(_)
            | Refusal::NotReady(_)
            | Refusal::Unconfirmed(_)
            | Refusal::Busy(_)
            | Refusal::Reserved(_)
            | Refusal::BusyPromised(_)
            | Refusal::BusyUnpromised(_)
            | Refusal::NoUpstreamPromised(_)
            | Refusal::NoUpstreamUnpromised(_)
            | Refusal::NoUpstream(_)
            | Refusal::NotBefore(_)
            | Refusal::NotTaken(_)
            | Refusal::Suspect(_)
            | Refusal::NoTime(_) => 503,
            Refusal::Lost(_) | Refusal::Quarantined => 502,
            Refusal::TimedOut => 504,
        }
    }

    /// Returns the delay after which to retry, if a retry is suggested.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NoMemory(delay)
            | Refusal::NotReady(delay)
            | Refusal::Unconfirmed(delay)
            | Refusal::Busy(delay)
            | Refusal::Reserved(delay)
            | Refusal::BusyPromised(delay)
            | Refusal::BusyUnpromised(delay)
            | Refusal::NoUpstreamPromised(delay)
            | Refusal::NoUpstreamUnpromised(delay)
            | Refusal::NoUpstream(delay)
            | Refusal::NotBefore(delay)
            | Refusal::NotTaken(delay)
            | Refusal::Suspect(delay)
            | Refusal::NoTime(delay) => Some(*delay),
            _ => None,
        }
    }

    /// Returns the refusal of a request for which only capacity reserved for more urgent ones is free.
    pub fn reserved(self) -> Refusal {
        match self.retry_after() {
            Some(delay) => Refusal::Reserved(delay),
            None => self,
        }
    }

    /// Returns the short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::BadHead(_) => "bad_head",
            Refusal::NoRoute => "no_route",
            Refusal::NoKey => "no_key",
            Refusal::TooLarge(_) => "too_large",
            Refusal::SlowBody => "slow_body",
            Refusal::BrokenBody => "broken_body",
            Refusal::NoMemory(_) => "no_memory",
            Refusal::NotReady(_) => "not_ready",
            Refusal::Unconfirmed(_) => "unconfirmed",
            Refusal::Busy(_) | Refusal::BusyPromised(_) | Refusal::BusyUnpromised(_) => "busy",
            Refusal::Reserved(_) => "reserved",
            Refusal::NoUpstream(_)
            | Refusal::NoUpstreamPromised(_)
            | Refusal::NoUpstreamUnpromised(_) => "no_upstream",
            Refusal::NotBefore(_) => "not_before",
            Refusal::NotTaken(_) => "not_taken",
            Refusal::Suspect(_) => "suspect",
            Refusal::Quarantined => "held",
            Refusal::NoTime(_) => "no_time",
            Refusal::TimedOut => "timed_out",
            Refusal::Lost(_) => "lost",
        }
    }

    /// Returns the response.
    pub fn response(&self) -> Response {
        let mut res = text(self.status(), format!("{self}\n"));
        if let Some(delay) = self.retry_after() {
            let seconds = format!("{:.2}", delay.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits and a decimal point");
            res.headers_mut().insert(RETRY_AFTER, value);
        }
        res
    }
}
