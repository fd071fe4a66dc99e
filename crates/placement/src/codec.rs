//! Encoding of the counts that a rank sends to the coordinator.
//!
//! Each count is encoded as its rounded square root, with as many bits as the largest root of the
//! layer needs. The square root of a count has a standard deviation of about 0.5 whatever its size,
//! so the rounding error (0.29) stays below the noise of counting. Expert ids are not encoded: they
//! follow from the map version and the rank.

use siskinbend_types::Version;

use crate::map::Shape;

/// Bytes of the header: map version, interval, rank, steps, busy time and number of layers.
const HEADER_BYTES: usize = 8 + 4 + 2 + 4 + 4 + 2;
/// Maximum bits of an encoded square root.
const MAX_COUNT_BITS: u8 = 32;

/// Counts of one rank in one interval. A map switch resets the counts and the steps, so a report
/// belongs to a single map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Version of the map that was in force.
    pub version: Version,
    /// Number of the interval: the group's step number divided by the length of an interval, which
    /// is the same on all ranks.
    pub interval: u32,
    /// The rank.
    pub rank: u16,
    /// Steps in the interval.
    pub steps: u32,
    /// Mean time per step, in nanoseconds, in which the rank computed or stalled. Excludes the time
    /// spent waiting for other ranks.
    pub busy_ns: u32,
    /// Tokens of each hosted expert in order of experts, by layer.
    pub layers: Vec<Vec<u64>>,
}

/// Decoding error of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CodecError {
    /// truncated report: got only {0} bytes
    Truncated(usize),
    /// the report has {0} trailing bytes
    TrailingBytes(usize),
    /// the report has counts of {0} bits, more than 32
    CountWidth(u8),
    /// the report has {0} layers, more than the group has
    TooManyLayers(u16),
    /// the report has {0} counts in a layer, more than a rank has slots
    TooManyCounts(u16),
}

impl std::error::Error for CodecError {}

impl Report {
    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_BYTES + 16 * self.layers.len());
        out.extend_from_slice(&self.version.0.to_le_bytes());
        out.extend_from_slice(&self.interval.to_le_bytes());
        out.extend_from_slice(&self.rank.to_le_bytes());
        out.extend_from_slice(&self.steps.to_le_bytes());
        out.extend_from_slice(&self.busy_ns.to_le_bytes());
        let layers = u16::try_from(self.layers.len()).unwrap_or(u16::MAX);
        out.extend_from_slice(&layers.to_le_bytes());
        for layer in self.layers.iter().take(usize::from(layers)) {
            pack_layer(layer, &mut out);
        }
        out
    }

    /// Decodes a report. Each count is returned as the square of its rounded root.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a report of a group of this shape. The shape limits
    /// the memory that a malformed report can make the decoder allocate.
    pub fn decode(bytes: &[u8], shape: Shape) -> Result<Report, CodecError> {
        let mut rest = Reader { bytes, at: 0 };
        let version = Version(u64::from_le_bytes(rest.take()?));
        let interval = u32::from_le_bytes(rest.take()?);
        let rank = u16::from_le_bytes(rest.take()?);
        let steps = u32::from_le_bytes(rest.take()?);
        let busy_ns = u32::from_le_bytes(rest.take()?);
        let count = u16::from_le_bytes(rest.take()?);
        if count > shape.layers {
            return Err(CodecError::TooManyLayers(count));
        }
        let mut layers = Vec::with_capacity(usize::from(count));
        for _ in 0..count {
            layers.push(unpack_layer(&mut rest, shape.slots)?);
        }
        match bytes.len() - rest.at {
            0 => Ok(Report {
                version,
                interval,
                rank,
                steps,
                busy_ns,
                layers,
            }),
            extra => Err(CodecError::TrailingBytes(extra)),
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        let short = CodecError::Truncated(self.bytes.len());
        let end = self.at + N;
        let part = self.bytes.get(self.at..end).ok_or(short)?;
        self.at = end;
        part.try_into().map_err(|_| short)
    }
}

fn pack_layer(counts: &[u64], out: &mut Vec<u8>) {
    let roots: Vec<u32> = counts.iter().map(|c| round_root(*c)).collect();
    let top = roots.iter().copied().max().unwrap_or(0);
    let width = u32::BITS - top.leading_zeros();
    let count = u16::try_from(roots.len()).unwrap_or(u16::MAX);
    out.extend_from_slice(&count.to_le_bytes());
    out.push(u8::try_from(width).unwrap_or(MAX_COUNT_BITS));
    let (mut buffer, mut bits) = (0u64, 0);
    for root in roots.into_iter().take(usize::from(count)) {
        buffer |= u64::from(root) << bits;
        bits += width;
        while bits >= 8 {
            out.push((buffer & 0xff) as u8);
            buffer >>= 8;
            bits -= 8;
        }
    }
    if bits > 0 {
        out.push((buffer & 0xff) as u8);
    }
}

fn unpack_layer(rest: &mut Reader<'_>, slots: u16) -> Result<Vec<u64>, CodecError> {
    let count = u16::from_le_bytes(rest.take()?);
    let [width] = rest.take()?;
    if count > slots {
        return Err(CodecError::TooManyCounts(count));
    }
    if width > MAX_COUNT_BITS {
        return Err(CodecError::CountWidth(width));
    }
    let (mut buffer, mut bits) = (0u64, 0);
    let mut counts = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        while bits < width {
            let [byte] = rest.take()?;
            buffer |= u64::from(byte) << bits;
            bits += 8;
        }
        let root = buffer & ((1u64 << width) - 1);
        buffer >>= width;
        bits -= width;
        counts.push(root * root);
    }
    Ok(counts)
}

/// The square root, rounded to the nearest integer.
fn round_root(count: u64) -> u32 {
    let floor = count.isqrt();
    let root = if count - floor * floor > floor {
        floor + 1
    } else {
        floor
    };
    u32::try_from(root).unwrap_or(u32::MAX)
}
