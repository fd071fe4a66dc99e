//! Sizes and rates.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ParseError;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// A number of bytes, written as `512`, `64KiB`, `2MiB` or `1GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize, schemars::JsonSchema)]
#[serde(try_from = "SmolStr")]
#[schemars(with = "String")]
pub struct ByteSize(pub u64);

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= GIB && n % GIB == 0 => write!(f, "{}GiB", n / GIB),
            n if n >= MIB && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let unit = match &text[split..] {
            "" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(ParseError::Size(text.to_owned())),
        };
        text[..split]
            .parse::<u64>()
            .ok()
            .and_then(|n| n.checked_mul(unit))
            .map(Self)
            .ok_or_else(|| ParseError::Size(text.to_owned()))
    }
}

impl TryFrom<SmolStr> for ByteSize {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl Serialize for ByteSize {
    fn serialize<S>(&self, out: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        out.collect_str(self)
    }
}

/// Events per second; finite and not negative.
#[derive(
    Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(try_from = "f64")]
pub struct Rate(f64);

impl Rate {
    /// Returns the number of events per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = ParseError;

    fn try_from(rate: f64) -> Result<Self, ParseError> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(ParseError::Rate(rate.to_string()))
        }
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let rate: f64 = text
            .parse()
            .map_err(|_| ParseError::Rate(text.to_owned()))?;
        rate.try_into()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
