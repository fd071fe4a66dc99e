//! Integration tests, one file a feature.

mod choice;
mod ejection;
mod queue;
mod type_parsing;
