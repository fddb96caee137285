//! Tests of the state of an upstream.

use std::time::Duration;

use entry::membership::upstream::Upstream;
use table::Version;
use wire::{AgentInfo, Heartbeat, Holding};

const LEASE: Duration = Duration::from_secs(60);

fn upstream() -> Upstream {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let info = AgentInfo {
        vm: "vm-1".to_owned(),
        domain: "recife".to_owned(),
        incarnation: 1,
        listen: addr,
        peer: addr,
        service: true,
        repeatable: true,
    };
    Upstream::new(info, LEASE)
}

/// Returns a heartbeat with a live version, or one that states that nothing has changed since.
fn heartbeat(same_holdings: bool) -> Heartbeat {
    let holding = Holding {
        model: "m".to_owned(),
        version: Version::Service,
        live: true,
        permille: 1000,
    };
    Heartbeat {
        revision: 1,
        running: 0,
        leaving: false,
        holdings: match same_holdings {
            true => Vec::new(),
            false => vec![holding],
        },
        entries_seen: 0,
        same_holdings,
    }
}

fn is_live(upstream: &Upstream) -> bool {
    upstream.live_since("m", &Version::Service).is_some()
}

/// Guards against leaving an upstream unused for good after one refusal, when its version was missing for so short a time
/// that its agent's heartbeats never said so.
#[test]
fn refused_version_is_live_again_after_the_next_heartbeat() {
    let upstream = upstream();
    upstream.apply_heartbeat(heartbeat(false), LEASE);
    upstream.mark_not_live("m", &Version::Service);
    let after_refusal = is_live(&upstream);

    upstream.apply_heartbeat(heartbeat(true), LEASE);

    assert!(!after_refusal);
    assert!(is_live(&upstream));
}

/// The same for an upstream that other entries of the failure domain report.
#[test]
fn refused_version_is_live_again_after_the_next_report_of_another_entry() {
    let upstream = upstream();
    upstream.apply_heartbeat(heartbeat(false), LEASE);
    upstream.mark_not_live("m", &Version::Service);
    let after_refusal = is_live(&upstream);

    upstream.renew_lease(LEASE);

    assert!(!after_refusal);
    assert!(is_live(&upstream));
}

/// Guards against sending requests again and again to an upstream of another failure domain that has dropped a version:
/// its sampled reports never say so.
#[test]
fn version_refused_in_another_domain_is_live_again_only_when_it_is_reported() {
    let upstream = upstream();
    upstream.mark_live("m", &Version::Service, LEASE);
    upstream.mark_not_live("m", &Version::Service);

    upstream.renew_lease(LEASE);
    let after_renewal = is_live(&upstream);
    upstream.mark_live("m", &Version::Service, LEASE);

    assert!(!after_renewal);
    assert!(is_live(&upstream));
}
