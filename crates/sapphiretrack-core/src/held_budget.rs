//! What one router holds of a customer's budget, and what it may admit with it.

use std::ops::RangeInclusive;

use crate::budget::{Amounts, BUDGET_LEASE_MS, BudgetAsk, BudgetGrant, Needed};
use crate::emergency::{EmergencyBudget, EmergencyPart};
use crate::{Limits, RouterId};

/// The holder stops this much before the steward forgets the lease.
const LEASE_MARGIN_MS: u64 = 200;
/// How much more than it spent in the last period a router asks to hold ahead.
const AHEAD_FACTOR: f64 = 1.25;
/// Requests in a period from which on a router holds a chunk ahead; below, it asks for each.
const BUSY_REQUESTS: f64 = 2.0;
/// A busy router renews early when it has less than this part of a period's requests left.
const LOW_SHARE: f64 = 0.5;
/// A lease is renewed when it has no more than this left.
const RENEW_BEFORE_END_MS: u64 = 600;
/// How long a refusal is repeated without asking the steward again: for as long as the steward
/// says, within these bounds.
const REFUSAL_KEPT_MS: RangeInclusive<u64> = 200..=400;
/// When to come back if the steward did not answer.
pub const NO_STEWARD_RETRY_MS: u64 = 250;

/// What may become of a request on this router alone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run; it counts as in flight until [`HeldBudget::leave`].
    Admitted,
    /// The steward has to be asked.
    Ask,
    /// It is refused.
    Refused(Shortage),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// A rate is used up.
    Rate {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Too many requests are in flight.
    InFlight {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The steward did not answer.
    NoSteward {
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// What one router holds of one customer's budget.
#[derive(Clone, Debug, Default)]
pub struct HeldBudget {
    limits: Option<Limits>,
    held: Amounts,
    returned: Amounts,
    slots: u32,
    in_flight: u32,
    peak_in_flight: u32,
    spent: Amounts,
    /// What was spent in a period of late; nothing after one without requests.
    usual: Amounts,
    sequence: u64,
    expires_ms: u64,
    refused: Option<Refused>,
    /// The steward that answered last.
    steward: Option<RouterId>,
    emergency: Option<EmergencyBudget>,
}

/// The steward's last refusal, kept for a moment so that a surge does not ask for each request.
#[derive(Clone, Copy, Debug)]
struct Refused {
    shortage: Shortage,
    tokens: f64,
    until_ms: u64,
}

impl HeldBudget {
    /// Nothing held; `first_sequence` has to be above that of an earlier run of this router.
    pub fn new(first_sequence: u64) -> Self {
        Self {
            sequence: first_sequence,
            ..Self::default()
        }
    }

    /// Decides on a request with what is held.
    pub fn try_admit(&mut self, tokens: f64, limits: &Limits, now_ms: u64) -> Admission {
        self.settle(limits, now_ms);
        let enough = self.held.requests >= 1.0 && self.held.tokens >= tokens;
        if enough && self.in_flight < self.slots {
            self.held.requests -= 1.0;
            self.held.tokens -= tokens;
            self.begin(tokens);
            return Admission::Admitted;
        }
        if let Some(admission) = self.admit_in_emergency(tokens, limits, now_ms) {
            return admission;
        }
        match self.refused {
            // A smaller request may have better luck.
            Some(refused) if now_ms < refused.until_ms && tokens >= refused.tokens => {
                Admission::Refused(refused.shortage.in_ms(refused.until_ms - now_ms))
            }
            _ => Admission::Ask,
        }
    }

    /// The question to the steward, for a waiting request's tokens or only to renew.
    pub fn ask(&mut self, router: RouterId, customer: &str, need_tokens: Option<f64>) -> BudgetAsk {
        self.sequence += 1;
        self.take_over_emergency();
        let returned = std::mem::take(&mut self.returned);
        let factor = if self.is_busy() { AHEAD_FACTOR } else { 0.0 };
        let wanted = |pace: f64, held: f64| (pace * factor - held.max(0.0)).max(0.0).ceil();
        let pace = self.pace();
        let ahead = Amounts {
            requests: wanted(pace.requests, self.held.requests),
            tokens: wanted(pace.tokens, self.held.tokens),
        };
        BudgetAsk {
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

    /// Takes the steward's answer to a question that was asked at `asked_ms`.
    ///
    /// The lease counts from before the question, so it never outlives the steward's.
    pub fn take_grant(
        &mut self,
        grant: &BudgetGrant,
        need_tokens: f64,
        asked_ms: u64,
        now_ms: u64,
    ) -> Result<(), Shortage> {
        if let Some(emergency) = &mut self.emergency {
            emergency.end_silence();
        }
        self.held.requests += grant.added.requests;
        self.held.tokens += grant.added.tokens;
        self.slots = grant.slots;
        self.expires_ms = asked_ms + BUDGET_LEASE_MS - LEASE_MARGIN_MS;
        let mut refused_tokens = 0.0;
        let shortage = match grant.need {
            Needed::Nothing => return Ok(()),
            Needed::Admitted => {
                self.refused = None;
                self.begin(need_tokens);
                return Ok(());
            }
            Needed::RateUsedUp {
                retry_after_ms,
                any_size,
            } => {
                if !any_size {
                    refused_tokens = need_tokens;
                }
                Shortage::Rate { retry_after_ms }
            }
            Needed::SlotsUsedUp { retry_after_ms } => Shortage::InFlight { retry_after_ms },
        };
        self.refuse(shortage, refused_tokens, now_ms);
        Err(shortage)
    }

    /// Notes who answers. Another steward is not told of what was admitted without one: its bucket
    /// starts with an eighth and lacks the time of the silence.
    pub fn answered_by(&mut self, steward: RouterId) {
        if self.steward.replace(steward) != Some(steward)
            && let Some(emergency) = &mut self.emergency
        {
            let _not_told = emergency.take_spent();
        }
    }

    /// Notes that the steward did not answer; for a bounded time [`Self::try_admit`] then decides
    /// with this router's part of the emergency share.
    pub fn no_steward(&mut self, part: EmergencyPart, limits: &Limits, now_ms: u64) {
        self.emergency
            .get_or_insert_with(|| EmergencyBudget::new(part, limits, now_ms))
            .note_silence(part, limits, now_ms);
        let shortage = Shortage::NoSteward {
            retry_after_ms: NO_STEWARD_RETRY_MS,
        };
        self.refuse(shortage, 0.0, now_ms);
    }

    /// Counts tokens that a request used beyond its estimate.
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

    /// Lets a request out.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // A place came free here: ask again rather than refuse.
        self.refused = self
            .refused
            .filter(|refused| !matches!(refused.shortage, Shortage::InFlight { .. }));
    }

    /// Ends a period: what was not used in it goes back. Returns the question that renews the
    /// lease, if there is a reason for one.
    pub fn end_period(
        &mut self,
        router: RouterId,
        customer: &str,
        limits: &Limits,
        now_ms: u64,
    ) -> Option<BudgetAsk> {
        self.settle(limits, now_ms);
        self.note_pace();
        if !self.is_busy() {
            self.give_all_back();
        }
        // What only runs or lies ready is told just often enough that the steward goes on counting.
        let lease_ends = now_ms + RENEW_BEFORE_END_MS >= self.expires_ms;
        let is_low = self.held.requests < self.usual.requests * LOW_SHARE
            || self.held.tokens < self.usual.tokens * LOW_SHARE;
        // After a refusal there is nothing to have.
        let is_refused = self
            .refused
            .is_some_and(|refused| now_ms < refused.until_ms);
        let is_low = is_low && !is_refused;
        let due = (self.is_busy() && (is_low || lease_ends))
            || self.returned != Amounts::default()
            || self.held.requests < 0.0
            || self.held.tokens < 0.0
            || self
                .emergency
                .as_ref()
                .is_some_and(EmergencyBudget::has_news)
            || (self.in_flight > 0 && lease_ends);
        let ask = due.then(|| self.ask(router, customer, None));
        self.spent = Amounts::default();
        self.peak_in_flight = self.in_flight;
        self.emergency
            .take_if(|emergency| emergency.is_unused(now_ms));
        ask
    }

    /// Whether a chunk ahead is worth its messages.
    fn is_busy(&self) -> bool {
        self.pace().requests >= BUSY_REQUESTS
    }

    /// What a period takes.
    fn pace(&self) -> Amounts {
        Amounts {
            requests: self.spent.requests.max(self.usual.requests),
            tokens: self.spent.tokens.max(self.usual.tokens),
        }
    }

    fn note_pace(&mut self) {
        let usual = |before: f64, spent: f64| (before + spent) / 2.0;
        self.usual = if self.spent.requests > 0.0 {
            Amounts {
                requests: usual(self.usual.requests, self.spent.requests),
                tokens: usual(self.usual.tokens, self.spent.tokens),
            }
        } else {
            Amounts::default()
        };
    }

    /// Whether nothing is held and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
            && self.held == Amounts::default()
            && self.returned == Amounts::default()
            && self.spent == Amounts::default()
            && self.emergency.is_none()
    }

    /// Decides while the steward does not answer; none if it does, or is missed for too long.
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
                    self.begin(tokens);
                    Admission::Admitted
                }
                Err(wait_ms) => Admission::Refused(Shortage::NoSteward {
                    retry_after_ms: wait_ms.max(NO_STEWARD_RETRY_MS),
                }),
            },
        )
    }

    /// Once the steward answers again, what was admitted without it becomes a debt. Questions that
    /// only find out whether it answers carry none: it may read many of them at once.
    fn take_over_emergency(&mut self) {
        if let Some(emergency) = &mut self.emergency
            && !emergency.is_silent()
        {
            let spent = emergency.take_spent();
            self.held.requests -= spent.requests;
            self.held.tokens -= spent.tokens;
        }
    }

    /// Drops what is no longer the router's: after the lease, or when the contract has changed.
    fn settle(&mut self, limits: &Limits, now_ms: u64) {
        if self.limits.as_ref() != Some(limits) {
            self.limits = Some(limits.clone());
            self.give_all_back();
            self.refused = None;
        }
        self.drop_expired(now_ms);
    }

    /// After the lease only what was used too much is left.
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

    fn begin(&mut self, tokens: f64) {
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        self.spent.requests += 1.0;
        self.spent.tokens += tokens;
    }

    fn refuse(&mut self, shortage: Shortage, tokens: f64, now_ms: u64) {
        let kept_ms = shortage
            .retry_after_ms()
            .clamp(*REFUSAL_KEPT_MS.start(), *REFUSAL_KEPT_MS.end());
        self.refused = Some(Refused {
            shortage,
            tokens,
            until_ms: now_ms + kept_ms,
        });
    }
}

impl Shortage {
    /// The same, to come back after `retry_after_ms` at the earliest.
    fn in_ms(self, retry_after_ms: u64) -> Self {
        match self {
            Self::Rate { .. } => Self::Rate { retry_after_ms },
            Self::InFlight { .. } => Self::InFlight { retry_after_ms },
            Self::NoSteward { .. } => Self::NoSteward { retry_after_ms },
        }
    }

    /// When to come back.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::Rate { retry_after_ms }
            | Self::InFlight { retry_after_ms }
            | Self::NoSteward { retry_after_ms } => retry_after_ms,
        }
    }
}
