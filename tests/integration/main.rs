//! Integration tests, one file a feature.

mod call_util;
mod claims;
mod ledger;
mod outcomes;
mod request_history;
mod request_random;
mod resumption;
mod type_parsing;
