//! This router's share of the fleet's retry budget.

use std::collections::HashMap;

/// What the fleet may spend on repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Repeats allowed for each request of a service.
    pub ratio: f64,
    /// Repeats allowed besides, for the whole fleet in one window.
    pub fixed: f64,
    /// The length of the window.
    pub window_ms: u64,
    /// How long a service counts as full after it had no room for a request; 0: never.
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

/// Counts requests and repeats of each service, and says whether one more repeat fits.
///
/// No router knows what the others spend, so each keeps to a share that adds up to less than the
/// budget whatever the others do: its own requests times the ratio, and the fixed part divided
/// by the routers that may exist. Half of the fixed part is left for routers that started again
/// and forgot what they spent.
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
    repeats: u32,
    failures: u32,
    successes: u32,
}

/// Slices of a window: a coarser cut would forget a tenth of the window too early.
const SLICES: usize = 10;

impl RetryShare {
    /// The part of the ratio that is spent: the rest covers requests that arrive at the edge of a
    /// window that the fleet's accounting cuts elsewhere.
    const RATIO_PART: f64 = 0.7;
    /// The part of the fixed sum that is spent in one window: a restart may spend it again.
    const FIXED_PART: f64 = 0.5;
    /// The share of failed attempts above which a service counts as failing as a whole.
    const FAILING_SHARE: f64 = 0.5;
    /// Attempts that must have ended before that is judged.
    const MIN_JUDGED: u32 = 10;

    /// A share of this budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Goes on with another budget.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        if settings.window_ms != self.settings.window_ms {
            // Counts in slices of another length say nothing.
            self.services.clear();
        }
        self.settings = settings;
    }

    /// Notes a caller's request for a service.
    pub fn note_request(&mut self, service: &str, now_ms: u64) {
        self.slice(service, now_ms).requests += 1;
    }

    /// Notes how an attempt ended.
    pub fn note_end(&mut self, service: &str, succeeded: bool, now_ms: u64) {
        let slice = self.slice(service, now_ms);
        match succeeded {
            true => slice.successes += 1,
            false => slice.failures += 1,
        }
    }

    /// Notes that a service had no room for a request; true if it did not count as full before.
    pub fn note_full(&mut self, service: &str, now_ms: u64) -> bool {
        let was_full = self.is_full(service, now_ms);
        let full_until_ms = now_ms + self.settings.full_ms;
        self.window(service, now_ms).full_until_ms = full_until_ms;
        !was_full && self.is_full(service, now_ms)
    }

    /// Whether a service lately had no room. A second attempt would take the place of somebody's
    /// first one there; its caller does better to come back when there is room.
    pub fn is_full(&self, service: &str, now_ms: u64) -> bool {
        let window = self.services.get(service);
        window.is_some_and(|window| now_ms < window.full_until_ms)
    }

    /// Takes one repeat if the share allows it and the service is not failing as a whole.
    /// `routers` is how many routers may exist.
    pub fn try_repeat(&mut self, service: &str, routers: usize, now_ms: u64) -> bool {
        let settings = self.settings.clone();
        let window = self.window(service, now_ms);
        let sum = window.sum();
        let judged = sum.failures + sum.successes;
        let failing = f64::from(sum.failures) > f64::from(judged) * Self::FAILING_SHARE;
        if judged >= Self::MIN_JUDGED && failing {
            return false;
        }
        let by_ratio = f64::from(sum.requests) * settings.ratio * Self::RATIO_PART;
        let fixed = settings.fixed * Self::FIXED_PART / routers.max(1) as f64;
        if f64::from(sum.repeats) + 1.0 > by_ratio + fixed {
            return false;
        }
        self.slice(service, now_ms).repeats += 1;
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
            sum.repeats += slice.repeats;
            sum.failures += slice.failures;
            sum.successes += slice.successes;
        }
        sum
    }
}
