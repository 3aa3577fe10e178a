//! A router's bounded memory of where chats were last served.

use crate::{ChatKey, Incarnation, ServerId, WarmHint};

/// Entries that compete for the same few places.
const BUCKET_ENTRIES: usize = 8;

/// Memory that one remembered chat takes.
pub const MEMORY_BYTES_PER_CHAT: usize = size_of::<Entry>();

const _: () = assert!(MEMORY_BYTES_PER_CHAT <= 64, "a chat takes at most 64 bytes");

/// Remembers where chats were last served; the oldest of a bucket makes room for a new chat.
#[derive(Debug)]
pub struct PlacementMemory {
    entries: Vec<Entry>,
    buckets: usize,
    len: usize,
}

/// One chat; empty when its chat is none.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    chat: Option<ChatKeyBits>,
    server: u64,
    incarnation: Incarnation,
    tokens: u32,
    noted_s: u32,
}

/// A chat's key; zero stands for no chat, and for the one chat of 2^64 whose key is zero.
type ChatKeyBits = std::num::NonZeroU64;

impl PlacementMemory {
    /// An empty memory for this many chats.
    pub fn new(capacity: usize) -> Self {
        let buckets = capacity.div_ceil(BUCKET_ENTRIES).max(1);
        Self {
            entries: vec![Entry::default(); buckets * BUCKET_ENTRIES],
            buckets,
            len: 0,
        }
    }

    /// Notes where a chat was served, and how many of its tokens are cached there.
    pub fn remember(&mut self, chat: ChatKey, place: WarmHint, now_ms: u64) {
        let Some(key) = ChatKeyBits::new(chat.0) else {
            return;
        };
        let noted_ms = now_ms.saturating_sub(place.age_ms);
        let range = self.bucket(key);
        let bucket = &mut self.entries[range];
        let found = bucket
            .iter()
            .position(|entry| entry.chat == Some(key))
            .or_else(|| bucket.iter().position(|entry| entry.chat.is_none()));
        let oldest = || (0..bucket.len()).min_by_key(|index| bucket[*index].noted_s);
        let Some(index) = found.or_else(oldest) else {
            return;
        };
        self.len += usize::from(bucket[index].chat.is_none());
        bucket[index] = Entry {
            chat: Some(key),
            server: place.server.0,
            incarnation: place.incarnation,
            tokens: place.tokens,
            noted_s: (noted_ms / 1_000) as u32,
        };
    }

    /// Where a chat was last served.
    pub fn recall(&self, chat: ChatKey, now_ms: u64) -> Option<WarmHint> {
        let key = ChatKeyBits::new(chat.0)?;
        let entry = self.entries[self.bucket(key)]
            .iter()
            .find(|entry| entry.chat == Some(key))?;
        Some(WarmHint {
            server: ServerId(entry.server),
            incarnation: entry.incarnation,
            tokens: entry.tokens,
            age_ms: now_ms.saturating_sub(u64::from(entry.noted_s) * 1_000),
        })
    }

    /// How many chats are remembered.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The memory that all entries take, used or not.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * MEMORY_BYTES_PER_CHAT
    }

    fn bucket(&self, key: ChatKeyBits) -> std::ops::Range<usize> {
        let start = (key.get() % self.buckets as u64) as usize * BUCKET_ENTRIES;
        start..start + BUCKET_ENTRIES
    }
}
