//! Integration tests, one file a feature.

mod standins;
mod type_parsing;
