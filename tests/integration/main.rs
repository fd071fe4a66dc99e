//! Integration tests, one file a feature.

mod document;
mod fence;
mod standins;
mod switch;
mod type_parsing;
