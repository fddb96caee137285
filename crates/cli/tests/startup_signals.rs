//! Signals that arrive while a process starts: its settings file is a named pipe, so that it waits until they are
//! written.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use tempfile::TempDir;

const ROLES: [&str; 4] = ["gateway", "loader", "entry", "agent"];

/// Returns the example settings of a role, with an IP of its own and any port for each address.
fn settings(role: &str) -> String {
    let path = format!("{}/../../examples/{role}.yaml", env!("CARGO_MANIFEST_DIR"));
    let example = fs::read_to_string(path).expect("an example");
    let words = example
        .split_inclusive([' ', '[', ',', ']', '\n'])
        .enumerate();
    let replaced = words.map(|(n, word)| {
        let addr = word.trim_end_matches([' ', '[', ',', ']', '\n']);
        match addr.parse::<SocketAddr>() {
            Ok(_) => word.replace(addr, &format!("127.0.0.{}:0", n % 250 + 1)),
            Err(_) => word.to_owned(),
        }
    });
    replaced.collect()
}

/// Process that waits for its settings.
struct Starting {
    child: Child,
    pipe: PathBuf,
    settings: String,
    _dir: TempDir,
}

fn make_pipe(path: &Path) {
    let made = Command::new("mkfifo").arg(path).status();
    assert!(made.expect("mkfifo runs").success());
}

impl Starting {
    fn new(role: &str) -> Starting {
        let dir = tempfile::tempdir().expect("a directory");
        let pipe = dir.path().join("settings.yaml");
        make_pipe(&pipe);
        let child = Command::new(env!("CARGO_BIN_EXE_driftnotch"))
            .args([Path::new(role), Path::new("--settings"), &pipe])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        Starting {
            child: child.expect("the process starts"),
            pipe,
            settings: settings(role),
            _dir: dir,
        }
    }

    /// Waits until the process opens its settings, calls `f`, and then writes them. The next read finds a new pipe.
    fn serve_settings(&self, f: impl FnOnce()) {
        let mut pipe = fs::OpenOptions::new()
            .write(true)
            .open(&self.pipe)
            .expect("the process opens its settings");
        let next = self.pipe.with_extension("next");
        make_pipe(&next);
        fs::rename(&next, &self.pipe).expect("the pipe is replaced");
        f();
        pipe.write_all(self.settings.as_bytes())
            .expect("the process reads its settings");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn wait(self) -> (Output, String) {
        let output = self.child.wait_with_output().expect("the process ends");
        let lines = [&output.stdout[..], &output.stderr[..]].concat();
        (output, String::from_utf8_lossy(&lines).into_owned())
    }
}

/// Runs a test of each role, all at the same time: a gateway's planned stop takes seconds.
fn for_each_role(test: fn(&str)) {
    std::thread::scope(|scope| {
        for role in ROLES {
            scope.spawn(move || test(role));
        }
    });
}

/// Guards against a reload right after a start that terminates the process.
#[test]
fn sighup_while_the_settings_are_read_reloads_them() {
    for_each_role(|role| {
        let process = Starting::new(role);

        process.serve_settings(|| process.signal("HUP"));
        process.serve_settings(|| {});
        process.signal("TERM");

        let (output, log) = process.wait();
        assert!(output.status.success(), "{role}: {output:?}");
        let is_reloaded = log.contains("the log settings were read again");
        assert!(is_reloaded, "{role}: {log}");
    });
}

/// Guards against a stop right after a start that terminates the process instead of draining it.
#[test]
fn sigterm_and_sigint_while_the_settings_are_read_begin_a_planned_stop() {
    for_each_role(|role| {
        for signal in ["TERM", "INT"] {
            let process = Starting::new(role);

            process.serve_settings(|| process.signal(signal));

            let (output, log) = process.wait();
            assert!(output.status.success(), "{role}, {signal}: {output:?}");
            let is_planned = log.contains("stopping") || log.contains("stopped");
            assert!(is_planned, "{role}, {signal}: {log}");
        }
    });
}
