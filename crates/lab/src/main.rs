//! `driftnotch-lab`: stand-ins and tools of the test bench. Not shipped.

mod commands;
mod error;

use std::process::ExitCode;

use error::LabError;
use pico_args::Arguments;

const HELP: &str = "\
Stand-ins and tools of the driftnotch bench.

Usage: driftnotch-lab platform --net N [--origin-rate BYTES]   the platform's stand-in
       driftnotch-lab engine   --listen ADDR [--ignore-fences] [--token DURATION]
       driftnotch-lab service  --listen ADDR
       driftnotch-lab layout   --net N --dir DIR [--entries N] [--engines N] [--services N]
                               [--origin-copies fleet|domain]   writes settings for a deployment
       driftnotch-lab ready    --net N --version V --replicas N [--within DURATION] [--json]
       driftnotch-lab send     --net N [--seconds N] [--json]
       driftnotch-lab control  --net N [--entries N] [--agents N] [--edits R] [--rows N] [--seconds N] [--json]
                               (against running entries; scripts/capacity starts them)
       driftnotch-lab rollout  [--vms N] [--domains D] [--size BYTES] [--chunk BYTES] [--span DURATION]
                               [--origin-copies fleet|domain] [--set 'FIELD: VALUE']... [--seed S]
                               [--fault none|kill|stall|corrupt|cut|origin-down|newer] [--no-naive] [--json]
       driftnotch-lab route    [--policy NAME|all] [--load F] [--fault none|slow|dead|lag|flap|cut]
                               [--span DURATION] [--seed S] [--json]
       driftnotch-lab wire     [--net N]   capnp-rpc and HTTP, compared
       driftnotch-lab claims   [--net N] [--json]   ways to claim idempotency keys, compared

Every tool of one deployment is given the same --net: the second number of its loopback addresses.";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match commands::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftnotch-lab: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
