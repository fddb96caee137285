//! Parses and validates settings files in YAML, one for each process.
//!
//! Every field is declared once, with its kind, default, range and a description ([`field`], [`node`]).
//! [`check()`] validates a file against the declarations and lists every fault. The typed structs
//! ([`EntryCfg`], [`AgentCfg`], [`OperatorCfg`], [`GatewayCfg`], [`LoaderCfg`]) are built from validated
//! values only.

pub mod check;
pub mod field;
pub mod node;
pub mod role;
pub mod value;

pub use check::{Settings, check, check_with_defaults, load, load_with_defaults};
pub use field::{Field, Kind};
pub use role::{
    AgentCfg, EntryCfg, GatewayCfg, LoaderCfg, LogCfg, NodeCfg, OperatorCfg, PlatformCfg,
    ProcessCfg, Role,
};
