//! Tracks which prompt prefixes were recently sent to which server by any router.

use std::collections::HashMap;

use foldhash::fast::RandomState;
use serde::{Deserialize, Serialize};

use crate::root_shares::RootShares;
use crate::send_rate::SendRate;
use crate::server_cache::ServerCache;
use crate::{Incarnation, PromptPrefix, RequestFacts};

/// A prompt prefix that a router sent to a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentPrefix {
    /// Incarnation of the server.
    pub server: u64,
    /// Id of the prefix.
    pub prefix: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Tokens that a router sent to a server and that no other request shares.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentTokens {
    /// Incarnation of the server.
    pub server: u64,
    /// Number of tokens.
    pub tokens: u32,
    /// Number of requests.
    pub requests: u16,
}

/// Prompts that a router sent to servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SentPrompts {
    /// Shared prompt prefixes.
    pub prefixes: Vec<SentPrefix>,
    /// All other tokens by server, which displace prefixes from the server's memory.
    pub private: Vec<SentTokens>,
}

/// A bounded index of sent prefixes. Routers advertise what they sent, so that every router can
/// determine the holders of a prefix: the requests of a single router contain each prefix too
/// rarely for that.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    settings: WarmSettings,
    /// Looked up for each server in each placement, hence the fast hash.
    caches: HashMap<Incarnation, ServerCache, RandomState>,
    /// Memory of each engine in tokens, as configured by the operator.
    capacities: HashMap<Incarnation, u64>,
    /// Number of prefixes in all caches.
    entry_count: usize,
    pending: SentPrompts,
    prefix_sends: HashMap<u64, SendRate>,
    /// Slice in which `prefix_sends` was last cleared of prefixes that are no longer sent.
    counted_slice: u64,
    all_sends: SendRate,
    root_shares: RootShares,
}

/// Assumptions about servers' caches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmSettings {
    /// Time for which a prefix is assumed to stay in a server's cache after its last use, in
    /// milliseconds.
    pub keep_ms: u64,
    /// Fraction of a server's memory that is assumed to hold the most recently used tokens.
    pub memory_part: f64,
    /// Average length of an answer as a fraction of the longest permitted output.
    pub output_part: f64,
}

impl Default for WarmSettings {
    fn default() -> Self {
        Self {
            keep_ms: 30_000,
            memory_part: 1.0,
            output_part: 0.5,
        }
    }
}

impl PrefixIndex {
    /// Maximum number of prefixes kept in a small fleet, which bounds their memory.
    const MAX_ENTRIES: usize = 20_000;
    /// The same for each engine of a large fleet: the beginnings that many prompts share, and the
    /// engine's share of the other prefixes.
    const MAX_ENTRIES_OF_ENGINE: usize = 300;
    /// Maximum number of prefixes, and of servers with private tokens, in a heartbeat, so that it
    /// fits into one datagram.
    const PREFIXES_IN_HEARTBEAT: usize = 64;
    /// Number of prefixes in one datagram of an answer to a starting router.
    pub const PREFIXES_IN_DATAGRAM: usize = 256;

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: WarmSettings) {
        self.settings = settings;
        self.apply_capacities();
    }

    /// Sets the number of tokens that fit into the memory of each listed engine. The caches of
    /// other servers are kept until they expire: an entry that lapsed during an outage of the store
    /// comes back.
    pub fn set_capacities(&mut self, capacities: HashMap<Incarnation, u64>, now_ms: u64) {
        self.capacities = capacities;
        let oldest_ms = now_ms.saturating_sub(self.settings.keep_ms);
        self.caches.retain(|server, cache| {
            self.capacities.contains_key(server) || !cache.is_idle_since(oldest_ms)
        });
        self.entry_count = self.caches.values().map(ServerCache::len).sum();
        self.apply_capacities();
    }

    fn apply_capacities(&mut self) {
        for (server, cache) in &mut self.caches {
            if self.capacities.contains_key(server) {
                cache.set_capacity(usable_capacity(&self.settings, &self.capacities, *server));
            }
        }
    }

    /// Records that this router sent a prompt to a server.
    pub fn record_sent(&mut self, server: Incarnation, facts: &RequestFacts, now_ms: u64) {
        for prefix in facts.shared_prefixes() {
            self.record_prefix(server, *prefix, now_ms);
            self.count_send(prefix.id, now_ms);
            // Prefixes that do not fit into a heartbeat are recorded only by this router.
            if self.pending.prefixes.len() < Self::PREFIXES_IN_HEARTBEAT {
                self.pending.prefixes.push(SentPrefix {
                    server: server.0,
                    prefix: prefix.id,
                    tokens: prefix.tokens,
                });
            }
        }
        let output = f64::from(facts.output_tokens) * self.settings.output_part;
        let tokens = facts.private_tokens().saturating_add(output as u32);
        self.cache(server).add_private(u64::from(tokens), now_ms);
        self.all_sends.count(1, now_ms);
        self.root_shares.record_requests(server, 1, tokens, now_ms);
        if let [root, _, ..] = facts.shared_prefixes() {
            self.root_shares.record_work(root.id, tokens);
        }
        self.count_private(server, tokens);
    }

    /// Records the answer of a router that was asked for prefixes. It shows which servers hold them
    /// and does not count as sends.
    pub fn record_holdings(&mut self, holdings: &[SentPrefix], now_ms: u64) {
        for held in holdings {
            self.record_prefix(Incarnation(held.server), held.prompt_prefix(), now_ms);
        }
    }

    /// Records what another router sent since its last heartbeat.
    pub fn record_advertised(&mut self, sent: &SentPrompts, now_ms: u64) {
        for prefix in &sent.prefixes {
            self.record_prefix(Incarnation(prefix.server), prefix.prompt_prefix(), now_ms);
            self.count_send(prefix.prefix, now_ms);
        }
        for private in &sent.private {
            let server = Incarnation(private.server);
            let cache = self.cache(server);
            cache.add_private(u64::from(private.tokens), now_ms);
            self.all_sends.count(u32::from(private.requests), now_ms);
            let shares = &mut self.root_shares;
            shares.record_requests(server, private.requests, private.tokens, now_ms);
        }
    }

    /// Returns what was sent since the last call.
    pub fn take_pending(&mut self) -> SentPrompts {
        std::mem::take(&mut self.pending)
    }

    /// Returns the most recently used prefixes, newest first, for a router that has none yet.
    pub fn newest(&self, limit: usize, now_ms: u64) -> Vec<SentPrefix> {
        let mut prefixes: Vec<(u64, SentPrefix)> = Vec::new();
        for (server, cache) in &self.caches {
            let recent = cache.held();
            let recent = recent.filter(|(_, _, used_ms)| now_ms < used_ms + self.settings.keep_ms);
            prefixes.extend(recent.map(|(prefix, tokens, used_ms)| {
                let server = server.0;
                (
                    used_ms,
                    SentPrefix {
                        server,
                        prefix,
                        tokens,
                    },
                )
            }));
        }
        prefixes.sort_unstable_by_key(|(used_ms, _)| std::cmp::Reverse(*used_ms));
        let newest = prefixes.into_iter().take(limit);
        newest.map(|(_, prefix)| prefix).collect()
    }

    /// Returns the estimated number of tokens of a prompt's shared prefixes in a server's cache. A
    /// cached prefix implies those before it, since a later one cannot have been processed without
    /// them.
    pub fn cached_tokens(
        &self,
        server: Incarnation,
        prefixes: &[PromptPrefix],
        now_ms: u64,
    ) -> u32 {
        let Some(cache) = self.caches.get(&server) else {
            return 0;
        };
        let is_cached = |prefix: &PromptPrefix| {
            let used = cache.used_ms(prefix.id);
            used.is_some_and(|used| now_ms < used + self.settings.keep_ms)
        };
        let deepest = prefixes.iter().rposition(is_cached);
        let held = deepest.map_or(&[][..], |last| &prefixes[..=last]);
        held.iter().map(|prefix| prefix.tokens).sum()
    }

    /// Returns the share of all requests that contain a prefix, as far as advertised.
    pub fn share_of_sends(&self, prefix: u64, now_ms: u64) -> f64 {
        let Some(sends) = self.prefix_sends.get(&prefix) else {
            return 0.0;
        };
        let all = self.all_sends.per_s(now_ms);
        match all > 0.0 {
            true => (sends.per_s(now_ms) / all).min(1.0),
            false => 0.0,
        }
    }

    /// The shares of roots in the load of services.
    pub(crate) fn root_shares(&self) -> &RootShares {
        &self.root_shares
    }

    fn count_send(&mut self, prefix: u64, now_ms: u64) {
        let slice = SendRate::slice(now_ms);
        if slice != self.counted_slice {
            self.counted_slice = slice;
            self.prefix_sends.retain(|_, sends| sends.is_recent(now_ms));
        }
        self.prefix_sends
            .entry(prefix)
            .or_default()
            .count(1, now_ms);
        self.root_shares.record_prefix(prefix, now_ms);
    }

    fn record_prefix(&mut self, server: Incarnation, prefix: PromptPrefix, now_ms: u64) {
        if self.entry_count >= self.max_entries() {
            self.evict_older(now_ms);
        }
        let cache = self.cache(server);
        if cache.touch_prefix(prefix.id, prefix.tokens, now_ms) {
            self.entry_count += 1;
        }
    }

    fn cache(&mut self, server: Incarnation) -> &mut ServerCache {
        let capacity = usable_capacity(&self.settings, &self.capacities, server);
        self.caches.entry(server).or_insert_with(|| {
            let mut cache = ServerCache::default();
            cache.set_capacity(capacity);
            cache
        })
    }

    fn count_private(&mut self, server: Incarnation, tokens: u32) {
        let private = &mut self.pending.private;
        let known = private.iter_mut().find(|one| one.server == server.0);
        if let Some(one) = known {
            one.tokens = one.tokens.saturating_add(tokens);
            one.requests = one.requests.saturating_add(1);
            return;
        }
        // Tokens that do not fit into a heartbeat are recorded only by this router.
        if private.len() < Self::PREFIXES_IN_HEARTBEAT {
            private.push(SentTokens {
                server: server.0,
                tokens,
                requests: 1,
            });
        }
    }

    fn max_entries(&self) -> usize {
        Self::MAX_ENTRIES.max(self.capacities.len() * Self::MAX_ENTRIES_OF_ENGINE)
    }

    fn evict_older(&mut self, now_ms: u64) {
        for keep_ms in [self.settings.keep_ms, self.settings.keep_ms / 4] {
            self.entry_count = 0;
            for cache in self.caches.values_mut() {
                cache.remove_before(now_ms.saturating_sub(keep_ms));
                self.entry_count += cache.len();
            }
            if self.entry_count * 2 <= self.max_entries() {
                return;
            }
        }
        self.caches.clear();
        self.entry_count = 0;
    }
}

impl SentPrefix {
    fn prompt_prefix(&self) -> PromptPrefix {
        PromptPrefix {
            id: self.prefix,
            tokens: self.tokens,
        }
    }
}

/// Returns the estimated number of tokens that fit into a server's memory; 0 if unknown.
fn usable_capacity(
    settings: &WarmSettings,
    capacities: &HashMap<Incarnation, u64>,
    server: Incarnation,
) -> u64 {
    let tokens = capacities.get(&server).copied().unwrap_or(0);
    (tokens as f64 * settings.memory_part) as u64
}
