//! Integration tests, one file a feature.

mod document;
mod history;
mod lease;
mod membership;
mod operators;
mod promotion;
mod store;
mod type_parsing;
mod versions;
