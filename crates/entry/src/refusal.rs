//! Responses to requests that got none from an upstream.
//!
//! Each refusal has a stable code, an HTTP status, an outcome and, where a retry helps, a
//! retry-after time. Its message names the remedy.

use std::time::Duration;

use base::{Outcome, header};
use displaydoc::Display;
use serde::Serialize;
use web::Response;

/// Reason why a request got no response from an upstream.
#[derive(Debug, Clone, Display)]
pub enum Refusal {
    /// {0}; mend the request
    Malformed(String),
    /// the body is larger than {0} bytes; send less
    TooLarge(usize),
    /// the body did not come within {0:?}; send it sooner
    SlowBody(Duration),
    /// there is no such path; use /v1/completions, /v1/chat/completions or /services/NAME/
    NoPath,
    /// no row of the table names {0}; check the model's name
    NoModel(String),
    /// {0} may not run in {1}; call an entry in one of {2}
    OutsidePlace(String, String, String),
    /// the table could not be confirmed within the row's hold, so {0} is not served here; come back later or call another failure domain
    HoldLapsed(String),
    /// this entry has no table as yet; come back in a moment
    NoTable,
    /// {0} is over its limit of {1}; come back after the time given
    OverLimit(String, &'static str, Duration),
    /// too many requests are waiting; come back after the time given
    Overloaded(Duration),
    /// the request could not end within its deadline; come back after the time given, or give it more
    NoTime(Duration),
    /// no upstream in a permitted place has {0} ready; come back after the time given
    NoUpstream(String, Duration),
    /// every upstream that was asked refused; come back after the time given
    AllRefused(Duration),
    /// the retry budget is used up; come back after the time given
    NoRetries(Duration),
    /// the idempotency key could not be claimed because the platform is down; come back after the time given
    NoClaim(Duration),
    /// the idempotency key was used with another body; use a new key
    KeyReused,
    /// a request with this idempotency key is running; come back after the time given with the same key
    KeyRunning(Duration),
    /// a request with this idempotency key may have run and its answer is gone; check its effect before using a new key
    KeyUnknown,
    /// the answer was lost after the request was sent ({0}); it may have run
    Lost(String),
    /// the deadline passed after the request was sent; it may have run
    LateAnswer,
    /// this entry is stopping; send the request again, it goes to another
    Stopping,
}

/// Retry-after time without a better estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: String,
    outcome: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns the stable code.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Malformed(_) => "malformed",
            Refusal::TooLarge(_) => "too_large",
            Refusal::SlowBody(_) => "slow_body",
            Refusal::NoPath => "no_path",
            Refusal::NoModel(_) => "no_model",
            Refusal::OutsidePlace(..) => "outside_place",
            Refusal::HoldLapsed(_) => "hold_lapsed",
            Refusal::NoTable => "no_table",
            Refusal::OverLimit(..) => "over_limit",
            Refusal::Overloaded(_) => "overloaded",
            Refusal::NoTime(_) => "no_time",
            Refusal::NoUpstream(..) => "no_upstream",
            Refusal::AllRefused(_) => "all_refused",
            Refusal::NoRetries(_) => "no_retries",
            Refusal::NoClaim(_) => "no_claim",
            Refusal::KeyReused => "key_reused",
            Refusal::KeyRunning(_) => "key_running",
            Refusal::KeyUnknown => "key_unknown",
            Refusal::Lost(_) => "lost",
            Refusal::LateAnswer => "late_answer",
            Refusal::Stopping => "stopping",
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::TooLarge(_) => 413,
            Refusal::SlowBody(_) => 408,
            Refusal::NoPath | Refusal::NoModel(_) => 404,
            Refusal::OutsidePlace(..) => 421,
            Refusal::OverLimit(..) => 429,
            Refusal::KeyReused => 422,
            Refusal::KeyRunning(_) | Refusal::KeyUnknown => 409,
            Refusal::Lost(_) => 502,
            Refusal::LateAnswer | Refusal::NoTime(_) => 504,
            Refusal::HoldLapsed(_)
            | Refusal::NoTable
            | Refusal::Overloaded(_)
            | Refusal::NoUpstream(..)
            | Refusal::AllRefused(_)
            | Refusal::NoRetries(_)
            | Refusal::NoClaim(_)
            | Refusal::Stopping => 503,
        }
    }

    /// Returns the outcome of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Refusal::KeyRunning(_)
            | Refusal::KeyUnknown
            | Refusal::Lost(_)
            | Refusal::LateAnswer => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the time after which a retry helps, if it does.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::OverLimit(_, _, after)
            | Refusal::Overloaded(after)
            | Refusal::NoTime(after)
            | Refusal::NoUpstream(_, after)
            | Refusal::AllRefused(after)
            | Refusal::NoRetries(after)
            | Refusal::NoClaim(after)
            | Refusal::KeyRunning(after) => Some(*after),
            Refusal::NoTable | Refusal::Stopping | Refusal::HoldLapsed(_) => {
                Some(DEFAULT_RETRY_AFTER)
            }
            _ => None,
        }
    }

    /// Builds the response to the caller.
    pub fn response(&self, request: &str) -> Response {
        let body = ErrorBody {
            error: ErrorDetail {
                code: self.code(),
                message: self.to_string(),
                outcome: self.outcome().as_str(),
                request,
                retry_after_ms: self.retry_after().map(|d| d.as_millis() as u64),
            },
        };
        let text = serde_json::to_string(&body).expect("a refusal is plain data");
        let mut res = web::json(self.status(), text);
        let headers = res.headers_mut();
        web::set_header(headers, header::OUTCOME, self.outcome().as_str());
        web::set_header(headers, header::REQUEST, request);
        if let Some(after) = self.retry_after() {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            web::set_header(headers, "retry-after", &seconds.to_string());
        }
        res
    }
}
