//! Names that operators choose for the parts of a deployment.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ParseError;

/// Maximum length of a name in bytes; names are metric labels and parts of row keys.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether a text is a valid name: 1 to 64 bytes of `a-z 0-9 - _ .`.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Defines a newtype over a name that is validated when it is parsed or decoded.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
            schemars::JsonSchema,
        )]
        #[serde(try_from = "SmolStr")]
        #[schemars(with = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = ParseError;

            fn try_from(text: SmolStr) -> Result<Self, ParseError> {
                if is_valid_name(&text) { Ok(Self(text)) } else { Err(ParseError::Name(text.into())) }
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                SmolStr::new(text).try_into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name!(
    /// Name of an organisation whose requests are served.
    Organisation
);
name!(
    /// Name of a service in the environment document.
    ServiceName
);
name!(
    /// Name of a group of ranks.
    GroupName
);
name!(
    /// Name of an availability zone.
    Zone
);
name!(
    /// Id of a VM on the platform's list.
    VmId
);
name!(
    /// Name of the agent of one backend server; stays the same across restarts.
    AgentId
);

/// Defines a newtype over a text that another system chooses, without restrictions.
macro_rules! free_text {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(SmolStr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Infallible> {
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl From<SmolStr> for $name {
            fn from(name: SmolStr) -> Self {
                Self(name)
            }
        }
    };
}

free_text!(
    /// Name of an engine group, as its ranks report it. A service can have several groups.
    EngineGroup
);
free_text!(
    /// Id of one part of a prompt, as callers state it. Prompts with the same text share parts.
    PromptPart
);
free_text!(
    /// Name of a region, which consists of availability zones.
    Region
);
