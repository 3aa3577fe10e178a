//! Limits the requests that the engines of a service hold, by how long first events take.
//!
//! An engine that holds too many requests evicts the prefixes that it has cached, and computes them
//! again for the next requests. So beyond some load the fleet serves less, not more. Where that is
//! depends on the prompts, on the engines and on how many of them are left. Each router finds it
//! from the first events of its own requests, without messages to the others.

use std::collections::BTreeMap;

use crate::workspace_demand::WorkspaceDemand;

/// When first events count as slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineAdmissionSettings {
    /// Time to the first event, as a fraction of the request's objective, above which it is slow;
    /// 0: there is no limit.
    pub slow_objectives: f64,
}

impl Default for EngineAdmissionSettings {
    fn default() -> Self {
        Self {
            slow_objectives: 0.5,
        }
    }
}

/// The load of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Mean number of requests at an engine, from all routers.
    pub mean_in_flight: f64,
    /// Number of requests that an engine runs concurrently; 0 if unknown, so that there is no limit.
    pub slots: u32,
}

/// What decides about a request besides the load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionRank {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether its workspace asks for more than its share, see
    /// [`EngineAdmission::record_demand`].
    pub is_over_share: bool,
}

/// An attempt whose first event is awaited.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AwaitedEvent {
    sent_ms: u64,
    number: u64,
}

/// The limit of one service at one router.
///
/// It rises while few first events are slow, and falls while many are (additive increase,
/// multiplicative decrease).
#[derive(Clone, Debug)]
pub struct EngineAdmission {
    /// Share of the engines' slots that may be in use; above 1 it only widens the range in which
    /// nothing is refused.
    share: f64,
    /// When the share last fell. Attempts sent before say nothing about the new one.
    lowered_ms: u64,
    fast: u32,
    slow: u32,
    /// Attempts without a first event, and the time after which each counts as slow.
    awaited: BTreeMap<AwaitedEvent, u64>,
    next_number: u64,
    /// Moving average of the slow part of first events, also of attempts sent before the last fall.
    slow_average: f64,
    /// When the last first event was found slow; none if it was not slow.
    last_slow_ms: Option<u64>,
    refused_ms: Option<u64>,
    /// When a request was last refused because all engines were full.
    full_ms: Option<u64>,
    demand: WorkspaceDemand,
}

impl Default for EngineAdmission {
    fn default() -> Self {
        Self {
            share: Self::MAX_SHARE,
            lowered_ms: 0,
            fast: 0,
            slow: 0,
            awaited: BTreeMap::new(),
            next_number: 0,
            slow_average: 0.0,
            last_slow_ms: None,
            refused_ms: None,
            full_ms: None,
            demand: WorkspaceDemand::default(),
        }
    }
}

impl EngineAdmission {
    /// Lower bound of the share. At that load an engine's time depends on the prompts that it
    /// processes and hardly on how many requests it holds.
    const MIN_SHARE: f64 = 0.25;
    /// Upper bound of the share, at which nothing is refused before all slots are in use.
    const MAX_SHARE: f64 = 1.0 / Self::OVER_SHARE_START;
    /// Mean number of requests at an engine up to which none is refused. So few run together at hardly any
    /// cost on any engine, and slow first events then have another reason, which fewer requests do not
    /// mend.
    const MIN_REQUESTS: f64 = 8.0;
    /// Fraction of slow first events above which the share falls.
    const MANY_SLOW: f64 = 0.3;
    /// Fraction of slow first events up to which it rises.
    const FEW_SLOW: f64 = 0.15;
    /// Slow first events that are needed for a fall, so that single long prompts cause none.
    const MIN_SLOW: u32 = 4;
    /// Weight of the newest first event in the average of slow ones.
    const AVERAGE_WEIGHT: f64 = 0.2;
    /// Average above which full engines count: five slow first events in a row. With two since the last rise,
    /// one in ten prompts that are long lowered the share to its lower bound.
    const MIN_SLOW_AVERAGE: f64 = 0.65;
    /// Time after a slow first event for which full engines count, in milliseconds. With 1 s, refusals went on
    /// for more than two seconds after a burst.
    const SLOW_VALID_MS: u64 = 2_000;
    /// First events after which the share may rise.
    const MIN_EVENTS: u32 = 10;
    /// Factor by which it falls.
    const DECREASE: f64 = 0.75;
    /// Amount by which it rises.
    const INCREASE: f64 = 0.1;
    /// Part of the limit from which requests are refused.
    const START: f64 = 0.8;
    /// Part of the limit from which requests of workspaces above their share are refused.
    const OVER_SHARE_START: f64 = 0.5;
    /// How steeply the admitted part of the most urgent requests falls: by a factor of `e` for each third
    /// of the limit. Counts are some 200 ms old: with a steeper fall all routers would admit too many at
    /// once, and then none.
    const STEEPNESS: f64 = 3.0;
    /// Factor on the steepness for each step of priority.
    const PRIORITY_FACTOR: f64 = 1.6;
    /// Steps of priority that differ.
    const MAX_STEPS: u8 = 4;
    /// Added to the steepness for workspaces above their share: where one in ten of their requests is
    /// admitted, nine in ten of the others' are.
    const OVER_SHARE_STEEPNESS: f64 = 2.5;
    /// Smallest admitted part of any rank, as a fraction of the most urgent one's, so that none starves.
    const MIN_FRACTION: f64 = 1.0 / 16.0;
    /// Time after a fall for which full engines do not count, in milliseconds. They are full from before
    /// the fall, and counts are some 200 ms old. With 2 s the limit came too late, and refusals went on
    /// for more than two seconds after a burst.
    const FULL_DELAY_MS: u64 = 500;
    /// Time without refusals after which a refusal begins a new period, in milliseconds.
    const REFUSING_MS: u64 = 1_000;

    /// Records that a request was sent. Returns what identifies its first event.
    pub fn record_sent(
        &mut self,
        settings: &EngineAdmissionSettings,
        objective_ms: u64,
        now_ms: u64,
    ) -> AwaitedEvent {
        self.next_number += 1;
        let event = AwaitedEvent {
            sent_ms: now_ms,
            number: self.next_number,
        };
        let slow_ms = (objective_ms as f64 * settings.slow_objectives) as u64;
        self.awaited.insert(event, slow_ms);
        event
    }

    /// Records a first event.
    pub fn record_first_event(&mut self, event: AwaitedEvent, now_ms: u64) {
        // One that is not awaited any more has been counted as slow.
        let Some(slow_ms) = self.awaited.remove(&event) else {
            return;
        };
        self.count_event(event, now_ms > event.sent_ms + slow_ms, now_ms);
    }

    /// Forgets an attempt that ended without an event.
    pub fn forget(&mut self, event: AwaitedEvent) {
        self.awaited.remove(&event);
    }

    /// Counts the attempts that have waited too long for their first event.
    pub fn count_overdue(&mut self, now_ms: u64) {
        while let Some((&event, &slow_ms)) = self.awaited.first_key_value()
            && now_ms > event.sent_ms + slow_ms
        {
            self.awaited.remove(&event);
            self.count_event(event, true, now_ms);
        }
    }

    /// Records a request of a workspace and its work in tokens. Returns whether the workspace asks for
    /// more than its share.
    pub fn record_demand(&mut self, workspace: u64, work: u32, now_ms: u64) -> bool {
        self.demand.record(workspace, work, now_ms)
    }

    /// Returns whether a workspace asks for more than its share, for attempts whose request has been
    /// recorded, here or at another router.
    pub fn is_over_share(&self, workspace: u64, now_ms: u64) -> bool {
        self.demand.is_above(workspace, now_ms)
    }

    /// Returns whether a request is sent to an engine; `draw` is a random number below 1.
    pub fn admits(&self, load: EngineLoad, rank: AdmissionRank, draw: f64) -> bool {
        if load.slots == 0 {
            return true;
        }
        let limit = self.share * f64::from(load.slots);
        let limit = limit.max(Self::MIN_REQUESTS / Self::OVER_SHARE_START);
        let filled = load.mean_in_flight / limit;
        let most_urgent = Self::admitted_part(AdmissionRank::default(), filled);
        let admitted_part = Self::admitted_part(rank, filled);
        draw < admitted_part.max(most_urgent * Self::MIN_FRACTION)
    }

    /// Records that a request was refused because all engines were full.
    ///
    /// It counts as a slow first event if the last one was slow and recent, and most of the last few
    /// were slow: while engines are full, few first events come that would show whether the
    /// limit is still too high. Engines that are full and still fast lower nothing, so that all their slots
    /// stay in use.
    pub fn record_full(&mut self, now_ms: u64) {
        self.full_ms = Some(now_ms);
        if self.are_events_slow(now_ms) && now_ms >= self.lowered_ms + Self::FULL_DELAY_MS {
            self.count(true, now_ms);
        }
    }

    /// Records that a request was refused. Returns true if it is the first for some time.
    pub fn record_refused(&mut self, now_ms: u64) -> bool {
        let last_ms = self.refused_ms.replace(now_ms);
        !Self::is_recent(last_ms, now_ms)
    }

    /// Returns whether requests were refused lately, for either reason.
    pub fn is_refusing(&self, now_ms: u64) -> bool {
        Self::is_recent(self.refused_ms, now_ms) || Self::is_recent(self.full_ms, now_ms)
    }

    /// Returns the share of the engines' slots that may be in use.
    pub fn share(&self) -> f64 {
        self.share
    }

    fn is_recent(refused_ms: Option<u64>, now_ms: u64) -> bool {
        refused_ms.is_some_and(|refused_ms| now_ms < refused_ms + Self::REFUSING_MS)
    }

    /// Returns the admitted part of the requests of a rank while this part of the limit is in use.
    ///
    /// It falls exponentially: a linear fall makes the routers overshoot more the more is asked for.
    fn admitted_part(rank: AdmissionRank, filled: f64) -> f64 {
        let steps = rank.priority.min(Self::MAX_STEPS);
        let steepness = Self::STEEPNESS * Self::PRIORITY_FACTOR.powi(i32::from(steps));
        let (start, steepness) = match rank.is_over_share {
            true => (
                Self::OVER_SHARE_START,
                steepness + Self::OVER_SHARE_STEEPNESS,
            ),
            false => (Self::START, steepness),
        };
        (-steepness * (filled - start).max(0.0)).exp()
    }

    /// Whether first events are slow for another reason than a single long prompt.
    fn are_events_slow(&self, now_ms: u64) -> bool {
        let is_recent = |slow_ms| now_ms < slow_ms + Self::SLOW_VALID_MS;
        self.slow_average > Self::MIN_SLOW_AVERAGE && self.last_slow_ms.is_some_and(is_recent)
    }

    /// Counts a first event. One whose attempt was sent before the last fall only shows whether engines are
    /// still slow.
    fn count_event(&mut self, event: AwaitedEvent, is_slow: bool, now_ms: u64) {
        let slow = f64::from(u8::from(is_slow));
        self.slow_average += Self::AVERAGE_WEIGHT * (slow - self.slow_average);
        self.last_slow_ms = is_slow.then_some(now_ms);
        if event.sent_ms >= self.lowered_ms {
            self.count(is_slow, now_ms);
        }
    }

    fn count(&mut self, is_slow: bool, now_ms: u64) {
        match is_slow {
            true => self.slow += 1,
            false => self.fast += 1,
        }
        let events = self.slow + self.fast;
        let slow_part = f64::from(self.slow) / f64::from(events);
        if self.slow >= Self::MIN_SLOW && slow_part > Self::MANY_SLOW {
            self.share = (self.share.min(1.0) * Self::DECREASE).max(Self::MIN_SHARE);
            self.lowered_ms = now_ms;
        } else if events >= Self::MIN_EVENTS && slow_part <= Self::FEW_SLOW {
            self.share = (self.share + Self::INCREASE).min(Self::MAX_SHARE);
        } else if events < Self::MIN_EVENTS {
            return;
        }
        (self.fast, self.slow) = (0, 0);
    }
}
