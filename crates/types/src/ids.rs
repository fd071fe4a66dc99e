//! Numeric identifiers and counters.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ParseError;

/// Defines a newtype over an integer that is written as fixed-width hexadecimal.
macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $digits:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $digits, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                <$inner>::from_str_radix(text, 16)
                    .ok()
                    .filter(|_| text.len() == $digits && !text.starts_with('+'))
                    .map(Self)
                    .ok_or_else(|| ParseError::Hex(text.to_owned(), $digits))
            }
        }
    };
}

/// Defines a newtype over an integer for a number that only increases, written in decimal.
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse().map(Self).map_err(|_| ParseError::Number(text.to_owned()))
            }
        }
    };
}

hex_id!(
    /// Identifies one request of a caller; drawn at random by the entry that receives it.
    RequestId, u128, 32
);
hex_id!(
    /// Identifies one run of a process, from start to exit; drawn at random when it starts.
    Incarnation, u64, 16
);
hex_id!(
    /// Hash of what makes two requests the same: method, path, caller and body, but not their ids.
    RequestFingerprint, u64, 16
);
counter!(
    /// Number of an attempt within a request, counted from 1.
    Attempt, u32
);
counter!(
    /// Fencing number of a lease; increases with every grant.
    FencingNumber, u64
);
counter!(
    /// Version of an environment's document or of an expert map.
    Version, u64
);
counter!(
    /// Dispatch window of an agent; increases with the agent's monotonic clock.
    Window, u64
);
counter!(
    /// History of a store. A store that is restored from a copy starts a new one, which lacks what
    /// was written after the copy was made.
    Timeline, u64
);

/// Fencing number within a group, ordered by term and then by the coordinator's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with every change of coordinator.
    pub term: u64,
    /// Incarnation of the coordinator; breaks ties between coordinators that chose the same term.
    pub owner: Incarnation,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.owner)
    }
}

/// SHA-256 digest of a content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseError::Hex(text.to_owned(), 64))?;
        Ok(Self(bytes))
    }
}
