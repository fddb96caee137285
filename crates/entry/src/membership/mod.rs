//! Who is there: upstreams and other entries, and the links that tell.

pub mod control;
pub mod fleet;
pub mod links;
pub mod upstream;
