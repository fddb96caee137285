//! The command line: help, exit codes, validation of files, and the example files.

mod common;

use std::path::{Path, PathBuf};
use std::process::Output;

use common::driftnotch;

fn run(args: &[&str]) -> Output {
    driftnotch().args(args).output().expect("the binary starts")
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn prints_usage_and_an_example_in_the_help_of_every_command() {
    for name in [
        "entry", "agent", "gateway", "loader", "table", "check", "publish", "status", "burn",
        "load",
    ] {
        let out = run(&[name, "--help"]);
        assert_eq!(out.status.code(), Some(0), "{name}");
        assert!(
            stdout(&out).contains("Usage: driftnotch ") && stdout(&out).contains("Example"),
            "{name}"
        );
    }
    assert!(stdout(&run(&["--version"])).starts_with("driftnotch "));
    assert!(stdout(&run(&[])).contains("Exit codes"));
}

#[test]
fn wrong_usage_exits_with_2_and_suggests_the_nearest_name() {
    let cases: [(&[&str], &str); 8] = [
        (&["entri"], "did you mean entry?"),
        (&["table", "aply", "--settings", "x"], "did you mean apply?"),
        (
            &["status", "--settings", "x", "--jsno"],
            "did you mean --json?",
        ),
        (&["entry"], "--settings FILE is missing"),
        (&["entry", "--settings"], "--settings"),
        (
            &["table", "get", "--settings", "x", "--revision", "soon"],
            "soon",
        ),
        (&["check"], "name at least one file"),
        (
            &["publish", "--settings", "x", "--chunk", "huge", "f"],
            "--chunk huge",
        ),
    ];
    for (args, message) in cases {
        let out = run(args);
        assert_eq!(out.status.code(), Some(2), "{args:?}: {}", stderr(&out));
        assert!(stderr(&out).contains(message), "{args:?}: {}", stderr(&out));
    }
}

#[test]
fn check_reports_all_faults_of_a_file() {
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("agent.yaml");
    let text = "role: agent\nvm: a b\ndomain: recife\ndomains: {recife: pernambuco}\nlisten: here\npeer: 127.0.0.1:1\nadmin: 127.0.0.1:2\nupstream: 127.0.0.1:3\nplatform_table: 127.0.0.1:4\nplatform_objects: 127.0.0.1:5\nplatform_origin: 127.0.0.1:7\nfetches: 0\nknd: engine\nchunk_memory: 5\n";
    std::fs::write(&file, text).expect("written");
    let file = file.to_str().expect("a path");
    let out = run(&["check", file]);
    assert_eq!(out.status.code(), Some(2));
    let reported = stderr(&out);
    let expected = [
        "line 2: vm:",
        "line 5: listen:",
        "line 12: fetches:",
        "line 13: knd:",
        "line 14: chunk_memory:",
    ];
    assert!(expected.iter().all(|e| reported.contains(e)), "{reported}");
    let json: serde_json::Value =
        serde_json::from_slice(&run(&["check", "--json", file]).stdout).expect("JSON");
    assert_eq!(json[0]["faults"].as_array().expect("a list").len(), 5);
}

#[test]
fn process_does_not_start_with_invalid_settings_or_those_of_another_role() {
    let operator = root().join("examples/operator.yaml");
    let operator = operator.to_str().expect("a path");
    let wrong_role = run(&["entry", "--settings", operator]);
    assert_eq!(wrong_role.status.code(), Some(2), "{}", stderr(&wrong_role));
    assert!(stderr(&wrong_role).contains("for another role"));
    let missing = run(&["agent", "--settings", "/nowhere.yaml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(stderr(&missing).contains("check the path"));
}

#[test]
fn check_accepts_all_examples() {
    for set in ["", "cajueiro", "chungbuk"] {
        let dir = root().join("examples").join(set);
        let files = std::fs::read_dir(&dir).expect("examples");
        let mut files: Vec<PathBuf> = files.map(|f| f.expect("a file").path()).collect();
        files.retain(|f| f.is_file());
        files.sort();
        assert!(
            files
                .iter()
                .any(|f| f.extension().is_some_and(|e| e == "csv")),
            "{set}: an example table"
        );
        let out = driftnotch()
            .arg("check")
            .args(&files)
            .output()
            .expect("runs");
        assert_eq!(out.status.code(), Some(0), "{set}: {}", stderr(&out));
    }
}

#[test]
fn example_deployments_have_the_intended_number_of_vms() {
    for (set, kinds) in [
        ("cajueiro", [("model", 12), ("registry", 3), ("portal", 1)]),
        ("chungbuk", [("drafting", 12), ("ledger", 3), ("portal", 1)]),
    ] {
        let files = std::fs::read_dir(root().join("examples").join(set)).expect("examples");
        let names: Vec<String> = files
            .map(|f| {
                f.expect("a file")
                    .file_name()
                    .to_string_lossy()
                    .into_owned()
            })
            .collect();
        for (kind, n) in kinds {
            let of_kind = names
                .iter()
                .filter(|name| name.contains(&format!("-{kind}-")))
                .count();
            assert_eq!(of_kind, n, "{set} {kind}");
        }
    }
}

#[test]
fn settings_page_lists_every_field_as_declared() {
    let page = std::fs::read_to_string(root().join("docs/SETTINGS.md")).expect("the page");
    for role in ["entry", "agent", "operator", "gateway", "loader"] {
        let fields = stdout(&run(&["check", "--fields", role]));
        for line in fields.lines().skip(2) {
            assert!(
                page.contains(line),
                "docs/SETTINGS.md does not contain {line}"
            );
        }
    }
}
