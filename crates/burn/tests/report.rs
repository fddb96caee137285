//! Reports compared with results computed by hand.

use burn::{EntryHistory, Event, History, Objective, Objectives, Report, Series};

fn objectives() -> Objectives {
    Objectives {
        available: Objective { per_mille: 990 },
        first_token: Objective { per_mille: 950 },
        between_tokens: Objective { per_mille: 950 },
    }
}

fn record(h: &mut History, minute: u64, row: &str, workspace: &str, good: u32, bad: u32) {
    for i in 0..good + bad {
        let served = i < good;
        h.record(minute, row, workspace, Event::Completed { served });
    }
}

/// History of one entry. Row `m`: 1000 requests three hours ago, 10 of them bad, and 100 now, 5 of them
/// bad. Row `n`: 900 requests now, all good.
fn sample_history() -> EntryHistory {
    let mut h = History::default();
    record(&mut h, 0, "m", "large", 990, 10);
    record(&mut h, 180, "m", "small", 95, 5);
    record(&mut h, 180, "n", "large", 900, 0);
    EntryHistory {
        domain: "recife".into(),
        series: h.snapshot(180),
    }
}

fn line<'a>(report: &'a Report, by: &str, name: &str, objective: &str) -> &'a burn::Line {
    let same = |l: &&burn::Line| l.by == by && l.name == name && l.objective == objective;
    report.lines.iter().find(same).expect("a line")
}

fn assert_close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} is not {b}");
}

#[test]
fn computes_budgets_and_burn_rates_from_counts() {
    let report = Report::new(&[sample_history()], &objectives());
    let domain = line(&report, "domain", "recife", "available");
    // 15 bad of 2000, 1% allowed: 0.0075 / 0.01.
    assert_eq!((domain.events, domain.bad), (2000, 15));
    assert_close(domain.slow_burn, 0.75);
    assert_close(domain.budget_left, 0.25);
    // In the last hour, 5 bad of 1000: 0.005 / 0.01.
    assert_close(domain.fast_burn, 0.5);
    let row = line(&report, "row", "m", "available");
    // 15 of 1100 overall; 5 of 100 in the last hour.
    assert_close(row.slow_burn, 15.0 / 1100.0 / 0.01);
    assert_close(row.fast_burn, 5.0);
    let small = line(&report, "workspace", "small", "available");
    assert_close(small.budget_left, 1.0 - 5.0);
    let unused = line(&report, "domain", "recife", "first token");
    assert_eq!(
        (unused.events, unused.slow_burn, unused.budget_left),
        (0, 0.0, 1.0)
    );
}

#[test]
fn adds_counts_of_entries_of_a_domain() {
    let report = Report::new(&[sample_history(), sample_history()], &objectives());
    let domain = line(&report, "domain", "recife", "available");
    assert_eq!((domain.events, domain.bad), (4000, 30));
    assert_close(domain.slow_burn, 0.75);
}

#[test]
fn drops_counts_older_than_the_slow_window() {
    let mut h = History::default();
    record(&mut h, 0, "m", "w", 0, 7);
    record(&mut h, burn::HISTORY_MINUTES, "m", "w", 3, 0);
    let minutes = |series: Vec<Series>| series[0].minutes.clone();
    let series = minutes(h.snapshot(burn::HISTORY_MINUTES));
    assert_eq!(series.len(), 1);
    assert_eq!(
        (series[0].0, series[0].1.ended, series[0].1.unserved),
        (0, 3, 0)
    );
    assert!(h.snapshot(3 * burn::HISTORY_MINUTES).is_empty());
}

#[test]
fn late_first_tokens_and_slow_streams_have_separate_budgets() {
    let mut h = History::default();
    for i in 0..20 {
        h.record(5, "m", "w", Event::FirstToken { late: i < 2 });
        h.record(5, "m", "w", Event::Stream { slow: i < 1 });
    }
    let entry = EntryHistory {
        domain: "recife".into(),
        series: h.snapshot(5),
    };
    let report = Report::new(&[entry], &objectives());
    // 2 of 20 and 1 of 20, 5% allowed each.
    assert_close(line(&report, "row", "m", "first token").slow_burn, 2.0);
    assert_close(line(&report, "row", "m", "between tokens").slow_burn, 1.0);
}

#[test]
fn groups_series_over_the_limit_into_one() {
    let mut h = History::default();
    for i in 0..1500 {
        record(&mut h, 1, &format!("row{i}"), "w", 1, 0);
    }
    let series = h.snapshot(1);
    assert!(series.len() <= 1001);
    let all: u64 = series
        .iter()
        .flat_map(|s| &s.minutes)
        .map(|(_, c)| c.ended)
        .sum();
    assert_eq!(all, 1500, "no event is lost");
}
