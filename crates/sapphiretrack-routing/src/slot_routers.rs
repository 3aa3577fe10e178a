//! What the scheduler of a service knows of each router, and its decisions on their requests.

use std::collections::{BTreeMap, HashSet};

use crate::SlotReply;
use crate::fair_queue::{FairQueue, QueueKey, QueuedRequest};

/// The last update of a router, and the decisions on its tickets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Router {
    pub(crate) incarnation: u64,
    /// The run before, of which updates may still arrive.
    pub(crate) former_incarnation: Option<u64>,
    pub(crate) service: String,
    pub(crate) sequence: u64,
    pub(crate) updated_ms: u64,
    /// State of the tickets that the last update lists as waiting.
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    pub(crate) held: BTreeMap<u64, Held>,
    /// When decisions are sent again, and how many times more.
    pub(crate) resend_ms: Option<u64>,
    pub(crate) resends_left: u32,
    /// Ended requests of the last update, which later updates may repeat.
    pub(crate) ended: HashSet<u64>,
}

#[derive(Clone, Debug)]
pub(crate) enum Ticket {
    Waiting(QueueKey),
    Granted {
        held: Held,
        key: QueueKey,
        request: Box<QueuedRequest>,
    },
    Refused {
        retry_ms: u32,
    },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) server: u64,
    pub(crate) workspace: u64,
    /// When this scheduler granted it; none if another one did.
    pub(crate) granted_ms: Option<u64>,
}

impl Ticket {
    /// Puts a granted request back into the queue; returns the slot to release.
    pub(crate) fn requeue(&mut self, queue: &mut FairQueue) -> Option<Held> {
        let Self::Granted { held, key, .. } = self else {
            return None;
        };
        let (held, key) = (*held, *key);
        if let Self::Granted { request, .. } = std::mem::replace(self, Self::Waiting(key)) {
            queue.restore(key, *request);
        }
        Some(held)
    }
}

impl Router {
    /// Number of times that decisions are sent again without an update. Further ones are answers to
    /// updates.
    const RESENDS: u32 = 2;

    pub(crate) fn decide(&mut self, ticket: u64, state: Ticket) {
        self.tickets.insert(ticket, state);
        self.resends_left = Self::RESENDS;
    }

    pub(crate) fn has_decisions(&self) -> bool {
        let mut states = self.tickets.values();
        states.any(|state| !matches!(state, Ticket::Waiting(_)))
    }

    /// Returns all decisions on tickets that the router has not acted on.
    pub(crate) fn reply(&self, valid_ms: u64, now_ms: u64) -> SlotReply {
        let mut reply = SlotReply {
            service: self.service.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            ..SlotReply::default()
        };
        for (ticket, state) in &self.tickets {
            match state {
                Ticket::Granted { held, .. } => {
                    let is_valid = |granted_ms| now_ms < granted_ms + valid_ms;
                    if held.granted_ms.is_some_and(is_valid) {
                        reply.granted.push((*ticket, held.server));
                    }
                }
                Ticket::Refused { retry_ms } => reply.refused.push((*ticket, *retry_ms)),
                Ticket::Waiting(_) => {}
            }
        }
        reply
    }
}
