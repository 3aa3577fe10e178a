//! Overload control: load shedding by class, and retry delays for refused callers.

use std::collections::BTreeMap;

/// Controls the share of a server's load bound that each class of a pool may fill, by priority.
///
/// Each class's share changes by additive increase and multiplicative decrease, depending on how
/// much of their deadline answers take. Engines serve urgent requests first, so less urgent classes
/// become late first and are shed first.
#[derive(Clone, Debug, Default)]
pub struct ShedControl {
    classes: BTreeMap<u8, ClassShare>,
}

/// State of one class.
#[derive(Clone, Debug)]
struct ClassShare {
    share: f64,
    lowered_ms: u64,
    seen_ms: u64,
}

impl ShedControl {
    /// An answer that takes more than this fraction of its deadline lowers the share.
    const HIGH_WATER: f64 = 0.5;
    /// An answer that takes less than this fraction of its deadline raises the share.
    const LOW_WATER: f64 = 0.3;
    /// Factor for lowering a share.
    const DECREASE: f64 = 0.85;
    /// Amount by which a share is raised.
    const INCREASE: f64 = 0.01;
    /// Lower bound of a share.
    const MIN_SHARE: f64 = 0.05;
    /// Factor on a class's share for each more urgent class seen recently, as headroom for it.
    const HEADROOM: f64 = 0.9;
    /// How long a class counts as seen after its last request.
    const SEEN_MS: u64 = 10_000;

    /// Records a request of a class.
    pub fn note_request(&mut self, priority: u8, now_ms: u64) {
        self.class(priority).seen_ms = now_ms;
    }

    /// Records an answer that took `took_ms`, also if it was later than its class's deadline.
    pub fn note_answer(&mut self, priority: u8, took_ms: u64, deadline_ms: u64, now_ms: u64) {
        let used = took_ms as f64 / deadline_ms.max(1) as f64;
        let class = self.class(priority);
        if used < Self::LOW_WATER {
            class.share = (class.share + Self::INCREASE).min(1.0);
        }
        // Requests in flight were admitted under the old share, so the share is lowered at most
        // once per round of answers.
        if used > Self::HIGH_WATER && now_ms >= class.lowered_ms + deadline_ms / 4 {
            class.share = (class.share * Self::DECREASE).max(Self::MIN_SHARE);
            class.lowered_ms = now_ms;
        }
    }

    /// Fraction of a server's load bound that a class may fill now; never more than that of a more
    /// urgent class.
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

/// Computes retry delays for refused callers from the rate at which requests end.
///
/// Each refused caller takes the next place in a virtual queue that drains at that rate, so that
/// retries are spread out and arrive no faster than capacity becomes free.
#[derive(Clone, Debug)]
pub struct DrainRate {
    ended_per_s: f64,
    queue_length: f64,
    updated_ms: u64,
    ended_in_window: u32,
    window_start_ms: u64,
}

impl DrainRate {
    /// Minimum retry delay.
    pub const MIN_RETRY_MS: u64 = 250;
    /// Maximum retry delay.
    pub const MAX_RETRY_MS: u64 = 30_000;
    /// Length of a measurement window.
    const WINDOW_MS: u64 = 1_000;
    /// Weight of the latest window in the moving average.
    const WEIGHT: f64 = 0.3;
    /// Rate per second assumed until the first window has ended.
    const INITIAL_RATE: f64 = 1.0;

    /// Starts the first measurement window.
    pub fn new(now_ms: u64) -> Self {
        Self {
            ended_per_s: Self::INITIAL_RATE,
            queue_length: 0.0,
            updated_ms: now_ms,
            ended_in_window: 0,
            window_start_ms: now_ms,
        }
    }

    /// Records that a request ended, which frees capacity.
    pub fn note_end(&mut self, now_ms: u64) {
        self.update(now_ms);
        self.ended_in_window += 1;
    }

    /// The retry delay for a refused caller, which takes a place in the virtual queue.
    ///
    /// `draw` is a random number below 1 that varies the delay by 10 percent in each direction.
    pub fn retry_after_ms(&mut self, draw: f64, now_ms: u64) -> u64 {
        self.update(now_ms);
        self.queue_length += 1.0;
        let wait_ms = self.queue_length / self.ended_per_s * 1_000.0;
        let spread = 0.9 + 0.2 * draw.clamp(0.0, 1.0);
        ((wait_ms * spread) as u64).clamp(Self::MIN_RETRY_MS, Self::MAX_RETRY_MS)
    }

    /// Measured rate of requests that end per second.
    pub fn ended_per_s(&self) -> f64 {
        self.ended_per_s
    }

    fn update(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.queue_length -= self.ended_per_s * elapsed_ms as f64 / 1_000.0;
        self.queue_length = self.queue_length.max(0.0);
        let window_ms = now_ms.saturating_sub(self.window_start_ms);
        if window_ms < Self::WINDOW_MS {
            return;
        }
        let rate = f64::from(self.ended_in_window) * 1_000.0 / window_ms as f64;
        let rate = self.ended_per_s + Self::WEIGHT * (rate - self.ended_per_s);
        // If no requests end, the rate stays above zero so that the delay remains finite.
        self.ended_per_s = rate.max(1_000.0 / Self::MAX_RETRY_MS as f64);
        self.ended_in_window = 0;
        self.window_start_ms = now_ms;
    }
}
