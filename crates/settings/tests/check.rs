//! Validation of settings files: all faults are reported together, each with its line and a remedy.

use proptest::prelude::*;
use settings::{Settings, check};

fn entry_file(extra: &str) -> String {
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
{extra}"
    )
}

#[test]
fn applies_declared_defaults_to_a_minimal_file() {
    let settings = check(&entry_file("")).expect("no faults");
    let Settings::Entry(cfg) = settings else {
        panic!("an entry's settings");
    };
    assert_eq!(cfg.heartbeat.as_millis(), 1000);
    assert_eq!(cfg.process.max_body, 1 << 20);
    assert!(cfg.check_places);
}

#[test]
fn reports_all_faults_with_line_field_and_remedy() {
    let text = entry_file(
        "table_poll: soon
max_atempts: 3
max_running: 0
default_deadline: 3h
check_places: maybe
",
    );
    let faults = check(&text).expect_err("five faults");
    let reported: Vec<(usize, &str)> = faults.iter().map(|f| (f.line, f.field.as_str())).collect();
    let expected = [
        (11, "table_poll"),
        (12, "max_atempts"),
        (13, "max_running"),
        (14, "default_deadline"),
        (15, "check_places"),
    ];
    assert_eq!(reported, expected);
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
fn reports_missing_fields_and_invalid_combinations() {
    let text = entry_file("log_levels: {claims: loud}\n")
        .replace("domain: recife\n", "domain: recive\n")
        .replace("listen: 127.0.0.1:8080\n", "")
        .replace("admin: 127.0.0.1:8082", "admin: 127.0.0.1:8081");
    let faults = check(&text).expect_err("four faults");
    let mut reported: Vec<&str> = faults.iter().map(|f| f.field.as_str()).collect();
    reported.sort_unstable();
    assert_eq!(reported, ["admin", "domain", "listen", "log_levels"]);
}

#[test]
fn rejects_a_file_without_a_map_or_a_valid_role() {
    for text in ["", "- a\n", "role: boss\n", "vm: x\n", "role: [entry\n"] {
        assert!(check(text).is_err(), "{text:?}");
    }
}

proptest! {
    #![proptest_config(cases::cases(500))]

    #[test]
    fn does_not_panic_on_arbitrary_text(text in "(role: (entry|agent|operator)\n)?[ -~\n]{0,300}") {
        let _ = check(&text);
    }

    #[test]
    fn does_not_panic_on_arbitrary_field_values(
        name in "(table_poll|max_body|entries|domains|source|log_levels|check_places)",
        value in "[ -~]{0,60}",
    ) {
        let _ = check(&entry_file(&format!("{name}: {value}\n")));
    }
}

fn gateway_file(extra: &str) -> String {
    format!(
        "role: gateway
vm: recife-front-1
domain: recife
listen: 127.0.0.1:8080
ready: 127.0.0.1:8081
copies: 127.0.0.1:8082
beacon: 127.0.0.1:8083
metrics: 127.0.0.1:8084
store: 127.0.0.1:9000
{extra}"
    )
}

fn gateway(text: &str) -> (settings::GatewayCfg, Vec<String>) {
    let run = settings::check_with_defaults(text);
    let (settings, faults) = run.unwrap_or_else(|e| panic!("{text}: {e:?}"));
    let Settings::Gateway(cfg) = settings else {
        panic!("a gateway's settings");
    };
    let fields = faults.into_iter().map(|fault| fault.field);
    (*cfg, fields.collect())
}

#[test]
fn accepts_fractional_numbers_from_the_platform() {
    let text = gateway_file(
        "version_time: 10000.0ms
config_time: 2500.75ms
contact_time: 0.5s
retry_window: 10.0s
retry_slack: 34.421
",
    );

    let (cfg, faults) = gateway(&text);

    assert!(faults.is_empty(), "{faults:?}");
    assert_eq!(cfg.node.version_time.as_millis(), 10_000);
    assert_eq!(cfg.config_time.as_millis(), 2_500);
    assert_eq!(cfg.node.contact_time.as_millis(), 500);
    assert_eq!(cfg.retry_window.as_millis(), 10_000);
    assert!((cfg.retry_slack - 34.421).abs() < 1e-9);
}

/// Numeric fields that the platform sets for a gateway, with their units.
const PLATFORM_NUMBERS: [(&str, &str); 6] = [
    ("version_time", "ms"),
    ("config_time", "ms"),
    ("contact_time", "ms"),
    ("retry_window", "s"),
    ("retry_ratio", ""),
    ("retry_slack", ""),
];

#[test]
fn gateway_starts_with_any_number_from_the_platform() {
    let numbers = [
        "",
        "0",
        "0.0",
        "0.001",
        "-1",
        "654",
        "1e40",
        "1.0e+16",
        "9".repeat(30).as_str(),
        "true",
        "x",
    ]
    .map(str::to_owned);
    for (field, unit) in PLATFORM_NUMBERS {
        for number in &numbers {
            let text = gateway_file(&format!("{field}: {number}{unit}\n"));
            let (_, faults) = gateway(&text);
            let strict = check(&text).map(|_| ());
            assert_eq!(strict.is_ok(), faults.is_empty(), "{field}: {number}");
            assert!(
                faults.iter().all(|f| f == field),
                "{field}: {number}: {faults:?}"
            );
        }
    }
}

#[test]
fn replaces_unusable_values_by_defaults_and_reports_them() {
    let text = gateway_file("retry_slack: much\nversion_time: 8s\nlog_levels: {gossip: loud}\n");

    let (cfg, faults) = gateway(&text);

    assert_eq!(faults, ["retry_slack", "log_levels"]);
    assert!((cfg.retry_slack - 20.0).abs() < 1e-9);
    assert!(cfg.node.log.levels.is_empty());
}

#[test]
fn gateway_does_not_start_without_a_required_address() {
    let text = gateway_file("retry_slack: 5\n").replace("store: 127.0.0.1:9000\n", "");

    let faults = settings::check_with_defaults(&text).expect_err("no store");

    let fields: Vec<&str> = faults.iter().map(|f| f.field.as_str()).collect();
    assert_eq!(fields, ["store"]);
}
