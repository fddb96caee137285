//! Validates a settings file against the declared fields.

use std::path::Path;

use base::{Map, Set};
use saphyr::{LoadableYamlNode, MarkedYaml, YamlData};
use table::Fault;

use crate::field::{AGENT, COMMON, ENTRY, OPERATOR, PROCESS, TABLE};
use crate::node::{GATEWAY, LOADER, NODE};
use crate::value::{self, Value, Values};
use crate::{AgentCfg, EntryCfg, Field, GatewayCfg, LoaderCfg, LogCfg, OperatorCfg, Role};

/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// A validated settings file.
#[derive(Debug, Clone)]
pub enum Settings {
    /// Settings of an entry.
    Entry(Box<EntryCfg>),
    /// Settings of an agent.
    Agent(Box<AgentCfg>),
    /// Settings of an operator.
    Operator(Box<OperatorCfg>),
    /// Settings of a gateway.
    Gateway(Box<GatewayCfg>),
    /// Settings of a loader.
    Loader(Box<LoaderCfg>),
}

impl Settings {
    /// Returns the log settings.
    pub fn log(&self) -> &LogCfg {
        match self {
            Settings::Entry(cfg) => &cfg.process.log,
            Settings::Agent(cfg) => &cfg.process.log,
            Settings::Operator(cfg) => &cfg.log,
            Settings::Gateway(cfg) => &cfg.node.log,
            Settings::Loader(cfg) => &cfg.node.log,
        }
    }
}

/// Returns all fields of a role.
pub fn fields(role: Role) -> Vec<&'static Field> {
    let groups: &[&[Field]] = match role {
        Role::Entry => &[COMMON, TABLE, PROCESS, ENTRY],
        Role::Agent => &[COMMON, TABLE, PROCESS, AGENT],
        Role::Operator => &[COMMON, TABLE, OPERATOR],
        Role::Gateway => &[COMMON, NODE, GATEWAY],
        Role::Loader => &[COMMON, NODE, LOADER],
    };
    groups.iter().flat_map(|group| group.iter()).collect()
}

/// Reads and validates a file. On failure, returns every fault.
pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
    check(&read(path)?)
}

/// Reads and validates a file, and replaces unusable values by defaults where [`check_with_defaults`]
/// permits it. Returns the faults of the replaced values with the settings.
pub fn load_with_defaults(path: &Path) -> Result<(Settings, Vec<Fault>), Vec<Fault>> {
    check_with_defaults(&read(path)?)
}

fn read(path: &Path) -> Result<String, Vec<Fault>> {
    let file_fault = |remedy: String| vec![Fault::new(0, "file", remedy)];
    let size = std::fs::metadata(path).map_err(|e| file_fault(format!("{e}; check the path")))?;
    if size.len() > MAX_FILE_BYTES {
        return Err(file_fault(format!(
            "the file is larger than {MAX_FILE_BYTES} bytes; shorten it"
        )));
    }
    std::fs::read_to_string(path).map_err(|e| file_fault(format!("{e}; write UTF-8 text")))
}

/// Validates the text of a file. On failure, returns every fault.
pub fn check(text: &str) -> Result<Settings, Vec<Fault>> {
    let (settings, faults) = check_with_defaults(text)?;
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(faults),
    }
}

/// Validates the text of a file like [`check()`], but replaces the unusable values of a gateway or a loader
/// by the fields' defaults and returns their faults with the settings.
///
/// The platform hands these processes their settings at each start, and no operator is there to correct
/// them. A file that isn't a map of known fields, and a required field that is missing or unusable, still
/// fail the validation.
pub fn check_with_defaults(text: &str) -> Result<(Settings, Vec<Fault>), Vec<Fault>> {
    let docs = MarkedYaml::load_from_str(text).map_err(|e| {
        vec![Fault::new(
            e.marker().line(),
            "file",
            format!("{}; write valid YAML", e.info()),
        )]
    })?;
    let map = match docs.first().map(|doc| &doc.data) {
        Some(YamlData::Mapping(map)) => map,
        _ => {
            return Err(vec![Fault::new(
                1,
                "file",
                "write one map of fields, as `role: entry`",
            )]);
        }
    };
    let nodes: Vec<(String, usize, &MarkedYaml)> = map
        .iter()
        .map(|(k, v)| (value::scalar(k).unwrap_or_default(), k.span.start.line(), v))
        .collect();
    let role = parse_role(&nodes)?;
    let fields = fields(role);
    let mut faults = Vec::new();
    let (mut values, lines) = read_values(&nodes, &fields, &mut faults);
    let last_line = text.lines().count();
    let missing = fields
        .iter()
        .filter(|f| f.is_required() && !lines.contains_key(f.name));
    faults.extend(missing.map(|f| {
        let remedy = format!("the field is missing; add it ({})", f.doc);
        Fault::new(last_line, f.name, remedy)
    }));
    check_combinations(role, &values, &lines, &mut faults);
    faults.sort_by_key(|fault| fault.line);
    for fault in &faults {
        let Some(field) = field_with_default(role, &fields, fault) else {
            return Err(faults);
        };
        if let Some(default) = value::default(field.kind) {
            values.insert(field.name, default);
        }
    }
    let settings = match role {
        Role::Entry => Settings::Entry(Box::new(EntryCfg::new(&values))),
        Role::Agent => Settings::Agent(Box::new(AgentCfg::new(&values))),
        Role::Operator => Settings::Operator(Box::new(OperatorCfg::new(&values))),
        Role::Gateway => Settings::Gateway(Box::new(GatewayCfg::new(&values))),
        Role::Loader => Settings::Loader(Box::new(LoaderCfg::new(&values))),
    };
    Ok((settings, faults))
}

/// Returns the field of a fault whose value can be replaced by the default; `None` where the fault is fatal.
fn field_with_default(
    role: Role,
    fields: &[&'static Field],
    fault: &Fault,
) -> Option<&'static Field> {
    let from_platform = matches!(role, Role::Gateway | Role::Loader);
    let field = fields.iter().find(|f| f.name == fault.field)?;
    (from_platform && !field.is_required()).then_some(*field)
}

fn parse_role(nodes: &[(String, usize, &MarkedYaml)]) -> Result<Role, Vec<Fault>> {
    let remedy =
        "write `role: entry`, `role: agent`, `role: operator`, `role: gateway` or `role: loader`";
    let Some((_, line, node)) = nodes.iter().find(|(name, ..)| name == "role") else {
        return Err(vec![Fault::new(1, "role", remedy)]);
    };
    match value::scalar(node).as_deref() {
        Some("entry") => Ok(Role::Entry),
        Some("agent") => Ok(Role::Agent),
        Some("operator") => Ok(Role::Operator),
        Some("gateway") => Ok(Role::Gateway),
        Some("loader") => Ok(Role::Loader),
        _ => Err(vec![Fault::new(*line, "role", remedy)]),
    }
}

fn read_values(
    nodes: &[(String, usize, &MarkedYaml)],
    fields: &[&'static Field],
    faults: &mut Vec<Fault>,
) -> (Values, Map<&'static str, usize>) {
    let mut values: Values = fields
        .iter()
        .filter_map(|f| value::default(f.kind).map(|v| (f.name, v)))
        .collect();
    let mut lines = Map::default();
    for (name, line, node) in nodes {
        let Some(field) = fields.iter().find(|f| f.name == name) else {
            let hint = base::nearest::hint(name, fields.iter().map(|f| f.name));
            let remedy = format!("there is no such field{hint}; remove it");
            faults.push(Fault::new(*line, name.clone(), remedy));
            continue;
        };
        lines.insert(field.name, *line);
        match value::read(field.kind, node) {
            Ok(v) => drop(values.insert(field.name, v)),
            Err(remedy) => faults.push(Fault::new(*line, field.name, remedy)),
        }
    }
    (values, lines)
}

/// Checks constraints between fields and between the items of a field.
fn check_combinations(
    role: Role,
    values: &Values,
    lines: &Map<&'static str, usize>,
    faults: &mut Vec<Fault>,
) {
    let line = |name: &str| lines.get(name).copied().unwrap_or(0);
    if let (Some(Value::Text(domain)), Some(Value::Pairs(domains))) =
        (values.get("domain"), values.get("domains"))
    {
        let known: Vec<&str> = domains.iter().map(|(name, _)| name.as_str()).collect();
        if !known.is_empty() && !known.contains(&domain.as_str()) {
            let hint = base::nearest::hint(domain, known.iter().copied());
            let remedy = format!("{domain} is not in domains ({}){hint}", known.join(", "));
            faults.push(Fault::new(line("domain"), "domain", remedy));
        }
    }
    if let Some(Value::Pairs(levels)) = values.get("log_levels") {
        let known = ["error", "warn", "info", "debug", "trace", "off"];
        let bad = levels.iter().filter(|(_, l)| !known.contains(&l.as_str()));
        faults.extend(bad.map(|(part, level)| {
            let remedy = format!(
                "{level:?} is not a log level for {part}; use {}",
                known.join(", ")
            );
            Fault::new(line("log_levels"), "log_levels", remedy)
        }));
    }
    let listeners: &[&str] = match role {
        Role::Entry => &["listen", "control", "admin"],
        Role::Agent => &["listen", "peer", "admin"],
        Role::Operator => &[],
        Role::Gateway => &["listen", "ready", "copies", "metrics"],
        Role::Loader => &["chunks", "metrics"],
    };
    let mut seen = Set::default();
    for name in listeners {
        match values.get(name) {
            Some(Value::Addrs(addrs)) if !addrs.iter().all(|a| seen.insert(*a)) => {
                let remedy =
                    "the address is used twice in this file; use a different port for each";
                faults.push(Fault::new(line(name), *name, remedy));
            }
            _ => {}
        }
    }
}
