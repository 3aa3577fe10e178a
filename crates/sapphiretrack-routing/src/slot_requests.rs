//! The requests of one router that wait for or hold slots of services with few slots, and the updates
//! that it sends to the schedulers.

mod service;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{EndedRequest, Incarnation, SlotReply, SlotUpdate, WaitingRequest};
use service::{Ended, ServiceRequests, Waiting};

/// The requests of one router for which slots are assigned by schedulers.
#[derive(Clone, Debug)]
pub struct SlotRequests {
    incarnation: u64,
    last_sequence: u64,
    services: BTreeMap<String, ServiceRequests>,
}

/// What was decided about a request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
    /// It has a slot, and may be sent to this server.
    Granted {
        /// The server.
        server: Incarnation,
        /// Time after which it must not be sent on this decision any more.
        valid_until_ms: u64,
    },
    /// It is refused.
    Refused {
        /// Retry delay in milliseconds.
        retry_after_ms: u64,
    },
    /// No scheduler answers, or the scheduler has no server for the request: it is placed as at a
    /// service without a scheduler.
    Unscheduled,
}

/// What a router has to do now for its requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotActions {
    /// Updates to send, and their recipients.
    pub updates: Vec<(SocketAddr, SlotUpdate)>,
    /// Tickets of requests that are placed without a scheduler.
    pub unscheduled: Vec<u64>,
    /// Services whose scheduler stopped answering, and its address.
    pub silent: Vec<(String, SocketAddr)>,
}

impl SlotRequests {
    /// Time for which a grant is valid, in milliseconds.
    pub const GRANT_VALID_MS: u64 = 250;
    /// Interval of updates while one with waiting requests is unanswered, in milliseconds.
    const UNANSWERED_INTERVAL_MS: u64 = 20;
    /// Interval of updates while requests hold slots or wait for a decision, in milliseconds.
    const INTERVAL_MS: u64 = 100;
    /// Time without an answer after which a scheduler counts as silent, in milliseconds.
    const SILENT_AFTER_MS: u64 = 60;
    /// Time for which a scheduler that was silent once is not asked again, in milliseconds. It doubles
    /// with each silence in a row.
    const SKIP_SILENT_MS: u64 = 1_000;
    /// Maximum time for which a silent scheduler is not asked again, in milliseconds. For the same time
    /// after that, its next silence counts as one in a row.
    const MAX_SKIP_SILENT_MS: u64 = 8_000;
    /// Delay of an update after which this router itself did not run, in milliseconds, so that answers
    /// may have arrived that it has not read.
    const MAX_DELAY_MS: u64 = 20;
    /// Time without an update after which this router itself was paused, in milliseconds. The
    /// scheduler is not to blame for answers that could not be read.
    const OWN_PAUSE_MS: u64 = 200;
    /// Time without an update after which the scheduler has discarded what it knew about this
    /// router, in milliseconds: 500 ms and a margin for the time that messages take.
    const FORGOTTEN_MS: u64 = 700;
    /// Time for which the end of the last request is repeated, in milliseconds. After that the
    /// scheduler has discarded what it knew about this router's slots.
    const REPEAT_END_MS: u64 = 500;
    /// Most requests of each kind in one update, which must fit into a datagram.
    const MAX_LISTED: usize = 500;

    /// Creates the state of a router's run.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            last_sequence: 0,
            services: BTreeMap::new(),
        }
    }

    /// Adds a request that waits for a slot of a service. Its ticket must be unique.
    pub fn enter(&mut self, service: &str, request: WaitingRequest, now_ms: u64) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceRequests::default());
        }
        let Some(requests) = self.services.get_mut(service) else {
            return;
        };
        let waiting = Waiting {
            request,
            entered_ms: now_ms,
            ungranted_ms: None,
        };
        requests.waiting.insert(waiting.request.ticket, waiting);
        requests.note_change(now_ms);
    }

    /// Returns the decisions of a scheduler's reply on requests that still wait.
    ///
    /// A grant for a request that no longer waits is ignored: the next update does not list it,
    /// which frees the slot.
    pub fn record_reply(
        &mut self,
        from: SocketAddr,
        reply: &SlotReply,
        now_ms: u64,
    ) -> Vec<(u64, SlotDecision)> {
        if reply.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(requests) = self.services.get_mut(&reply.service) else {
            return Vec::new();
        };
        if requests.scheduler != Some(from) || reply.sequence > requests.last_sequence {
            return Vec::new();
        }
        requests.record_reply(reply, now_ms)
    }

    /// Ends a request: it was cancelled while it waited, or is no longer at the server. `ended` says
    /// how it went if it was sent. Has no effect on a request that has already ended.
    pub fn end(&mut self, ticket: u64, ended: Option<EndedRequest>, now_ms: u64) {
        for requests in self.services.values_mut() {
            let was_waiting = requests.waiting.remove(&ticket).is_some();
            let was_held = requests.held.remove(&ticket).is_some();
            if let Some(request) = ended.filter(|_| was_held) {
                requests.ended.push(Ended {
                    request,
                    ended_ms: now_ms,
                    first_sequence: None,
                });
            }
            if was_waiting || was_held {
                requests.note_change(now_ms);
                return;
            }
        }
    }

    /// Returns what has to be done now. `scheduler_of` returns the first router in the order of a
    /// service's schedulers that is not in the given list; `None` if there is none.
    pub fn poll<SchedulerOf>(&mut self, mut scheduler_of: SchedulerOf, now_ms: u64) -> SlotActions
    where
        SchedulerOf: FnMut(&str, &[SocketAddr]) -> Option<SocketAddr>,
    {
        let mut actions = SlotActions::default();
        self.services.retain(|_, requests| requests.is_used(now_ms));
        for (service, requests) in &mut self.services {
            if let Some(silent) = requests.drop_silent(now_ms) {
                actions.silent.push((service.clone(), silent));
                actions.unscheduled.extend(requests.take_waiting());
            }
            if !requests.is_active(now_ms) {
                continue;
            }
            let skipped = requests.skipped(now_ms);
            let scheduler = scheduler_of(service, &skipped);
            if scheduler != requests.scheduler {
                // Without it, the former scheduler keeps requests and slots until it forgets this
                // router, and assigns slots to requests that another one serves.
                if let Some(former) = requests.scheduler {
                    self.last_sequence += 1;
                    let update = SlotUpdate {
                        service: service.clone(),
                        incarnation: self.incarnation,
                        ..requests.last_update(self.last_sequence)
                    };
                    actions.updates.push((former, update));
                }
                requests.set_scheduler(scheduler);
            }
            let Some(scheduler) = scheduler else {
                actions.unscheduled.extend(requests.take_waiting());
                requests.postpone(now_ms);
                continue;
            };
            if requests.due_in_ms(now_ms) == Some(0) {
                self.last_sequence += 1;
                let update = requests.update(self.last_sequence, now_ms);
                let update = SlotUpdate {
                    service: service.clone(),
                    incarnation: self.incarnation,
                    ..update
                };
                actions.updates.push((scheduler, update));
            }
        }
        actions
    }

    /// Returns the time until `poll` has to be called if nothing else happens, in milliseconds;
    /// `None` if there are no requests.
    pub fn next_poll_ms(&self, now_ms: u64) -> Option<u64> {
        let services = self.services.values();
        services
            .filter_map(|requests| requests.next_poll_ms(now_ms))
            .min()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting_count(&self) -> usize {
        let services = self.services.values();
        services.map(|requests| requests.waiting.len()).sum()
    }
}
