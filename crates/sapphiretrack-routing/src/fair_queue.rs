//! The order in which requests waiting for a slot are served: by priority, by what their workspaces
//! used recently, first come, first served.

use std::cmp::{Ordering, Reverse};
use std::collections::btree_map::Range;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

use crate::WaitingRequest;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    /// Router that it waits at.
    pub(crate) router: SocketAddr,
    /// Its ticket there.
    pub(crate) ticket: u64,
    /// Hash of its workspace's name.
    pub(crate) workspace: u64,
    /// Priority; 0 is the highest.
    pub(crate) priority: u8,
    /// When its objective passes.
    pub(crate) objective_ms: u64,
    /// When its deadline passes.
    pub(crate) deadline_ms: u64,
    /// Tags of the servers that it must not be sent to.
    pub(crate) excluded: Vec<u32>,
}

impl QueuedRequest {
    pub(crate) fn new(router: SocketAddr, request: &WaitingRequest, now_ms: u64) -> Self {
        Self {
            router,
            ticket: request.ticket,
            workspace: request.workspace,
            priority: request.priority,
            objective_ms: now_ms + u64::from(request.objective_left_ms),
            deadline_ms: now_ms + u64::from(request.left_ms),
            excluded: request.excluded.clone(),
        }
    }
}

/// Place of a request in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct QueueKey {
    pub(crate) priority: u8,
    pub(crate) workspace: u64,
    pub(crate) arrival: u64,
}

/// Requests that wait for a slot.
///
/// Of the slots that become free while requests of several priorities wait, a
/// [`LOWER_SHARE`](Self::LOWER_SHARE) goes to priorities below the highest waiting one, in turn, so
/// that none starves. All others go to the highest.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Requests by priority, workspace and order of arrival.
    classes: BTreeMap<u8, HashMap<u64, BTreeMap<u64, QueuedRequest>>>,
    usages: HashMap<u64, Usage>,
    len: usize,
    last_arrival: u64,
    turns: Turns,
}

/// Which priority is served next.
#[derive(Clone, Debug, Default)]
struct Turns {
    /// Part of a slot that is due to priorities below the highest waiting one.
    lower_credit: f64,
    /// Number of grants, and the last grant of each priority among them.
    grants: u64,
    last_grants: BTreeMap<u8, u64>,
}

/// Slot time that a workspace used recently.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Decayed slot time up to `updated_ms`.
    used_ms: f64,
    updated_ms: u64,
    /// Slots that it has now.
    running: u32,
}

impl Usage {
    /// Returns the decayed slot time up to now, including that of running requests.
    fn used_ms(&self, constant_ms: f64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / constant_ms).exp();
        self.used_ms * decay + f64::from(self.running) * constant_ms * (1.0 - decay)
    }

    fn advance(&mut self, now_ms: u64) {
        self.used_ms = self.used_ms(FairQueue::USAGE_CONSTANT_MS, now_ms);
        self.updated_ms = now_ms.max(self.updated_ms);
    }
}

impl Turns {
    fn is_lower_due(&self) -> bool {
        self.lower_credit >= 1.0
    }

    /// Chooses among waiting priorities, which are in ascending order.
    fn choose<Priorities>(&self, mut priorities: Priorities) -> Option<u8>
    where
        Priorities: Iterator<Item = u8>,
    {
        let highest = priorities.next()?;
        if !self.is_lower_due() {
            return Some(highest);
        }
        let last_grant = |priority: &u8| self.last_grants.get(priority).copied();
        priorities.min_by_key(last_grant).or(Some(highest))
    }

    /// Records a grant. The credit also accrues while nothing of a lower priority waits, up to one
    /// slot: where a low priority is refused, none of it would be waiting when its turn comes.
    fn record(&mut self, priority: u8, is_highest: bool) {
        self.grants += 1;
        self.last_grants.insert(priority, self.grants);
        self.lower_credit = match is_highest {
            true => (self.lower_credit + FairQueue::LOWER_SHARE).min(1.0),
            false => (self.lower_credit - 1.0).max(0.0),
        };
    }
}

impl FairQueue {
    /// Time constant with which used slot time decays, in milliseconds.
    const USAGE_CONSTANT_MS: f64 = 2_000.0;
    /// Share of the slots that goes to priorities below the highest waiting one.
    pub(crate) const LOWER_SHARE: f64 = 1.0 / 16.0;
    /// Decayed slot time below which a workspace is forgotten, in milliseconds.
    const NEGLIGIBLE_MS: f64 = 1.0;

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, request: QueuedRequest) -> QueueKey {
        self.last_arrival += 1;
        let key = QueueKey {
            priority: request.priority,
            workspace: request.workspace,
            arrival: self.last_arrival,
        };
        self.restore(key, request);
        key
    }

    /// Puts a request back at its former place.
    pub(crate) fn restore(&mut self, key: QueueKey, request: QueuedRequest) {
        let class = self.classes.entry(key.priority).or_default();
        let requests = class.entry(key.workspace).or_default();
        if requests.insert(key.arrival, request).is_none() {
            self.len += 1;
        }
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<QueuedRequest> {
        let class = self.classes.get_mut(&key.priority)?;
        let requests = class.get_mut(&key.workspace)?;
        let request = requests.remove(&key.arrival)?;
        self.len -= 1;
        if requests.is_empty() {
            class.remove(&key.workspace);
        }
        if class.is_empty() {
            self.classes.remove(&key.priority);
        }
        Some(request)
    }

    /// Records that a request gets a slot, before it is removed.
    pub(crate) fn record_grant(&mut self, key: QueueKey) {
        let highest = self.classes.keys().next();
        let is_highest = highest.is_none_or(|highest| key.priority <= *highest);
        self.turns.record(key.priority, is_highest);
    }

    /// Records that a workspace has one more slot.
    pub(crate) fn record_start(&mut self, workspace: u64, now_ms: u64) {
        let usage = self.usages.entry(workspace).or_default();
        usage.advance(now_ms);
        usage.running += 1;
    }

    /// Records that a workspace has one slot less.
    pub(crate) fn record_end(&mut self, workspace: u64, now_ms: u64) {
        if let Some(usage) = self.usages.get_mut(&workspace) {
            usage.advance(now_ms);
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Forgets workspaces whose usage has decayed.
    pub(crate) fn remove_unused(&mut self, now_ms: u64) {
        self.usages.retain(|_, usage| {
            let used_ms = usage.used_ms(Self::USAGE_CONSTANT_MS, now_ms);
            usage.running > 0 || used_ms >= Self::NEGLIGIBLE_MS
        });
    }

    /// Returns the waiting requests in the order in which they will be served, if each occupies its
    /// slot for `service_ms`. Running requests count with that time as well, since most of their
    /// usage is still to come.
    pub(crate) fn order(&self, service_ms: f64, now_ms: u64) -> ServiceOrder<'_> {
        let used_ms = |workspace: &u64| {
            let usage = self.usages.get(workspace);
            usage.map_or(0.0, |usage| {
                let running_ms = f64::from(usage.running) * service_ms;
                usage.used_ms(Self::USAGE_CONSTANT_MS, now_ms) + running_ms
            })
        };
        let mut classes = BTreeMap::new();
        for (priority, workspaces) in &self.classes {
            let heads = workspaces.iter().filter_map(|(workspace, requests)| {
                let mut rest = requests.range(..);
                let (arrival, request) = rest.next()?;
                Some(Reverse(Head {
                    used_ms: used_ms(workspace),
                    arrival: *arrival,
                    request,
                    rest,
                }))
            });
            classes.insert(*priority, heads.collect::<BinaryHeap<_>>());
        }
        ServiceOrder {
            classes,
            turns: self.turns.clone(),
            service_ms,
            last: None,
        }
    }
}

/// The first request of a workspace that is not in the order yet.
struct Head<'a> {
    used_ms: f64,
    arrival: u64,
    request: &'a QueuedRequest,
    rest: Range<'a, u64, QueuedRequest>,
}

impl Ord for Head<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_usage = self.used_ms.total_cmp(&other.used_ms);
        by_usage.then(self.arrival.cmp(&other.arrival))
    }
}

impl PartialOrd for Head<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for Head<'_> {}

impl PartialEq for Head<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// Waiting requests in the order in which they will be served.
pub(crate) struct ServiceOrder<'a> {
    classes: BTreeMap<u8, BinaryHeap<Reverse<Head<'a>>>>,
    turns: Turns,
    service_ms: f64,
    /// The workspace of the request returned last, whether that is in the highest class, and whether
    /// it is served.
    last: Option<(Head<'a>, bool, bool)>,
}

impl ServiceOrder<'_> {
    /// The request returned last is not served: it counts neither for its workspace nor its priority.
    pub(crate) fn skip_last(&mut self) {
        if let Some((_, _, is_served)) = &mut self.last {
            *is_served = false;
        }
    }

    fn settle_last(&mut self) {
        let Some((mut head, is_highest, is_served)) = self.last.take() else {
            return;
        };
        let priority = head.request.priority;
        if is_served {
            head.used_ms += self.service_ms;
            self.turns.record(priority, is_highest);
        }
        if let Some((arrival, request)) = head.rest.next() {
            (head.arrival, head.request) = (*arrival, request);
            self.classes
                .entry(priority)
                .or_default()
                .push(Reverse(head));
        } else if self.classes.get(&priority).is_some_and(|c| c.is_empty()) {
            self.classes.remove(&priority);
        }
    }
}

impl<'a> Iterator for ServiceOrder<'a> {
    type Item = (QueueKey, &'a QueuedRequest);

    fn next(&mut self) -> Option<Self::Item> {
        self.settle_last();
        let priority = self.turns.choose(self.classes.keys().copied())?;
        let is_highest = self.classes.keys().next() == Some(&priority);
        let Reverse(head) = self.classes.get_mut(&priority)?.pop()?;
        let request = head.request;
        let key = QueueKey {
            priority,
            workspace: request.workspace,
            arrival: head.arrival,
        };
        self.last = Some((head, is_highest, true));
        Some((key, request))
    }
}
