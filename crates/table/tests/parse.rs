//! Parsing, formatting and comparison of tables.

use base::Domains;
use proptest::prelude::*;
use table::{Change, Table, diff};

const HEADER: &str = "model,version,places,share,limits,priority,hold\n";

fn domains() -> Domains {
    let pairs = [
        ("recife", "pernambuco"),
        ("fortaleza", "ceara"),
        ("crato", "ceara"),
    ];
    Domains::new(pairs.map(|(d, r)| (d.to_owned(), r.to_owned())).to_vec())
}

fn digest(c: char) -> String {
    c.to_string().repeat(64)
}

fn faults_of(rows: &str) -> Vec<(usize, String, String)> {
    let faults = Table::parse(&format!("{HEADER}{rows}"), &domains()).expect_err("faults");
    faults
        .into_iter()
        .map(|f| (f.line, f.field, f.remedy))
        .collect()
}

#[test]
fn a_region_includes_all_of_its_domains() {
    let rows = format!("m,{},region:ceara,100,,5,serve\n", digest('a'));
    let table = Table::parse(&format!("{HEADER}{rows}"), &domains()).expect("no faults");
    let permits = |d: &str| table.rows[0].permits(d, &domains());
    assert!(permits("fortaleza") && permits("crato") && !permits("recife"));
}

#[test]
fn reports_all_faults_of_a_row() {
    let faults = faults_of("m odel,xyz,recive,101,rsp=5,10,soon\n");
    let fields: Vec<&str> = faults.iter().map(|(_, field, _)| field.as_str()).collect();
    assert_eq!(
        fields,
        [
            "model", "version", "places", "share", "limits", "priority", "hold"
        ]
    );
    assert!(faults.iter().all(|(line, ..)| *line == 2));
    assert!(
        faults[2].2.contains("did you mean recife?"),
        "{}",
        faults[2].2
    );
    assert!(faults[4].2.contains("did you mean rps?"), "{}", faults[4].2);
}

#[test]
fn reports_missing_places_duplicates_and_wrong_sums_of_shares() {
    let (a, b) = (digest('a'), digest('b'));
    let no_place = faults_of(&format!("m,{a},,100,,5,serve\n"));
    assert!(no_place[0].2.contains("no place can serve"));
    let duplicate = faults_of(&format!(
        "m,{a},recife,100,,5,serve\nm,{a},recife;crato,0,,5,serve\n"
    ));
    assert!(
        duplicate
            .iter()
            .any(|(line, _, remedy)| *line == 3 && remedy.contains("line 2")),
        "{duplicate:?}"
    );
    let sum = faults_of(&format!(
        "m,{a},recife;crato,90,,5,serve\nm,{b},recife,10,,5,serve\n"
    ));
    assert_eq!(sum.len(), 1, "{sum:?}");
    assert!(sum[0].2.contains("in crato add up to 90"), "{}", sum[0].2);
}

#[test]
fn rejects_a_wrong_header_and_a_short_row() {
    assert!(Table::parse("a,b\n", &domains()).is_err());
    assert!(Table::parse("", &domains()).is_err());
    assert_eq!(faults_of("m,service\n")[0].1, "row");
}

fn row_text() -> impl Strategy<Value = String> {
    let version = prop_oneof![
        Just("service".to_owned()),
        "[abc]".prop_map(|c| c.repeat(64))
    ];
    let places = prop_oneof![Just("recife"), Just("region:ceara"), Just("recife;crato")];
    let limits = prop_oneof![Just(""), Just("rps=5"), Just("running=3;workspace-rps=2")];
    (
        "[a-c]",
        version,
        places,
        limits,
        0..10u8,
        prop_oneof![Just("serve"), Just("30s"), Just("250ms")],
    )
        .prop_map(|(m, v, p, l, n, h)| format!("{m},{v},{p},100,{l},{n},{h}"))
}

fn parsed(rows: &[String]) -> Option<Table> {
    Table::parse(&format!("{HEADER}{}\n", rows.join("\n")), &domains()).ok()
}

/// Applies a diff naively: removes rows, then adds rows.
fn apply(before: &Table, changes: &[Change]) -> Vec<String> {
    let mut rows = before.rows.clone();
    for change in changes {
        let (removed, added) = match change {
            Change::Added(row) => (None, Some(row)),
            Change::Removed(row) => (Some(row), None),
            Change::Altered(old, new) => (Some(old), Some(new)),
        };
        if let Some(removed) = removed {
            let i = rows
                .iter()
                .position(|r| r == removed)
                .expect("the row exists");
            rows.remove(i);
        }
        rows.extend(added.cloned());
    }
    sorted(&rows)
}

fn sorted(rows: &[table::Row]) -> Vec<String> {
    let mut rows: Vec<String> = rows.iter().map(|r| format!("{r:?}")).collect();
    rows.sort();
    rows
}

proptest! {
    #![proptest_config(cases::cases(500))]

    #[test]
    fn parser_does_not_panic(text in "(model,version,places,share,limits,priority,hold\n)?[ -~\n]{0,300}") {
        let _ = Table::parse(&text, &domains());
    }

    #[test]
    fn parses_a_formatted_table_to_the_same_table(rows in prop::collection::vec(row_text(), 1..5)) {
        if let Some(table) = parsed(&rows) {
            let again = Table::parse(&table.to_csv(), &domains()).expect("valid");
            prop_assert_eq!(again, table);
        }
    }

    #[test]
    fn an_applied_diff_results_in_the_second_table(
        before in prop::collection::vec(row_text(), 1..4),
        after in prop::collection::vec(row_text(), 1..4),
    ) {
        if let (Some(before), Some(after)) = (parsed(&before), parsed(&after)) {
            let changes = diff(&before, &after);
            prop_assert_eq!(apply(&before, &changes), sorted(&after.rows));
            prop_assert!(diff(&after, &after).is_empty());
        }
    }
}
