//! Digests, outcomes, units and suggestions of names.

use base::nearest::nearest;
use base::units::{format_bytes, format_duration, parse_bytes, parse_duration};
use base::{Digest, Outcome};
use proptest::prelude::*;

#[test]
fn suggests_close_names_only() {
    assert_eq!(nearest("aply", ["get", "plan", "apply"]), Some("apply"));
    assert_eq!(nearest("xyzzy", ["get", "plan", "apply"]), None);
}

#[test]
fn rejects_values_without_a_valid_unit() {
    for invalid in [
        "",
        "5",
        "ms",
        "5 parsecs",
        "-1s",
        "99999999999999999999s",
        "999999999999999999h",
    ] {
        assert!(parse_duration(invalid).is_err(), "{invalid:?}");
    }
    for invalid in ["", "5", "5KB", "99999999999GiB"] {
        assert!(parse_bytes(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn parses_formatted_outcomes() {
    for o in [Outcome::Done, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(Outcome::parse(o.as_str()), Some(o));
    }
    assert_eq!(Outcome::parse("maybe"), None);
}

proptest! {
    #![proptest_config(cases::cases(500))]

    #[test]
    fn parses_formatted_durations_and_sizes(n in 0u64..1 << 40) {
        let d = std::time::Duration::from_millis(n);
        prop_assert_eq!(parse_duration(&format_duration(d)).expect("a duration"), d);
        prop_assert_eq!(parse_bytes(&format_bytes(n)).expect("a size"), n);
    }

    #[test]
    fn parses_only_64_hex_digits_as_a_digest(text in "\\PC{0,80}") {
        if let Ok(digest) = text.parse::<Digest>() {
            prop_assert_eq!(digest.to_string(), text.to_lowercase());
        }
    }
}
