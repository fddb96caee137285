//! Tools, a file each.

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

/// Runs the tool that the arguments name.
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

/// The deployment that `--net` and the numbers of VMs name.
fn deployment(args: &mut Arguments) -> Result<Layout, LabError> {
    let net = args.value_from_str("--net")?;
    let entries = args.opt_value_from_str("--entries")?.unwrap_or(2);
    let engines = args.opt_value_from_str("--engines")?.unwrap_or(4);
    let services = args.opt_value_from_str("--services")?.unwrap_or(0);
    let domains = args.opt_value_from_str("--domains")?.unwrap_or(3);
    let mut layout = Layout::cajueiro(net, 1, entries, engines, services);
    layout.domains.truncate(domains);
    Ok(layout)
}

fn finish(args: Arguments) -> Result<(), LabError> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => Err(LabError::Usage(format!("{arg:?} is not expected"))),
    }
}

fn duration(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<std::time::Duration>, LabError> {
    let text: Option<String> = args.opt_value_from_str(name)?;
    text.map(|s| base::units::parse_duration(&s))
        .transpose()
        .map_err(|e| LabError::Usage(format!("{name}: {e}")))
}
