//! Short runs of the soak test from fixed seeds; `driftnotch-soak` performs longer ones.

use std::path::PathBuf;
use std::time::Duration;

use soak::deadly::DeadlyKind;
use soak::options::{Options, Seed};

/// Length of the phase with faults.
const FAULT_TIME: Duration = Duration::from_secs(4);

/// Seeds that are always run; a seed that ever violated an invariant stays here, with its cause. On 211 a gateway got
/// SIGTERM twice, which then terminated it immediately with an error, and the soak test took that for an unexpected exit.
const SEEDS: [Seed; 3] = [1, 2, 211];

/// Length of the phase with faults on the seeds of `DENYING`.
const LONG_FAULT_TIME: Duration = Duration::from_secs(10);

/// Seeds on which gateways denied requests on routes and keys that had been added longer ago than the bound. On 105 a
/// store on a narrow link is briefly unavailable and then responds late, and gateways deny by the second of 13 versions.
/// On 10 gateways stay behind permanently: the response to a watch, with every missed change, exceeds the size that they
/// read.
const DENYING: [Seed; 2] = [105, 10];

/// Length of the phase with faults on the seed of `RESTORED_SEED`.
const RESTORED_FAULT_TIME: Duration = Duration::from_secs(12);

/// Seed on which gateways ignored a store that was restored from a backup, and so all changes after that.
const RESTORED_SEED: Seed = 3001;

/// Seed on which callers send the deadly request, under which engines exit.
const DEADLY_SEED: Seed = 700;

/// Number of these callers.
const DEADLY_CALLERS: usize = 2;

/// Seed on which gateways ended requests whose engines were only silent.
const PAUSES_SEED: Seed = 106;

/// Seed on which everything but the store loses power.
const POWER_LOSS_SEED: Seed = 1300;

/// Seed on which loaders waited for a version that the origin had withdrawn, and engines didn't get the newest one.
const RELEASES_SEED: Seed = 7104;

/// Length of the phase with faults on that seed.
const RELEASES_FAULT_TIME: Duration = Duration::from_secs(12);

fn options(fault_time: Duration) -> Options {
    Options {
        fault_time,
        ..Options::small(PathBuf::from(env!("CARGO_BIN_EXE_driftnotch")))
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_invariant_is_violated_under_overlapping_faults() {
    for seed in SEEDS {
        println!("seed {seed}");

        let report = soak::run(options(FAULT_TIME), seed)
            .await
            .expect("the run completes");

        assert_eq!(report.violations, [], "seed {seed}: {:?}", report.faults);
        assert!(report.served > 0 && !report.faults.is_empty());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_allowed_request_is_denied_by_gateways_that_are_behind() {
    for seed in DENYING {
        println!("seed {seed}");

        let report = soak::run(options(LONG_FAULT_TIME), seed)
            .await
            .expect("the run completes");

        assert_eq!(report.violations, [], "seed {seed}: {:?}", report.faults);
        assert!(report.served > 0 && !report.changes.is_empty());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_invariant_is_violated_while_the_store_is_restored_from_backups() {
    let options = Options {
        restores: true,
        ..options(RESTORED_FAULT_TIME)
    };
    println!("seed {RESTORED_SEED}");

    let report = soak::run(options, RESTORED_SEED)
        .await
        .expect("the run completes");

    assert_eq!(
        report.violations,
        [],
        "seed {RESTORED_SEED}: {:?}",
        report.faults
    );
    assert!(report.served > 0 && !report.changes.is_empty());
}

async fn assert_deadly_requests_are_quarantined(deadly_kind: DeadlyKind) {
    let options = Options {
        deadly: DEADLY_CALLERS,
        deadly_kind,
        ..options(FAULT_TIME)
    };
    println!("seed {DEADLY_SEED}");

    let report = soak::run(options, DEADLY_SEED)
        .await
        .expect("the run completes");

    assert_eq!(
        report.violations,
        [],
        "seed {DEADLY_SEED}: {:?}",
        report.faults
    );
    assert!(report.served > 0 && report.engine_exits > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantines_request_under_which_engines_exit_during_faults() {
    assert_deadly_requests_are_quarantined(DeadlyKind::Request).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantines_prompt_part_under_which_engines_exit_during_faults() {
    assert_deadly_requests_are_quarantined(DeadlyKind::Part).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_is_interrupted_while_engines_pause() {
    let options = Options {
        pauses: true,
        ..options(FAULT_TIME)
    };
    println!("seed {PAUSES_SEED}");

    let report = soak::run(options, PAUSES_SEED)
        .await
        .expect("the run completes");

    assert_eq!(
        report.violations,
        [],
        "seed {PAUSES_SEED}: {:?}",
        report.faults
    );
    assert!(report.served > 0 && !report.changes.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recovers_from_power_loss_right_after_a_change() {
    let options = Options {
        power_loss: true,
        ..options(FAULT_TIME)
    };
    println!("seed {POWER_LOSS_SEED}");

    let report = soak::run(options, POWER_LOSS_SEED)
        .await
        .expect("the run completes");

    assert_eq!(
        report.violations,
        [],
        "seed {POWER_LOSS_SEED}: {:?}",
        report.faults
    );
    assert!(report.served > 0 && !report.changes.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_get_the_newest_version_after_releases_during_outages_of_the_origin() {
    let options = Options {
        releases: true,
        ..options(RELEASES_FAULT_TIME)
    };
    println!("seed {RELEASES_SEED}");

    let report = soak::run(options, RELEASES_SEED)
        .await
        .expect("the run completes");

    assert_eq!(
        report.violations,
        [],
        "seed {RELEASES_SEED}: {:?}",
        report.faults
    );
    assert!(report.served > 0);
}
