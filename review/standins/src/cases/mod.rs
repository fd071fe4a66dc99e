//! The cases that need a script.

pub mod bodies;
pub mod maps;
pub mod moved;
pub mod restore;
pub mod stop;
