//! The tools of the bench, one per module.

mod claims;
mod control;
mod layout;
mod ready;
mod rollout;
mod route;
mod send;
mod standins;
mod wire;

use lab::layout::Layout;
use pico_args::Arguments;

use crate::LabError;

/// Runs the tool named by the arguments.
pub fn run(mut args: Arguments) -> Result<(), LabError> {
    let name = args.subcommand()?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match name.as_deref() {
            Some("platform") => standins::platform(args).await,
            Some("engine") => standins::engine(args).await,
            Some("service") => standins::service(args).await,
            Some("layout") => layout::run(args),
            Some("ready") => ready::run(args).await,
            Some("claims") => claims::run(args).await,
            Some("control") => control::run(args).await,
            Some("rollout") => rollout::run(args).await,
            Some("route") => route::run(args).await,
            Some("wire") => wire::run(args).await,
            Some("send") => send::run(args).await,
            Some(other) => Err(LabError::Usage(format!("there is no tool {other:?}"))),
            None => Err(LabError::Usage("name a tool".into())),
        }
    })
}

/// Reads the layout of a deployment from `--net` and the numbers of VMs and failure domains.
fn layout_from_args(args: &mut Arguments) -> Result<Layout, LabError> {
    let net = args.value_from_str("--net")?;
    let entries = args.opt_value_from_str("--entries")?.unwrap_or(2);
    let engines = args.opt_value_from_str("--engines")?.unwrap_or(4);
    let services = args.opt_value_from_str("--services")?.unwrap_or(0);
    let domains = args.opt_value_from_str("--domains")?.unwrap_or(3);
    let mut layout = Layout::cajueiro(net, 1, entries, engines, services);
    layout.domains.truncate(domains);
    Ok(layout)
}

/// Rejects arguments that were not read.
fn finish(args: Arguments) -> Result<(), LabError> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => Err(LabError::Usage(format!("{arg:?} is not expected"))),
    }
}

/// Reads an optional duration.
fn duration(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<std::time::Duration>, LabError> {
    let text: Option<String> = args.opt_value_from_str(name)?;
    text.map(|s| base::units::parse_duration(&s))
        .transpose()
        .map_err(|e| LabError::Usage(format!("{name}: {e}")))
}
