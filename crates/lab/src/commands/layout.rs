//! Writes the settings of a deployment, and the list of its processes that a script starts.

use std::fmt::Write;
use std::path::PathBuf;

use pico_args::Arguments;

use super::{finish, layout_from_args};
use crate::LabError;

/// Settings in which the demonstration differs from the defaults.
const ENTRY_LINES: [&str; 2] = ["stop_notice: 500ms", "drain_timeout: 10s"];
const AGENT_LINES: [&str; 3] = [
    "stop_notice: 500ms",
    "drain_timeout: 10s",
    "engine_poll: 100ms",
];

pub fn run(mut args: Arguments) -> Result<(), LabError> {
    let dir: PathBuf = args.value_from_str("--dir")?;
    let origin_copies: Option<String> = args.opt_value_from_str("--origin-copies")?;
    let layout = layout_from_args(&mut args)?;
    finish(args)?;
    std::fs::create_dir_all(&dir)?;
    let mut processes = String::new();
    let write = |name: &str, text: String| std::fs::write(dir.join(name), text);
    let entry_lines = ENTRY_LINES.map(str::to_owned);
    for e in layout.entry_vms() {
        write(
            &format!("{}.yaml", e.vm),
            layout.entry_settings(&e, &entry_lines),
        )?;
        let _ = writeln!(processes, "entry {} {} {}", e.vm, e.domain, e.listen);
    }
    let mut agent_lines: Vec<String> = AGENT_LINES.map(str::to_owned).to_vec();
    agent_lines.extend(origin_copies.map(|c| format!("origin_copies: {c}")));
    for u in layout.upstream_vms() {
        let mut lines = agent_lines.clone();
        if u.service {
            lines.push("models: [registry]".into());
        }
        write(&format!("{}.yaml", u.vm), layout.agent_settings(&u, &lines))?;
        let kind = if u.service { "service" } else { "engine" };
        let _ = writeln!(processes, "{kind} {} {} {}", u.vm, u.domain, u.upstream);
    }
    write("operator.yaml", layout.operator_settings("ana"))?;
    write("operator-2.yaml", layout.operator_settings("bruno"))?;
    write("processes", processes)?;
    Ok(())
}
