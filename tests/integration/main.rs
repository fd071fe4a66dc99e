//! Integration tests, one file a feature.

mod document;
mod type_parsing;
