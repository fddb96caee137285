//! Parses the command line into typed options.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use crate::error::Error;
use crate::help::Topic;

/// All commands, for suggestions on a misspelt one.
const COMMANDS: [&str; 10] = [
    "entry", "agent", "gateway", "loader", "table", "check", "publish", "status", "burn", "load",
];

/// All commands of `table`, for suggestions on a misspelt one.
const TABLE_COMMANDS: [&str; 5] = ["get", "plan", "apply", "history", "status"];

/// Parsed command line.
#[derive(Debug)]
pub struct Options {
    /// Command to run.
    pub command: Command,
}

/// A command with its options.
#[derive(Debug)]
pub enum Command {
    /// Print help.
    Help(Topic),
    /// Print the version.
    Version,
    /// Run an entry with a settings file.
    Entry(PathBuf),
    /// Run an agent with a settings file.
    Agent(PathBuf),
    /// Run a gateway with a settings file.
    Gateway(PathBuf),
    /// Run a loader with a settings file.
    Loader(PathBuf),
    /// Validate settings files and tables.
    Check(CheckOptions),
    /// Show or edit the table.
    Table(TableOptions),
    /// Publish weights.
    Publish(PublishOptions),
    /// Show the state of entries, upstreams and rollouts.
    Status(StatusOptions),
    /// Show the burn of the error budget.
    Burn(BurnOptions),
    /// Show refusals, free capacity and slow engines.
    Load(LoadOptions),
}

/// Options of `check`.
#[derive(Debug)]
pub struct CheckOptions {
    /// Settings files and tables.
    pub files: Vec<PathBuf>,
    /// Print JSON.
    pub json: bool,
    /// Role whose fields are printed, instead of validating files.
    pub fields: Option<String>,
}

/// Options of `table`.
#[derive(Debug)]
pub struct TableOptions {
    /// Settings file of the operator.
    pub settings: PathBuf,
    /// Print JSON.
    pub json: bool,
    /// Command of `table`.
    pub action: TableAction,
}

/// A command of `table` with its options.
#[derive(Debug)]
pub enum TableAction {
    /// Print an edition: that in force, or a revision.
    Get(Option<u64>),
    /// Print what a file would change.
    Plan(PathBuf),
    /// Put a file in force.
    Apply {
        /// The table's CSV file.
        file: PathBuf,
        /// Revision that the file is based on.
        base: Option<u64>,
        /// Maximum time to wait until the edition is in force everywhere.
        wait: Option<Duration>,
    },
    /// List the last editions, at most this many.
    History(u64),
    /// Print where the edition is in force.
    Status,
}

/// Options of `publish`.
#[derive(Debug)]
pub struct PublishOptions {
    /// Settings file of the operator.
    pub settings: PathBuf,
    /// File of weights.
    pub file: PathBuf,
    /// Size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// Print JSON.
    pub json: bool,
}

/// Options of `status`.
#[derive(Debug)]
pub struct StatusOptions {
    /// Settings file of the operator.
    pub settings: PathBuf,
    /// Print JSON.
    pub json: bool,
}

/// Options of `burn`.
#[derive(Debug)]
pub struct BurnOptions {
    /// Settings file of the operator.
    pub settings: PathBuf,
    /// Print JSON.
    pub json: bool,
}

/// Options of `load`.
#[derive(Debug)]
pub struct LoadOptions {
    /// Metrics addresses of gateways and loaders, each once.
    pub from: Vec<SocketAddr>,
}

impl Options {
    /// Parses the arguments.
    pub fn parse(args: Vec<OsString>) -> Result<Options, Error> {
        let mut args = Arguments::from_vec(args);
        let help = args.contains(["-h", "--help"]);
        if args.contains(["-V", "--version"]) {
            let command = Command::Version;
            return Ok(Options { command });
        }
        let name = args.subcommand().map_err(usage_error)?;
        let command = match name.as_deref() {
            None => Command::Help(Topic::All),
            Some(name) if help => Command::Help(topic(name, &mut args)?),
            Some("entry") => Command::Entry(settings(&mut args)?),
            Some("agent") => Command::Agent(settings(&mut args)?),
            Some("gateway") => Command::Gateway(settings(&mut args)?),
            Some("loader") => Command::Loader(settings(&mut args)?),
            Some("check") => Command::Check(check(&mut args)?),
            Some("table") => Command::Table(table(&mut args)?),
            Some("publish") => Command::Publish(publish(&mut args)?),
            Some("status") => Command::Status(StatusOptions {
                json: args.contains("--json"),
                settings: settings(&mut args)?,
            }),
            Some("burn") => Command::Burn(BurnOptions {
                json: args.contains("--json"),
                settings: settings(&mut args)?,
            }),
            Some("load") => Command::Load(LoadOptions {
                from: from(&mut args)?,
            }),
            Some(other) => return Err(unknown_name_error("command", other, &COMMANDS)),
        };
        finish(args)?;
        Ok(Options { command })
    }
}

fn topic(name: &str, args: &mut Arguments) -> Result<Topic, Error> {
    let topic =
        Topic::from_command(name).ok_or_else(|| unknown_name_error("command", name, &COMMANDS))?;
    // `table apply --help` prints the help of `table`: further arguments are ignored.
    while args
        .opt_free_from_str::<String>()
        .map_err(usage_error)?
        .is_some()
    {}
    Ok(topic)
}

fn settings(args: &mut Arguments) -> Result<PathBuf, Error> {
    args.opt_value_from_str("--settings")
        .map_err(usage_error)?
        .ok_or_else(|| Error::Usage("--settings FILE is missing; see --help".into()))
}

/// Parses the addresses of `--from`. An address that is named twice would count twice in sums, so it is an error.
fn from(args: &mut Arguments) -> Result<Vec<SocketAddr>, Error> {
    let lists: Vec<String> = args.values_from_str("--from").map_err(usage_error)?;
    if lists.is_empty() {
        return Err(Error::Usage(
            "--from IP:PORT[,IP:PORT...] is missing; name the `metrics` addresses of gateways; see --help".into(),
        ));
    }
    let mut from = Vec::new();
    for text in lists.iter().flat_map(|list| list.split(',')) {
        match text.trim().parse::<SocketAddr>() {
            Err(_) => {
                return Err(Error::Usage(format!(
                    "--from: {text:?} is not an IP address with a port; write as 10.0.0.1:8304, with commas between addresses"
                )));
            }
            Ok(addr) if from.contains(&addr) => {
                return Err(Error::Usage(format!(
                    "--from names {addr} twice; name each process once"
                )));
            }
            Ok(addr) => from.push(addr),
        }
    }
    Ok(from)
}

fn check(args: &mut Arguments) -> Result<CheckOptions, Error> {
    let json = args.contains("--json");
    let fields: Option<String> = args.opt_value_from_str("--fields").map_err(usage_error)?;
    let mut files = Vec::new();
    while let Some(file) = positional(args, "a settings file or a table")? {
        files.push(PathBuf::from(file));
    }
    if files.is_empty() && fields.is_none() {
        return Err(Error::Usage(
            "name at least one file to check; see --help".into(),
        ));
    }
    Ok(CheckOptions {
        files,
        json,
        fields,
    })
}

fn table(args: &mut Arguments) -> Result<TableOptions, Error> {
    let action = args.subcommand().map_err(usage_error)?;
    let json = args.contains("--json");
    let settings = settings(args)?;
    let action = match action.as_deref() {
        Some("get") => TableAction::Get(number(args, "--revision")?),
        Some("plan") => TableAction::Plan(table_file(args)?),
        Some("apply") => TableAction::Apply {
            base: number(args, "--base")?,
            wait: wait(args)?,
            file: table_file(args)?,
        },
        Some("history") => TableAction::History(number(args, "--last")?.unwrap_or(20)),
        Some("status") => TableAction::Status,
        Some(other) => return Err(unknown_name_error("table command", other, &TABLE_COMMANDS)),
        None => {
            let all = TABLE_COMMANDS.join(", ");
            return Err(Error::Usage(format!(
                "the command of `table` is missing; use {all}"
            )));
        }
    };
    Ok(TableOptions {
        settings,
        json,
        action,
    })
}

fn wait(args: &mut Arguments) -> Result<Option<Duration>, Error> {
    let text: Option<String> = args.opt_value_from_str("--wait").map_err(usage_error)?;
    text.map(|s| base::units::parse_duration(&s))
        .transpose()
        .map_err(|e| Error::Usage(format!("--wait: {e}")))
}

fn publish(args: &mut Arguments) -> Result<PublishOptions, Error> {
    let json = args.contains("--json");
    let settings = settings(args)?;
    let chunk: Option<String> = args.opt_value_from_str("--chunk").map_err(usage_error)?;
    let chunk_bytes = match chunk {
        None => weights::manifest::DEFAULT_CHUNK_BYTES,
        Some(s) => base::units::parse_bytes(&s)
            .ok()
            .filter(|n| (1..=1 << 30).contains(n))
            .map(|n| n as u32)
            .ok_or_else(|| Error::Usage(format!("--chunk {s}: write 1B to 1GiB, as 1MiB")))?,
    };
    let file = positional(args, "the file of weights")?
        .ok_or_else(|| Error::Usage("name the file of weights; see --help".into()))?;
    Ok(PublishOptions {
        settings,
        file: file.into(),
        chunk_bytes,
        json,
    })
}

fn table_file(args: &mut Arguments) -> Result<PathBuf, Error> {
    positional(args, "the table's CSV file")?
        .map(PathBuf::from)
        .ok_or_else(|| Error::Usage("name the table's CSV file; see --help".into()))
}

/// Takes the next positional argument; an error if it looks like an option.
fn positional(args: &mut Arguments, what: &str) -> Result<Option<String>, Error> {
    let arg: Option<String> = args.opt_free_from_str().map_err(usage_error)?;
    match arg {
        Some(s) if s.starts_with('-') => Err(unknown_option_error(&s, what)),
        arg => Ok(arg),
    }
}

fn number(args: &mut Arguments, name: &'static str) -> Result<Option<u64>, Error> {
    args.opt_value_from_str(name).map_err(usage_error)
}

/// Returns an error if arguments are left over.
fn finish(args: Arguments) -> Result<(), Error> {
    let rest = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(arg) => Err(unknown_option_error(
            &arg.to_string_lossy(),
            "no more arguments",
        )),
    }
}

/// Options of all commands, for suggestions on a misspelt one.
const OPTIONS: [&str; 11] = [
    "--settings",
    "--json",
    "--fields",
    "--revision",
    "--base",
    "--wait",
    "--last",
    "--chunk",
    "--from",
    "--help",
    "--version",
];

fn unknown_option_error(arg: &str, expected: &str) -> Error {
    let name = arg.split('=').next().unwrap_or(arg);
    let hint = base::nearest::hint(name, OPTIONS);
    Error::Usage(format!(
        "{arg:?} is not valid here, expected {expected}{hint}; see --help"
    ))
}

fn unknown_name_error(what: &str, name: &str, known: &[&str]) -> Error {
    let hint = base::nearest::hint(name, known.iter().copied());
    Error::Usage(format!(
        "there is no {what} {name:?}{hint}; use {}",
        known.join(", ")
    ))
}

fn usage_error(e: pico_args::Error) -> Error {
    Error::Usage(format!("{e}; see --help"))
}
