//! Integration tests, one file a feature.

mod document;
mod standins;
mod store;
mod type_parsing;
