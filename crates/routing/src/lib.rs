//! Replica choice, health checks and admission.
//!
//! The state machines are pure: the caller passes in time and random numbers.

pub mod admission;
pub mod crashes;
pub mod group_limits;
pub mod health;
pub mod limit;
pub mod liveness;
mod organisation_queue;
pub mod picker;
pub mod policy;
pub mod rate_limit;
pub mod replica;
pub mod report;
pub mod send_rules;
pub mod server_limits;
mod shared_rate;
pub mod slow_start;
pub mod slowdown;
pub mod subset;

pub use admission::Dequeued;
pub use admission::Queue;
pub use admission::RequestInfo;
pub use admission::WaiterId;
pub use crashes::AttemptStage;
pub use crashes::CrashTracker;
pub use group_limits::GroupLimits;
pub use limit::ConcurrencyLimit;
pub use liveness::LivenessTracker;
pub use picker::AttemptResult;
pub use picker::Choice;
pub use picker::Observation;
pub use picker::Picker;
pub use picker::Requirements;
pub use policy::Policy;
pub use policy::PolicyKind;
pub use rate_limit::RateLimiter;
pub use replica::Explanation;
pub use replica::Feature;
pub use replica::Replica;
pub use replica::Verdict;
pub use report::LoadReport;
pub use send_rules::SendRule;
pub use send_rules::SendRules;
pub use server_limits::ServerLimits;
pub use slow_start::SlowStart;
