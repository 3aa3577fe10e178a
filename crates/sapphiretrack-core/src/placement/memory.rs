//! A router's bounded memory of where chats were last served.

use crate::{ChatKey, Incarnation, ServerId, WarmHint};

/// Entries that compete for the same few places.
const BUCKET_ENTRIES: usize = 8;

/// Memory that one remembered chat takes.
pub const MEMORY_BYTES_PER_CHAT: usize = size_of::<Entry>();

/// What a clock that starts at 0 reads in the memory: places noted before the clock began, told by
/// another router, keep their order.
const CLOCK_START_S: u64 = 1 << 30;

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
        let index = self.place_for(key);
        self.put(index, Entry::new(key, place, now_ms));
    }

    /// Takes in what another router knows; it never takes the place of something newer. Tells
    /// whether it was taken.
    pub fn merge(&mut self, chat: ChatKey, place: WarmHint, now_ms: u64) -> bool {
        let Some(key) = ChatKeyBits::new(chat.0) else {
            return false;
        };
        let told = Entry::new(key, place, now_ms);
        let index = self.place_for(key);
        let known = &self.entries[index];
        let taken = known.chat.is_none() || known.noted_s < told.noted_s;
        if taken {
            self.put(index, told);
        }
        taken
    }

    /// The buckets, of which [`PlacementMemory::in_buckets`] gives a part at a time.
    pub fn buckets(&self) -> usize {
        self.buckets
    }

    /// What is remembered in some buckets and no older than `max_age_ms`.
    pub fn in_buckets(
        &self,
        buckets: std::ops::Range<usize>,
        max_age_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = (ChatKey, WarmHint)> {
        let end = buckets.end.min(self.buckets) * BUCKET_ENTRIES;
        let start = (buckets.start * BUCKET_ENTRIES).min(end);
        let entries = self.entries[start..end].iter();
        let known = entries.filter_map(move |entry| Some((entry.chat?, entry.place(now_ms))));
        known
            .filter(move |(_, place)| place.age_ms <= max_age_ms)
            .map(|(key, place)| (ChatKey(key.get()), place))
    }

    /// Where a chat was last served.
    pub fn recall(&self, chat: ChatKey, now_ms: u64) -> Option<WarmHint> {
        let key = ChatKeyBits::new(chat.0)?;
        let entry = self.entries[self.bucket(key)]
            .iter()
            .find(|entry| entry.chat == Some(key))?;
        Some(entry.place(now_ms))
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

    /// Where a chat's entry goes: over its own, to a free place, or over the oldest.
    fn place_for(&self, key: ChatKeyBits) -> usize {
        let range = self.bucket(key);
        let start = range.start;
        let bucket = &self.entries[range];
        let own = bucket.iter().position(|entry| entry.chat == Some(key));
        let free = || bucket.iter().position(|entry| entry.chat.is_none());
        let oldest = || (0..BUCKET_ENTRIES).min_by_key(|index| bucket[*index].noted_s);
        start + own.or_else(free).or_else(oldest).unwrap_or_default()
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
    fn new(key: ChatKeyBits, place: WarmHint, now_ms: u64) -> Self {
        let noted_ms = (CLOCK_START_S * 1_000 + now_ms).saturating_sub(place.age_ms);
        Self {
            chat: Some(key),
            server: place.server.0,
            incarnation: place.incarnation,
            tokens: place.tokens,
            noted_s: (noted_ms / 1_000) as u32,
        }
    }

    fn place(&self, now_ms: u64) -> WarmHint {
        let now_ms = CLOCK_START_S * 1_000 + now_ms;
        WarmHint {
            server: ServerId(self.server),
            incarnation: self.incarnation,
            tokens: self.tokens,
            age_ms: now_ms.saturating_sub(u64::from(self.noted_s) * 1_000),
        }
    }
}
