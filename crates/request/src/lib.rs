//! State machines of one request: entry side, agent ledger, claims and retry budget.

pub mod budget;
pub mod call;
pub mod claim;
pub mod direct;
pub mod events;
pub mod ledger;
pub mod resume;
pub mod returns;

pub use budget::RetryBudget;
pub use call::Action;
pub use call::Call;
pub use call::Event;
pub use call::Key;
pub use call::OnOutage;
pub use call::Spec;
pub use call::Target;
pub use claim::ClaimError;
pub use claim::ClaimRow;
pub use claim::ClaimState;
pub use claim::StoredAnswer;
pub use direct::Attempts;
pub use direct::Ending;
pub use direct::Next;
pub use events::EventBuffer;
pub use ledger::AttemptRef;
pub use ledger::CancelState;
pub use ledger::Dispatch;
pub use ledger::Finish;
pub use ledger::Found;
pub use ledger::Ledger;
pub use resume::Held;
pub use resume::HoldSettings;
