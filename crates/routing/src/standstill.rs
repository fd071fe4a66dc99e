//! Recognises the times in which an engine group stands still, for example while its leader is
//! frozen.
//!
//! The streams that a standstill holds up are late however few they are, so that their times say
//! nothing about the load under which the group is still in time.

use std::time::Duration;

use siskinbend_types::Time;

/// Time for which a group counts as closed after its last report of being closed.
pub const CLOSED_TTL: Duration = Duration::from_millis(800);
/// Silence of all streams of a group from which it counts as standing still. Events are due every
/// 150 ms at most.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Shortest time between two silences that count as standstills. In a group whose silences follow
/// each other faster, every pass is slow, which is overload.
const MIN_SPACING: Duration = Duration::from_secs(2);
/// Time after a standstill in which a group catches up with the requests that it held up.
const RECOVERY_TIME: Duration = Duration::from_millis(500);

/// Time in which a group stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standstill {
    /// Time of the last data before it, or of the report that the group closed.
    pub since: Time,
    /// When the group was first known to run again.
    pub ended: Time,
}

/// Standstills of one group.
#[derive(Debug, Clone, Default)]
pub struct StandstillTracker {
    /// Time of the first and of the latest report that the group is closed, until it opens.
    closed: Option<(Time, Time)>,
    /// Time of the latest data of any stream.
    last_data: Time,
    latest: Option<Standstill>,
}

impl StandstillTracker {
    /// Records a report that the group is open or closed. Returns the standstill that ended.
    pub fn record_state(&mut self, is_open: bool, now: Time) -> Option<Standstill> {
        if !is_open {
            let since = self.closed.map_or(now, |(since, _)| since);
            self.closed = Some((since, now));
            return None;
        }
        let (since, _) = self.closed.take()?;
        Some(self.end(since, now))
    }

    /// Records data of a stream that had waited for it since `waiting_since`. Returns the
    /// standstill that ended.
    pub fn record_data(&mut self, waiting_since: Time, now: Time) -> Option<Standstill> {
        // Nothing says whether a group that was idle before, or its load, holds up the first data.
        let was_active = waiting_since.since(self.last_data) <= MAX_SILENCE;
        let silent_since = self.last_data.max(waiting_since);
        self.last_data = now;
        if let Some((since, reported_at)) = self.closed {
            if now.since(reported_at) <= CLOSED_TTL {
                return None;
            }
            self.closed = None;
            return Some(self.end(since, reported_at + CLOSED_TTL));
        }
        let is_spaced = self
            .latest
            .is_none_or(|latest| silent_since.since(latest.ended) >= MIN_SPACING);
        let is_silence = now.since(silent_since) > MAX_SILENCE;
        (was_active && is_silence && is_spaced).then(|| self.end(silent_since, now))
    }

    /// Whether something that lasted from `since` until now was held up by a standstill.
    pub fn is_affected(&self, since: Time) -> bool {
        self.closed.is_some()
            || self
                .latest
                .is_some_and(|latest| since < latest.ended + RECOVERY_TIME)
    }

    /// Whether the latest report said that the group is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    fn end(&mut self, since: Time, ended: Time) -> Standstill {
        let standstill = Standstill { since, ended };
        self.latest = Some(standstill);
        standstill
    }
}
