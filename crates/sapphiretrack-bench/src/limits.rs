//! Simulation of leased budgets: over-admission compared with one exact counter. It runs only the
//! code that decides, without network and processes.
//!
//! Any number of limiters share one customer's contract. Time is virtual and an answer of the
//! steward takes no time; the faults between limiters and steward are part of the run's settings.

mod tables;

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{
    Admission, BudgetRequest, CustomerBudget, EmergencyPart, HeldBudget, Limits, RateLimiter,
    RouterId,
};

pub use self::tables::run;

/// The period after which a limiter renews its lease.
const RENEW_MS: u64 = 250;
const CUSTOMER: &str = "customer-of-the-run";
const MS_PER_S: f64 = 1_000.0;

/// The settings of one run.
#[derive(Clone, Debug)]
pub struct LimitsRun {
    /// The number of limiters.
    pub limiters: usize,
    /// The contract's limits at the start.
    pub limits: Limits,
    /// The offered load, as a multiple of the contract's request rate at the start.
    pub offered_multiple: f64,
    /// The duration of the run.
    pub duration_ms: u64,
    /// The maximum duration of a request; durations are uniform from 1 ms up to it.
    pub max_request_ms: u64,
    /// The faults.
    pub faults: Vec<LimiterFault>,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// A fault or a change of load or limits in a run.
#[derive(Clone, Copy, Debug)]
pub enum LimiterFault {
    /// A limiter crashes and its requests end.
    Crash {
        /// The index of the limiter.
        limiter: usize,
        /// The time of the event.
        at_ms: u64,
    },
    /// A limiter cannot reach the steward, while its callers still reach it.
    Partition {
        /// The index of the limiter.
        limiter: usize,
        /// The start.
        from_ms: u64,
        /// The end, exclusive.
        until_ms: u64,
    },
    /// A limiter's clock jumps.
    ClockStep {
        /// The index of the limiter.
        limiter: usize,
        /// The time of the event.
        at_ms: u64,
        /// The step; negative for a step back.
        step_ms: i64,
    },
    /// The steward is paused and answers no limiter.
    PausedSteward {
        /// The start.
        from_ms: u64,
        /// The end, exclusive.
        until_ms: u64,
    },
    /// A steward takes over that does not know what the limiters hold.
    NewSteward {
        /// The time of the event.
        at_ms: u64,
    },
    /// The offered load changes.
    NewOfferedLoad {
        /// The time of the event.
        at_ms: u64,
        /// The new multiple of the contract's request rate at the start.
        offered_multiple: f64,
    },
    /// The contract's rates and its in-flight limit are multiplied; the burst in seconds stays.
    NewLimits {
        /// The time of the event.
        at_ms: u64,
        /// The factor.
        factor: f64,
    },
}

/// The counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitsResult {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that the limiters admitted.
    pub admitted: u64,
    /// Requests out of the same ones that one exact counter with the limits at the start admits.
    pub exact: u64,
    /// The largest number of requests admitted in any interval beyond the burst plus the rate over
    /// the interval.
    pub worst_excess: f64,
    /// The largest number of requests in flight above the limit.
    pub worst_in_flight_excess: u32,
    /// Requests of limiters to the steward ([`BudgetRequest`]).
    pub asks: u64,
    /// Their encoded size in bytes.
    pub ask_bytes: u64,
    /// Requests admitted in the last second of the run.
    pub admitted_in_last_s: u64,
    /// Requests admitted while the steward was paused.
    pub admitted_in_pause: u64,
}

impl LimitsResult {
    /// Requests admitted beyond those of the exact counter, in percent of them; negative if fewer
    /// were admitted.
    pub fn over_admission_percent(&self) -> f64 {
        (self.admitted as f64 - self.exact as f64) / self.exact.max(1) as f64 * 100.0
    }
}

impl LimitsResult {
    fn record_ask(&mut self, ask: &BudgetRequest) {
        self.asks += 1;
        self.ask_bytes += bincode::serialized_size(ask).unwrap_or_default();
    }
}

/// The state of a limiter.
struct Limiter {
    id: RouterId,
    held: HeldBudget,
    /// The end of each request in flight.
    ends_ms: VecDeque<u64>,
    /// The offset of the local clock.
    clock_step_ms: i64,
    crashed: bool,
}

impl LimitsRun {
    /// A run of 60 s without faults, with 200 requests/s and a burst of 2 s.
    pub fn new(limiters: usize, offered_multiple: f64, seed: u64) -> Self {
        Self {
            limiters,
            limits: Limits {
                requests_per_s: 200.0,
                tokens_per_s: 100_000.0,
                burst_s: 2.0,
                in_flight: 1_000,
            },
            offered_multiple,
            duration_ms: 60_000,
            max_request_ms: 2_000,
            faults: Vec::new(),
            seed,
        }
    }

    /// Runs the simulation in steps of 1 ms.
    pub fn run(&self) -> LimitsResult {
        let mut state = RunState::new(self);
        for now_ms in 0..self.duration_ms {
            state.step(self, now_ms);
        }
        state.result
    }
}

/// The state of a run.
struct RunState {
    random: ChaCha8Rng,
    limits: Limits,
    offered_multiple: f64,
    limiters: Vec<Limiter>,
    ids: BTreeSet<RouterId>,
    steward: CustomerBudget,
    steward_id: RouterId,
    exact: [RateLimiter; 2],
    /// A token bucket with burst and request rate of the contract. Below zero, some interval had
    /// more admissions than the burst plus the rate over the interval.
    allowance: f64,
    result: LimitsResult,
}

impl RunState {
    fn new(run: &LimitsRun) -> Self {
        let limits = run.limits.clone();
        let limiter = |index| Limiter {
            id: RouterId(index as u64 + 1),
            held: HeldBudget::new(0),
            ends_ms: VecDeque::new(),
            clock_step_ms: 0,
            crashed: false,
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(run.seed),
            limiters: (0..run.limiters).map(limiter).collect(),
            ids: (1..=run.limiters as u64).map(RouterId).collect(),
            steward: CustomerBudget::new(&limits, true, 0),
            steward_id: RouterId(1),
            exact: [
                RateLimiter::new(limits.requests_per_s, limits.burst_s, 0),
                RateLimiter::new(limits.tokens_per_s, limits.burst_s, 0),
            ],
            allowance: limits.requests_per_s * limits.burst_s,
            limits,
            offered_multiple: run.offered_multiple,
            result: LimitsResult::default(),
        }
    }

    fn step(&mut self, run: &LimitsRun, now_ms: u64) {
        self.apply_faults(run, now_ms);
        let burst = self.limits.requests_per_s * self.limits.burst_s;
        self.allowance = (self.allowance + self.limits.requests_per_s / MS_PER_S).min(burst);
        for index in 0..self.limiters.len() {
            self.end_requests(index, now_ms);
            // The renewals of the limiters are spread over the period, 7 ms apart.
            if (now_ms + index as u64 * 7).is_multiple_of(RENEW_MS) {
                self.renew_lease(run, index, now_ms);
            }
        }
        let mut due = run.limits.requests_per_s * self.offered_multiple / MS_PER_S;
        while due > 0.0 {
            if self.random.random_bool(due.min(1.0)) {
                self.handle_arrival(run, now_ms);
            }
            due -= 1.0;
        }
        self.result.worst_excess = self.result.worst_excess.max(-self.allowance);
        let in_flight: usize = self
            .limiters
            .iter()
            .map(|limiter| limiter.ends_ms.len())
            .sum();
        let excess = (in_flight as u32).saturating_sub(self.limits.in_flight);
        self.result.worst_in_flight_excess = self.result.worst_in_flight_excess.max(excess);
    }

    fn apply_faults(&mut self, run: &LimitsRun, now_ms: u64) {
        for fault in &run.faults {
            match *fault {
                LimiterFault::Crash { limiter, at_ms } if at_ms == now_ms => {
                    self.limiters[limiter].crashed = true;
                    self.limiters[limiter].ends_ms.clear();
                }
                LimiterFault::ClockStep {
                    limiter,
                    at_ms,
                    step_ms,
                } if at_ms == now_ms => self.limiters[limiter].clock_step_ms += step_ms,
                LimiterFault::NewSteward { at_ms } if at_ms == now_ms => {
                    self.steward = CustomerBudget::new(&self.limits, false, now_ms);
                    self.steward_id.0 += 1;
                }
                LimiterFault::NewOfferedLoad {
                    at_ms,
                    offered_multiple,
                } if at_ms == now_ms => {
                    self.offered_multiple = offered_multiple;
                }
                LimiterFault::NewLimits { at_ms, factor } if at_ms == now_ms => {
                    self.limits.requests_per_s *= factor;
                    self.limits.tokens_per_s *= factor;
                    self.limits.in_flight = (f64::from(self.limits.in_flight) * factor) as u32;
                }
                _ => {}
            }
        }
    }

    fn end_requests(&mut self, index: usize, now_ms: u64) {
        let limiter = &mut self.limiters[index];
        let before = limiter.ends_ms.len();
        limiter.ends_ms.retain(|end_ms| *end_ms > now_ms);
        for _ in limiter.ends_ms.len()..before {
            limiter.held.leave();
        }
    }

    fn renew_lease(&mut self, run: &LimitsRun, index: usize, now_ms: u64) {
        let limiter = &mut self.limiters[index];
        let local_ms = local_ms(limiter, now_ms);
        if limiter.crashed {
            return;
        }
        let ask = limiter
            .held
            .end_period(limiter.id, CUSTOMER, &self.limits, local_ms);
        let Some(ask) = ask else { return };
        if is_steward_unreachable(run, index, now_ms) {
            let part = EmergencyPart::new(limiter.id, &self.ids, CUSTOMER);
            return limiter
                .held
                .mark_steward_unreachable(part, &self.limits, local_ms);
        }
        self.result.record_ask(&ask);
        let grant = self.steward.answer(&ask, &self.limits, 1.0, now_ms);
        limiter.held.record_steward(self.steward_id);
        let _no_waiting_request = limiter.held.apply_grant(&grant, 0.0, local_ms, local_ms);
    }

    fn handle_arrival(&mut self, run: &LimitsRun, now_ms: u64) {
        let index = self.random.random_range(0..self.limiters.len());
        let tokens = f64::from(self.random.random_range(50_u32..400));
        let runs_ms = self.random.random_range(1..=run.max_request_ms);
        self.result.offered += 1;
        self.count_exactly(tokens, now_ms);
        let limiter = &mut self.limiters[index];
        if limiter.crashed {
            return;
        }
        let local_ms = local_ms(limiter, now_ms);
        let admitted = match limiter.held.try_admit(tokens, &self.limits, local_ms) {
            Admission::Admitted => true,
            Admission::Refused(_) => false,
            Admission::Ask if is_steward_unreachable(run, index, now_ms) => {
                let part = EmergencyPart::new(limiter.id, &self.ids, CUSTOMER);
                limiter
                    .held
                    .mark_steward_unreachable(part, &self.limits, local_ms);
                let admission = limiter.held.try_admit(tokens, &self.limits, local_ms);
                admission == Admission::Admitted
            }
            Admission::Ask => {
                let ask = limiter
                    .held
                    .budget_request(limiter.id, CUSTOMER, Some(tokens));
                self.result.record_ask(&ask);
                let grant = self.steward.answer(&ask, &self.limits, 1.0, now_ms);
                limiter.held.record_steward(self.steward_id);
                let taken = limiter.held.apply_grant(&grant, tokens, local_ms, local_ms);
                taken.is_ok()
            }
        };
        if admitted {
            limiter.ends_ms.push_back(now_ms + runs_ms);
            self.allowance -= 1.0;
            self.result.admitted += 1;
            self.result.admitted_in_pause += u64::from(is_steward_paused(run, now_ms));
            if now_ms + 1_000 >= run.duration_ms {
                self.result.admitted_in_last_s += 1;
            }
        }
    }

    fn count_exactly(&mut self, tokens: f64, now_ms: u64) {
        let [requests, all_tokens] = &mut self.exact;
        if requests.wait_ms(1.0, now_ms) == 0 && all_tokens.wait_ms(tokens, now_ms) == 0 {
            requests.charge(1.0, now_ms);
            all_tokens.charge(tokens, now_ms);
            self.result.exact += 1;
        }
    }
}

fn local_ms(limiter: &Limiter, now_ms: u64) -> u64 {
    now_ms.saturating_add_signed(limiter.clock_step_ms)
}

fn is_steward_unreachable(run: &LimitsRun, index: usize, now_ms: u64) -> bool {
    run.faults.iter().any(|fault| match *fault {
        LimiterFault::Partition {
            limiter,
            from_ms,
            until_ms,
        } => limiter == index && (from_ms..until_ms).contains(&now_ms),
        _ => false,
    }) || is_steward_paused(run, now_ms)
}

fn is_steward_paused(run: &LimitsRun, now_ms: u64) -> bool {
    run.faults.iter().any(|fault| match *fault {
        LimiterFault::PausedSteward { from_ms, until_ms } => (from_ms..until_ms).contains(&now_ms),
        _ => false,
    })
}
