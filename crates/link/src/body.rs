//! Reads bodies into memory, within limits for one body and for all that are read at the same time.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::ConnectionError;

/// Size up to which a body does not count against the budget, so that long bodies of broken servers
/// never keep short ones from being read.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Memory for the bodies that are read at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> BodyBudget {
        BodyBudget {
            max_bytes,
            used: AtomicUsize::new(0),
        }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |used: usize| {
            let sum = used.saturating_add(bytes);
            (sum <= self.max_bytes).then_some(sum)
        };
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }
}

/// Part of a budget, given back when dropped.
struct Reservation<'budget> {
    budget: &'budget BodyBudget,
    bytes: usize,
}

impl Reservation<'_> {
    /// Extends the reservation to a body of `length` bytes.
    fn extend(&mut self, length: usize) -> Result<(), ConnectionError> {
        let wanted = length.saturating_sub(UNCOUNTED_BYTES);
        let missing = wanted.saturating_sub(self.bytes);
        if !self.budget.try_take(missing) {
            return Err(ConnectionError::NoBodyMemory);
        }
        self.bytes += missing;
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Reads a body of at most `max_bytes` to its end.
///
/// # Errors
///
/// [`ConnectionError::BodyTooLong`] or [`ConnectionError::Broken`].
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ConnectionError> {
    read_body_within(body, max_bytes, &BodyBudget::new(usize::MAX)).await
}

/// Reads a body of at most `max_bytes` to its end, if the budget allows it.
///
/// # Errors
///
/// [`ConnectionError::BodyTooLong`], [`ConnectionError::NoBodyMemory`] or
/// [`ConnectionError::Broken`].
pub async fn read_body_within(
    mut body: Incoming,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<Bytes, ConnectionError> {
    let mut content = BytesMut::new();
    let mut reservation = Reservation { budget, bytes: 0 };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ConnectionError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = content.len() + data.len();
        if length > max_bytes {
            return Err(ConnectionError::BodyTooLong);
        }
        reservation.extend(length)?;
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}
