//! Assigns the slots of a service with few slots to the requests of all routers, as the scheduler
//! of the service.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::expected_returns::ExpectedReturns;
use crate::fair_queue::{QueueKey, QueuedRequest};
use crate::slot_routers::Ticket;
use crate::slot_state::SlotState;
use crate::{Incarnation, SlotReply, SlotUpdate};

/// Settings of [`SlotQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotQueueSettings {
    /// Service time that is assumed until the first request ended, in milliseconds.
    pub default_service_ms: u64,
    /// How long a router may use a grant, in milliseconds.
    pub grant_valid_ms: u64,
    /// Time after the end of its validity for which a grant occupies its slot, in milliseconds: the
    /// router may have used it in the last moment.
    pub grant_grace_ms: u64,
    /// Time after which a router without updates is forgotten, in milliseconds.
    pub router_silent_ms: u64,
    /// Time without a due decision after which the scheduler was paused, in milliseconds.
    pub max_gap_ms: u64,
    /// Time in milliseconds in which a new or resumed queue collects updates before slots are
    /// assigned. With the time after which the former scheduler counts as silent it is less than
    /// usual objectives.
    pub settle_ms: u64,
    /// Time in milliseconds after which decisions that a router has not acted on are sent again.
    pub resend_ms: u64,
    /// Requests per slot that are kept in the queue even if they will be late, so that slots do not
    /// become idle where requests take longer than their objective. With one per slot, requests of
    /// half their objective wait for a whole service time under overload, and half of them are late.
    pub kept_per_slot: f64,
    /// Minimum retry delay, in milliseconds.
    pub min_retry_ms: u64,
    /// Maximum number of routers, and of waiting and of held requests of each. More are ignored.
    pub max_entries: usize,
}

impl Default for SlotQueueSettings {
    fn default() -> Self {
        Self {
            default_service_ms: 30,
            grant_valid_ms: 250,
            grant_grace_ms: 50,
            router_silent_ms: 500,
            max_gap_ms: 350,
            settle_ms: 50,
            resend_ms: 25,
            kept_per_slot: 1.0 / 3.0,
            min_retry_ms: 200,
            max_entries: 4_096,
        }
    }
}

/// Statistics of a [`SlotQueue`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotQueueStats {
    /// Routers with a recent update.
    pub routers: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Slots that are occupied, including granted ones that no router has listed as held yet.
    pub occupied: usize,
    /// Grants since the start.
    pub granted_total: u64,
    /// Refusals since the start.
    pub refused_total: u64,
    /// Number of times that the state was discarded after a pause.
    pub pauses_total: u64,
    /// Estimated time from sending a request to the end of its answer, in milliseconds.
    pub service_ms: u64,
    /// Windows and occupied slots by server.
    pub windows: Vec<(Incarnation, u32, u32)>,
}

/// The queue of a service, at its scheduler.
///
/// All state comes from the last update of each router, plus the decisions on the tickets that it
/// lists; so the memory is bounded by what routers have waiting and running.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    settings: SlotQueueSettings,
    state: SlotState,
    /// Routers that get a reply with the next decision.
    unanswered: BTreeSet<SocketAddr>,
    /// When decisions are sent again unless the router has acted on them.
    resends: VecDeque<(u64, SocketAddr)>,
    /// When grants end, in order.
    grant_ends: VecDeque<(u64, SocketAddr, u64)>,
    returns: ExpectedReturns,
    /// Last call of `decide`, or the first update after idle time.
    decided_ms: u64,
    /// No slots are assigned and no requests refused before; `None` until the first update.
    settled_ms: Option<u64>,
    /// When requests that become late are looked for again.
    checked_ms: u64,
    swept_ms: u64,
    granted_total: u64,
    refused_total: u64,
    pauses_total: u64,
}

impl SlotQueue {
    /// Maximum time between decisions while requests wait, in milliseconds: waiting requests become
    /// late as time passes.
    const CHECK_MS: u64 = 10;
    /// Time between searches for silent routers, in milliseconds.
    const SWEEP_MS: u64 = 25;
    /// Maximum time between decisions while slots are occupied, in milliseconds.
    const IDLE_CHECK_MS: u64 = 100;
    /// Waiting requests that are checked for lateness per millisecond on average. Bounds the cost of
    /// decisions when the queue is long.
    const CHECKED_PER_MS: u64 = 100;
    /// Deviations of the service time that a request needs to be on time beyond the mean.
    const MARGIN_DEVIATIONS: f64 = 2.0;
    /// Callers honour a retry delay up to this part of the time that they still wait.
    const MAX_RETRY_PART: u64 = 3;

    /// Returns an empty queue without servers.
    pub fn new(settings: SlotQueueSettings) -> Self {
        Self {
            settings,
            state: SlotState::new(settings),
            unanswered: BTreeSet::new(),
            resends: VecDeque::new(),
            grant_ends: VecDeque::new(),
            returns: ExpectedReturns::default(),
            decided_ms: 0,
            settled_ms: None,
            checked_ms: 0,
            swept_ms: 0,
            granted_total: 0,
            refused_total: 0,
            pauses_total: 0,
        }
    }

    /// The servers that may receive requests now, and their slots.
    pub fn set_servers(&mut self, servers: &[(Incarnation, u32)], now_ms: u64) {
        self.discard_after_pause(now_ms);
        self.state.servers.set_listed(servers);
        self.state.requeue_unlisted(now_ms);
    }

    /// Applies an update; one that is older than the last of its run is ignored.
    pub fn record_update(&mut self, from: SocketAddr, update: &SlotUpdate, now_ms: u64) {
        self.discard_after_pause(now_ms);
        if self.is_idle() {
            self.decided_ms = now_ms;
        }
        let settle_ms = self.settings.settle_ms;
        self.settled_ms.get_or_insert(now_ms + settle_ms);
        if self.state.apply(from, update, now_ms) {
            self.unanswered.insert(from);
        }
    }

    /// Assigns slots and refuses requests; returns one reply for each router that has a new decision
    /// or an update without a reply.
    pub fn decide(&mut self, now_ms: u64) -> Vec<(SocketAddr, SlotReply)> {
        self.discard_after_pause(now_ms);
        self.decided_ms = now_ms;
        self.sweep(now_ms);
        self.end_grants(now_ms);
        if self
            .settled_ms
            .is_some_and(|settled_ms| now_ms >= settled_ms)
        {
            self.assign(now_ms);
        }
        while let Some((due_ms, address)) = self.resends.front().copied()
            && due_ms <= now_ms
        {
            self.resends.pop_front();
            if let Some(router) = self.state.routers.get_mut(&address)
                && router.resend_ms == Some(due_ms)
            {
                router.resend_ms = None;
                if router.has_decisions() {
                    router.resends_left -= 1;
                    self.unanswered.insert(address);
                }
            }
        }
        let unanswered = std::mem::take(&mut self.unanswered);
        let replies = unanswered.into_iter().filter_map(|address| {
            let router = self.state.routers.get_mut(&address)?;
            let reply = router.reply(self.settings.grant_valid_ms, now_ms);
            let has_decisions = !reply.granted.is_empty() || !reply.refused.is_empty();
            if has_decisions && router.resend_ms.is_none() && router.resends_left > 0 {
                let due_ms = now_ms + self.settings.resend_ms;
                router.resend_ms = Some(due_ms);
                self.resends.push_back((due_ms, address));
            }
            Some((address, reply))
        });
        replies.collect()
    }

    /// The time until `decide` has to be called if no further update arrives; none if nothing is
    /// waiting or held.
    pub fn next_decision_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.unanswered.is_empty() {
            return Some(0);
        }
        let period_ms = match self.state.queue.len() {
            0 => Self::IDLE_CHECK_MS,
            _ => Self::CHECK_MS,
        };
        let next_ms = (!self.is_idle()).then_some(self.decided_ms + period_ms);
        let settled_ms = self
            .settled_ms
            .filter(|settled_ms| self.decided_ms < *settled_ms);
        let settled_ms = settled_ms.filter(|_| self.state.queue.len() > 0);
        let resend_ms = self.resends.front().map(|(due_ms, _)| *due_ms);
        let times_ms = [next_ms, resend_ms, settled_ms];
        let first_ms = times_ms.into_iter().flatten().min()?;
        Some(first_ms.saturating_sub(now_ms))
    }

    /// Statistics for operators: lengths, refusals, windows.
    pub fn stats(&self) -> SlotQueueStats {
        SlotQueueStats {
            routers: self.state.routers.len(),
            waiting: self.state.queue.len(),
            occupied: self.state.servers.occupied_count(),
            granted_total: self.granted_total,
            refused_total: self.refused_total,
            pauses_total: self.pauses_total,
            service_ms: self.state.servers.service_ms() as u64,
            windows: self.state.servers.windows().collect(),
        }
    }

    fn is_idle(&self) -> bool {
        self.state.queue.len() == 0
            && self.state.servers.occupied_count() == 0
            && self.unanswered.is_empty()
    }

    /// Discards all state of routers if due decisions were not made for some time: it describes the
    /// time before.
    fn discard_after_pause(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.decided_ms);
        if self.is_idle() || gap_ms < self.settings.max_gap_ms {
            return;
        }
        let listed: Vec<_> = self.state.servers.listed().collect();
        let mut state = SlotState::new(self.settings);
        state.servers.set_listed(&listed);
        *self = Self {
            state,
            decided_ms: now_ms,
            settled_ms: Some(now_ms + self.settings.settle_ms),
            granted_total: self.granted_total,
            refused_total: self.refused_total,
            pauses_total: self.pauses_total + 1,
            ..Self::new(self.settings)
        };
    }

    /// Grants free slots in the order of the queue, and refuses requests whose turn comes too late.
    fn assign(&mut self, now_ms: u64) {
        let slots: u32 = self.state.servers.listed().map(|(_, slots)| slots).sum();
        let kept = (f64::from(slots) * self.settings.kept_per_slot).ceil() as u32;
        let mut free = self.state.servers.free_slots();
        let is_check = now_ms >= self.checked_ms;
        if self.state.queue.len() == 0 || (free == 0 && !is_check) {
            return;
        }
        let cycle_ms = self.state.servers.cycle_ms();
        let per_slot_ms = self.state.servers.per_slot_ms();
        let needed_ms = cycle_ms + Self::MARGIN_DEVIATIONS * self.state.servers.deviation_ms();
        let mut planned = self.state.servers.clone();
        let (mut granted, mut refused, mut position) = (Vec::new(), Vec::new(), 0);
        let mut returned = Vec::new();
        let mut order = self.state.queue.order(cycle_ms, now_ms);
        while let Some((key, request)) = order.next() {
            if free > 0
                && let Some(server) = planned.choose(&request.excluded)
            {
                planned.occupy(server);
                free -= 1;
                granted.push((key, server));
                continue;
            }
            if !is_check && free == 0 {
                break;
            }
            let starts_ms = f64::from(position + 1) * per_slot_ms;
            let objective_left_ms = request.objective_ms.saturating_sub(now_ms) as f64;
            let left_ms = request.deadline_ms.saturating_sub(now_ms) as f64;
            let is_late = position >= kept && starts_ms + needed_ms > objective_left_ms;
            if !self.state.servers.has_server_for(&request.excluded) {
                // The router may list other servers than this scheduler.
                returned.push(key);
                order.skip_last();
            } else if is_late || starts_ms + cycle_ms > left_ms {
                refused.push(key);
                order.skip_last();
            } else {
                position += 1;
            }
        }
        drop(order);
        for (key, server) in granted {
            self.grant(key, server, now_ms);
        }
        for key in returned {
            self.return_to_router(key);
        }
        // All are removed first, since the delays count those that remain in the queue.
        let refused = refused.into_iter();
        let refused = refused.filter_map(|key| self.state.queue.remove(key));
        for request in refused.collect::<Vec<_>>() {
            self.refuse(&request, now_ms);
        }
        if is_check {
            self.checked_ms = now_ms + self.state.queue.len() as u64 / Self::CHECKED_PER_MS;
        }
    }

    fn grant(&mut self, key: QueueKey, server: u64, now_ms: u64) {
        let Some((router, ticket)) = self.state.grant(key, server, now_ms) else {
            return;
        };
        self.granted_total += 1;
        self.unanswered.insert(router);
        let end_ms = now_ms + self.grant_lasts_ms();
        self.grant_ends.push_back((end_ms, router, ticket));
    }

    fn refuse(&mut self, request: &QueuedRequest, now_ms: u64) {
        let ahead = self.state.queue.len() as u64 + self.returns.count(now_ms) + 1;
        let delay_ms = (ahead as f64 * self.state.servers.per_slot_ms()) as u64;
        let delay_ms = delay_ms.max(self.settings.min_retry_ms);
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let delay_ms = delay_ms.min(left_ms / Self::MAX_RETRY_PART);
        let delay_ms = delay_ms.max(u64::from(SlotReply::PLACE_UNSCHEDULED_MS) + 1);
        self.returns.record(now_ms + delay_ms);
        self.refused_total += 1;
        self.unanswered.insert(request.router);
        if let Some(router) = self.state.routers.get_mut(&request.router) {
            let retry_ms = u32::try_from(delay_ms).unwrap_or(u32::MAX);
            router.decide(request.ticket, Ticket::Refused { retry_ms });
        }
    }

    /// Leaves the placement of a request to its router.
    fn return_to_router(&mut self, key: QueueKey) {
        let Some(request) = self.state.queue.remove(key) else {
            return;
        };
        self.unanswered.insert(request.router);
        if let Some(router) = self.state.routers.get_mut(&request.router) {
            let retry_ms = SlotReply::PLACE_UNSCHEDULED_MS;
            router.decide(request.ticket, Ticket::Refused { retry_ms });
        }
    }

    fn grant_lasts_ms(&self) -> u64 {
        self.settings.grant_valid_ms + self.settings.grant_grace_ms
    }

    /// Drops grants that no router has used.
    fn end_grants(&mut self, now_ms: u64) {
        let lasts_ms = self.grant_lasts_ms();
        while let Some((end_ms, router, ticket)) = self.grant_ends.front().copied()
            && end_ms <= now_ms
        {
            self.grant_ends.pop_front();
            self.state.end_grant(router, ticket, lasts_ms, now_ms);
        }
    }

    /// Forgets silent routers and workspaces without usage.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms >= self.swept_ms + Self::SWEEP_MS {
            self.swept_ms = now_ms;
            let silent_ms = self.settings.router_silent_ms;
            self.state.remove_silent(silent_ms, now_ms);
            self.state.queue.remove_unused(now_ms);
        }
    }
}
