//! Metadata that an entry sends with a request, in headers.

use std::time::Duration;

use base::{DomainName, Model, RequestId, header};
use displaydoc::Display;
use hyper::HeaderMap;
use table::Version;

/// Metadata of a request.
#[derive(Debug, Clone)]
pub struct RequestMetadata {
    /// Request id.
    pub id: RequestId,
    /// Model, or name of a plain service.
    pub model: Model,
    /// Version that the request is pinned to.
    pub version: Version,
    /// Remaining time until the deadline.
    pub remaining: Duration,
    /// Failure domain of the entry.
    pub domain: DomainName,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
}

/// the header {0} is missing or makes no sense; send requests through an entry
#[derive(Debug, Display)]
pub struct InvalidHeader(&'static str);

impl std::error::Error for InvalidHeader {}

/// Maximum length of a header value, in bytes.
const MAX_NAME: usize = 128;

impl RequestMetadata {
    /// Reads the metadata from the headers of a request.
    ///
    /// # Errors
    /// The first header that is missing or invalid.
    pub fn read(headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader> {
        let text = |name: &'static str| {
            web::header(headers, name)
                .filter(|s| !s.is_empty() && s.len() <= MAX_NAME)
                .ok_or(InvalidHeader(name))
        };
        let ms: u64 = text(header::DEADLINE)?
            .parse()
            .map_err(|_| InvalidHeader(header::DEADLINE))?;
        Ok(RequestMetadata {
            id: text(header::REQUEST)?.to_owned(),
            model: text(header::MODEL)?.to_owned(),
            version: Version::parse(text(header::VERSION)?)
                .ok_or(InvalidHeader(header::VERSION))?,
            remaining: Duration::from_millis(ms),
            domain: text(header::DOMAIN)?.to_owned(),
            at_most_once: web::header(headers, header::UNSAFE) == Some("true"),
        })
    }
}
