//! The cases that need a script.

pub mod maps;
pub mod moved;
pub mod restore;
pub mod silent;
pub mod stop;
