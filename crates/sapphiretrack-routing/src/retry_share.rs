//! Tracks this router's share of the fleet's retry budget.

use std::collections::HashMap;

/// The retry budget of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed per request of a service.
    pub ratio: f64,
    /// Additional retries allowed for the whole fleet in one window.
    pub fixed: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Time for which a service counts as full after it had no capacity for a request, in
    /// milliseconds; 0: never.
    pub full_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            fixed: 20.0,
            window_ms: 10_000,
            full_ms: 1_000,
        }
    }
}

/// Counts requests and retries of each service, and decides whether one more retry is within this
/// router's share.
///
/// A router has no count of the other routers' retries, so each is limited to a share such that all
/// shares add up to less than the budget: its own requests times the ratio, and the fixed part
/// divided by the number of routers that may exist. Half of the fixed part is reserved for routers
/// that restarted and lost their counts.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetrySettings,
    services: HashMap<String, Window>,
}

/// Counts of one service in slices of the window.
#[derive(Clone, Debug, Default)]
struct Window {
    slices: [Slice; SLICES],
    newest: u64,
    full_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    requests: u32,
    retries: u32,
    failures: u32,
    successes: u32,
}

/// Number of slices in a window. With fewer, more than a tenth of the window would be dropped too
/// early.
const SLICES: usize = 10;

impl RetryShare {
    /// Fraction of the ratio that is used. The rest covers requests at the edge of a window, since
    /// the fleet's accounting may place its windows differently.
    const RATIO_FRACTION: f64 = 0.7;
    /// Fraction of the fixed part that is used in one window; a restarted router may use it again.
    const FIXED_FRACTION: f64 = 0.5;
    /// Share of failed attempts above which a service as a whole counts as failing.
    const FAILING_SHARE: f64 = 0.5;
    /// Minimum number of ended attempts for that decision.
    const MIN_ENDED: u32 = 10;

    /// Creates a share of this budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Replaces the budget.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        if settings.window_ms != self.settings.window_ms {
            // Counts in slices of another length cannot be converted.
            self.services.clear();
        }
        self.settings = settings;
    }

    /// Records a caller's request for a service.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        self.slice(service, now_ms).requests += 1;
    }

    /// Records the outcome of an attempt.
    pub fn record_end(&mut self, service: &str, succeeded: bool, now_ms: u64) {
        let slice = self.slice(service, now_ms);
        match succeeded {
            true => slice.successes += 1,
            false => slice.failures += 1,
        }
    }

    /// Records that a service had no capacity for a request. Returns true if it did not count as
    /// full before.
    pub fn record_full(&mut self, service: &str, now_ms: u64) -> bool {
        let was_full = self.is_full(service, now_ms);
        let full_until_ms = now_ms + self.settings.full_ms;
        self.window(service, now_ms).full_until_ms = full_until_ms;
        !was_full && self.is_full(service, now_ms)
    }

    /// Returns whether a service recently had no capacity. A retry would displace another caller's
    /// first attempt there; the caller should come back later instead.
    pub fn is_full(&self, service: &str, now_ms: u64) -> bool {
        let window = self.services.get(service);
        window.is_some_and(|window| now_ms < window.full_until_ms)
    }

    /// Uses one retry if the share allows it and the service is not failing as a whole. `routers`
    /// is the number of routers that may exist.
    pub fn try_retry(&mut self, service: &str, routers: usize, now_ms: u64) -> bool {
        let settings = self.settings.clone();
        let window = self.window(service, now_ms);
        let sum = window.sum();
        let ended = sum.failures + sum.successes;
        let failing = f64::from(sum.failures) > f64::from(ended) * Self::FAILING_SHARE;
        if ended >= Self::MIN_ENDED && failing {
            return false;
        }
        let by_ratio = f64::from(sum.requests) * settings.ratio * Self::RATIO_FRACTION;
        let fixed = settings.fixed * Self::FIXED_FRACTION / routers.max(1) as f64;
        if f64::from(sum.retries) + 1.0 > by_ratio + fixed {
            return false;
        }
        self.slice(service, now_ms).retries += 1;
        true
    }

    fn slice(&mut self, service: &str, now_ms: u64) -> &mut Slice {
        let window = self.window(service, now_ms);
        let index = window.newest as usize % SLICES;
        &mut window.slices[index]
    }

    fn window(&mut self, service: &str, now_ms: u64) -> &mut Window {
        let slice_ms = (self.settings.window_ms / SLICES as u64).max(1);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Window::default());
        }
        let window = self.services.get_mut(service).expect("just inserted");
        window.advance(now_ms / slice_ms);
        window
    }
}

impl Window {
    fn advance(&mut self, slice: u64) {
        let steps = slice.saturating_sub(self.newest).min(SLICES as u64);
        for step in 1..=steps {
            let index = (slice - steps + step) as usize % SLICES;
            self.slices[index] = Slice::default();
        }
        self.newest = self.newest.max(slice);
    }

    fn sum(&self) -> Slice {
        let mut sum = Slice::default();
        for slice in &self.slices {
            sum.requests += slice.requests;
            sum.retries += slice.retries;
            sum.failures += slice.failures;
            sum.successes += slice.successes;
        }
        sum
    }
}
