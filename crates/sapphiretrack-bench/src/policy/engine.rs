//! A small engine model: batching slots, a prefix cache with eviction, prefill and decode cost.

use std::collections::{BTreeMap, HashMap};

/// Requests that run in a batch.
const BATCH_SLOTS: usize = 16;
/// Time to compute one uncached prompt token; prompts are computed one after the other.
const PREFILL_US_PER_TOKEN: u64 = 250;
/// Time to begin an import from another engine.
const IMPORT_US: u64 = 5_000;
/// Time to import one token.
const IMPORT_US_PER_TOKEN: u64 = 25;
/// Time between two tokens of an answer in an empty batch.
const DECODE_US_PER_TOKEN: u64 = 18_000;
/// How much more of that each other request of the batch costs.
const DECODE_US_PER_NEIGHBOUR: u64 = 400;

/// What an engine needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) request: u32,
    pub(crate) chat: u64,
    pub(crate) workspace: u64,
    pub(crate) prefix_tokens: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) priority: u8,
    /// Cached tokens that come from another engine.
    pub(crate) import_tokens: u32,
}

/// A request that has got its place in the batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) request: u32,
    pub(crate) cached_tokens: u32,
    /// Those of them that were imported.
    pub(crate) imported_tokens: u32,
    pub(crate) first_token_us: u64,
    pub(crate) done_us: u64,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) is_up: bool,
    pub(crate) is_leaving: bool,
    pub(crate) incarnation: u64,
    running: HashMap<u32, Work>,
    waiting: BTreeMap<(u8, u64), Work>,
    next_ticket: u64,
    prefill_free_us: u64,
    cache: PrefixCache,
}

impl Engine {
    pub(crate) fn new(cache_tokens: u64, is_up: bool) -> Self {
        Self {
            is_up,
            is_leaving: false,
            incarnation: u64::from(is_up),
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            prefill_free_us: 0,
            cache: PrefixCache::new(cache_tokens),
        }
    }

    /// Whether it could take new work.
    pub(crate) fn is_open(&self) -> bool {
        self.is_up && !self.is_leaving
    }

    pub(crate) fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Prompt tokens that it has yet to compute.
    pub(crate) fn backlog_tokens(&self, now_us: u64) -> u64 {
        let waiting: u64 = self
            .waiting
            .values()
            .map(|work| u64::from(work.prompt_tokens))
            .sum();
        waiting + self.prefill_free_us.saturating_sub(now_us) / PREFILL_US_PER_TOKEN
    }

    /// The tokens of a chat that it can export.
    pub(crate) fn exports(&self, chat: u64) -> u32 {
        match self.is_up {
            true => self
                .cache
                .entries
                .get(&chat)
                .map_or(0, |(tokens, _)| *tokens),
            false => 0,
        }
    }

    /// Takes a request in; it starts at once if the batch has room.
    pub(crate) fn enter(&mut self, work: Work, now_us: u64) -> Option<Started> {
        let ticket = (work.priority, self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, work);
        self.start_next(now_us)
    }

    /// Ends a request and starts the next one.
    pub(crate) fn finish(&mut self, request: u32, now_us: u64) -> Option<Started> {
        if let Some(work) = self.running.remove(&request) {
            let tokens = work.prompt_tokens + work.answer_tokens;
            self.cache.store(work.chat, tokens);
            self.cache.store(work.workspace, work.prefix_tokens);
        }
        self.start_next(now_us)
    }

    /// Fails: cache and requests are gone; returns the requests in the order of their numbers.
    pub(crate) fn fail(&mut self) -> Vec<u32> {
        let running = self.running.drain().map(|(request, _)| request);
        let waiting = std::mem::take(&mut self.waiting);
        let mut lost: Vec<u32> = running
            .chain(waiting.into_values().map(|w| w.request))
            .collect();
        lost.sort_unstable();
        self.is_up = false;
        lost
    }

    /// Starts again with an empty cache.
    pub(crate) fn restart(&mut self, now_us: u64) {
        self.is_up = true;
        self.is_leaving = false;
        self.incarnation += 1;
        self.prefill_free_us = now_us;
        self.cache.clear();
    }

    fn start_next(&mut self, now_us: u64) -> Option<Started> {
        if self.running.len() >= BATCH_SLOTS {
            return None;
        }
        let (_, work) = self.waiting.pop_first()?;
        let local_tokens = self.cache.find(&work);
        let cached_tokens = local_tokens.max(work.import_tokens.min(work.prompt_tokens));
        let imported_tokens = cached_tokens - local_tokens;
        let import_us = match imported_tokens {
            0 => 0,
            _ => IMPORT_US + u64::from(work.import_tokens) * IMPORT_US_PER_TOKEN,
        };
        let uncached = u64::from(work.prompt_tokens - cached_tokens);
        let begin_us = (now_us + import_us).max(self.prefill_free_us);
        let first_token_us = begin_us + uncached * PREFILL_US_PER_TOKEN + DECODE_US_PER_TOKEN;
        self.prefill_free_us = first_token_us - DECODE_US_PER_TOKEN;
        let neighbours = self.running.len() as u64;
        let step_us = DECODE_US_PER_TOKEN + neighbours * DECODE_US_PER_NEIGHBOUR;
        self.running.insert(work.request, work);
        Some(Started {
            request: work.request,
            cached_tokens,
            imported_tokens,
            first_token_us,
            done_us: first_token_us + u64::from(work.answer_tokens) * step_us,
        })
    }
}

/// A prefix cache that evicts what was used the longest time ago.
#[derive(Debug)]
struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    next_use: u64,
    entries: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            next_use: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    fn find(&mut self, work: &Work) -> u32 {
        let chat = self.touch(work.chat);
        let prefix = self.touch(work.workspace).min(work.prefix_tokens);
        chat.max(prefix).min(work.prompt_tokens)
    }

    fn store(&mut self, key: u64, tokens: u32) {
        if let Some((old_tokens, old_use)) = self.entries.remove(&key) {
            self.used_tokens -= u64::from(old_tokens);
            self.by_use.remove(&old_use);
        }
        self.used_tokens += u64::from(tokens);
        self.entries.insert(key, (tokens, self.next_use));
        self.by_use.insert(self.next_use, key);
        self.next_use += 1;
        while self.used_tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.entries.remove(&oldest) {
                self.used_tokens -= u64::from(tokens);
            }
        }
    }

    fn touch(&mut self, key: u64) -> u32 {
        let Some((tokens, last_use)) = self.entries.get_mut(&key) else {
            return 0;
        };
        self.by_use.remove(last_use);
        *last_use = self.next_use;
        self.by_use.insert(self.next_use, key);
        self.next_use += 1;
        *tokens
    }

    fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
        self.used_tokens = 0;
    }
}
