//! Integration tests, one file a feature.

mod type_parsing;
