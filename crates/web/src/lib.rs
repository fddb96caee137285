//! HTTP/1.1 with `hyper`: servers with limits, clients with connection pools, and bodies.

pub mod body;
pub mod caller_stream;
pub mod client;
pub mod server;

pub use body::{Body, BodyError, empty, full, read_body, read_with_idle_timeout, read_with_memory};
pub use caller_stream::{CallerStream, GuardedBody, RequestGuard, RequestState, Timeouts};
pub use client::{Client, DialOptions, SendError};
pub use server::{ServerLimits, StopSignal, serve};

/// Request received by a server.
pub type Request = hyper::Request<hyper::body::Incoming>;

/// Response returned by a server.
pub type Response = hyper::Response<Body>;

/// Creates a plain-text response.
pub fn text(status: u16, s: impl Into<String>) -> Response {
    let mut res = hyper::Response::new(full(s.into()));
    *res.status_mut() = hyper::StatusCode::from_u16(status).expect("valid status code");
    res
}

/// Creates a JSON response.
pub fn json(status: u16, s: impl Into<String>) -> Response {
    let mut res = text(status, s);
    let value = hyper::header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    res
}

/// Returns the value of a header, if it is present and visible ASCII.
pub fn header<'a>(headers: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Sets a header; does nothing if the value is not a valid header value.
pub fn set_header(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
