//! The operator's commands.

pub mod document;
pub mod offer;
pub mod status;
