//! Health of one backend server, as observed on this router's own requests.

/// Thresholds for unhealthy servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHealthSettings {
    /// Time without progress after which a server with requests is suspected, in milliseconds.
    pub mute_ms: u64,
    /// Time for which an unreachable server is excluded after the first failure, in milliseconds;
    /// doubled with each further one.
    pub unreachable_ms: u64,
    /// Maximum of that time in milliseconds.
    pub max_unreachable_ms: u64,
    /// Weight of the newest outcome in the failure share.
    pub outcome_weight: f64,
    /// Half-life of the failure share without new outcomes, in milliseconds.
    pub forgive_half_life_ms: u64,
}

impl Default for ServerHealthSettings {
    fn default() -> Self {
        Self {
            // The first event after a prompt of 26,000 tokens takes half a second.
            mute_ms: 700,
            unreachable_ms: 300,
            max_unreachable_ms: 2_400,
            outcome_weight: 0.15,
            forgive_half_life_ms: 3_000,
        }
    }
}

/// Requests in flight, their progress, and the outcomes of attempts.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    /// Requests that this router has in flight at the server.
    pub in_flight: u32,
    /// Tokens of their prompts and answers.
    pub tokens: u64,
    /// Estimated number of prompt tokens that it still has to process before a first event.
    pub prefill_tokens: u64,
    /// Those whose answers wait for their callers.
    held_back: u32,
    waiting_since_ms: Option<u64>,
    failure_share: f64,
    last_outcome_ms: u64,
    unreachable_until_ms: u64,
    consecutive_unreachable: u32,
}

impl ServerHealth {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        if self.in_flight <= self.held_back {
            self.waiting_since_ms = Some(now_ms);
        }
        self.in_flight += 1;
    }

    /// Records that bytes of an answer arrived.
    pub fn record_progress(&mut self, now_ms: u64) {
        self.waiting_since_ms = Some(now_ms);
        self.consecutive_unreachable = 0;
    }

    /// Records that a request is no longer at the server.
    pub fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight <= self.held_back {
            self.waiting_since_ms = None;
        }
    }

    /// Records that the rest of an answer is not read until its caller has taken what was read: no
    /// progress is expected of the server meanwhile.
    pub fn record_held_back(&mut self) {
        self.held_back += 1;
        if self.in_flight <= self.held_back {
            self.waiting_since_ms = None;
        }
    }

    /// Records that such an answer is read again, or that its request ends.
    pub fn record_read_again(&mut self, now_ms: u64) {
        if self.in_flight <= self.held_back {
            self.waiting_since_ms = Some(now_ms);
        }
        self.held_back = self.held_back.saturating_sub(1);
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, settings: &ServerHealthSettings, failed: bool, now_ms: u64) {
        let share = self.failure_share(settings, now_ms);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_share = share + settings.outcome_weight * (outcome - share);
        self.last_outcome_ms = now_ms;
    }

    /// Records that no connection could be established.
    pub fn record_unreachable(&mut self, settings: &ServerHealthSettings, now_ms: u64) {
        let doubled = settings.unreachable_ms << self.consecutive_unreachable.min(8);
        self.unreachable_until_ms = now_ms + doubled.min(settings.max_unreachable_ms);
        self.consecutive_unreachable += 1;
    }

    /// Returns the share of failed attempts, which decays over time.
    pub fn failure_share(&self, settings: &ServerHealthSettings, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.last_outcome_ms) as f64;
        let half_lives = idle_ms / settings.forgive_half_life_ms.max(1) as f64;
        self.failure_share * 0.5_f64.powf(half_lives)
    }

    /// Returns whether the server was recently unreachable.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        now_ms < self.unreachable_until_ms
    }

    /// Returns whether the server has requests and none of them makes progress.
    pub fn is_unresponsive(&self, settings: &ServerHealthSettings, now_ms: u64) -> bool {
        let since = self.waiting_since_ms;
        since.is_some_and(|since| now_ms.saturating_sub(since) > settings.mute_ms)
    }
}
