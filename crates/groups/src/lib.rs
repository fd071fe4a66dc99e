//! Expert map switch and fencing of engine commands.
//!
//! The coordinator proposes a switch for a future step. Each rank promises the switch by closing
//! its step gate at that step, and only the coordinator's decision opens the gate again. No rank
//! therefore starts the step before it is decided which map the step uses. [`Member`] is the state
//! machine that the agent of a rank runs: it contains the rank's side and, if the agent leads the
//! group, the coordinator.

pub mod coordinator;
pub mod directory;
pub mod engine;
pub mod fence;
mod leader;
pub mod member;
pub mod message;
pub mod options;
pub mod orders;
pub mod rank;
pub mod report;
pub mod timing;
pub mod view;

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
