//! Runs stand-ins as separate processes, which exit on SIGTERM.

use std::net::SocketAddr;

use lab::standin::engine::{Behaviour, Engine};
use lab::standin::platform::Platform;
use lab::standin::service::PlainService;
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::{duration, finish, layout_from_args};
use crate::LabError;

pub async fn platform(mut args: Arguments) -> Result<(), LabError> {
    let layout = layout_from_args(&mut args)?;
    let rate = args.opt_value_from_str("--origin-rate")?;
    finish(args)?;
    let (_tx, stop) = watch::channel(false);
    let platform = Platform::start(layout.platform_listen_addrs(), rate, stop).await?;
    platform.set_members(&layout.members());
    wait_for_sigterm().await
}

pub async fn engine(mut args: Arguments) -> Result<(), LabError> {
    let listen: SocketAddr = args.value_from_str("--listen")?;
    let mut behaviour = Behaviour {
        enforces_fencing: !args.contains("--ignore-fences"),
        ..Behaviour::default()
    };
    if let Some(token) = duration(&mut args, "--token")? {
        behaviour.token = token;
    }
    finish(args)?;
    let (_tx, stop) = watch::channel(false);
    Engine::start(listen, behaviour, stop).await?;
    wait_for_sigterm().await
}

pub async fn service(mut args: Arguments) -> Result<(), LabError> {
    let listen: SocketAddr = args.value_from_str("--listen")?;
    finish(args)?;
    let (_tx, stop) = watch::channel(false);
    PlainService::start(listen, stop).await?;
    wait_for_sigterm().await
}

async fn wait_for_sigterm() -> Result<(), LabError> {
    signal(SignalKind::terminate())?.recv().await;
    Ok(())
}
