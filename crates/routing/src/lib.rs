//! Replica choice, health and admission.
//!
//! Everything here is a pure state machine: time and randomness are passed in.

pub mod admission;
pub mod health;
pub mod limit;
pub mod lively;
pub mod pace;
mod part;
pub mod picker;
pub mod policy;
pub mod quota;
pub mod replica;
pub mod report;
pub mod subset;

pub use admission::Place;
pub use admission::Queue;
pub use admission::Taken;
pub use admission::Ticket;
pub use limit::Limit;
pub use lively::Lively;
pub use picker::Choice;
pub use picker::Done;
pub use picker::Picker;
pub use picker::Seen;
pub use picker::Wish;
pub use policy::Kind;
pub use policy::Policy;
pub use quota::Quota;
pub use replica::Explanation;
pub use replica::Feature;
pub use replica::Replica;
pub use replica::Verdict;
pub use report::Report;
