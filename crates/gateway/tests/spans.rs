//! Where the time of a request goes.

use std::time::{Duration, Instant};

use gateway::spans::{Span, Spans};

/// A moment so long ago.
fn ago(ms: u64) -> Instant {
    let now = clock::now();
    now.checked_sub(Duration::from_millis(ms))
        .expect("the machine is up for longer")
}

#[test]
fn the_time_of_several_tries_is_summed() {
    let spans = Spans::default();

    spans.add(Span::Connect, ago(20));
    spans.add(Span::Connect, ago(30));

    assert!(spans.time(Span::Connect) >= Duration::from_millis(50));
    assert_eq!(spans.time(Span::Line), Duration::ZERO);
}

#[test]
fn a_log_line_names_all_spans_in_the_order_of_the_path() {
    let spans = Spans::default();

    let line = spans.to_string();

    assert_eq!(
        line,
        "admit:0.0,line:0.0,connect:0.0,head:0.0,first_event:0.0"
    );
}
