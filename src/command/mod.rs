//! Subcommands for operators.

pub mod document;
pub mod explain;
pub mod offer;
pub(crate) mod out;
pub mod status;
