//! Messages between the agents of a group, and the types that they carry.

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
    /// The index as a slice index.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for RankIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of an engine step. Increases by 1 with each step of the group.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Step(pub u64);

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies an expert map by its content. The digest distinguishes maps to which two coordinators
/// gave the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MapRef {
    /// Increases with every committed switch.
    pub version: Version,
    /// SHA-256 of the map.
    pub digest: Digest,
}

impl fmt::Display for MapRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:.8}", self.version, self.digest.to_string())
    }
}

/// Identifies a round of a coordinator. A round is decided once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoundId {
    /// Ballot of the coordinator.
    pub ballot: Ballot,
    /// Number of the round within the ballot, from 1; 0 stands for the time before the first round.
    pub round: u64,
}

impl fmt::Display for RoundId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.ballot, self.round)
    }
}

/// A switch to a map at a step.
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

/// The outcome of all rounds up to `upto`, in which `committed` is the newest committed switch.
///
/// Commit and abort are the same message. With separate messages, a late abort could arrive before
/// the commit of a promised switch and revoke the promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The coordinator's ballot.
    pub ballot: Ballot,
    /// The last decided round.
    pub upto: RoundId,
    /// The newest committed switch.
    pub committed: Switch,
    /// Keep the loaded weights, because the same map is proposed again at once.
    pub keep_weights: bool,
}

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Incarnation of the whole group. Messages from before a restart of the group are dropped.
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
    /// Candidate to rank: record this ballot, ignore lower ones and report the state.
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
        /// The promised switch whose decision is not known to the rank.
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
        /// The content of the map, as encoded by the placement policy.
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
    /// Rank to coordinator: the step gate is closed at the step of the switch until the decision.
    Promise {
        /// The round.
        id: RoundId,
    },
    /// Rank to coordinator: the rank refuses to promise the switch of this round.
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
    /// Rank to coordinator: send the decision on a promised switch.
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

/// Defines an enum of reasons with their names in metrics and logs.
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
    /// Why weights were not loaded.
    LoadError {
        /// The engine or the weight store failed.
        Failed => "load_failed",
        /// The agent hasn't read the lease row since it started.
        FenceUnknown => "fence_unknown",
        /// The command's fencing number is lower than one already known.
        FenceStale => "fence_stale",
        /// Another command is running on an engine that doesn't check fencing numbers.
        FenceBusy => "fence_busy",
    }
}

reasons! {
    /// Why a rank refuses to promise a switch.
    RefuseReason {
        /// The engine's rank has already started the step.
        Passed => "step_passed",
        /// Another promised switch is undecided.
        Promised => "promised",
        /// The weights of the map are not loaded.
        NotLoaded => "not_loaded",
    }
}

reasons! {
    /// Why a switch was aborted.
    AbortReason {
        /// A rank failed to load the weights.
        LoadFailed => "load_failed",
        /// A rank didn't load the weights in time.
        LoadTimeout => "load_slow",
        /// A rank has already started the step.
        Passed => "step_passed",
        /// A rank has another undecided promise or no longer has the weights.
        Refused => "refused",
        /// A rank didn't promise in time.
        PromiseTimeout => "unanswered",
        /// Another agent took over and decides the switch.
        Deposed => "deposed",
    }
}

/// Reports of the coordinator to its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// This agent leads the group and a switch can begin.
    Ready {
        /// The newest committed switch.
        committed: Switch,
    },
    /// Every rank has recorded the commit.
    Committed(Switch),
    /// The switch to a map was aborted.
    Aborted {
        /// The map.
        map: MapRef,
        /// Why.
        reason: AbortReason,
        /// The first rank that caused the abort, if any.
        rank: Option<RankIndex>,
    },
}

/// Reason why a switch can't begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum BeginError {
    /// this agent doesn't lead the group
    NotLeader,
    /// another switch is in progress
    Busy,
    /// the map's version is not higher than the version in force
    NotNewer,
}

impl std::error::Error for BeginError {}
