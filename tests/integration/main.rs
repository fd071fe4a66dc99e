//! Integration tests, one file a feature.

mod document;
mod store;
mod type_parsing;
