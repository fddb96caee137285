//! Metadata of requests and responses, and the request as it passes through the gateway.

use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use base::{Domains, Fingerprint, Model};
use bytes::Bytes;
use catalog::{ApiKey, Route, ServiceName, Urgency, WeightsVersion, WorkspacePolicy, urgency};
use decide::DeadlineClass;
use decide::priority::Rank;
use decide::residency::is_allowed;
use hyper::HeaderMap;
use hyper::http::{request, response};

use crate::spans::Spans;

/// Id of one attempt, given by the caller.
pub type AttemptId = String;

/// Id of an event in a stream.
pub type EventId = String;

/// Id of a part of a prompt, given by the caller.
pub type PromptPart = String;

/// Metadata of a request, from its head.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Caller's timeout.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<ApiKey>,
    /// Requested host.
    pub host: String,
    /// Requested model.
    pub model: Option<Model>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Caller's estimate of the number of generated tokens.
    pub expected_tokens: Option<u64>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// Event after which to resume a stream.
    pub last_event_id: Option<EventId>,
}

/// Metadata that the gateway adds to a request for an upstream.
#[derive(Debug)]
pub struct ForwardMetadata<'a> {
    /// Time until the deadline.
    pub remaining: Duration,
    /// The only instance that may run the request.
    pub instance: &'a str,
    /// The only version of the weights that may run it.
    pub version: Option<WeightsVersion>,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Priority, 0 being the most urgent.
    pub priority: u8,
    /// Event after which to resume a stream, in place of the caller's.
    pub last_event_id: Option<&'a str>,
}

/// Value of an optional header in an upstream's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Advertised<T> {
    /// The header is absent.
    #[default]
    Absent,
    /// Parsed value.
    Value(T),
    /// Text that can't be parsed.
    Invalid(String),
}

/// Metadata of a response, from its head.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// Attempt that the response answers.
    pub attempt_id: Option<AttemptId>,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// Whether the upstream guarantees that the request has not run and never will.
    pub not_run: bool,
    /// Instance that answered.
    pub instance: Option<String>,
    /// Time for which the upstream stays cold, if stated.
    pub cold_for: Option<Duration>,
    /// Requests a second that the upstream accepts from all gateways together.
    pub rate_limit: Advertised<f64>,
    /// Whether the upstream is draining.
    pub draining: Advertised<bool>,
    /// Time for which an upstream that rejects the request wants no further ones from this gateway.
    pub back_off: Advertised<Duration>,
}

/// Reason why a request head is invalid.
#[derive(Debug)]
pub struct InvalidHead(pub String);

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Functions that parse and build the platform's headers.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Parses the head of a request.
    pub parse_request: fn(&request::Parts) -> Result<RequestMetadata, InvalidHead>,
    /// Builds the headers for an upstream from those of the caller.
    pub request_headers: fn(&HeaderMap, &ForwardMetadata<'_>) -> HeaderMap,
    /// Parses the head of a response.
    pub parse_response: fn(&response::Parts) -> ResponseMetadata,
    /// Builds the headers for the caller from those of the upstream.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
}

/// Returns the priority of a workspace's requests on a route, 0 being the most urgent.
pub(crate) fn priority(route: &Route, workspace: Option<&WorkspacePolicy>) -> u8 {
    let own = workspace.and_then(|w| w.priority);
    own.unwrap_or(route.priority)
}

/// Returns what all attempts of a request have in common: workspace, method, path with query, and body.
pub(crate) fn content<'a>(
    workspace: Option<&'a WorkspacePolicy>,
    head: &'a request::Parts,
    body: &'a Bytes,
) -> [&'a [u8]; 4] {
    let workspace = workspace.map_or("", |w| &w.workspace);
    let target = head.uri.path_and_query().map_or("", |p| p.as_str());
    let method = head.method.as_str();
    [
        workspace.as_bytes(),
        method.as_bytes(),
        target.as_bytes(),
        body,
    ]
}

/// A complete request with the routing decisions made for it.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Metadata from its head.
    pub metadata: RequestMetadata,
    /// Method, path and headers as the caller sent them.
    pub head: request::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service, drawn at random by the route's shares.
    pub service: ServiceName,
    /// Workspace of the caller; `None` on public routes without a known key.
    pub workspace: Option<Arc<WorkspacePolicy>>,
    /// Whether it can still be served within its objective.
    pub deadline_class: DeadlineClass,
    /// Rank by which it is admitted; `None` if the routes of its service have the same priority.
    pub rank: Option<Rank>,
    /// Objective that bounds its queueing time and the prompts ahead of it.
    pub bound_objective: Duration,
    /// Whether its caller retries sooner or more often than it was told.
    pub is_out_of_turn: bool,
    /// When the head was read.
    pub arrived: Instant,
    /// Estimated time since the caller's first attempt when the head was read.
    pub attempt_age: Duration,
    /// Latest time for the final response.
    pub deadline: Instant,
    /// Time spent in each span.
    pub spans: Arc<Spans>,
    /// Cached result of [`RoutedRequest::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
}

impl RoutedRequest {
    /// Returns the priority, 0 being the most urgent.
    pub fn priority(&self) -> u8 {
        priority(&self.route, self.workspace.as_deref())
    }

    /// Returns the caller's estimate of the number of generated tokens, or else their maximum number.
    pub fn expected_tokens(&self) -> u64 {
        let expected = self.metadata.expected_tokens;
        expected.unwrap_or(self.metadata.max_tokens)
    }

    /// Returns the urgency by which it is admitted.
    pub fn urgency(&self) -> Urgency {
        urgency(
            &self.route,
            self.workspace.as_ref().and_then(|w| w.priority),
        )
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Returns the fingerprint that all attempts of this request share: of what runs, and for which workspace. The
    /// attempt id and the remaining time differ between attempts; another service or workspace makes a different
    /// request.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let [workspace, method, target, body] =
                content(self.workspace.as_deref(), &self.head, &self.body);
            Fingerprint::of(&[self.service.as_bytes(), workspace, method, target, body])
        })
    }

    /// Returns the fingerprints of the shared parts of its prompt, which differ between services.
    pub fn part_fingerprints(&self) -> Vec<Fingerprint> {
        let parts = self.metadata.shared_parts.iter();
        let fingerprint =
            |id: &PromptPart| Fingerprint::of(&[self.service.as_bytes(), b"part", id.as_bytes()]);
        parts.map(fingerprint).collect()
    }

    /// Returns whether the request may run in a failure domain.
    pub fn can_run_in(&self, domains: &Domains, domain: &str) -> bool {
        let workspace = self
            .workspace
            .as_ref()
            .map_or(&[][..], |w| &w.allowed_places);
        is_allowed(domains, domain, &self.route.allowed_places, workspace)
    }

    /// Returns whether the request may be sent again although it may have run.
    pub fn is_retryable(&self) -> bool {
        self.route.kind.is_repeatable()
    }
}
