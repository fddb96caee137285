//! Time that a request spends in each span.

use std::time::{Duration, Instant};

use gateway::spans::{Span, Spans};

/// Returns the instant `ms` milliseconds ago.
fn ago(ms: u64) -> Instant {
    let now = clock::now();
    now.checked_sub(Duration::from_millis(ms))
        .expect("the machine is up for longer")
}

#[test]
fn sums_spans_over_attempts() {
    let spans = Spans::default();

    spans.add(Span::Connect, ago(20));
    spans.add(Span::Connect, ago(30));

    assert!(spans.time(Span::Connect) >= Duration::from_millis(50));
    assert_eq!(spans.time(Span::Queue), Duration::ZERO);
}

#[test]
fn displays_all_spans_in_path_order() {
    let spans = Spans::default();

    let line = spans.to_string();

    assert_eq!(
        line,
        "admit:0.0,line:0.0,connect:0.0,head:0.0,first_event:0.0"
    );
}
