//! Status that an agent sends with most answers.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use serde::ser::SerializeTuple;

use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::Version;
use siskinbend_types::Window;

/// Load of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running on the backend server.
    pub running: u32,
    /// Requests in the agent's queue.
    pub queued: u32,
    /// Requests that the backend server can run concurrently.
    pub slots: u32,
    /// Recent mean time that a request occupies a slot, in milliseconds.
    pub hold_ms: u32,
    /// Time since the backend server last made progress, in milliseconds.
    pub idle_ms: u32,
}

/// Version of the environment document, as exchanged between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Version of the document.
    pub version: Version,
    /// Digest of its text.
    pub digest: Digest,
}

/// State of an agent, sent with most of its frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Current dispatch window.
    pub window: Window,
    /// Whether the agent accepts no new work.
    pub draining: bool,
    /// Number of entries connected to the agent; each applies its part of the rate limits.
    pub entries: u16,
    /// Load of the backend server.
    pub load: Load,
    /// Newest document version known to the agent, if any.
    pub newest: Option<DocumentVersion>,
}

impl Serialize for Load {
    fn serialize<S>(&self, out: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut tuple = out.serialize_tuple(5)?;
        tuple.serialize_element(&self.running)?;
        tuple.serialize_element(&self.queued)?;
        tuple.serialize_element(&self.slots)?;
        tuple.serialize_element(&self.hold_ms)?;
        tuple.serialize_element(&self.idle_ms)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Load {
    fn deserialize<D>(input: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        input.deserialize_tuple(5, LoadVisitor)
    }
}

/// Decodes a [`Load`] from its five numbers.
struct LoadVisitor;

impl<'de> de::Visitor<'de> for LoadVisitor {
    type Value = Load;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("running, queued, slots, hold and idle time")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Load, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut field = |at| {
            seq.next_element()?
                .ok_or_else(|| de::Error::invalid_length(at, &self))
        };
        Ok(Load {
            running: field(0)?,
            queued: field(1)?,
            slots: field(2)?,
            hold_ms: field(3)?,
            idle_ms: field(4)?,
        })
    }
}
