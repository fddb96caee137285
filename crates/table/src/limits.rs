//! Limits of a row, such as `rps=200;running=64;workspace-rps=40;workspace-running=10`.

use std::fmt;

/// Names of the limits, in the order of the CSV form.
const NAMES: [&str; 4] = ["rps", "running", "workspace-rps", "workspace-running"];

/// Limits in each failure domain; `None` for no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limits {
    /// Requests per second.
    pub rps: Option<u32>,
    /// Requests in flight.
    pub running: Option<u32>,
    /// Requests per second of a workspace.
    pub workspace_rps: Option<u32>,
    /// Requests in flight of a workspace.
    pub workspace_running: Option<u32>,
}

impl Limits {
    /// Parses the CSV column; the error describes the fault and its remedy.
    pub fn parse(s: &str) -> Result<Limits, String> {
        let mut limits = Limits::default();
        for part in s.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let limit = limits.limit_mut(name).ok_or_else(|| {
                let hint = base::nearest::hint(name, NAMES);
                format!("there is no limit {name:?}{hint}; use {}", NAMES.join(", "))
            })?;
            match value.parse() {
                Ok(n) if n > 0 && limit.is_none() => *limit = Some(n),
                Ok(n) if n > 0 => return Err(format!("{name} is set twice; keep one")),
                _ => return Err(format!("{name} needs a whole number above 0, as {name}=10")),
            }
        }
        Ok(limits)
    }

    fn limit_mut(&mut self, name: &str) -> Option<&mut Option<u32>> {
        match name {
            "rps" => Some(&mut self.rps),
            "running" => Some(&mut self.running),
            "workspace-rps" => Some(&mut self.workspace_rps),
            "workspace-running" => Some(&mut self.workspace_running),
            _ => None,
        }
    }
}

impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let values = [
            self.rps,
            self.running,
            self.workspace_rps,
            self.workspace_running,
        ];
        let parts: Vec<String> = NAMES
            .iter()
            .zip(values)
            .filter_map(|(name, value)| value.map(|n| format!("{name}={n}")))
            .collect();
        f.write_str(&parts.join(";"))
    }
}
