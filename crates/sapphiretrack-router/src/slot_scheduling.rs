//! The requests of this router for slots of services whose slots a scheduler assigns: the traffic
//! thread's side of the task that talks to the schedulers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use sapphiretrack_routing::{
    EndedRequest, Incarnation, ScheduledServices, SlotDecision, SlotOutcome, SlotReply, SlotUpdate,
    WaitingRequest,
};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::lock::lock;

/// The capacity of the queue of messages of other routers. Messages beyond it are dropped like lost
/// datagrams, and repeated.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// The connection between requests and the task that obtains their slots.
pub(crate) struct SlotScheduling {
    scheduled: ArcSwap<ScheduledServices>,
    last_ticket: AtomicU64,
    events: mpsc::UnboundedSender<SlotEvent>,
    messages: mpsc::Sender<(SocketAddr, SlotMessage)>,
    receivers: Mutex<Option<SlotReceivers>>,
}

/// The receiving ends of the task.
pub(crate) struct SlotReceivers {
    /// What happens to this router's requests. Unbounded, as the end of a request must not be lost;
    /// the number of requests is limited by the memory for their bodies.
    pub(crate) events: mpsc::UnboundedReceiver<SlotEvent>,
    /// Messages of other routers.
    pub(crate) messages: mpsc::Receiver<(SocketAddr, SlotMessage)>,
}

/// What happens to a request of this router.
pub(crate) enum SlotEvent {
    /// It waits for a slot.
    Entered {
        /// The service.
        service: String,
        /// The request.
        request: WaitingRequest,
        /// Where the decision goes.
        decision: oneshot::Sender<SlotDecision>,
    },
    /// It no longer waits, or is no longer at its server.
    Ended {
        /// Its ticket.
        ticket: u64,
        /// How it went, if it was sent.
        ended: Option<EndedRequest>,
    },
}

/// A message of another router about slots.
pub(crate) enum SlotMessage {
    /// From a router that asks this one for slots.
    Update(SlotUpdate),
    /// From a scheduler.
    Reply(SlotReply),
}

impl Default for SlotScheduling {
    fn default() -> Self {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let (messages, message_receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let receivers = SlotReceivers {
            events: event_receiver,
            messages: message_receiver,
        };
        Self {
            scheduled: ArcSwap::default(),
            last_ticket: AtomicU64::new(0),
            events,
            messages,
            receivers: Mutex::new(Some(receivers)),
        }
    }
}

impl SlotScheduling {
    /// Whether requests for a service need a slot from its scheduler.
    pub(crate) fn is_scheduled(&self, service: &str) -> bool {
        self.scheduled.load().contains(service)
    }

    /// Publishes the services whose slots a scheduler assigns.
    pub(crate) fn set_scheduled(&self, services: ScheduledServices) {
        self.scheduled.store(Arc::new(services));
    }

    /// Takes the receiving ends; none if they were taken before.
    pub(crate) fn take_receivers(&self) -> Option<SlotReceivers> {
        lock(&self.receivers).take()
    }

    /// Passes a message of another router to the task.
    pub(crate) fn deliver(&self, from: SocketAddr, message: SlotMessage) {
        drop(self.messages.try_send((from, message)));
    }

    /// Asks for a slot, with a ticket of its own. Dropping the result before a decision arrives
    /// cancels the request.
    pub(crate) fn ask(&self, service: &str, request: WaitingRequest) -> SlotWait {
        let number = self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        let (decision, receiver) = oneshot::channel();
        // Fails only while the process ends.
        drop(self.events.send(SlotEvent::Entered {
            service: service.to_owned(),
            request: WaitingRequest {
                ticket: number,
                ..request
            },
            decision,
        }));
        let ticket = SlotTicket {
            number,
            ended: None,
            events: self.events.clone(),
        };
        SlotWait { ticket, receiver }
    }
}

/// A request that waits for a slot.
pub(crate) struct SlotWait {
    ticket: SlotTicket,
    receiver: oneshot::Receiver<SlotDecision>,
}

impl SlotWait {
    /// Waits for the decision. With a slot, the slot is returned as well.
    pub(crate) async fn decision(self) -> (SlotDecision, Option<SlotGuard>) {
        // Without the task, which runs as long as the process, nothing is scheduled.
        let decision = self.receiver.await.unwrap_or(SlotDecision::Unscheduled);
        let SlotDecision::Granted {
            server,
            valid_until_ms,
        } = decision
        else {
            return (decision, None);
        };
        let guard = SlotGuard {
            server,
            valid_until_ms,
            sent_ms: None,
            stated: None,
            outcome: SlotOutcome::Failed,
            ticket: self.ticket,
        };
        (decision, Some(guard))
    }
}

/// A ticket. Dropping it ends the request at the task, whether it waits or has a slot.
struct SlotTicket {
    number: u64,
    ended: Option<EndedRequest>,
    events: mpsc::UnboundedSender<SlotEvent>,
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        let ended = SlotEvent::Ended {
            ticket: self.number,
            ended: self.ended,
        };
        drop(self.events.send(ended));
    }
}

/// A slot of a server that is assigned to a request. Dropping it gives the slot back.
pub(crate) struct SlotGuard {
    server: Incarnation,
    valid_until_ms: u64,
    sent_ms: Option<u64>,
    stated: Option<(u16, u16)>,
    outcome: SlotOutcome,
    /// Dropped after the fields above were reported through it.
    ticket: SlotTicket,
}

impl SlotGuard {
    /// The server.
    pub(crate) fn server(&self) -> Incarnation {
        self.server
    }

    /// Whether the request may still be sent on the grant.
    pub(crate) fn is_valid(&self) -> bool {
        Clock.now_ms() < self.valid_until_ms
    }

    /// Marks the request as sent.
    pub(crate) fn record_sent(&mut self) {
        self.sent_ms = Some(Clock.now_ms());
    }

    /// Records the numbers of running and waiting requests that the server stated in its answer.
    pub(crate) fn record_load(&mut self, load: Option<(u32, u32)>) {
        let limited = |count: u32| count.min(u32::from(u16::MAX)) as u16;
        self.stated = load.map(|(running, waiting)| (limited(running), limited(waiting)));
    }

    /// Records how the request ended; without a record it counts as failed.
    pub(crate) fn record_outcome(&mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.ticket.ended = self.sent_ms.map(|sent_ms| EndedRequest {
            ticket: self.ticket.number,
            server: self.server.0,
            took_ms: Clock
                .now_ms()
                .saturating_sub(sent_ms)
                .min(u64::from(u32::MAX)) as u32,
            stated: self.stated,
            outcome: self.outcome,
        });
    }
}
