//! The table as CSV: checked strictly, written back unchanged.

use base::Domains;
use proptest::prelude::*;
use table::{Change, Table, diff};

const HEAD: &str = "model,version,places,share,limits,priority,hold\n";

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
    let faults = Table::parse(&format!("{HEAD}{rows}"), &domains()).expect_err("faults");
    faults
        .into_iter()
        .map(|f| (f.line, f.field, f.remedy))
        .collect()
}

#[test]
fn regions_stand_for_all_their_domains() {
    let rows = format!("m,{},region:ceara,100,,5,serve\n", digest('a'));
    let table = Table::parse(&format!("{HEAD}{rows}"), &domains()).expect("no faults");
    let permits = |d: &str| table.rows[0].permits(d, &domains());
    assert!(permits("fortaleza") && permits("crato") && !permits("recife"));
}

#[test]
fn every_fault_of_a_row_is_named() {
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
fn rows_that_no_place_can_serve_duplicates_and_shares_that_dont_add_up_are_named() {
    let (a, b) = (digest('a'), digest('b'));
    let nowhere = faults_of(&format!("m,{a},,100,,5,serve\n"));
    assert!(nowhere[0].2.contains("no place can serve"));
    let twice = faults_of(&format!(
        "m,{a},recife,100,,5,serve\nm,{a},recife;crato,0,,5,serve\n"
    ));
    assert!(
        twice
            .iter()
            .any(|(line, _, remedy)| *line == 3 && remedy.contains("line 2")),
        "{twice:?}"
    );
    let sum = faults_of(&format!(
        "m,{a},recife;crato,90,,5,serve\nm,{b},recife,10,,5,serve\n"
    ));
    assert_eq!(sum.len(), 1, "{sum:?}");
    assert!(sum[0].2.contains("in crato add up to 90"), "{}", sum[0].2);
}

#[test]
fn a_wrong_head_or_a_short_row_is_refused() {
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
    Table::parse(&format!("{HEAD}{}\n", rows.join("\n")), &domains()).ok()
}

/// The naive way to follow a diff: take away, then add.
fn follow(before: &Table, changes: &[Change]) -> Vec<String> {
    let mut rows = before.rows.clone();
    for change in changes {
        let (gone, come) = match change {
            Change::Added(row) => (None, Some(row)),
            Change::Removed(row) => (Some(row), None),
            Change::Altered(old, new) => (Some(old), Some(new)),
        };
        if let Some(gone) = gone {
            let i = rows.iter().position(|r| r == gone).expect("it was there");
            rows.remove(i);
        }
        rows.extend(come.cloned());
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
    fn no_text_makes_the_parser_panic(text in "(model,version,places,share,limits,priority,hold\n)?[ -~\n]{0,300}") {
        let _ = Table::parse(&text, &domains());
    }

    #[test]
    fn a_table_written_and_read_again_is_the_same(rows in prop::collection::vec(row_text(), 1..5)) {
        if let Some(table) = parsed(&rows) {
            let again = Table::parse(&table.to_csv(), &domains()).expect("valid");
            prop_assert_eq!(again, table);
        }
    }

    #[test]
    fn a_diff_followed_naively_gives_the_table_after(
        before in prop::collection::vec(row_text(), 1..4),
        after in prop::collection::vec(row_text(), 1..4),
    ) {
        if let (Some(before), Some(after)) = (parsed(&before), parsed(&after)) {
            let changes = diff(&before, &after);
            prop_assert_eq!(follow(&before, &changes), sorted(&after.rows));
            prop_assert!(diff(&after, &after).is_empty());
        }
    }
}
