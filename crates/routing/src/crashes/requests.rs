//! Weighs crashes against a request that callers send again, and keeps the blocked requests.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::RequestFingerprint;
use siskinbend_types::Time;
use smol_str::SmolStr;

use super::Crash;
use super::STARTING_WEIGHT;
use super::Settings;
use super::WAITING_WEIGHT;

/// Weight of crashes from which a request is blocked of which no answer is known.
const UNKNOWN_THRESHOLD: u32 = 2 * WAITING_WEIGHT;
/// Weight of crashes from which a request is blocked that was answered before them.
const ANSWERED_THRESHOLD: u32 = 3 * WAITING_WEIGHT;

#[derive(Debug)]
struct Block {
    until: Time,
    /// Whether the request was at several crashes.
    is_repeated: bool,
}

/// Requests that are blocked.
#[derive(Debug, Default)]
pub(super) struct BlockedRequests {
    blocks: BTreeMap<RequestFingerprint, Block>,
}

impl BlockedRequests {
    /// Blocks a request after a crash at the time `at` if there is enough evidence. Returns whether it
    /// was not blocked for it before.
    ///
    /// One crash is enough if the answer had just begun: few requests are in this stage at any time,
    /// while a second crash can stop all requests of a group for seconds.
    pub fn block(
        &mut self,
        fingerprint: RequestFingerprint,
        weight: u32,
        is_answered: bool,
        settings: &Settings,
        at: Time,
    ) -> bool {
        let threshold = match is_answered {
            true => ANSWERED_THRESHOLD,
            false => UNKNOWN_THRESHOLD,
        };
        let is_repeated = weight >= threshold;
        if !is_repeated && (is_answered || weight < STARTING_WEIGHT) {
            return false;
        }
        let known = self.blocks.get(&fingerprint);
        if known.is_some_and(|block| block.is_repeated || !is_repeated) {
            return false;
        }
        let time = match is_repeated {
            true => settings.request_block,
            false => settings.probation,
        };
        let until = at + time;
        self.blocks
            .insert(fingerprint, Block { until, is_repeated });
        true
    }

    pub fn remove(&mut self, fingerprint: RequestFingerprint) {
        self.blocks.remove(&fingerprint);
    }

    pub fn remove_ended(&mut self, now: Time) {
        self.blocks.retain(|_, block| now < block.until);
    }

    /// Returns the end of the block of a request.
    pub fn find_end(&self, fingerprint: RequestFingerprint, now: Time) -> Option<Time> {
        let block = self.blocks.get(&fingerprint)?;
        (now < block.until).then_some(block.until)
    }

    /// Whether a request is blocked because it was at several crashes.
    pub fn is_repeated(&self, fingerprint: RequestFingerprint) -> bool {
        let block = self.blocks.get(&fingerprint);
        block.is_some_and(|block| block.is_repeated)
    }

    pub fn count(&self, now: Time) -> usize {
        let blocks = self.blocks.values();
        blocks.filter(|block| now < block.until).count()
    }
}

/// Returns the weight of one crash against a request.
pub(super) fn weigh_crash(crash: &Crash, fingerprint: RequestFingerprint) -> u32 {
    let same = crash.suspects.iter();
    let same = same.filter(|s| s.fingerprint == Some(fingerprint));
    same.map(|s| s.stage.weight()).max().unwrap_or(0)
}

/// Adds up the weights of the crashes against a request since its latest answer. Many callers may
/// send a request that was answered before, so that it is at several crashes with one cause; of those
/// that come together only the ones count that the same id met one after the other.
pub(super) fn weigh_request(
    crashes: &VecDeque<Crash>,
    fingerprint: RequestFingerprint,
    answered: Option<Time>,
    episode: Duration,
) -> u32 {
    let counts = |c: &&Crash| {
        weigh_crash(c, fingerprint) > 0 && answered.is_none_or(|sent_at| c.at > sent_at)
    };
    let mut relevant: Vec<&Crash> = crashes.iter().filter(counts).collect();
    if answered.is_none() {
        return relevant.iter().map(|c| weigh_crash(c, fingerprint)).sum();
    }
    relevant.sort_by_key(|c| c.at);
    let is_together = |a: &&Crash, b: &&Crash| b.at.since(a.at) < episode;
    let episodes = relevant.chunk_by(is_together);
    episodes
        .map(|together| weigh_episode(together, fingerprint))
        .sum()
}

/// Returns the largest weight of the crashes that one id met.
fn weigh_episode(crashes: &[&Crash], fingerprint: RequestFingerprint) -> u32 {
    let mut by_id: BTreeMap<&SmolStr, u32> = BTreeMap::new();
    let suspects = crashes.iter().flat_map(|c| &c.suspects);
    for suspect in suspects.filter(|s| s.fingerprint == Some(fingerprint)) {
        *by_id.entry(&suspect.request).or_default() += suspect.stage.weight();
    }
    by_id.into_values().max().unwrap_or(0)
}
