//! Over-admission of leased budgets against exact counting, by the decision code alone.
//!
//! Any number of limiters share one customer's contract. Time is virtual and an answer of the
//! steward takes no time; what can go wrong between limiter and steward is part of the plan.

mod tables;

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{
    Admission, BudgetAsk, CustomerBudget, EmergencyPart, HeldBudget, Limits, RateLimiter, RouterId,
};

pub use self::tables::run;

/// How often a limiter renews its lease.
const RENEW_MS: u64 = 250;
const CUSTOMER: &str = "customer-of-the-run";
const MS_PER_S: f64 = 1_000.0;

/// One run.
#[derive(Clone, Debug)]
pub struct LimitsRun {
    /// How many limiters there are.
    pub limiters: usize,
    /// The contract's limits.
    pub limits: Limits,
    /// Requests that come, as a multiple of the contract's rate.
    pub offered: f64,
    /// How long the run is.
    pub duration_ms: u64,
    /// The longest that a request runs.
    pub longest_request_ms: u64,
    /// What goes wrong.
    pub faults: Vec<LimiterFault>,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug)]
pub enum LimiterFault {
    /// A limiter dies, with its requests.
    Death {
        /// Which.
        limiter: usize,
        /// When.
        at_ms: u64,
    },
    /// A limiter reaches no steward, while its callers still reach it.
    Cut {
        /// Which.
        limiter: usize,
        /// From when.
        from_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// A limiter's clock jumps.
    ClockStep {
        /// Which.
        limiter: usize,
        /// When.
        at_ms: u64,
        /// How far.
        step_ms: i64,
    },
    /// The steward stands still, and answers nobody.
    PausedSteward {
        /// From when.
        from_ms: u64,
        /// Until when.
        until_ms: u64,
    },
    /// Another steward takes over and knows nothing.
    NewSteward {
        /// When.
        at_ms: u64,
    },
    /// Requests come at another multiple of the rate from now on.
    NewOffered {
        /// When.
        at_ms: u64,
        /// The multiple.
        offered: f64,
    },
    /// The contract's rates and its in-flight limit are multiplied from now on.
    NewLimits {
        /// When.
        at_ms: u64,
        /// By what.
        factor: f64,
    },
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitsResult {
    /// Requests that came.
    pub offered: u64,
    /// Requests that the limiters admitted.
    pub admitted: u64,
    /// Requests that one exact counter admitted of the same ones.
    pub exact: u64,
    /// The most requests above burst and rate that were admitted in any span of time.
    pub worst_excess: f64,
    /// The most requests in flight above the limit.
    pub worst_in_flight_excess: u32,
    /// Questions to the steward.
    pub asks: u64,
    /// Their encoded bytes.
    pub ask_bytes: u64,
    /// Requests admitted in the last second of the run.
    pub admitted_in_last_s: u64,
    /// Requests admitted while the steward stood still.
    pub admitted_in_pause: u64,
}

impl LimitsResult {
    /// How much more than the exact counter was admitted; below zero for less.
    pub fn over_percent(&self) -> f64 {
        (self.admitted as f64 - self.exact as f64) / self.exact.max(1) as f64 * 100.0
    }
}

impl LimitsResult {
    fn note_ask(&mut self, ask: &BudgetAsk) {
        self.asks += 1;
        self.ask_bytes += bincode::serialized_size(ask).unwrap_or_default();
    }
}

/// A limiter of a run.
struct Limiter {
    id: RouterId,
    held: HeldBudget,
    ends_ms: VecDeque<u64>,
    clock_step_ms: i64,
    dead: bool,
}

impl LimitsRun {
    /// A run without faults and with the usual limits.
    pub fn new(limiters: usize, offered: f64, seed: u64) -> Self {
        Self {
            limiters,
            limits: Limits {
                requests_per_s: 200.0,
                tokens_per_s: 100_000.0,
                burst_s: 2.0,
                in_flight: 1_000,
            },
            offered,
            duration_ms: 60_000,
            longest_request_ms: 2_000,
            faults: Vec::new(),
            seed,
        }
    }

    /// Runs it.
    pub fn run(&self) -> LimitsResult {
        let mut state = RunState::new(self);
        for now_ms in 0..self.duration_ms {
            state.step(self, now_ms);
        }
        state.result
    }
}

/// All that changes in a run.
struct RunState {
    random: ChaCha8Rng,
    limits: Limits,
    offered: f64,
    limiters: Vec<Limiter>,
    ids: BTreeSet<RouterId>,
    steward: CustomerBudget,
    steward_id: RouterId,
    exact: [RateLimiter; 2],
    /// Falls below zero when any span of time had more than burst and rate.
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
            dead: false,
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
            offered: run.offered,
            result: LimitsResult::default(),
        }
    }

    fn step(&mut self, run: &LimitsRun, now_ms: u64) {
        self.begin_faults(run, now_ms);
        let burst = self.limits.requests_per_s * self.limits.burst_s;
        self.allowance = (self.allowance + self.limits.requests_per_s / MS_PER_S).min(burst);
        for index in 0..self.limiters.len() {
            self.end_requests(index, now_ms);
            // Each limiter renews at its own time within the period.
            if (now_ms + index as u64 * 7).is_multiple_of(RENEW_MS) {
                self.renew(run, index, now_ms);
            }
        }
        let mut due = run.limits.requests_per_s * self.offered / MS_PER_S;
        while due > 0.0 {
            if self.random.random_bool(due.min(1.0)) {
                self.arrive(run, now_ms);
            }
            due -= 1.0;
        }
        self.result.worst_excess = self.result.worst_excess.max(-self.allowance);
        let in_flight: usize = self.limiters.iter().map(|l| l.ends_ms.len()).sum();
        let excess = (in_flight as u32).saturating_sub(self.limits.in_flight);
        self.result.worst_in_flight_excess = self.result.worst_in_flight_excess.max(excess);
    }

    fn begin_faults(&mut self, run: &LimitsRun, now_ms: u64) {
        for fault in &run.faults {
            match *fault {
                LimiterFault::Death { limiter, at_ms } if at_ms == now_ms => {
                    self.limiters[limiter].dead = true;
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
                LimiterFault::NewOffered { at_ms, offered } if at_ms == now_ms => {
                    self.offered = offered;
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

    fn renew(&mut self, run: &LimitsRun, index: usize, now_ms: u64) {
        let limiter = &mut self.limiters[index];
        let local_ms = local_ms(limiter, now_ms);
        if limiter.dead {
            return;
        }
        let ask = limiter
            .held
            .end_period(limiter.id, CUSTOMER, &self.limits, local_ms);
        let Some(ask) = ask else { return };
        if is_cut(run, index, now_ms) {
            let part = EmergencyPart::new(limiter.id, &self.ids, CUSTOMER);
            return limiter.held.no_steward(part, &self.limits, local_ms);
        }
        self.result.note_ask(&ask);
        let grant = self.steward.answer(&ask, &self.limits, 1.0, now_ms);
        limiter.held.answered_by(self.steward_id);
        let _nothing_waits = limiter.held.take_grant(&grant, 0.0, local_ms, local_ms);
    }

    fn arrive(&mut self, run: &LimitsRun, now_ms: u64) {
        let index = self.random.random_range(0..self.limiters.len());
        let tokens = f64::from(self.random.random_range(50_u32..400));
        let runs_ms = self.random.random_range(1..=run.longest_request_ms);
        self.result.offered += 1;
        self.count_exactly(tokens, now_ms);
        let limiter = &mut self.limiters[index];
        if limiter.dead {
            return;
        }
        let local_ms = local_ms(limiter, now_ms);
        let admitted = match limiter.held.try_admit(tokens, &self.limits, local_ms) {
            Admission::Admitted => true,
            Admission::Refused(_) => false,
            Admission::Ask if is_cut(run, index, now_ms) => {
                let part = EmergencyPart::new(limiter.id, &self.ids, CUSTOMER);
                limiter.held.no_steward(part, &self.limits, local_ms);
                let admission = limiter.held.try_admit(tokens, &self.limits, local_ms);
                admission == Admission::Admitted
            }
            Admission::Ask => {
                let ask = limiter.held.ask(limiter.id, CUSTOMER, Some(tokens));
                self.result.note_ask(&ask);
                let grant = self.steward.answer(&ask, &self.limits, 1.0, now_ms);
                limiter.held.answered_by(self.steward_id);
                let taken = limiter.held.take_grant(&grant, tokens, local_ms, local_ms);
                taken.is_ok()
            }
        };
        if admitted {
            limiter.ends_ms.push_back(now_ms + runs_ms);
            self.allowance -= 1.0;
            self.result.admitted += 1;
            self.result.admitted_in_pause += u64::from(is_paused(run, now_ms));
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

fn is_cut(run: &LimitsRun, index: usize, now_ms: u64) -> bool {
    run.faults.iter().any(|fault| match *fault {
        LimiterFault::Cut {
            limiter,
            from_ms,
            until_ms,
        } => limiter == index && (from_ms..until_ms).contains(&now_ms),
        _ => false,
    }) || is_paused(run, now_ms)
}

fn is_paused(run: &LimitsRun, now_ms: u64) -> bool {
    run.faults.iter().any(|fault| match *fault {
        LimiterFault::PausedSteward { from_ms, until_ms } => (from_ms..until_ms).contains(&now_ms),
        _ => false,
    })
}
