//! Decides which of the configurations that the store has shown is in force.
//!
//! Within one timeline of the store the latest version is in force. A store that was restored from a
//! copy may show an older configuration until the operators have written theirs again, and versions
//! are assigned again. A configuration that was in force is therefore never replaced by one that was
//! in force before it, and an unknown one with an older version has to stay in the store for a while.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_types::Time;
use siskinbend_types::Timeline;
use siskinbend_types::Version;

use crate::Config;
use crate::StoredConfig;
use crate::Versioned;

/// Time that operators and servers need to write again what a restored store lost. Until then a
/// newer configuration may be missing from the store.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Time after which an unknown older version comes into force if it was written after the store was
/// restored. Operators who write several versions again do so within it.
const REWRITTEN_DELAY: Duration = Duration::from_secs(1);
/// Time after which an unknown older version comes into force if it may come from the copy.
const COPIED_DELAY: Duration = Duration::from_secs(4);
/// Number of earlier configurations that are remembered.
const MAX_REMEMBERED: usize = 128;

/// Identifies a configuration: versions are assigned again when the store is restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ConfigId {
    version: Version,
    fingerprint: u64,
}

impl ConfigId {
    fn of(config: &Config) -> ConfigId {
        ConfigId {
            version: config.version,
            fingerprint: config.fingerprint(),
        }
    }
}

/// Configuration that the store holds.
#[derive(Debug)]
struct Stored {
    id: ConfigId,
    config: Arc<Config>,
    /// Number of the change that wrote it.
    change: u64,
    since: Time,
    /// Whether it is certain that it was written in the present timeline.
    is_rewritten: bool,
}

#[derive(Debug)]
struct InForce {
    id: ConfigId,
    config: Arc<Config>,
    /// Latest timeline in which the store held it, and the change that wrote it there.
    timeline: Timeline,
    change: u64,
}

/// Chooses the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigChoice {
    timeline: Timeline,
    /// When the present timeline was first seen, unless it was the first one.
    restored_at: Option<Time>,
    stored: Option<Stored>,
    in_force: Option<InForce>,
    /// Start of the latest call that showed that no newer configuration exists.
    confirmed_at: Option<Time>,
    /// Configurations that were in force, the latest last.
    earlier: VecDeque<ConfigId>,
}

impl ConfigChoice {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.in_force.as_ref().map(|known| &known.config)
    }

    /// Returns the start of the latest call that confirmed the configuration in force.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Records an answer of the store to a call that started at `requested_at`; without content it
    /// says that nothing changed. Returns the configuration if another one comes into force.
    pub fn record(
        &mut self,
        read: Versioned<Option<StoredConfig>>,
        requested_at: Time,
        now: Time,
    ) -> Option<Arc<Config>> {
        let timeline = read.position.timeline;
        if timeline < self.timeline {
            return None;
        }
        if timeline > self.timeline {
            self.timeline = timeline;
            self.restored_at = self.in_force.is_some().then_some(now);
            self.stored = None;
        }
        if let Some(stored) = read.content {
            self.record_stored(stored, now);
        }
        let taken = self.choose(now);
        if self.is_certain(now) {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
        taken
    }

    fn record_stored(&mut self, read: StoredConfig, now: Time) {
        let id = ConfigId::of(&read.config);
        if self.stored.as_ref().is_some_and(|stored| stored.id == id) {
            return;
        }
        let is_rewritten = self.stored.is_some();
        self.stored = Some(Stored {
            id,
            config: Arc::new(read.config),
            change: read.change,
            since: now,
            is_rewritten,
        });
    }

    fn choose(&mut self, now: Time) -> Option<Arc<Config>> {
        let stored = self.stored.as_ref()?;
        let is_same = match &self.in_force {
            Some(known) if known.id == stored.id => true,
            Some(known) if !is_successor(stored, known, self.timeline, &self.earlier, now) => {
                return None;
            }
            _ => false,
        };
        let is_written_again = is_same && self.was_written_by_another(stored);
        if stored.is_rewritten || is_written_again {
            // What the operators wrote before it is back as well.
            self.restored_at = None;
        }
        let config = Arc::clone(&stored.config);
        self.in_force = Some(InForce {
            id: stored.id,
            config: Arc::clone(&config),
            timeline: self.timeline,
            change: stored.change,
        });
        if is_same {
            return None;
        }
        self.earlier.push_back(stored.id);
        if self.earlier.len() > MAX_REMEMBERED {
            self.earlier.pop_front();
        }
        Some(config)
    }

    /// Whether another change than in an earlier timeline wrote the configuration in force.
    fn was_written_by_another(&self, stored: &Stored) -> bool {
        let known = self.in_force.as_ref();
        known.is_some_and(|k| k.timeline < self.timeline && k.change != stored.change)
    }

    /// Whether the store holds the configuration in force, and has lost no newer one.
    fn is_certain(&self, now: Time) -> bool {
        let (Some(stored), Some(known)) = (&self.stored, &self.in_force) else {
            return false;
        };
        let is_complete = |at: Time| now.since(at) >= REWRITE_TIME;
        stored.id == known.id && self.restored_at.is_none_or(is_complete)
    }
}

/// Whether the configuration in the store replaces the one in force.
fn is_successor(
    stored: &Stored,
    known: &InForce,
    timeline: Timeline,
    earlier: &VecDeque<ConfigId>,
    now: Time,
) -> bool {
    if stored.id.version > known.id.version {
        return true;
    }
    if known.timeline == timeline {
        return false;
    }
    if stored.id.version == known.id.version {
        return true;
    }
    let delay = match stored.is_rewritten {
        true => REWRITTEN_DELAY,
        false => COPIED_DELAY,
    };
    !earlier.contains(&stored.id) && now.since(stored.since) >= delay
}
