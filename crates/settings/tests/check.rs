//! Settings files: every fault named at once, with its line and a remedy.

use proptest::prelude::*;
use settings::{Settings, check};

fn entry_file(more: &str) -> String {
    format!(
        "role: entry
vm: recife-entry-1
domain: recife
domains: {{recife: pernambuco, fortaleza: ceara}}
listen: 127.0.0.1:8080
control: 127.0.0.1:8081
admin: 127.0.0.1:8082
platform_table: 127.0.0.1:9000
platform_objects: 127.0.0.1:9001
platform_members: 127.0.0.1:9002
{more}"
    )
}

#[test]
fn a_minimal_file_takes_the_declared_defaults() {
    let settings = check(&entry_file("")).expect("no faults");
    let Settings::Entry(cfg) = settings else {
        panic!("an entry's settings");
    };
    assert_eq!(cfg.heartbeat.as_millis(), 1000);
    assert_eq!(cfg.upkeep.max_body, 1 << 20);
    assert!(cfg.check_places);
}

#[test]
fn five_faults_are_all_named_with_line_field_and_remedy() {
    let text = entry_file(
        "table_poll: soon
max_atempts: 3
max_running: 0
default_deadline: 3h
check_places: maybe
",
    );
    let faults = check(&text).expect_err("five faults");
    let named: Vec<(usize, &str)> = faults.iter().map(|f| (f.line, f.field.as_str())).collect();
    let wanted = [
        (11, "table_poll"),
        (12, "max_atempts"),
        (13, "max_running"),
        (14, "default_deadline"),
        (15, "check_places"),
    ];
    assert_eq!(named, wanted);
    assert!(
        faults[1].remedy.contains("did you mean max_attempts?"),
        "{}",
        faults[1]
    );
    assert!(
        faults[2].remedy.contains("write 1 to 100000"),
        "{}",
        faults[2]
    );
    assert!(faults.iter().all(|f| !f.remedy.is_empty()));
}

#[test]
fn missing_fields_and_faults_of_several_fields_are_named_too() {
    let text = entry_file("log_levels: {claims: loud}\n")
        .replace("domain: recife\n", "domain: recive\n")
        .replace("listen: 127.0.0.1:8080\n", "")
        .replace("admin: 127.0.0.1:8082", "admin: 127.0.0.1:8081");
    let faults = check(&text).expect_err("four faults");
    let mut named: Vec<&str> = faults.iter().map(|f| f.field.as_str()).collect();
    named.sort_unstable();
    assert_eq!(named, ["admin", "domain", "listen", "log_levels"]);
}

#[test]
fn a_file_that_is_no_map_or_has_no_role_is_refused() {
    for text in ["", "- a\n", "role: boss\n", "vm: x\n", "role: [entry\n"] {
        assert!(check(text).is_err(), "{text:?}");
    }
}

proptest! {
    #![proptest_config(cases::cases(500))]

    #[test]
    fn no_text_makes_the_check_panic(text in "(role: (entry|agent|operator)\n)?[ -~\n]{0,300}") {
        let _ = check(&text);
    }

    #[test]
    fn no_value_of_a_field_makes_the_check_panic(
        name in "(table_poll|max_body|entries|domains|source|log_levels|check_places)",
        value in "[ -~]{0,60}",
    ) {
        let _ = check(&entry_file(&format!("{name}: {value}\n")));
    }
}
