//! Messages between the agents of a group, and what they are about.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::Ballot;
use siskinbend_types::Digest;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Version;

/// Index of a rank in its group, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RankIndex(pub u16);

impl RankIndex {
    /// The index for slices.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for RankIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of an engine step; it grows by 1 with each step of the group.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Step(pub u64);

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Names the content of an expert map. The digest tells apart two maps that two coordinators
/// gave the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MapRef {
    /// Grows with every committed switch.
    pub version: Version,
    /// SHA-256 of the map.
    pub digest: Digest,
}

impl fmt::Display for MapRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:.8}", self.version, self.digest.to_string())
    }
}

/// Names one round of a coordinator. A round is decided once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoundId {
    /// Ballot of the coordinator.
    pub ballot: Ballot,
    /// Counts the rounds of the ballot, from 1; 0 is before the first.
    pub round: u64,
}

impl fmt::Display for RoundId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.ballot, self.round)
    }
}

/// A map that comes into force at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Switch {
    /// The round in which it was proposed.
    pub id: RoundId,
    /// The map.
    pub map: MapRef,
    /// First step that uses the map.
    pub step: Step,
}

impl fmt::Display for Switch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to map {} at step {}", self.id, self.map, self.step)
    }
}

/// All rounds up to `upto` are decided, and `committed` is the newest committed switch.
///
/// Commit and abort are one message, so that no order of arrival can abort a promise whose commit
/// is still on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The coordinator's ballot.
    pub ballot: Ballot,
    /// The last decided round.
    pub upto: RoundId,
    /// The newest committed switch.
    pub committed: Switch,
    /// Loaded weights are kept because the same map is proposed again at once.
    pub keep_weights: bool,
}

/// A message with its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Life of the group. A message from before a restart of the whole group is dropped.
    pub life: Incarnation,
    /// Rank of the sender.
    pub from: RankIndex,
    /// Rank of the receiver.
    pub to: RankIndex,
    /// The content.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Candidate to rank: answer this ballot and ignore lower ones.
    Query {
        /// The candidate's ballot.
        ballot: Ballot,
    },
    /// Rank to candidate: the ballot is recorded.
    State {
        /// The ballot answered.
        ballot: Ballot,
        /// The newest committed switch.
        committed: Switch,
        /// The switch that the rank has promised and that isn't decided.
        promise: Option<Switch>,
    },
    /// Coordinator to rank: load the weights of a map in the background.
    Prepare {
        /// The round.
        id: RoundId,
        /// The map.
        map: MapRef,
        /// Fencing number of the load command.
        fencing: FencingNumber,
        /// The map's content as the placement policy encodes it.
        plan: Vec<u8>,
    },
    /// Rank to coordinator: the weights are loaded.
    Loaded {
        /// The round.
        id: RoundId,
    },
    /// Rank to coordinator: the weights can't be loaded.
    NotLoaded {
        /// The round.
        id: RoundId,
        /// Why.
        fault: LoadError,
    },
    /// Coordinator to rank: promise a switch.
    Propose {
        /// The switch.
        switch: Switch,
    },
    /// Rank to coordinator: the gate is closed at the step of the switch until the decision.
    Promise {
        /// The round.
        id: RoundId,
    },
    /// Rank to coordinator: no promise is given in this round.
    Refuse {
        /// The round.
        id: RoundId,
        /// Why.
        reason: RefuseReason,
    },
    /// Coordinator to rank: commit or abort.
    Decide(Decision),
    /// Rank to coordinator: the decision is recorded.
    Decided {
        /// The last decided round.
        upto: RoundId,
    },
    /// Rank to coordinator: a promise waits for its decision.
    RequestDecision {
        /// The promised round.
        id: RoundId,
    },
    /// Coordinator to rank: the coordinator is alive.
    Heartbeat {
        /// The coordinator's ballot.
        ballot: Ballot,
    },
    /// Rank to coordinator or candidate: the rank has answered a higher ballot.
    Reject {
        /// The ballot refused.
        ballot: Ballot,
        /// The highest ballot that the rank has answered.
        highest: Ballot,
    },
}

/// Defines a reason enum with its names in metrics and logs.
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub enum $name {
            $($(#[$item])* $variant,)+
        }

        impl $name {
            /// Every value.
            pub const ALL: &'static [$name] = &[$($name::$variant,)+];

            /// The name in metrics and logs.
            pub fn as_str(self) -> &'static str {
                match self { $($name::$variant => $text,)+ }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why weights are not loaded.
    LoadError {
        /// The engine or the weight store failed.
        Failed => "load_failed",
        /// The agent hasn't read the lease row since its start.
        FenceUnknown => "fence_unknown",
        /// The command's fencing number is old.
        FenceStale => "fence_stale",
        /// Another command of an engine without fencing is running.
        FenceBusy => "fence_busy",
    }
}

reasons! {
    /// Why a rank gives no promise.
    RefuseReason {
        /// The engine's rank has started the step.
        Passed => "step_passed",
        /// Another promise waits for its decision.
        Promised => "promised",
        /// The weights of the map are not loaded.
        NotLoaded => "not_loaded",
    }
}

reasons! {
    /// Why a switch was aborted.
    AbortReason {
        /// A rank can't load the weights.
        LoadFailed => "load_failed",
        /// A rank didn't load the weights in time.
        LoadTimeout => "load_slow",
        /// A rank has started the step.
        Passed => "step_passed",
        /// A rank holds another promise or lost its weights.
        Refused => "refused",
        /// A rank didn't promise in time.
        PromiseTimeout => "unanswered",
        /// Another agent took over; it decides what becomes of the switch.
        Deposed => "deposed",
    }
}

/// What the coordinator tells its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// This agent leads the group and a switch can begin.
    Ready {
        /// The newest committed switch.
        committed: Switch,
    },
    /// Every rank has recorded the commit.
    Committed(Switch),
    /// The switch to a map was given up.
    Aborted {
        /// The map.
        map: MapRef,
        /// Why.
        reason: AbortReason,
        /// The first rank that stood in the way, if it was a rank.
        rank: Option<RankIndex>,
    },
}

/// Why a switch can't begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum BeginError {
    /// this agent doesn't lead the group
    NotLeader,
    /// another switch is under way
    Busy,
    /// the map's version is not above the version in force
    NotNewer,
}

impl std::error::Error for BeginError {}
