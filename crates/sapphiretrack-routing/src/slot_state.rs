//! The state of a service at its scheduler: waiting requests, occupied slots, and the last update of
//! each router.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::fair_queue::{FairQueue, QueueKey, QueuedRequest};
use crate::slot_routers::{Held, Router, Ticket};
use crate::slot_servers::SlotServers;
use crate::{SlotQueueSettings, SlotUpdate};

/// Servers, routers and the queue, kept consistent with each other.
#[derive(Clone, Debug)]
pub(crate) struct SlotState {
    pub(crate) servers: SlotServers,
    pub(crate) routers: BTreeMap<SocketAddr, Router>,
    pub(crate) queue: FairQueue,
    max_entries: usize,
}

impl SlotState {
    pub(crate) fn new(settings: SlotQueueSettings) -> Self {
        Self {
            servers: SlotServers::new(settings.default_service_ms),
            routers: BTreeMap::new(),
            queue: FairQueue::default(),
            max_entries: settings.max_entries,
        }
    }

    /// Applies an update; returns whether it gets a reply. A repeated one does, since the reply to the
    /// first may be lost.
    pub(crate) fn apply(&mut self, from: SocketAddr, update: &SlotUpdate, now_ms: u64) -> bool {
        let Some(mut router) = self.accept(from, update, now_ms) else {
            let router = self.routers.get(&from);
            return router.is_some_and(|router| {
                (router.incarnation, router.sequence) == (update.incarnation, update.sequence)
            });
        };
        self.record_ended(&mut router, update, now_ms);
        self.replace_held(&mut router, update, now_ms);
        self.replace_waiting(from, &mut router, update, now_ms);
        self.routers.insert(from, router);
        true
    }

    /// Grants a slot; returns the router and the ticket.
    pub(crate) fn grant(
        &mut self,
        key: QueueKey,
        server: u64,
        now_ms: u64,
    ) -> Option<(SocketAddr, u64)> {
        self.queue.record_grant(key);
        let request = self.queue.remove(key)?;
        let held = Held {
            server,
            workspace: request.workspace,
            granted_ms: Some(now_ms),
        };
        self.occupy(held, now_ms);
        let (router, ticket) = (request.router, request.ticket);
        let state = Ticket::Granted {
            held,
            key,
            request: Box::new(request),
        };
        if let Some(router) = self.routers.get_mut(&router) {
            router.decide(ticket, state);
        }
        Some((router, ticket))
    }

    /// Puts a request whose grant is unused for `lasts_ms` back into the queue.
    pub(crate) fn end_grant(
        &mut self,
        router: SocketAddr,
        ticket: u64,
        lasts_ms: u64,
        now_ms: u64,
    ) {
        let router = self.routers.get_mut(&router);
        let Some(state) = router.and_then(|router| router.tickets.get_mut(&ticket)) else {
            return;
        };
        // The ticket may have a newer grant, after its server was lost.
        let has_ended = |granted_ms| granted_ms + lasts_ms <= now_ms;
        if let Ticket::Granted { held, .. } = state
            && held.granted_ms.is_some_and(has_ended)
            && let Some(held) = state.requeue(&mut self.queue)
        {
            self.release(held, now_ms);
        }
    }

    /// Forgets routers without an update in the last `silent_ms`.
    pub(crate) fn remove_silent(&mut self, silent_ms: u64, now_ms: u64) {
        let routers = self.routers.iter();
        let silent = routers.filter(|(_, router)| now_ms >= router.updated_ms + silent_ms);
        let silent: Vec<_> = silent.map(|(address, _)| *address).collect();
        for address in silent {
            if let Some(router) = self.routers.remove(&address) {
                self.release_all(router, now_ms);
            }
        }
    }

    /// Returns the state of the sender if the update is newer; a new run starts without state.
    fn accept(&mut self, from: SocketAddr, update: &SlotUpdate, now_ms: u64) -> Option<Router> {
        let fresh = || Router {
            incarnation: update.incarnation,
            ..Router::default()
        };
        let mut router = match self.routers.remove(&from) {
            None if self.routers.len() >= self.max_entries => return None,
            None => fresh(),
            Some(known) if known.former_incarnation == Some(update.incarnation) => {
                self.routers.insert(from, known);
                return None;
            }
            Some(known) if known.incarnation != update.incarnation => {
                let former_incarnation = Some(known.incarnation);
                self.release_all(known, now_ms);
                Router {
                    former_incarnation,
                    ..fresh()
                }
            }
            Some(known) if known.sequence >= update.sequence => {
                self.routers.insert(from, known);
                return None;
            }
            Some(known) => known,
        };
        router.sequence = update.sequence;
        router.updated_ms = now_ms;
        router.service.clone_from(&update.service);
        Some(router)
    }

    fn record_ended(&mut self, router: &mut Router, update: &SlotUpdate, now_ms: u64) {
        let has_queue = self.queue.len() > 0;
        for ended in update.ended.iter().take(self.max_entries) {
            if router.ended.contains(&ended.ticket) {
                continue;
            }
            let granted_ms = match router.held.get(&ended.ticket) {
                Some(held) => held.granted_ms,
                None => match router.tickets.get(&ended.ticket) {
                    Some(Ticket::Granted { held, .. }) => held.granted_ms,
                    _ => None,
                },
            };
            let cycle_ms = granted_ms.map(|granted_ms| now_ms.saturating_sub(granted_ms));
            self.servers
                .record_ended(ended, cycle_ms, has_queue, now_ms);
        }
        let ended = update.ended.iter().take(self.max_entries);
        router.ended = ended.map(|ended| ended.ticket).collect();
    }

    fn replace_held(&mut self, router: &mut Router, update: &SlotUpdate, now_ms: u64) {
        let mut former = std::mem::take(&mut router.held);
        for listed in update.held.iter().take(self.max_entries) {
            let known = match former.remove(&listed.ticket) {
                Some(held) => Some(held),
                None => router
                    .tickets
                    .remove(&listed.ticket)
                    .and_then(|ticket| match ticket {
                        Ticket::Granted { held, .. } => Some(held),
                        Ticket::Waiting(key) => {
                            self.queue.remove(key);
                            None
                        }
                        Ticket::Refused { .. } => None,
                    }),
            };
            let held = Held {
                server: listed.server,
                workspace: listed.workspace,
                granted_ms: known.and_then(|known| known.granted_ms),
            };
            // Occupied first, so that the workspace's usage is continuous.
            self.occupy(held, now_ms);
            if let Some(known) = known {
                self.release(known, now_ms);
            }
            if let Some(repeated) = router.held.insert(listed.ticket, held) {
                self.release(repeated, now_ms);
            }
        }
        for held in former.into_values() {
            self.release(held, now_ms);
        }
    }

    fn replace_waiting(
        &mut self,
        from: SocketAddr,
        router: &mut Router,
        update: &SlotUpdate,
        now_ms: u64,
    ) {
        let mut former = std::mem::take(&mut router.tickets);
        for request in update.waiting.iter().take(self.max_entries) {
            let ticket = request.ticket;
            let is_running = router.held.contains_key(&ticket) || router.ended.contains(&ticket);
            if is_running || router.tickets.contains_key(&ticket) {
                continue;
            }
            let state = former.remove(&ticket).unwrap_or_else(|| {
                let request = QueuedRequest::new(from, request, now_ms);
                Ticket::Waiting(self.queue.push(request))
            });
            router.tickets.insert(ticket, state);
        }
        for ticket in former.into_values() {
            self.forget(ticket, now_ms);
        }
    }

    /// Puts requests back into the queue whose servers are no longer listed.
    pub(crate) fn requeue_unlisted(&mut self, now_ms: u64) {
        let mut released = Vec::new();
        let routers = self.routers.values_mut();
        for state in routers.flat_map(|router| router.tickets.values_mut()) {
            if let Ticket::Granted { held, .. } = state
                && !self.servers.is_listed(held.server)
            {
                released.extend(state.requeue(&mut self.queue));
            }
        }
        for held in released {
            self.release(held, now_ms);
        }
    }

    fn release_all(&mut self, router: Router, now_ms: u64) {
        for held in router.held.into_values() {
            self.release(held, now_ms);
        }
        for ticket in router.tickets.into_values() {
            self.forget(ticket, now_ms);
        }
    }

    fn forget(&mut self, ticket: Ticket, now_ms: u64) {
        match ticket {
            Ticket::Waiting(key) => {
                self.queue.remove(key);
            }
            Ticket::Granted { held, .. } => self.release(held, now_ms),
            Ticket::Refused { .. } => {}
        }
    }

    fn occupy(&mut self, held: Held, now_ms: u64) {
        self.servers.occupy(held.server);
        self.queue.record_start(held.workspace, now_ms);
    }

    fn release(&mut self, held: Held, now_ms: u64) {
        self.servers.release(held.server);
        self.queue.record_end(held.workspace, now_ms);
    }
}
