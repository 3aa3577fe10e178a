//! Orders repeated writes of several records, so that one that keeps failing holds up no other.

use std::collections::VecDeque;

/// Records that have yet to be written, and the pause before the next write.
#[derive(Clone, Debug)]
pub struct WriteQueue<Key> {
    pending: VecDeque<Key>,
    failures: u32,
}

impl<Key> Default for WriteQueue<Key> {
    fn default() -> Self {
        Self {
            pending: VecDeque::new(),
            failures: 0,
        }
    }
}

impl<Key> WriteQueue<Key>
where
    Key: Copy + Eq,
{
    /// The pause after a failed write in milliseconds; it doubles with each further failure.
    const RETRY_DELAY_MS: u64 = 100;
    /// Maximum number of doublings.
    const MAX_DOUBLINGS: u32 = 5;

    /// Adds a record; one that is waiting already is not added again.
    pub fn push(&mut self, key: Key) {
        if !self.pending.contains(&key) {
            self.pending.push_back(key);
        }
    }

    /// Takes the record that has waited longest.
    pub fn pop(&mut self) -> Option<Key> {
        self.pending.pop_front()
    }

    /// Records a successful write, after which writes follow each other without a pause.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed write, which is repeated after all others. Returns the pause before the
    /// next write in milliseconds.
    pub fn record_failure(&mut self, key: Key) -> u64 {
        self.push(key);
        self.failures += 1;
        Self::RETRY_DELAY_MS << self.failures.min(Self::MAX_DOUBLINGS)
    }
}
