//! Remembers what was answered lately.

use std::collections::HashMap;
use std::hash::Hash;

use siskinbend_types::Time;

/// Number of keys after which those that were not answered for the longest time are forgotten.
const MAX_KEYS: usize = 4_096;

/// Time at which the latest answered request with each key was sent.
#[derive(Debug)]
pub(super) struct Answers<Key> {
    recent: HashMap<Key, Time>,
    older: HashMap<Key, Time>,
}

impl<Key> Default for Answers<Key> {
    fn default() -> Self {
        Self {
            recent: HashMap::new(),
            older: HashMap::new(),
        }
    }
}

impl<Key> Answers<Key>
where
    Key: Clone + Eq + Hash,
{
    pub fn record(&mut self, key: &Key, sent_at: Time) {
        let latest = self.find(key).map_or(sent_at, |known| known.max(sent_at));
        self.recent.insert(key.clone(), latest);
        if self.recent.len() >= MAX_KEYS / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    pub fn find(&self, key: &Key) -> Option<Time> {
        let (recent, older) = (self.recent.get(key), self.older.get(key));
        recent.max(older).copied()
    }
}
