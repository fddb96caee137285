//! Test bench: stand-ins for the systems around driftnotch, and tools that drive it. Not shipped.
//!
//! [`standin`] contains the stand-ins: the platform, a model engine, a plain service, and a relay
//! that cuts or slows links. Their faults can be set at runtime. [`layout`] assigns a loopback
//! address to every VM of a deployment and generates its settings; [`deployment`] runs a deployment
//! in the current process. [`caller`] sends requests and checks each response against its request.

pub mod caller;
pub mod deployment;
pub mod layout;
pub mod standin;
