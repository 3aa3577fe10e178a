//! Decides where a router reads a listing that it lacks: from another router or from the store.

use crate::Holder;

/// Reason for which a router reads a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingNeed {
    /// It has all changes, and a recent proof of that.
    Nothing,
    /// It lacks the listing, or a change that another router advertises.
    Content,
    /// It has all advertised changes, but no recent proof that there are no others.
    Proof,
}

/// Inputs of the decision where to read.
#[derive(Clone, Copy, Debug)]
pub struct ListingView<'a> {
    /// Reason for reading.
    pub need: ListingNeed,
    /// Whether this router is one of the few that keep watches open at the store.
    pub is_watcher: bool,
    /// Whether it has read the list of routers from the store.
    pub is_discovered: bool,
    /// Live routers that have the listing.
    pub holders: &'a [Holder],
    /// Number of other live routers.
    pub live: usize,
    /// Whether any router sent a heartbeat recently. An isolated router gains nothing by waiting.
    pub is_connected: bool,
    /// A random number below 1.
    pub draw: f64,
    /// Current time in milliseconds.
    pub now_ms: u64,
}

/// The next step of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingStep {
    /// Decide again at this time, or earlier when something changes.
    Wait {
        /// Latest time of the next decision, in milliseconds.
        until_ms: u64,
    },
    /// Ask another router.
    Peer(Holder),
    /// Ask the store.
    Store,
}

/// Decides where a router reads a listing, so that the load on the store grows with the number of
/// changes and not with the number of routers.
///
/// A missing change is read from a router that advertises it, and from the store only if that does
/// not succeed in time. Proofs are left to the watchers. If the watchers fail, a few of the other
/// routers probe the store after random delays, and the other routers receive the result from them.
#[derive(Clone, Debug, Default)]
pub struct ListingSource {
    need_start: Option<NeedStart>,
    /// No request to another router before this time.
    next_peer_ms: u64,
    /// No request to the store before this time.
    next_store_ms: u64,
    /// Number of requests to other routers, except those answered as busy.
    attempts: u32,
    /// Whether another router was too busy to answer.
    was_peer_busy: bool,
    /// Whether the store failed to answer.
    has_failed: bool,
    /// Whether other routers have the missing content.
    has_holders: bool,
}

/// A need and the time at which it arose.
#[derive(Clone, Copy, Debug)]
struct NeedStart {
    is_proof: bool,
    since_ms: u64,
}

impl ListingSource {
    /// Maximum number of requests to other routers before the store is asked.
    const MAX_PEER_ATTEMPTS: u32 = 4;
    /// Delay before the first request, in milliseconds per live router. Pushed changes arrive in
    /// the meantime, and the routers that have a change first are not asked by all others at once.
    const SPREAD_MS_PER_ROUTER: f64 = 0.5;
    /// Maximum of that delay in milliseconds.
    const MAX_SPREAD_MS: f64 = 150.0;
    /// Minimum delay after another router failed to answer, and the random range added to it, in
    /// milliseconds.
    const PEER_RETRY_MS: (u64, f64) = (40, 80.0);
    /// Time without the content after which the store is asked, in milliseconds.
    const PEER_LIMIT_MS: u64 = 700;
    /// The same limit while routers that have the content are busy.
    const BUSY_LIMIT_MS: u64 = 2_000;
    /// The same limit while no router is known to have the content, as when a whole fleet starts.
    const START_LIMIT_MS: u64 = 1_500;
    /// Probes of the store per second by all routers together while there is no proof.
    const PROBES_PER_S: f64 = 8.0;
    /// Minimum range of the random delay before a probe, in milliseconds.
    const MIN_PROBE_SPREAD_MS: f64 = 100.0;
    /// Minimum range of the random delay after the store failed to answer, in milliseconds.
    const MIN_STORE_RETRY_MS: f64 = 1_000.0;
    /// Interval of the decisions while nothing is needed, in milliseconds.
    const RECHECK_MS: u64 = 250;

    /// Returns the next step.
    pub fn step(&mut self, view: &ListingView<'_>) -> ListingStep {
        let now_ms = view.now_ms;
        if view.is_watcher && view.is_discovered {
            return ListingStep::Store;
        }
        if view.need == ListingNeed::Nothing {
            self.reset();
            return ListingStep::Wait {
                until_ms: now_ms + Self::RECHECK_MS,
            };
        }
        let since_ms = self.start_need(view);
        let discovers_until_ms = since_ms + Self::START_LIMIT_MS;
        if view.need == ListingNeed::Proof && !view.is_discovered && now_ms < discovers_until_ms {
            // The list of routers comes with the store's clock, without which proofs of other
            // routers cannot be used.
            return ListingStep::Wait {
                until_ms: discovers_until_ms,
            };
        }
        match view.need {
            ListingNeed::Proof if view.is_watcher => ListingStep::Store,
            ListingNeed::Content => self.content_step(view, since_ms),
            _ => self.proof_step(view),
        }
    }

    /// Records that another router failed to answer.
    pub fn record_peer_failure(&mut self, draw: f64, now_ms: u64) {
        let (min_ms, range_ms) = Self::PEER_RETRY_MS;
        self.next_peer_ms = now_ms + min_ms + (range_ms * draw) as u64;
    }

    /// Records that another router was too busy to answer. That does not count as a failed attempt:
    /// as more routers get the listing, one soon has capacity.
    pub fn record_peer_busy(&mut self, draw: f64, now_ms: u64) {
        self.attempts = self.attempts.saturating_sub(1);
        self.was_peer_busy = true;
        self.record_peer_failure(draw, now_ms);
    }

    /// Records that the store failed to answer. Other routers are asked again first, since they may
    /// have newer content by then.
    pub fn record_store_failure(&mut self, live: usize, draw: f64, now_ms: u64) {
        // A change that others have is missing only here and must be read within a bounded time.
        let range_ms = match self.has_holders {
            true => Self::MIN_STORE_RETRY_MS,
            false => Self::probe_spread_ms(live).max(Self::MIN_STORE_RETRY_MS),
        };
        self.next_store_ms = now_ms + (range_ms * (0.5 + draw)) as u64;
        self.attempts = 0;
        self.has_failed = true;
        if let Some(start) = &mut self.need_start {
            start.since_ms = now_ms;
        }
    }

    /// Records a successful answer: the next need starts from scratch.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn start_need(&mut self, view: &ListingView<'_>) -> u64 {
        let is_proof = view.need == ListingNeed::Proof;
        if let Some(start) = self.need_start
            && start.is_proof == is_proof
        {
            return start.since_ms;
        }
        let since_ms = view.now_ms;
        let peer_spread_ms = view.live as f64 * Self::SPREAD_MS_PER_ROUTER;
        let peer_delay_ms = peer_spread_ms.min(Self::MAX_SPREAD_MS) * view.draw;
        // Routers without a known holder may all be waiting for the same few routers; a random
        // delay spreads their calls to the store.
        let store_delay_ms = Self::probe_spread_ms(view.live) * view.draw;
        let first_store_ms = match is_proof {
            true => since_ms,
            false => since_ms + Self::START_LIMIT_MS,
        };
        *self = Self {
            need_start: Some(NeedStart { is_proof, since_ms }),
            next_peer_ms: since_ms + peer_delay_ms as u64,
            next_store_ms: first_store_ms + store_delay_ms as u64,
            ..Self::default()
        };
        since_ms
    }

    fn content_step(&mut self, view: &ListingView<'_>, since_ms: u64) -> ListingStep {
        self.has_holders = !view.holders.is_empty();
        if !self.has_holders {
            return self.wait_or_store(self.next_store_ms, view.now_ms);
        }
        if view.now_ms < self.next_peer_ms {
            let until_ms = self.next_peer_ms;
            return ListingStep::Wait { until_ms };
        }
        let limit_ms = match self.was_peer_busy {
            true => Self::BUSY_LIMIT_MS,
            false => Self::PEER_LIMIT_MS,
        };
        let has_asked = self.attempts > 0 || self.was_peer_busy;
        let is_late = has_asked && view.now_ms >= since_ms + limit_ms;
        let may_ask_store = !self.has_failed || view.now_ms >= self.next_store_ms;
        let may_ask_peer = self.attempts < Self::MAX_PEER_ATTEMPTS && !is_late;
        if may_ask_store && !may_ask_peer {
            return ListingStep::Store;
        }
        // While the store fails, keep asking other routers: a busy one may become free.
        self.attempts += 1;
        ListingStep::Peer(Self::pick_holder(view))
    }

    fn proof_step(&self, view: &ListingView<'_>) -> ListingStep {
        let is_isolated = !view.is_connected && !self.has_failed;
        match is_isolated {
            true => ListingStep::Store,
            false => self.wait_or_store(self.next_store_ms, view.now_ms),
        }
    }

    fn wait_or_store(&self, until_ms: u64, now_ms: u64) -> ListingStep {
        match now_ms >= until_ms {
            true => ListingStep::Store,
            false => ListingStep::Wait { until_ms },
        }
    }

    /// Picks a random holder, from the own availability zone if it has any.
    fn pick_holder(view: &ListingView<'_>) -> Holder {
        let near = view
            .holders
            .iter()
            .filter(|holder| holder.is_same_zone)
            .count();
        let count = match near {
            0 => view.holders.len(),
            near => near,
        };
        let index = ((view.draw * count as f64) as usize).min(count - 1);
        let candidates = view
            .holders
            .iter()
            .filter(|holder| near == 0 || holder.is_same_zone);
        let mut candidates = candidates.skip(index);
        // There are `count` candidates, and the index is below that.
        *candidates.next().unwrap_or(&view.holders[0])
    }

    fn probe_spread_ms(live: usize) -> f64 {
        (live as f64 * 1_000.0 / Self::PROBES_PER_S).max(Self::MIN_PROBE_SPREAD_MS)
    }
}
