//! Integration tests, one file a feature.

mod document;
mod standins;
mod type_parsing;
