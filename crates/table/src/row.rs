//! Row of the table.

use std::fmt;
use std::time::Duration;

use base::{Digest, Domains, Model, Place};

use crate::Limits;

/// Version of a plain service, which has no weights.
pub const SERVICE: &str = "service";

/// Hold without a time limit.
pub const SERVE: &str = "serve";

/// Version of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Version {
    /// Weights, identified by the digest of their manifest.
    Weights(Digest),
    /// A plain service.
    Service,
}

impl Version {
    /// Parses `service` or a digest.
    pub fn parse(s: &str) -> Option<Version> {
        match s {
            SERVICE => Some(Version::Service),
            _ => s.parse().ok().map(Version::Weights),
        }
    }

    /// Returns the digest, if the version has weights.
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

/// How long a place that is cut off from the platform may continue to serve a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Without a time limit.
    Serve,
    /// For this time after the last confirmation.
    For(Duration),
}

impl Hold {
    /// Returns whether a row that was last confirmed this long ago may still be served.
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

/// Row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Model or plain service.
    pub model: Model,
    /// Version.
    pub version: Version,
    /// Places in which it may run.
    pub places: Vec<Place>,
    /// Percentage of the traffic of the model in each of these places.
    pub share: u32,
    /// Limits.
    pub limits: Limits,
    /// Priority from 0 (lowest) to 9.
    pub priority: u8,
    /// How long a place that is cut off may continue to serve this row.
    pub hold: Hold,
}

impl Row {
    /// Returns whether the row may run in a failure domain.
    pub fn permits(&self, domain: &str, domains: &Domains) -> bool {
        self.places.iter().any(|p| domains.is_within(domain, p))
    }

    /// Returns the model and the version, in short form, for messages.
    pub fn name(&self) -> String {
        match &self.version {
            Version::Weights(digest) => format!("{} {}", self.model, digest.short()),
            Version::Service => format!("{} {SERVICE}", self.model),
        }
    }

    /// Formats the places as in the CSV column.
    pub fn places_text(&self) -> String {
        let places: Vec<String> = self.places.iter().map(Place::to_string).collect();
        places.join(";")
    }
}
