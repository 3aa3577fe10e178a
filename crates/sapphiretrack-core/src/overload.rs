//! Overload: which classes are shed, and when a refused caller is told to come back.

use std::collections::BTreeMap;

/// The share of a server's load bound that each class of a pool may fill, by its priority.
///
/// Additive increase, multiplicative decrease on how answers compare with their deadline. An
/// engine serves the urgent first, so lower classes come late first and are shed first.
#[derive(Clone, Debug, Default)]
pub struct ShedControl {
    classes: BTreeMap<u8, ClassShare>,
}

/// The share of one class.
#[derive(Clone, Debug)]
struct ClassShare {
    share: f64,
    lowered_ms: u64,
    seen_ms: u64,
}

impl ShedControl {
    /// An answer that took more of its deadline than this lowers the share.
    const HIGH_WATER: f64 = 0.5;
    /// An answer that took less of its deadline than this raises the share.
    const LOW_WATER: f64 = 0.3;
    /// By which factor a share is lowered.
    const DECREASE: f64 = 0.85;
    /// By how much a share is raised.
    const INCREASE: f64 = 0.01;
    /// The lowest share.
    const MIN_SHARE: f64 = 0.05;
    /// The headroom that a class leaves for each class above it that was seen lately.
    const HEADROOM: f64 = 0.9;
    /// How long a class counts as seen.
    const SEEN_MS: u64 = 10_000;

    /// Notes a request of a class.
    pub fn note_request(&mut self, priority: u8, now_ms: u64) {
        self.class(priority).seen_ms = now_ms;
    }

    /// Notes an answer that took `took_ms` of its class's deadline; a late one counts too.
    pub fn note_answer(&mut self, priority: u8, took_ms: u64, deadline_ms: u64, now_ms: u64) {
        let used = took_ms as f64 / deadline_ms.max(1) as f64;
        let class = self.class(priority);
        if used < Self::LOW_WATER {
            class.share = (class.share + Self::INCREASE).min(1.0);
        }
        // What is in flight was let in under the old share: one step for one round of answers.
        if used > Self::HIGH_WATER && now_ms >= class.lowered_ms + deadline_ms / 4 {
            class.share = (class.share * Self::DECREASE).max(Self::MIN_SHARE);
            class.lowered_ms = now_ms;
        }
    }

    /// The part of a server's load bound that a class may fill now. A class never gets more
    /// than a class above it.
    pub fn share(&self, priority: u8, now_ms: u64) -> f64 {
        let mut share = 1.0_f64;
        for (&other, class) in self.classes.range(..=priority) {
            share = share.min(class.share);
            let seen = class.seen_ms > 0 && now_ms < class.seen_ms + Self::SEEN_MS;
            if other < priority && seen {
                share *= Self::HEADROOM;
            }
        }
        share
    }

    fn class(&mut self, priority: u8) -> &mut ClassShare {
        self.classes.entry(priority).or_insert(ClassShare {
            share: 1.0,
            lowered_ms: 0,
            seen_ms: 0,
        })
    }
}

/// Tells refused callers when to come back, from the rate at which requests end.
///
/// Each refusal takes the next place of a virtual queue that drains at that rate, so that the
/// callers come back spread out and no faster than there is room.
#[derive(Clone, Debug)]
pub struct DrainRate {
    ended_per_s: f64,
    waiting: f64,
    updated_ms: u64,
    ended_since: u32,
    since_ms: u64,
}

impl DrainRate {
    /// The shortest time to come back.
    pub const MIN_RETRY_MS: u64 = 250;
    /// The longest time to come back.
    pub const MAX_RETRY_MS: u64 = 30_000;
    /// Over how long the rate is counted before it is taken in.
    const WINDOW_MS: u64 = 1_000;
    /// The weight of the newest window.
    const WEIGHT: f64 = 0.3;
    /// The rate before the first window has ended.
    const FIRST_RATE: f64 = 1.0;

    /// Starts to measure now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            ended_per_s: Self::FIRST_RATE,
            waiting: 0.0,
            updated_ms: now_ms,
            ended_since: 0,
            since_ms: now_ms,
        }
    }

    /// Notes a request that ended and left room.
    pub fn note_end(&mut self, now_ms: u64) {
        self.update(now_ms);
        self.ended_since += 1;
    }

    /// Takes a place for a refused caller: when to come back. `draw` is a random number below
    /// 1 that spreads callers by up to a fifth.
    pub fn retry_after_ms(&mut self, draw: f64, now_ms: u64) -> u64 {
        self.update(now_ms);
        self.waiting += 1.0;
        let wait_ms = self.waiting / self.ended_per_s * 1_000.0;
        let spread = 0.9 + 0.2 * draw.clamp(0.0, 1.0);
        ((wait_ms * spread) as u64).clamp(Self::MIN_RETRY_MS, Self::MAX_RETRY_MS)
    }

    /// Requests that end in a second.
    pub fn ended_per_s(&self) -> f64 {
        self.ended_per_s
    }

    fn update(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.waiting -= self.ended_per_s * elapsed_ms as f64 / 1_000.0;
        self.waiting = self.waiting.max(0.0);
        let window_ms = now_ms.saturating_sub(self.since_ms);
        if window_ms < Self::WINDOW_MS {
            return;
        }
        let rate = f64::from(self.ended_since) * 1_000.0 / window_ms as f64;
        let rate = self.ended_per_s + Self::WEIGHT * (rate - self.ended_per_s);
        // A standstill is told as the longest wait, not as a division by nothing.
        self.ended_per_s = rate.max(1_000.0 / Self::MAX_RETRY_MS as f64);
        self.ended_since = 0;
        self.since_ms = now_ms;
    }
}
