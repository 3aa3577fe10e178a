//! Estimates the contents of one engine's memory: the most recently used prefixes, as far as they
//! fit.

use std::collections::{HashMap, VecDeque};

use foldhash::fast::RandomState;

/// A model of the memory of one engine, which evicts the least recently used content.
///
/// Tokens are counted by the time slice of their last use. The slices from the newest back to a
/// horizon fit into the memory; what was last used before the horizon has been evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerCache {
    capacity_tokens: u64,
    prefixes: HashMap<u64, CachedPrefix, RandomState>,
    /// Tokens by the slice of their last use; the newest slice is the last.
    slices: VecDeque<u64>,
    newest_slice: u64,
    horizon_slice: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    used_ms: u64,
}

impl ServerCache {
    /// Length of a slice in milliseconds: a fraction of the time in which a busy engine fills its
    /// memory.
    const SLICE_MS: u64 = 250;
    /// Number of slices kept.
    const MAX_SLICES: usize = 128;

    /// Sets the capacity in tokens; 0 if unknown.
    pub(crate) fn set_capacity(&mut self, tokens: u64) {
        if self.capacity_tokens != tokens {
            self.capacity_tokens = tokens;
            self.update_horizon();
        }
    }

    /// Records that a prefix was processed or used. Returns true if it was not known before.
    pub(crate) fn touch_prefix(&mut self, prefix: u64, tokens: u32, now_ms: u64) -> bool {
        let held = CachedPrefix {
            tokens,
            used_ms: now_ms,
        };
        let before = self.prefixes.insert(prefix, held);
        if let Some(before) = before {
            self.subtract(before);
        }
        self.add(u64::from(tokens), now_ms);
        before.is_none()
    }

    /// Records tokens that no other request shares.
    pub(crate) fn add_private(&mut self, tokens: u64, now_ms: u64) {
        self.add(tokens, now_ms);
    }

    /// Returns the time of a prefix's last use; `None` if it is assumed to have been evicted.
    pub(crate) fn used_ms(&self, prefix: u64) -> Option<u64> {
        let held = self.prefixes.get(&prefix)?;
        (held.used_ms / Self::SLICE_MS >= self.horizon_slice).then_some(held.used_ms)
    }

    /// Returns the id, tokens and time of last use of the prefixes that are assumed to be cached.
    pub(crate) fn held(&self) -> impl Iterator<Item = (u64, u32, u64)> + '_ {
        let held = self.prefixes.iter();
        let held = held.filter(|(_, one)| one.used_ms / Self::SLICE_MS >= self.horizon_slice);
        held.map(|(prefix, one)| (*prefix, one.tokens, one.used_ms))
    }

    /// Removes prefixes last used before a time, and those assumed to have been evicted.
    pub(crate) fn remove_before(&mut self, before_ms: u64) {
        let horizon_slice = self.horizon_slice;
        self.prefixes.retain(|_, one| {
            one.used_ms >= before_ms && one.used_ms / Self::SLICE_MS >= horizon_slice
        });
    }

    /// Returns whether nothing was sent to the server since a time.
    pub(crate) fn is_idle_since(&self, moment_ms: u64) -> bool {
        (self.newest_slice + 1) * Self::SLICE_MS <= moment_ms
    }

    /// Returns the number of known prefixes, including those assumed to have been evicted.
    pub(crate) fn len(&self) -> usize {
        self.prefixes.len()
    }

    fn add(&mut self, tokens: u64, now_ms: u64) {
        let slice = now_ms / Self::SLICE_MS;
        if self.slices.is_empty() || slice >= self.newest_slice + Self::MAX_SLICES as u64 {
            self.slices = VecDeque::from([0]);
            self.newest_slice = slice;
        }
        while self.newest_slice < slice {
            self.newest_slice += 1;
            self.slices.push_back(0);
        }
        while self.slices.len() > Self::MAX_SLICES {
            self.slices.pop_front();
        }
        if let Some(newest) = self.slices.back_mut() {
            *newest += tokens;
        }
        self.update_horizon();
    }

    fn subtract(&mut self, held: CachedPrefix) {
        let age = self
            .newest_slice
            .saturating_sub(held.used_ms / Self::SLICE_MS) as usize;
        let index = self.slices.len().checked_sub(age + 1);
        if let Some(tokens) = index.and_then(|index| self.slices.get_mut(index)) {
            *tokens = tokens.saturating_sub(u64::from(held.tokens));
        }
    }

    fn update_horizon(&mut self) {
        self.horizon_slice = 0;
        if self.capacity_tokens == 0 {
            return;
        }
        let mut tokens = 0;
        for (age, slice_tokens) in self.slices.iter().rev().enumerate() {
            tokens += slice_tokens;
            if tokens > self.capacity_tokens {
                self.horizon_slice = (self.newest_slice + 1).saturating_sub(age as u64);
                return;
            }
        }
    }
}
