//! Sums of loads by upstream, updated incrementally: the cost of an update depends on its size, not on the number of
//! gateways that have sent one.

use std::net::SocketAddr;

use base::Map;
use beacon::Load;
use decide::outlier_detection::OutcomeCounts;

use crate::loads::PeerLoad;

/// Sum of the loads at one upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Sum {
    requests: u32,
    unread: u64,
    failed: u32,
    answered: u32,
}

/// Sums by upstream.
#[derive(Debug, Default)]
pub(crate) struct LoadSums {
    sums: Map<SocketAddr, Sum>,
}

impl LoadSums {
    /// Adds loads.
    pub(crate) fn add(&mut self, loads: &[Load]) {
        for load in loads {
            let sum = self.sums.entry(load.upstream).or_default();
            sum.requests += u32::from(load.requests);
            sum.unread += u64::from(load.unread);
            sum.failed += u32::from(load.failed);
            sum.answered += u32::from(load.answered);
        }
    }

    /// Subtracts loads that were added before.
    pub(crate) fn remove(&mut self, loads: &[Load]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.upstream) else {
                continue;
            };
            sum.requests = sum.requests.saturating_sub(u32::from(load.requests));
            sum.unread = sum.unread.saturating_sub(u64::from(load.unread));
            sum.failed = sum.failed.saturating_sub(u32::from(load.failed));
            sum.answered = sum.answered.saturating_sub(u32::from(load.answered));
            if *sum == Sum::default() {
                self.sums.remove(&load.upstream);
            }
        }
    }

    /// Returns the sum of the loads at an upstream.
    pub(crate) fn get(&self, upstream: &SocketAddr) -> PeerLoad {
        let sum = self.sums.get(upstream).copied().unwrap_or_default();
        PeerLoad {
            requests: sum.requests,
            unread: sum.unread,
            outcomes: OutcomeCounts {
                failed: f64::from(sum.failed),
                answered: f64::from(sum.answered),
            },
        }
    }

    /// Iterates over the upstreams with any load.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &SocketAddr> {
        self.sums.keys()
    }
}
