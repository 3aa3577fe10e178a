//! The placement memory: which server last served each chat and may still have its tokens cached.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sapphiretrack_core::{ChatKey, PlacementMemory, WarmHint, WarmList, keep_newest};

use crate::clock::Clock;

/// The maximum number of chats in a hand-over or snapshot; the newest ones are kept.
pub(crate) const MAX_SHARED_CHATS: usize = 10_000;
/// Maximum age of entries that are sent or merged.
pub(crate) const MAX_WARM_AGE_MS: u64 = 3_600_000;
/// Buckets or chats processed per lock, which bounds how long requests wait for it.
const CHUNK_SIZE: usize = 512;

/// The placement memory, shared between threads, with the clock for its ages.
pub(crate) struct WarmMemory {
    clock: Clock,
    memory: Mutex<PlacementMemory>,
}

impl WarmMemory {
    /// Creates an empty memory with a capacity of at least `chats` chats.
    pub(crate) fn new(clock: Clock, chats: usize) -> Self {
        Self {
            clock,
            memory: Mutex::new(PlacementMemory::new(chats)),
        }
    }

    /// Records the server that serves a chat now.
    pub(crate) fn insert(&self, chat: ChatKey, hint: WarmHint) {
        self.lock().insert(chat, hint, self.clock.now_ms());
    }

    /// Returns the server that last served a chat.
    pub(crate) fn get(&self, chat: ChatKey) -> Option<WarmHint> {
        self.lock().get(chat, self.clock.now_ms())
    }

    /// Merges another router's hints, whose ages have grown by `extra_age_ms`. Returns how many
    /// entries were new or newer than the stored ones.
    pub(crate) fn merge(&self, list: &WarmList, extra_age_ms: u64) -> usize {
        let entries: Vec<_> = list.hints(extra_age_ms).collect();
        let mut added = 0;
        for part in entries.chunks(CHUNK_SIZE) {
            let now_ms = self.clock.now_ms();
            let mut memory = self.lock();
            let recent = part
                .iter()
                .filter(|(_, hint)| hint.age_ms <= MAX_WARM_AGE_MS);
            added += recent
                .filter(|(chat, hint)| memory.merge(*chat, *hint, now_ms))
                .count();
        }
        added
    }

    /// Returns the newest entries that are not older than `max_age_ms`, at most `limit`.
    pub(crate) fn newest(&self, limit: usize, max_age_ms: u64) -> Vec<(ChatKey, WarmHint)> {
        let mut entries = Vec::new();
        let buckets = self.lock().buckets();
        for start in (0..buckets).step_by(CHUNK_SIZE) {
            let now_ms = self.clock.now_ms();
            let part = start..start + CHUNK_SIZE;
            entries.extend(self.lock().in_buckets(part, max_age_ms, now_ms));
        }
        keep_newest(&mut entries, limit);
        entries
    }

    fn lock(&self) -> MutexGuard<'_, PlacementMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
