//! A router's fixed-size table of the servers that last served each chat.

use crate::{ChatKey, Incarnation, ServerId, WarmHint};

/// Entries per bucket; a chat's key selects its bucket.
const BUCKET_ENTRIES: usize = 8;

/// Size of one entry, in bytes.
pub const MEMORY_BYTES_PER_CHAT: usize = size_of::<Entry>();

/// Offset of the stored times, in seconds. The router's clock starts at 0, and with the offset
/// hints that other routers recorded before that time keep their order.
const CLOCK_OFFSET_S: u64 = 1 << 30;

const _: () = assert!(MEMORY_BYTES_PER_CHAT <= 64, "a chat takes at most 64 bytes");

/// The servers that last served each chat. In a full bucket, a new chat replaces the oldest entry.
#[derive(Debug)]
pub struct PlacementMemory {
    entries: Vec<Entry>,
    buckets: usize,
    len: usize,
}

/// The entry of one chat; empty if `chat` is `None`.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    chat: Option<ChatKeyBits>,
    server: u64,
    incarnation: Incarnation,
    tokens: u32,
    recorded_s: u32,
}

/// A non-zero chat key. Zero marks an empty entry, so the one chat of 2^64 whose key is zero is
/// never stored.
type ChatKeyBits = std::num::NonZeroU64;

impl PlacementMemory {
    /// Creates an empty memory with at least this capacity, in chats.
    pub fn new(capacity: usize) -> Self {
        let buckets = capacity.div_ceil(BUCKET_ENTRIES).max(1);
        Self {
            entries: vec![Entry::default(); buckets * BUCKET_ENTRIES],
            buckets,
            len: 0,
        }
    }

    /// Records which server served a chat and how many of the chat's tokens it has cached.
    pub fn insert(&mut self, chat: ChatKey, hint: WarmHint, now_ms: u64) {
        let Some(key) = ChatKeyBits::new(chat.0) else {
            return;
        };
        let index = self.index_for(key);
        self.put(index, Entry::new(key, hint, now_ms));
    }

    /// Merges a hint from another router, unless it would replace a newer entry or one of the same
    /// second. Returns whether it was stored.
    pub fn merge(&mut self, chat: ChatKey, hint: WarmHint, now_ms: u64) -> bool {
        let Some(key) = ChatKeyBits::new(chat.0) else {
            return false;
        };
        let received = Entry::new(key, hint, now_ms);
        let index = self.index_for(key);
        let known = &self.entries[index];
        let is_newer = known.chat.is_none() || known.recorded_s < received.recorded_s;
        if is_newer {
            self.put(index, received);
        }
        is_newer
    }

    /// Number of buckets; [`PlacementMemory::in_buckets`] iterates over a range of them.
    pub fn buckets(&self) -> usize {
        self.buckets
    }

    /// The chats in a range of buckets whose hints are no older than `max_age_ms`.
    pub fn in_buckets(
        &self,
        buckets: std::ops::Range<usize>,
        max_age_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = (ChatKey, WarmHint)> {
        let end = buckets.end.min(self.buckets) * BUCKET_ENTRIES;
        let start = (buckets.start * BUCKET_ENTRIES).min(end);
        let entries = self.entries[start..end].iter();
        let known = entries.filter_map(move |entry| Some((entry.chat?, entry.hint(now_ms))));
        known
            .filter(move |(_, hint)| hint.age_ms <= max_age_ms)
            .map(|(key, hint)| (ChatKey(key.get()), hint))
    }

    /// The server that last served a chat; `None` if the chat is not stored.
    pub fn get(&self, chat: ChatKey, now_ms: u64) -> Option<WarmHint> {
        let key = ChatKeyBits::new(chat.0)?;
        let entry = self.entries[self.bucket(key)]
            .iter()
            .find(|entry| entry.chat == Some(key))?;
        Some(entry.hint(now_ms))
    }

    /// Number of stored chats.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no chat is stored.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Size of all entries, used or empty, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * MEMORY_BYTES_PER_CHAT
    }

    /// The index for a chat's entry in its bucket: the existing entry, else an empty one, else the
    /// oldest one.
    fn index_for(&self, key: ChatKeyBits) -> usize {
        let range = self.bucket(key);
        let start = range.start;
        let bucket = &self.entries[range];
        let existing = bucket.iter().position(|entry| entry.chat == Some(key));
        let empty = || bucket.iter().position(|entry| entry.chat.is_none());
        let oldest = || (0..BUCKET_ENTRIES).min_by_key(|index| bucket[*index].recorded_s);
        start + existing.or_else(empty).or_else(oldest).unwrap_or_default()
    }

    fn put(&mut self, index: usize, entry: Entry) {
        self.len += usize::from(self.entries[index].chat.is_none());
        self.entries[index] = entry;
    }

    fn bucket(&self, key: ChatKeyBits) -> std::ops::Range<usize> {
        let start = (key.get() % self.buckets as u64) as usize * BUCKET_ENTRIES;
        start..start + BUCKET_ENTRIES
    }
}

impl Entry {
    fn new(key: ChatKeyBits, hint: WarmHint, now_ms: u64) -> Self {
        let recorded_ms = (CLOCK_OFFSET_S * 1_000 + now_ms).saturating_sub(hint.age_ms);
        Self {
            chat: Some(key),
            server: hint.server.0,
            incarnation: hint.incarnation,
            tokens: hint.tokens,
            recorded_s: (recorded_ms / 1_000) as u32,
        }
    }

    fn hint(&self, now_ms: u64) -> WarmHint {
        let now_ms = CLOCK_OFFSET_S * 1_000 + now_ms;
        WarmHint {
            server: ServerId(self.server),
            incarnation: self.incarnation,
            tokens: self.tokens,
            age_ms: now_ms.saturating_sub(u64::from(self.recorded_s) * 1_000),
        }
    }
}
