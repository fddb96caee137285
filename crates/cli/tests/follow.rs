//! A small run of `follow`, which measures the time from the acknowledgement of a change until it is in force. The
//! latencies themselves are not asserted.

use std::path::PathBuf;

use follow::options::{Cell, Fault, Feed, LINK_MBIT, Options, POLL_INTERVAL, Seed};

const SEED: Seed = 1;

fn options() -> Options {
    Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_driftnotch")),
        gateways: 4,
        domains: 2,
        link_mbit: LINK_MBIT,
        feed: Feed::Rows,
        poll_interval: POLL_INTERVAL,
        keep: false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_each_change_at_each_gateway_and_store_reads_of_each_failure_domain() {
    println!("seed {SEED}");
    let cell = Cell {
        routes: 20,
        rate: 1.0,
        fault: Fault::FirstSilent,
    };

    let report = follow::run(&options(), cell, SEED).await.expect("a run");

    assert!(report.changes > 0);
    assert_eq!(report.at_gateways_ms.count, report.changes * 4);
    assert_eq!(report.at_last_ms.count, report.changes);
    assert_eq!(report.store.calls.len(), 2);
    assert!(report.store.calls.iter().all(|calls| *calls > 0));
    assert!(report.store.bytes.iter().all(|bytes| *bytes > 0));
}
