//! HTTP/1.1 on both sides, by `hyper`: bounded servers, pooled clients, small bodies.

pub mod body;
pub mod client;
pub mod server;

pub use body::{Body, BodyError, empty, full, read_body, read_with_idle_timeout};
pub use client::{Client, DialOptions, SendError};
pub use server::{ServerLimits, StopSignal, serve};

/// A request as a server gets it.
pub type Request = hyper::Request<hyper::body::Incoming>;

/// A response as a server gives it.
pub type Response = hyper::Response<Body>;

/// A plain-text answer.
pub fn text(status: u16, s: impl Into<String>) -> Response {
    let mut res = hyper::Response::new(full(s.into()));
    *res.status_mut() = hyper::StatusCode::from_u16(status).expect("a known status");
    res
}

/// A JSON answer.
pub fn json(status: u16, s: impl Into<String>) -> Response {
    let mut res = text(status, s);
    let value = hyper::header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    res
}

/// A header as text, where it is there and is text.
pub fn header<'a>(headers: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Sets a header; a value that is no header text is left out.
pub fn set_header(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
