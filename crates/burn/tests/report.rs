//! The report against arithmetic worked by hand.

use burn::{EntryHistory, Event, History, Objective, Objectives, Report, Series};

fn objectives() -> Objectives {
    Objectives {
        available: Objective { per_mille: 990 },
        first_token: Objective { per_mille: 950 },
        between_tokens: Objective { per_mille: 950 },
    }
}

fn note(h: &mut History, minute: u64, row: &str, workspace: &str, good: u32, bad: u32) {
    for i in 0..good + bad {
        let served = i < good;
        h.record(minute, row, workspace, Event::Completed { served });
    }
}

/// Row `m` at one entry: 1000 requests three hours ago of which 10 bad, 100 now of which 5 bad;
/// row `n`: 900 now, all good.
fn known() -> EntryHistory {
    let mut h = History::default();
    note(&mut h, 0, "m", "large", 990, 10);
    note(&mut h, 180, "m", "small", 95, 5);
    note(&mut h, 180, "n", "large", 900, 0);
    EntryHistory {
        domain: "recife".into(),
        series: h.snapshot(180),
    }
}

fn line<'a>(report: &'a Report, by: &str, name: &str, objective: &str) -> &'a burn::Line {
    let same = |l: &&burn::Line| l.by == by && l.name == name && l.objective == objective;
    report.lines.iter().find(same).expect("a line")
}

fn close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} is not {b}");
}

#[test]
fn each_figure_follows_from_the_counts() {
    let report = Report::new(&[known()], &objectives());
    let domain = line(&report, "domain", "recife", "available");
    // 15 bad of 2000 against 1% allowed: 0.0075 / 0.01.
    assert_eq!((domain.events, domain.bad), (2000, 15));
    close(domain.slow_burn, 0.75);
    close(domain.budget_left, 0.25);
    // In the last hour 5 bad of 1000: 0.005 / 0.01.
    close(domain.fast_burn, 0.5);
    let row = line(&report, "row", "m", "available");
    // 15 of 1100 overall; 5 of 100 in the last hour.
    close(row.slow_burn, 15.0 / 1100.0 / 0.01);
    close(row.fast_burn, 5.0);
    let small = line(&report, "workspace", "small", "available");
    close(small.budget_left, 1.0 - 5.0);
    let quiet = line(&report, "domain", "recife", "first token");
    assert_eq!(
        (quiet.events, quiet.slow_burn, quiet.budget_left),
        (0, 0.0, 1.0)
    );
}

#[test]
fn entries_of_one_domain_are_added_up() {
    let report = Report::new(&[known(), known()], &objectives());
    let domain = line(&report, "domain", "recife", "available");
    assert_eq!((domain.events, domain.bad), (4000, 30));
    close(domain.slow_burn, 0.75);
}

#[test]
fn what_is_older_than_the_slow_window_is_forgotten() {
    let mut h = History::default();
    note(&mut h, 0, "m", "w", 0, 7);
    note(&mut h, burn::HISTORY_MINUTES, "m", "w", 3, 0);
    let minutes = |series: Vec<Series>| series[0].minutes.clone();
    let told = minutes(h.snapshot(burn::HISTORY_MINUTES));
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].0, told[0].1.ended, told[0].1.unserved), (0, 3, 0));
    assert!(h.snapshot(3 * burn::HISTORY_MINUTES).is_empty());
}

#[test]
fn late_first_tokens_and_slow_streams_have_their_own_budgets() {
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
    // 2 of 20 against 5% allowed; 1 of 20 against 5% allowed.
    close(line(&report, "row", "m", "first token").slow_burn, 2.0);
    close(line(&report, "row", "m", "between tokens").slow_burn, 1.0);
}

#[test]
fn series_beyond_the_bound_share_one() {
    let mut h = History::default();
    for i in 0..1500 {
        note(&mut h, 1, &format!("row{i}"), "w", 1, 0);
    }
    let told = h.snapshot(1);
    assert!(told.len() <= 1001);
    let all: u64 = told
        .iter()
        .flat_map(|s| &s.minutes)
        .map(|(_, c)| c.ended)
        .sum();
    assert_eq!(all, 1500, "none is lost");
}
