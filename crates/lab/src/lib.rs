//! The bench: stand-ins for what driftnotch meets, and tools that drive it. Not shipped.
//!
//! [`standin`] holds the stand-ins (platform, model engine, plain service, and a relay that cuts
//! or slows a link), each with faults that can be set while it runs. [`layout`] gives every VM of
//! a deployment its loopback address and writes its settings, [`deployment`] runs one in this
//! process. [`caller`] sends requests and holds
//! each answer against what was asked.

pub mod caller;
pub mod deployment;
pub mod layout;
pub mod standin;
