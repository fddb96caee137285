//! One row of the table.

use std::fmt;
use std::time::Duration;

use base::{Digest, Domains, Model, Place};

use crate::Limits;

/// Word for the version of a plain service, which has no weights.
pub const SERVICE: &str = "service";

/// Word for a row that a cut place serves without end.
pub const SERVE: &str = "serve";

/// Version of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Version {
    /// Weights, by the digest of their manifest.
    Weights(Digest),
    /// A plain service.
    Service,
}

impl Version {
    /// Reads `service` or a digest; `None` for anything else.
    pub fn parse(s: &str) -> Option<Version> {
        match s {
            SERVICE => Some(Version::Service),
            _ => s.parse().ok().map(Version::Weights),
        }
    }

    /// The digest, where the version has weights.
    pub fn digest(&self) -> Option<Digest> {
        match self {
            Version::Weights(digest) => Some(*digest),
            Version::Service => None,
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Version::Weights(digest) => digest.fmt(f),
            Version::Service => f.write_str(SERVICE),
        }
    }
}

/// How long a place cut off from the platform may go on by a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// As long as the cut lasts.
    Serve,
    /// This long after the last confirmation.
    For(Duration),
}

impl Hold {
    /// Whether a row confirmed this long ago may still be served by.
    pub fn allows(self, confirmed_ago: Duration) -> bool {
        match self {
            Hold::Serve => true,
            Hold::For(hold) => confirmed_ago <= hold,
        }
    }
}

impl fmt::Display for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Hold::Serve => f.write_str(SERVE),
            Hold::For(d) => f.write_str(&base::units::format_duration(*d)),
        }
    }
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Model or plain service.
    pub model: Model,
    /// Version.
    pub version: Version,
    /// Places it may run in.
    pub places: Vec<Place>,
    /// Percent of the model's traffic in each of its places.
    pub share: u32,
    /// Limits.
    pub limits: Limits,
    /// Priority from 0 (lowest) to 9.
    pub priority: u8,
    /// How long a cut place may go on by this row.
    pub hold: Hold,
}

impl Row {
    /// Whether the row may run in a failure domain.
    pub fn permits(&self, domain: &str, domains: &Domains) -> bool {
        self.places.iter().any(|p| domains.is_within(domain, p))
    }

    /// What tells one row from another: model, version and places.
    pub fn name(&self) -> String {
        match &self.version {
            Version::Weights(digest) => format!("{} {}", self.model, digest.short()),
            Version::Service => format!("{} {SERVICE}", self.model),
        }
    }

    /// Places in the form of the CSV column.
    pub fn places_text(&self) -> String {
        let places: Vec<String> = self.places.iter().map(Place::to_string).collect();
        places.join(";")
    }
}
