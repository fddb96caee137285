//! `driftnotch`: one binary for entries, agents, gateways, loaders and the operators' commands.

mod commands;
mod error;
mod help;
mod logs;
mod options;
mod output;
mod prometheus;
mod resources;
mod signals;

use std::process::ExitCode;

use options::{Command, Options};

fn main() -> ExitCode {
    let result = Options::parse(std::env::args_os().skip(1).collect()).and_then(run);
    logs::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftnotch: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run(options: Options) -> Result<(), error::Error> {
    match options.command {
        Command::Help(topic) => output::line(help::text(topic)),
        Command::Version => output::line(concat!("driftnotch ", env!("CARGO_PKG_VERSION"))),
        Command::Entry(settings) => commands::entry::run(&settings),
        Command::Agent(settings) => commands::agent::run(&settings),
        Command::Gateway(settings) => commands::gateway::run(&settings),
        Command::Loader(settings) => commands::loader::run(&settings),
        Command::Check(check) => commands::check::run(&check),
        Command::Table(table) => commands::table::run(&table),
        Command::Publish(publish) => commands::publish::run(&publish),
        Command::Status(status) => commands::status::run(&status),
        Command::Burn(burn) => commands::burn::run(&burn),
        Command::Load(load) => commands::load::run(&load),
    }
}
