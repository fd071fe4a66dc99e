//! Ids, names, sizes, rates, time, outcomes and reasons shared by all crates.

pub mod ids;
pub mod name;
pub mod outcome;
pub mod quantity;
pub mod region;
pub mod time;

pub use ids::Attempt;
pub use ids::Ballot;
pub use ids::Digest;
pub use ids::FencingNumber;
pub use ids::Incarnation;
pub use ids::RequestFingerprint;
pub use ids::RequestId;
pub use ids::Timeline;
pub use ids::Version;
pub use ids::Window;
pub use name::AgentId;
pub use name::EngineGroup;
pub use name::GroupName;
pub use name::Organisation;
pub use name::PromptPart;
pub use name::Region;
pub use name::ServiceName;
pub use name::VmId;
pub use name::Zone;
pub use outcome::Outcome;
pub use outcome::Priority;
pub use outcome::Reason;
pub use quantity::ByteSize;
pub use quantity::Rate;
pub use region::RegionSet;
pub use region::ZoneRegions;
pub use time::Time;

/// Why a text could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ParseError {
    /// "{0}" is not {1} hexadecimal digits
    Hex(String, usize),
    /// "{0}" is not a valid unsigned integer
    Number(String),
    /// the name "{0}" is empty, longer than 64 bytes, or has a character other than a-z 0-9 - _ .
    Name(String),
    /// "{0}" is not a size such as 64KiB, 2MiB or 512
    Size(String),
    /// "{0}" is not a rate such as 250 or 0.5 per second
    Rate(String),
    /// "{0}" is not one of {1}
    Choice(String, &'static str),
}

impl std::error::Error for ParseError {}
