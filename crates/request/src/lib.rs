//! State machines of one request: entry side, agent ledger, claims and retry budget.

pub mod budget;
pub mod call;
pub mod claim;
pub mod direct;
pub mod events;
pub mod ledger;
pub mod resume;
pub mod retry_after;

pub use budget::RetryBudget;
pub use call::Action;
pub use call::Call;
pub use call::CallSpec;
pub use call::Event;
pub use call::IdempotencyKey;
pub use call::OnOutage;
pub use call::Target;
pub use claim::ClaimError;
pub use claim::ClaimRow;
pub use claim::ClaimState;
pub use claim::StoredAnswer;
pub use direct::AttemptFailure;
pub use direct::DirectAttempts;
pub use direct::HedgeCause;
pub use direct::HedgeRefusal;
pub use direct::NextStep;
pub use events::EventBuffer;
pub use ledger::AttemptRef;
pub use ledger::CancelState;
pub use ledger::Dispatch;
pub use ledger::ExecutionResult;
pub use ledger::Ledger;
pub use ledger::LookupResult;
pub use resume::ResumeBuffer;
pub use resume::ResumeSettings;
