//! Environment document: types, checks, findings, digest, diff and JSON Schema.
