//! A simple engine model with batch slots, a prefix cache with LRU eviction, and the costs of
//! prefill, import and decoding.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of requests in a batch.
const BATCH_SLOTS: usize = 16;
/// Prefill time per uncached prompt token; prompts are prefilled one after the other.
const PREFILL_US_PER_TOKEN: u64 = 250;
/// Fixed time of an import of cached tokens from another engine.
const IMPORT_US: u64 = 5_000;
/// Additional import time per token.
const IMPORT_US_PER_TOKEN: u64 = 25;
/// Decode time per token of a request that is alone in the batch.
const DECODE_US_PER_TOKEN: u64 = 18_000;
/// Additional decode time per token for each other request in the batch.
const DECODE_US_PER_OTHER_REQUEST: u64 = 400;

/// The parameters of a request that determine its cost on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineRequest {
    pub(crate) request: u32,
    pub(crate) chat: u64,
    pub(crate) workspace: u64,
    pub(crate) prefix_tokens: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) priority: u8,
    /// Cached tokens that another engine can export for this chat.
    pub(crate) import_tokens: u32,
}

/// A request that has entered the batch, with its computed times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedRequest {
    pub(crate) request: u32,
    pub(crate) cached_tokens: u32,
    /// The part of `cached_tokens` that was imported.
    pub(crate) imported_tokens: u32,
    pub(crate) first_token_us: u64,
    pub(crate) done_us: u64,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) is_up: bool,
    pub(crate) is_leaving: bool,
    pub(crate) incarnation: u64,
    running: HashMap<u32, EngineRequest>,
    waiting: BTreeMap<(u8, u64), EngineRequest>,
    next_queue_number: u64,
    prefill_idle_at_us: u64,
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
            next_queue_number: 0,
            prefill_idle_at_us: 0,
            cache: PrefixCache::new(cache_tokens),
        }
    }

    /// Returns whether the engine is up and not leaving.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_up && !self.is_leaving
    }

    pub(crate) fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Estimates the prompt tokens that are still to be prefilled; the cached tokens of waiting
    /// requests are included.
    pub(crate) fn backlog_tokens(&self, now_us: u64) -> u64 {
        let waiting: u64 = self
            .waiting
            .values()
            .map(|engine_request| u64::from(engine_request.prompt_tokens))
            .sum();
        waiting + self.prefill_idle_at_us.saturating_sub(now_us) / PREFILL_US_PER_TOKEN
    }

    /// Returns the number of cached tokens of a chat that other engines can import.
    pub(crate) fn exportable_tokens(&self, chat: u64) -> u32 {
        match self.is_up {
            true => self
                .cache
                .entries
                .get(&chat)
                .map_or(0, |(tokens, _)| *tokens),
            false => 0,
        }
    }

    /// Queues a request and starts the next waiting one if the batch has a free slot.
    pub(crate) fn submit(
        &mut self,
        engine_request: EngineRequest,
        now_us: u64,
    ) -> Option<StartedRequest> {
        let queue_key = (engine_request.priority, self.next_queue_number);
        self.next_queue_number += 1;
        self.waiting.insert(queue_key, engine_request);
        self.start_next(now_us)
    }

    /// Completes a running request, caches its tokens and starts the next waiting one.
    pub(crate) fn finish(&mut self, request: u32, now_us: u64) -> Option<StartedRequest> {
        if let Some(engine_request) = self.running.remove(&request) {
            let tokens = engine_request.prompt_tokens + engine_request.answer_tokens;
            self.cache.store(engine_request.chat, tokens);
            self.cache
                .store(engine_request.workspace, engine_request.prefix_tokens);
        }
        self.start_next(now_us)
    }

    /// Stops the engine and returns its running and waiting requests in ascending order.
    pub(crate) fn fail(&mut self) -> Vec<u32> {
        let running = self.running.drain().map(|(request, _)| request);
        let waiting = std::mem::take(&mut self.waiting);
        let mut lost: Vec<u32> = running
            .chain(
                waiting
                    .into_values()
                    .map(|engine_request| engine_request.request),
            )
            .collect();
        lost.sort_unstable();
        self.is_up = false;
        lost
    }

    /// Starts a new incarnation with an empty cache.
    pub(crate) fn restart(&mut self, now_us: u64) {
        self.is_up = true;
        self.is_leaving = false;
        self.incarnation += 1;
        self.prefill_idle_at_us = now_us;
        self.cache.clear();
    }

    fn start_next(&mut self, now_us: u64) -> Option<StartedRequest> {
        if self.running.len() >= BATCH_SLOTS {
            return None;
        }
        let (_, engine_request) = self.waiting.pop_first()?;
        let local_tokens = self.cache.lookup(&engine_request);
        let cached_tokens = local_tokens.max(
            engine_request
                .import_tokens
                .min(engine_request.prompt_tokens),
        );
        let imported_tokens = cached_tokens - local_tokens;
        let import_us = match imported_tokens {
            0 => 0,
            _ => IMPORT_US + u64::from(engine_request.import_tokens) * IMPORT_US_PER_TOKEN,
        };
        let uncached_tokens = u64::from(engine_request.prompt_tokens - cached_tokens);
        let prefill_start_us = (now_us + import_us).max(self.prefill_idle_at_us);
        let first_token_us =
            prefill_start_us + uncached_tokens * PREFILL_US_PER_TOKEN + DECODE_US_PER_TOKEN;
        self.prefill_idle_at_us = first_token_us - DECODE_US_PER_TOKEN;
        let other_requests = self.running.len() as u64;
        let step_us = DECODE_US_PER_TOKEN + other_requests * DECODE_US_PER_OTHER_REQUEST;
        self.running.insert(engine_request.request, engine_request);
        Some(StartedRequest {
            request: engine_request.request,
            cached_tokens,
            imported_tokens,
            first_token_us,
            done_us: first_token_us + u64::from(engine_request.answer_tokens) * step_us,
        })
    }
}

/// A prefix cache with least-recently-used eviction.
#[derive(Debug)]
struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    next_use: u64,
    entries: HashMap<u64, (u32, u64)>,
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            next_use: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    fn lookup(&mut self, engine_request: &EngineRequest) -> u32 {
        let chat = self.touch(engine_request.chat);
        let prefix = self
            .touch(engine_request.workspace)
            .min(engine_request.prefix_tokens);
        chat.max(prefix).min(engine_request.prompt_tokens)
    }

    fn store(&mut self, key: u64, tokens: u32) {
        if let Some((old_tokens, old_use)) = self.entries.remove(&key) {
            self.used_tokens -= u64::from(old_tokens);
            self.by_last_use.remove(&old_use);
        }
        self.used_tokens += u64::from(tokens);
        self.entries.insert(key, (tokens, self.next_use));
        self.by_last_use.insert(self.next_use, key);
        self.next_use += 1;
        while self.used_tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
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
        self.by_last_use.remove(last_use);
        *last_use = self.next_use;
        self.by_last_use.insert(self.next_use, key);
        self.next_use += 1;
        *tokens
    }

    fn clear(&mut self) {
        self.entries.clear();
        self.by_last_use.clear();
        self.used_tokens = 0;
    }
}
