//! Places: failure domains, and regions, which are groups of them.

use std::fmt;

use crate::{DomainName, RegionName};

/// Prefix that marks a region in a list of places.
const REGION_PREFIX: &str = "region:";

/// Place in which a row of the table may run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    /// A failure domain.
    Domain(DomainName),
    /// All failure domains of a region.
    Region(RegionName),
}

impl Place {
    /// Parses a place such as `recife` or `region:nordeste`.
    pub fn parse(s: &str) -> Place {
        match s.strip_prefix(REGION_PREFIX) {
            Some(region) => Place::Region(region.to_owned()),
            None => Place::Domain(s.to_owned()),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Domain(name) => f.write_str(name),
            Place::Region(name) => write!(f, "{REGION_PREFIX}{name}"),
        }
    }
}

/// Failure domains of a deployment, each with its region.
#[derive(Debug, Clone, Default)]
pub struct Domains {
    list: Vec<(DomainName, RegionName)>,
}

impl Domains {
    /// Creates a set of failure domains, kept in the given order.
    pub fn new(list: Vec<(DomainName, RegionName)>) -> Domains {
        Domains { list }
    }

    /// Returns the names of all failure domains.
    pub fn names(&self) -> impl Iterator<Item = &DomainName> {
        self.list.iter().map(|(name, _)| name)
    }

    /// Returns whether there is a failure domain of this name.
    pub fn contains(&self, domain: &str) -> bool {
        self.names().any(|name| name == domain)
    }

    /// Returns the region of a failure domain; `None` if it isn't one of these.
    pub fn region(&self, domain: &str) -> Option<&RegionName> {
        let known = self.list.iter().find(|(name, _)| name == domain);
        known.map(|(_, region)| region)
    }

    /// Returns whether the place has at least one of these failure domains.
    pub fn contains_place(&self, place: &Place) -> bool {
        self.names().any(|name| self.is_within(name, place))
    }

    /// Returns whether the failure domain is one of these and lies within the place.
    pub fn is_within(&self, domain: &str, place: &Place) -> bool {
        match place {
            Place::Domain(name) => name == domain && self.contains(domain),
            Place::Region(region) => self.list.iter().any(|(d, r)| d == domain && r == region),
        }
    }
}
