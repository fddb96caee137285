//! The command line, read once into typed options.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use crate::error::Error;
use crate::help::Topic;

/// Commands, for finding the nearest to a wrong one.
const COMMANDS: [&str; 9] = [
    "entry", "agent", "gateway", "loader", "table", "check", "publish", "status", "burn",
];

/// Commands of `table`.
const TABLE_COMMANDS: [&str; 5] = ["get", "plan", "apply", "history", "status"];

/// What to do.
#[derive(Debug)]
pub struct Options {
    /// Command.
    pub command: Command,
}

/// A command with its options.
#[derive(Debug)]
pub enum Command {
    /// Print help.
    Help(Topic),
    /// Print the version.
    Version,
    /// Run an entry by a settings file.
    Entry(PathBuf),
    /// Run an agent by a settings file.
    Agent(PathBuf),
    /// Run a gateway by a settings file.
    Gateway(PathBuf),
    /// Run a loader by a settings file.
    Loader(PathBuf),
    /// Check files.
    Check(CheckOptions),
    /// Work on the table.
    Table(TableOptions),
    /// Publish weights.
    Publish(PublishOptions),
    /// Show who is up.
    Status(StatusOptions),
    /// Show the service-level burn.
    Burn(BurnOptions),
}

/// Options of `check`.
#[derive(Debug)]
pub struct CheckOptions {
    /// Settings files and tables.
    pub files: Vec<PathBuf>,
    /// Print JSON.
    pub json: bool,
    /// Print the fields of a role instead.
    pub fields: Option<String>,
}

/// Options of `table`.
#[derive(Debug)]
pub struct TableOptions {
    /// Operator's settings.
    pub settings: PathBuf,
    /// Print JSON.
    pub json: bool,
    /// What to do with the table.
    pub action: TableAction,
}

/// What to do with the table.
#[derive(Debug)]
pub enum TableAction {
    /// Print an edition.
    Get(Option<u64>),
    /// Print what a file would change.
    Plan(PathBuf),
    /// Put a file in force.
    Apply {
        /// The file.
        file: PathBuf,
        /// Revision it was made from.
        base: Option<u64>,
        /// How long to wait until it is in force everywhere.
        wait: Option<Duration>,
    },
    /// List editions.
    History(u64),
    /// Print where the edition is in force.
    Status,
}

/// Options of `publish`.
#[derive(Debug)]
pub struct PublishOptions {
    /// Operator's settings.
    pub settings: PathBuf,
    /// Weights.
    pub file: PathBuf,
    /// Size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// Print JSON.
    pub json: bool,
}

/// Options of `status`.
#[derive(Debug)]
pub struct StatusOptions {
    /// Operator's settings.
    pub settings: PathBuf,
    /// Print JSON.
    pub json: bool,
}

/// Options of `burn`.
#[derive(Debug)]
pub struct BurnOptions {
    /// Operator's settings.
    pub settings: PathBuf,
    /// Print JSON.
    pub json: bool,
}

impl Options {
    /// Reads the arguments.
    pub fn parse(args: Vec<OsString>) -> Result<Options, Error> {
        let mut args = Arguments::from_vec(args);
        let help = args.contains(["-h", "--help"]);
        if args.contains(["-V", "--version"]) {
            let command = Command::Version;
            return Ok(Options { command });
        }
        let name = args.subcommand().map_err(usage)?;
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
            Some(other) => return Err(unknown("command", other, &COMMANDS)),
        };
        finish(args)?;
        Ok(Options { command })
    }
}

fn topic(name: &str, args: &mut Arguments) -> Result<Topic, Error> {
    let topic = Topic::named(name).ok_or_else(|| unknown("command", name, &COMMANDS))?;
    // `table apply --help` is help on `table`.
    while args.opt_free_from_str::<String>().map_err(usage)?.is_some() {}
    Ok(topic)
}

fn settings(args: &mut Arguments) -> Result<PathBuf, Error> {
    args.opt_value_from_str("--settings")
        .map_err(usage)?
        .ok_or_else(|| Error::Usage("--settings FILE is missing; see --help".into()))
}

fn check(args: &mut Arguments) -> Result<CheckOptions, Error> {
    let json = args.contains("--json");
    let fields: Option<String> = args.opt_value_from_str("--fields").map_err(usage)?;
    let mut files = Vec::new();
    while let Some(file) = free(args, "a settings file or a table")? {
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
    let action = args.subcommand().map_err(usage)?;
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
        Some(other) => return Err(unknown("table command", other, &TABLE_COMMANDS)),
        None => {
            let all = TABLE_COMMANDS.join(", ");
            return Err(Error::Usage(format!(
                "say what to do with the table: {all}"
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
    let text: Option<String> = args.opt_value_from_str("--wait").map_err(usage)?;
    text.map(|s| base::units::parse_duration(&s))
        .transpose()
        .map_err(|e| Error::Usage(format!("--wait: {e}")))
}

fn publish(args: &mut Arguments) -> Result<PublishOptions, Error> {
    let json = args.contains("--json");
    let settings = settings(args)?;
    let chunk: Option<String> = args.opt_value_from_str("--chunk").map_err(usage)?;
    let chunk_bytes = match chunk {
        None => weights::manifest::DEFAULT_CHUNK_BYTES,
        Some(s) => base::units::parse_bytes(&s)
            .ok()
            .filter(|n| (1..=1 << 30).contains(n))
            .map(|n| n as u32)
            .ok_or_else(|| Error::Usage(format!("--chunk {s}: write 1B to 1GiB, as 1MiB")))?,
    };
    let file = free(args, "the file of weights")?
        .ok_or_else(|| Error::Usage("name the file of weights; see --help".into()))?;
    Ok(PublishOptions {
        settings,
        file: file.into(),
        chunk_bytes,
        json,
    })
}

fn table_file(args: &mut Arguments) -> Result<PathBuf, Error> {
    free(args, "the table's CSV file")?
        .map(PathBuf::from)
        .ok_or_else(|| Error::Usage("name the table's CSV file; see --help".into()))
}

/// A free argument; one that looks like an option is refused.
fn free(args: &mut Arguments, what: &str) -> Result<Option<String>, Error> {
    let free: Option<String> = args.opt_free_from_str().map_err(usage)?;
    match free {
        Some(s) if s.starts_with('-') => Err(unknown_option(&s, what)),
        free => Ok(free),
    }
}

fn number(args: &mut Arguments, name: &'static str) -> Result<Option<u64>, Error> {
    args.opt_value_from_str(name).map_err(usage)
}

fn finish(args: Arguments) -> Result<(), Error> {
    let left = args.finish();
    match left.first() {
        None => Ok(()),
        Some(arg) => Err(unknown_option(&arg.to_string_lossy(), "nothing more")),
    }
}

/// Options of all commands, for finding the nearest to a wrong one.
const OPTIONS: [&str; 10] = [
    "--settings",
    "--json",
    "--fields",
    "--revision",
    "--base",
    "--wait",
    "--last",
    "--chunk",
    "--help",
    "--version",
];

fn unknown_option(arg: &str, expected: &str) -> Error {
    let name = arg.split('=').next().unwrap_or(arg);
    let hint = base::nearest::hint(name, OPTIONS);
    Error::Usage(format!(
        "{arg:?} is not expected here, where {expected} is{hint}; see --help"
    ))
}

fn unknown(what: &str, name: &str, known: &[&str]) -> Error {
    let hint = base::nearest::hint(name, known.iter().copied());
    Error::Usage(format!(
        "there is no {what} {name:?}{hint}; use {}",
        known.join(", ")
    ))
}

fn usage(e: pico_args::Error) -> Error {
    Error::Usage(format!("{e}; see --help"))
}
