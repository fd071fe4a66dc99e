//! Expert map switch and fencing of engine commands.
//!
//! A switch is proposed for a future step. Each rank promises it by closing its step gate at that
//! step, and only the decision opens the gate again, so no rank enters the step on a guess.
//! [`Member`] is what the agent of a rank runs: the rank's side and, if this agent leads the
//! group, the coordinator.

pub mod coordinator;
pub mod engine;
pub mod fence;
mod leader;
pub mod member;
pub mod message;
pub mod options;
pub mod orders;
pub mod rank;
pub mod timing;

pub use engine::EngineState;
pub use engine::Record;
pub use engine::RecordWrite;
pub use engine::WriteError;
pub use fence::Fence;
pub use fence::FenceError;
pub use member::Action;
pub use member::Event;
pub use member::Member;
pub use message::AbortReason;
pub use message::BeginError;
pub use message::Body;
pub use message::Decision;
pub use message::Envelope;
pub use message::LoadError;
pub use message::MapRef;
pub use message::Outcome;
pub use message::RankIndex;
pub use message::RefuseReason;
pub use message::RoundId;
pub use message::Step;
pub use message::Switch;
pub use options::Options;
