//! What a request and an answer say of themselves.

use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use base::{Domains, Fingerprint, Model};
use bytes::Bytes;
use catalog::{ApiKey, Route, ServiceName, WeightsVersion, WorkspacePolicy};
use decide::DeadlineClass;
use decide::residency::is_allowed;
use hyper::HeaderMap;
use hyper::http::{request, response};

use crate::spans::Spans;

/// Id that a caller gave one attempt.
pub type AttemptId = String;

/// Id of an event of a stream.
pub type EventId = String;

/// What a caller says of its request.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// Id of the caller's attempt.
    pub attempt_id: AttemptId,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Key it shows.
    pub key: Option<ApiKey>,
    /// Host it names.
    pub host: String,
    /// Model it asks for.
    pub model: Option<Model>,
    /// Size of its prompt.
    pub prompt_tokens: u64,
    /// Most tokens it wants generated.
    pub max_tokens: u64,
    /// The caller's estimate of the tokens that will be generated.
    pub expected_tokens: Option<u64>,
    /// Last part of the prompt that other requests share: its session or subject.
    pub shared_prefix: Option<String>,
    /// Event after which a stream is to go on.
    pub last_event_id: Option<EventId>,
}

/// What an upstream is told beside what the caller sent.
#[derive(Debug)]
pub struct ForwardMetadata<'a> {
    /// Time left.
    pub remaining: Duration,
    /// Incarnation that alone may run the request.
    pub instance: &'a str,
    /// Version of the weights that alone may run it.
    pub version: Option<WeightsVersion>,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Rank.
    pub priority: u8,
    /// Event after which a stream is to go on, where it isn't the caller's.
    pub last_event_id: Option<&'a str>,
}

/// Value of a header that an upstream may add to an answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Advertised<T> {
    /// The header isn't there.
    #[default]
    Absent,
    /// Its value.
    Value(T),
    /// Its text, which can't be parsed.
    Invalid(String),
}

/// What the head of an answer says.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Attempt that it answers.
    pub attempt_id: Option<AttemptId>,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// Whether the request has not run and never will.
    pub not_run: bool,
    /// Incarnation that answered.
    pub instance: Option<String>,
    /// Time for which the upstream stays cold, where it says so.
    pub cold_for: Option<Duration>,
    /// Requests a second that the upstream takes of all gateways together.
    pub rate_limit: Advertised<f64>,
    /// Whether the upstream is draining.
    pub draining: Advertised<bool>,
    /// Time for which an upstream that rejects the request wants no others of this gateway.
    pub back_off: Advertised<Duration>,
}

/// Why a head can't be read.
#[derive(Debug)]
pub struct InvalidHead(pub String);

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Functions that read and write the platform's headers.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads a request's head.
    pub parse_request: fn(&request::Parts) -> Result<RequestMetadata, InvalidHead>,
    /// Headers for an upstream, from those that the caller sent.
    pub request_headers: fn(&HeaderMap, &ForwardMetadata<'_>) -> HeaderMap,
    /// Reads an answer's head.
    pub parse_response: fn(&response::Parts) -> ResponseMetadata,
    /// Headers for the caller, from those that the upstream sent.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
}

/// A whole request on its way, with what was decided on it.
#[derive(Debug)]
pub struct RoutedRequest {
    /// What it says of itself.
    pub metadata: RequestMetadata,
    /// Method, path and headers as the caller sent them.
    pub head: request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service drawn from the route's shares.
    pub service: ServiceName,
    /// Who called; `None` on public routes without a known key.
    pub workspace: Option<Arc<WorkspacePolicy>>,
    /// Whether it can still be served in its objective.
    pub deadline_class: DeadlineClass,
    /// When its head was read.
    pub arrived: Instant,
    /// When it gets its final answer at the latest.
    pub deadline: Instant,
    /// Where its time goes.
    pub spans: Arc<Spans>,
    /// Filled in by [`RoutedRequest::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
}

impl RoutedRequest {
    /// Rank, 0 being the most urgent.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|t| t.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Time left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// How long a silent upstream is waited for: a request that may be sent again isn't left with one
    /// for longer than `stall_time`.
    pub fn response_timeout(&self, stall_time: Duration) -> Duration {
        match self.is_retryable() {
            true => self.remaining().min(stall_time),
            false => self.remaining(),
        }
    }

    /// What all attempts of this request have in common: what runs, and for whom. The attempt's id and the
    /// time that is left differ each time; another service or workspace makes another request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let workspace = self.workspace.as_ref().map(|t| t.workspace.as_bytes());
            let target = self
                .head
                .uri
                .path_and_query()
                .map(|p| p.as_str().as_bytes());
            Fingerprint::of(&[
                self.service.as_bytes(),
                workspace.unwrap_or_default(),
                self.head.method.as_str().as_bytes(),
                target.unwrap_or_default(),
                &self.body,
            ])
        })
    }

    /// Returns whether it may run in a failure domain.
    pub fn can_run_in(&self, domains: &Domains, domain: &str) -> bool {
        let workspace = self
            .workspace
            .as_ref()
            .map_or(&[][..], |t| &t.allowed_places);
        is_allowed(domains, domain, &self.route.allowed_places, workspace)
    }

    /// Whether it may be sent again after it may have run.
    pub fn is_retryable(&self) -> bool {
        self.route.kind.is_repeatable()
    }
}
