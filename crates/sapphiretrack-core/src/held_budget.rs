//! A router's leased part of a customer's budget, and admission from it.

use std::ops::RangeInclusive;

use crate::budget::{Amounts, BUDGET_LEASE_MS, BudgetGrant, BudgetRequest, NeedDecision};
use crate::emergency::{EmergencyBudget, EmergencyPart};
use crate::{Limits, RouterId};

/// The holder stops using a lease this long before it expires at the steward.
const LEASE_MARGIN_MS: u64 = 200;
/// Amount to lease in advance, as a multiple of the amount used per period.
const AHEAD_FACTOR: f64 = 1.25;
/// Requests per period from which on a router leases in advance. Below that, it contacts the
/// steward for each request.
const BUSY_REQUESTS: f64 = 2.0;
/// A busy router renews early if it holds less than this fraction of its average use per period.
const LOW_SHARE: f64 = 0.5;
/// Leases are renewed this long before they expire.
const RENEW_BEFORE_END_MS: u64 = 600;
/// Bounds of the time for which a refusal is reused without contacting the steward again; within
/// them, the time is the steward's retry delay.
const REFUSAL_KEPT_MS: RangeInclusive<u64> = 200..=400;
/// Retry delay for callers if the steward did not answer.
pub const NO_STEWARD_RETRY_MS: u64 = 250;

/// Admission decision that a router makes from its leased budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run; it counts as in flight until [`HeldBudget::leave`].
    Admitted,
    /// The steward has to decide.
    Ask,
    /// The request is refused.
    Refused(Shortage),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The request or token rate is used up.
    Rate {
        /// Retry delay.
        retry_after_ms: u64,
    },
    /// Too many requests are in flight.
    InFlight {
        /// Retry delay.
        retry_after_ms: u64,
    },
    /// The steward did not answer.
    NoSteward {
        /// Retry delay.
        retry_after_ms: u64,
    },
}

/// One router's leased part of one customer's budget.
#[derive(Clone, Debug, Default)]
pub struct HeldBudget {
    limits: Option<Limits>,
    held: Amounts,
    returned: Amounts,
    slots: u32,
    in_flight: u32,
    peak_in_flight: u32,
    spent: Amounts,
    /// Moving average of the amounts used per period; reset after a period without requests.
    average: Amounts,
    sequence: u64,
    expires_ms: u64,
    refused: Option<CachedRefusal>,
    /// The steward that last answered.
    steward: Option<RouterId>,
    emergency: Option<EmergencyBudget>,
}

/// The steward's last refusal, reused briefly so that a surge of requests does not cause a message
/// for each.
#[derive(Clone, Copy, Debug)]
struct CachedRefusal {
    shortage: Shortage,
    tokens: f64,
    until_ms: u64,
}

impl HeldBudget {
    /// Creates an empty budget.
    ///
    /// `first_sequence` has to be above all sequence numbers of earlier runs of this router.
    pub fn new(first_sequence: u64) -> Self {
        Self {
            sequence: first_sequence,
            ..Self::default()
        }
    }

    /// Decides on a request from the held amounts and slots.
    pub fn try_admit(&mut self, tokens: f64, limits: &Limits, now_ms: u64) -> Admission {
        self.refresh_lease(limits, now_ms);
        let enough = self.held.requests >= 1.0 && self.held.tokens >= tokens;
        if enough && self.in_flight < self.slots {
            self.held.requests -= 1.0;
            self.held.tokens -= tokens;
            self.start_request(tokens);
            return Admission::Admitted;
        }
        if let Some(admission) = self.admit_in_emergency(tokens, limits, now_ms) {
            return admission;
        }
        match self.refused {
            // A smaller request might still be granted.
            Some(refused) if now_ms < refused.until_ms && tokens >= refused.tokens => {
                Admission::Refused(refused.shortage.with_retry_after(refused.until_ms - now_ms))
            }
            _ => Admission::Ask,
        }
    }

    /// Creates a request to the steward, for a waiting request's tokens or only to renew the lease.
    pub fn budget_request(
        &mut self,
        router: RouterId,
        customer: &str,
        need_tokens: Option<f64>,
    ) -> BudgetRequest {
        self.sequence += 1;
        self.charge_emergency_use();
        let returned = std::mem::take(&mut self.returned);
        let factor = if self.is_busy() { AHEAD_FACTOR } else { 0.0 };
        let wanted =
            |expected_use: f64, held: f64| (expected_use * factor - held.max(0.0)).max(0.0).ceil();
        let expected_use = self.expected_use();
        let ahead = Amounts {
            requests: wanted(expected_use.requests, self.held.requests),
            tokens: wanted(expected_use.tokens, self.held.tokens),
        };
        BudgetRequest {
            router,
            customer: customer.to_owned(),
            sequence: self.sequence,
            held: self.held,
            returned,
            need_tokens,
            ahead,
            in_flight: self.in_flight,
            slots_ahead: if self.is_busy() {
                self.peak_in_flight.saturating_sub(self.in_flight) + ahead.requests as u32
            } else {
                0
            },
        }
    }

    /// Applies the steward's reply to a request that was sent at `requested_ms`.
    ///
    /// The lease counts from the time of sending, so it never outlives the steward's record of it.
    pub fn apply_grant(
        &mut self,
        grant: &BudgetGrant,
        need_tokens: f64,
        requested_ms: u64,
        now_ms: u64,
    ) -> Result<(), Shortage> {
        if let Some(emergency) = &mut self.emergency {
            emergency.mark_reachable();
        }
        self.held.requests += grant.added.requests;
        self.held.tokens += grant.added.tokens;
        self.slots = grant.slots;
        self.expires_ms = requested_ms + BUDGET_LEASE_MS - LEASE_MARGIN_MS;
        let mut refused_tokens = 0.0;
        let shortage = match grant.need {
            NeedDecision::Nothing => return Ok(()),
            NeedDecision::Admitted => {
                self.refused = None;
                self.start_request(need_tokens);
                return Ok(());
            }
            NeedDecision::RateUsedUp {
                retry_after_ms,
                any_size,
            } => {
                if !any_size {
                    refused_tokens = need_tokens;
                }
                Shortage::Rate { retry_after_ms }
            }
            NeedDecision::SlotsUsedUp { retry_after_ms } => Shortage::InFlight { retry_after_ms },
        };
        self.record_refusal(shortage, refused_tokens, now_ms);
        Err(shortage)
    }

    /// Records which router answers as steward.
    ///
    /// Amounts admitted in an emergency are not reported to a new steward: its bucket starts at
    /// [`NEW_STEWARD_SHARE`](crate::NEW_STEWARD_SHARE) and did not refill in the meantime.
    pub fn record_steward(&mut self, steward: RouterId) {
        if self.steward.replace(steward) != Some(steward)
            && let Some(emergency) = &mut self.emergency
        {
            let _unreported = emergency.take_unreported();
        }
    }

    /// Records that the steward did not answer. For a limited time, [`Self::try_admit`] then admits
    /// from this router's part of the emergency share.
    pub fn mark_steward_unreachable(&mut self, part: EmergencyPart, limits: &Limits, now_ms: u64) {
        self.emergency
            .get_or_insert_with(|| EmergencyBudget::new(part, limits, now_ms))
            .mark_unreachable(part, limits, now_ms);
        let shortage = Shortage::NoSteward {
            retry_after_ms: NO_STEWARD_RETRY_MS,
        };
        self.record_refusal(shortage, 0.0, now_ms);
    }

    /// Charges tokens that a request used beyond its estimate.
    pub fn charge_tokens(&mut self, tokens: f64, now_ms: u64) {
        self.drop_expired(now_ms);
        self.spent.tokens += tokens;
        match &mut self.emergency {
            Some(emergency) if emergency.is_in_use(now_ms) => {
                emergency.charge_tokens(tokens, now_ms);
            }
            _ => self.held.tokens -= tokens,
        }
    }

    /// Records that an admitted request ended.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // An in-flight slot became free, so an in-flight refusal no longer applies.
        self.refused = self
            .refused
            .filter(|refused| !matches!(refused.shortage, Shortage::InFlight { .. }));
    }

    /// Ends a period: a router that is not busy returns what it holds. Returns a request to the
    /// steward if the lease has to be renewed or there is something to report.
    pub fn end_period(
        &mut self,
        router: RouterId,
        customer: &str,
        limits: &Limits,
        now_ms: u64,
    ) -> Option<BudgetRequest> {
        self.refresh_lease(limits, now_ms);
        self.update_average();
        if !self.is_busy() {
            self.give_all_back();
        }
        // Without other changes, requests in flight and held amounts are reported only as often as
        // needed to keep the lease.
        let lease_ends = now_ms + RENEW_BEFORE_END_MS >= self.expires_ms;
        let is_running_low = self.held.requests < self.average.requests * LOW_SHARE
            || self.held.tokens < self.average.tokens * LOW_SHARE;
        // After a refusal, the steward has nothing to grant.
        let is_refused = self
            .refused
            .is_some_and(|refused| now_ms < refused.until_ms);
        let is_running_low = is_running_low && !is_refused;
        let due = (self.is_busy() && (is_running_low || lease_ends))
            || self.returned != Amounts::default()
            || self.held.requests < 0.0
            || self.held.tokens < 0.0
            || self
                .emergency
                .as_ref()
                .is_some_and(EmergencyBudget::needs_report)
            || (self.in_flight > 0 && lease_ends);
        let request = due.then(|| self.budget_request(router, customer, None));
        self.spent = Amounts::default();
        self.peak_in_flight = self.in_flight;
        self.emergency
            .take_if(|emergency| emergency.is_unused(now_ms));
        request
    }

    /// Whether the rate of requests justifies the messages for leasing in advance.
    fn is_busy(&self) -> bool {
        self.expected_use().requests >= BUSY_REQUESTS
    }

    /// Expected use per period: the higher of the current period's and the average.
    fn expected_use(&self) -> Amounts {
        Amounts {
            requests: self.spent.requests.max(self.average.requests),
            tokens: self.spent.tokens.max(self.average.tokens),
        }
    }

    fn update_average(&mut self) {
        let average = |before: f64, spent: f64| (before + spent) / 2.0;
        self.average = if self.spent.requests > 0.0 {
            Amounts {
                requests: average(self.average.requests, self.spent.requests),
                tokens: average(self.average.tokens, self.spent.tokens),
            }
        } else {
            Amounts::default()
        };
    }

    /// Whether nothing is held, used or in flight, so that the budget can be dropped.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
            && self.held == Amounts::default()
            && self.returned == Amounts::default()
            && self.spent == Amounts::default()
            && self.emergency.is_none()
    }

    /// Decides while the steward does not answer; `None` if it does, or if it has not answered for
    /// too long.
    fn admit_in_emergency(
        &mut self,
        tokens: f64,
        limits: &Limits,
        now_ms: u64,
    ) -> Option<Admission> {
        let emergency = self.emergency.as_mut()?;
        if !emergency.is_in_use(now_ms) {
            return None;
        }
        Some(
            match emergency.try_admit(tokens, self.in_flight, limits, now_ms) {
                Ok(()) => {
                    self.start_request(tokens);
                    Admission::Admitted
                }
                Err(wait_ms) => Admission::Refused(Shortage::NoSteward {
                    retry_after_ms: wait_ms.max(NO_STEWARD_RETRY_MS),
                }),
            },
        )
    }

    /// Turns the amounts admitted in an emergency into a debt once the steward answers again.
    ///
    /// Requests sent while it does not answer carry no debt, since it may read many of them at
    /// once.
    fn charge_emergency_use(&mut self) {
        if let Some(emergency) = &mut self.emergency
            && !emergency.is_steward_unreachable()
        {
            let spent = emergency.take_unreported();
            self.held.requests -= spent.requests;
            self.held.tokens -= spent.tokens;
        }
    }

    /// Drops an expired lease, and returns everything if the contract has changed.
    fn refresh_lease(&mut self, limits: &Limits, now_ms: u64) {
        if self.limits.as_ref() != Some(limits) {
            self.limits = Some(limits.clone());
            self.give_all_back();
            self.refused = None;
        }
        self.drop_expired(now_ms);
    }

    /// Drops an expired lease; only debts remain.
    fn drop_expired(&mut self, now_ms: u64) {
        if now_ms < self.expires_ms {
            return;
        }
        self.held.requests = self.held.requests.min(0.0);
        self.held.tokens = self.held.tokens.min(0.0);
        self.returned = Amounts::default();
        self.slots = 0;
    }

    fn give_all_back(&mut self) {
        let spare = |amount: f64| amount.max(0.0);
        self.returned.requests += spare(self.held.requests);
        self.returned.tokens += spare(self.held.tokens);
        self.held.requests -= spare(self.held.requests);
        self.held.tokens -= spare(self.held.tokens);
        self.slots = 0;
    }

    fn start_request(&mut self, tokens: f64) {
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        self.spent.requests += 1.0;
        self.spent.tokens += tokens;
    }

    fn record_refusal(&mut self, shortage: Shortage, tokens: f64, now_ms: u64) {
        let kept_ms = shortage
            .retry_after_ms()
            .clamp(*REFUSAL_KEPT_MS.start(), *REFUSAL_KEPT_MS.end());
        self.refused = Some(CachedRefusal {
            shortage,
            tokens,
            until_ms: now_ms + kept_ms,
        });
    }
}

impl Shortage {
    /// The same shortage with another retry delay.
    fn with_retry_after(self, retry_after_ms: u64) -> Self {
        match self {
            Self::Rate { .. } => Self::Rate { retry_after_ms },
            Self::InFlight { .. } => Self::InFlight { retry_after_ms },
            Self::NoSteward { .. } => Self::NoSteward { retry_after_ms },
        }
    }

    /// Retry delay for the caller.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::Rate { retry_after_ms }
            | Self::InFlight { retry_after_ms }
            | Self::NoSteward { retry_after_ms } => retry_after_ms,
        }
    }
}
