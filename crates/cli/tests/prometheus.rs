//! The parser of the Prometheus text format.

#[path = "../src/prometheus.rs"]
mod prometheus;

use metrics_exporter_prometheus::PrometheusBuilder;
use prometheus::{Fault, Sample, parse};

fn sample(name: &str, labels: &[(&str, &str)], value: f64) -> Sample {
    let owned = |(name, value): &(&str, &str)| (String::from(*name), String::from(*value));
    Sample {
        name: name.into(),
        labels: labels.iter().map(owned).collect(),
        value,
    }
}

/// Guards against a difference between the text that processes serve and the text that is parsed.
#[test]
fn reads_what_the_exporter_of_processes_renders() {
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        metrics::describe_counter!("refusals_total", "of\nall \"kinds\"");
        metrics::counter!("refusals_total", "route" => "a \"b\"\\{c},\nd", "why" => "busy")
            .increment(7);
        metrics::gauge!("free_fraction").set(0.125);
    });

    let mut samples = parse(&recorder.handle().render()).expect("valid text");

    samples.sort_by(|a, b| a.name.cmp(&b.name));
    let labels = [("route", "a \"b\"\\{c},\nd"), ("why", "busy")];
    let expected = [
        sample("free_fraction", &[], 0.125),
        sample("refusals_total", &labels, 7.0),
    ];
    assert_eq!(samples, expected);
    assert_eq!(samples[1].label("why"), Some("busy"));
    assert_eq!(samples[1].label("priority"), None);
}

/// Guards against rejecting forms that the format allows and our exporter doesn't use.
#[test]
fn accepts_spaces_trailing_commas_timestamps_and_infinities() {
    let text =
        "# a comment\n\n  a { b = \"c\" , d=\"\", } 1e3 1700000000000\r\na{} -Inf\nb:c +Inf\n";

    let samples = parse(text).expect("valid text");

    let expected = [
        sample("a", &[("b", "c"), ("d", "")], 1000.0),
        sample("a", &[], f64::NEG_INFINITY),
        sample("b:c", &[], f64::INFINITY),
    ];
    assert_eq!(samples, expected);
    assert!(parse("a NaN").expect("valid text")[0].value.is_nan());
}

/// Guards against a panic on, or a silent loss of, lines that are no samples.
#[test]
fn names_the_line_and_what_is_wrong_with_it() {
    let cases = [
        ("<html>", "the name of a metric is missing"),
        ("1a 2", "the name of a metric is missing"),
        ("a", "the value is missing"),
        ("a b", "the value is not a number"),
        ("a 1 soon", "only a timestamp may follow the value"),
        ("a 1 2 3", "only a timestamp may follow the value"),
        ("a{", "the name of a label is missing"),
        ("a{b} 1", "the value of a label is missing"),
        ("a{b=c} 1", "the value of a label is missing"),
        ("a{b=\"ü", "the closing quote of a label's value is missing"),
        (
            "a{b=\"\\x\"} 1",
            "the value of a label has an unknown escape",
        ),
        (
            "a{b=\"c\" d=\"e\"} 1",
            "a comma or a closing brace is missing after a label",
        ),
    ];
    for (line, what) in cases {
        let fault = parse(&format!("# first\n{line}\n")).expect_err(line);

        assert_eq!(fault, Fault { line: 2, what }, "{line}");
        assert!(fault.to_string().starts_with("line 2 is not in the "));
    }
}
