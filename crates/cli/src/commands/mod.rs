//! Implementations of the commands, one module each, and what they share ([`operator`], [`process`]).

pub mod agent;
pub mod burn;
pub mod check;
pub mod entry;
pub mod gateway;
pub mod load;
pub mod loader;
pub mod operator;
pub mod process;
pub mod publish;
pub mod status;
pub mod table;
