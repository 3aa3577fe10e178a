//! Measures the cache reuse that is lost when one router is replaced, for several ways to transfer
//! its placement memory.
//!
//! Only the placement memory is replaced. The router keeps its requests in flight and its slots,
//! so that they do not affect the result.

use std::collections::{BTreeMap, BTreeSet};

use sapphiretrack_core::{RouterId, WarmList, keep_newest, top_by_rendezvous};

use super::router::Router;
use super::{Measures, Policy, Scenario, measure};

/// Index of the router that is replaced.
const REPLACED_ROUTER: usize = 0;
/// Maximum number of chats in a handover or snapshot; the same as in the daemon.
const MAX_EXPORTED_CHATS: usize = 10_000;
/// Maximum age of a chat's hint in a handover or snapshot; the same as in the daemon.
const MAX_HINT_AGE_MS: u64 = 3_600_000;

/// What happens to the placement memory of the replaced router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplacementMode {
    /// The router is not replaced.
    Not,
    /// The memory is lost.
    Lost,
    /// The memory is handed over to the router that takes its place.
    HandedToOne,
    /// Each chat is handed over to one router, chosen by rendezvous hashing.
    HandedSplit,
    /// The memory is handed over to all routers.
    HandedToAll,
    /// All routers load an earlier snapshot of the memory.
    Snapshot {
        /// Age of the snapshot at the replacement.
        age_ms: u64,
    },
    /// The memory is handed over to all routers, and all routers load a snapshot.
    HandedToAllAndSnapshot {
        /// Age of the snapshot at the replacement.
        age_ms: u64,
    },
}

impl ReplacementMode {
    /// All measured modes.
    pub const ALL: [Self; 8] = [
        Self::Not,
        Self::Lost,
        Self::HandedToOne,
        Self::HandedSplit,
        Self::HandedToAll,
        Self::Snapshot { age_ms: 15_000 },
        Self::Snapshot { age_ms: 45_000 },
        Self::HandedToAllAndSnapshot { age_ms: 15_000 },
    ];

    pub(crate) fn snapshot_age_ms(self) -> Option<u64> {
        match self {
            Self::Snapshot { age_ms } | Self::HandedToAllAndSnapshot { age_ms } => Some(age_ms),
            _ => None,
        }
    }
}

/// State and results of the replacement during a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replacement {
    snapshot: WarmList,
    snapshot_ms: u64,
    /// For each chat, the router of its last answer.
    last_router: BTreeMap<u64, usize>,
    /// Chats of the replaced router whose next request has not started yet.
    awaited_chats: BTreeSet<u64>,
    pub(crate) returns: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
}

impl Replacement {
    pub(crate) fn take_snapshot(&mut self, routers: &[Router], now_ms: u64) {
        self.snapshot = exported_hints(&routers[REPLACED_ROUTER], now_ms);
        self.snapshot_ms = now_ms;
    }

    pub(crate) fn replace(&mut self, mode: ReplacementMode, routers: &mut [Router], now_ms: u64) {
        let served_chats = self
            .last_router
            .iter()
            .filter(|(_, router)| **router == REPLACED_ROUTER);
        self.awaited_chats = served_chats.map(|(chat, _)| *chat).collect();
        let handed_over = exported_hints(&routers[REPLACED_ROUTER], now_ms);
        if mode != ReplacementMode::Not {
            routers[REPLACED_ROUTER].clear_memory();
        }
        let ids: Vec<RouterId> = routers.iter().map(|router| router.id).collect();
        let receives = |router: usize, chat: u64| match mode {
            ReplacementMode::HandedToOne => router == REPLACED_ROUTER,
            ReplacementMode::HandedSplit => {
                top_by_rendezvous(chat, &ids, 1, |id| (id.0, 1.0)) == [&ids[router]]
            }
            ReplacementMode::HandedToAll | ReplacementMode::HandedToAllAndSnapshot { .. } => true,
            ReplacementMode::Not | ReplacementMode::Lost | ReplacementMode::Snapshot { .. } => {
                false
            }
        };
        for (index, router) in routers.iter_mut().enumerate() {
            let received = handed_over
                .hints(0)
                .filter(|(chat, _)| receives(index, chat.0));
            router.merge_hints(received, now_ms);
            if mode.snapshot_age_ms().is_some() {
                router.merge_hints(self.snapshot.hints(now_ms - self.snapshot_ms), now_ms);
            }
        }
    }

    pub(crate) fn record_answer(&mut self, chat: u64, router: usize) {
        self.last_router.insert(chat, router);
    }

    /// Counts the first request of a chat after the replacement of its router.
    pub(crate) fn record_start(&mut self, chat: u64, prompt_tokens: u32, cached_tokens: u32) {
        if self.awaited_chats.remove(&chat) {
            self.returns += 1;
            self.prompt_tokens += u64::from(prompt_tokens);
            self.cached_tokens += u64::from(cached_tokens);
        }
    }
}

fn exported_hints(router: &Router, now_ms: u64) -> WarmList {
    let memory = &router.memory;
    let all = 0..memory.buckets();
    let mut hints = memory.in_buckets(all, MAX_HINT_AGE_MS, now_ms).collect();
    keep_newest(&mut hints, MAX_EXPORTED_CHATS);
    WarmList::new(hints)
}

/// Prints the cache reuse of each mode over all seeds, for callers that send no value back.
pub(super) fn run(scenario: &Scenario, seeds: std::ops::Range<u64>) {
    println!("way                                        seeds returns   warm  whole run");
    for mode in ReplacementMode::ALL {
        let scenario = Scenario {
            replacement_mode: Some(mode),
            caller_value_chance: 0.0,
            ..scenario.clone()
        };
        let all: Vec<Measures> = seeds
            .clone()
            .map(|seed| measure(&scenario, Policy::Sapphiretrack, seed))
            .collect();
        let returns: u64 = all.iter().map(|one| one.returns).sum();
        let warm = mean(all.iter().map(|one| one.return_warm_fraction));
        let whole = mean(all.iter().map(|one| one.warm_token_fraction));
        let name = format!("{mode:?}");
        println!(
            "{name:<42} {:>5} {returns:>7} {warm:>6.4} {whole:>10.4}",
            all.len()
        );
    }
}

fn mean<Values>(values: Values) -> f64
where
    Values: ExactSizeIterator<Item = f64>,
{
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
