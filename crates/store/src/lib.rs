//! Platform traits, HTTP clients and in-memory fakes.
