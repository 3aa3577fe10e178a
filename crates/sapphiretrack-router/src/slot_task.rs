//! The task that obtains slots for this router's requests, and assigns those of the services that
//! this router schedules.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use sapphiretrack_routing::{
    RouterMessage, ScheduledServices, SchedulerCandidate, SchedulerView, SlotDecision, SlotQueue,
    SlotQueueSettings, SlotReply, SlotRequests, SlotUpdate,
};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::peer_messages::encode;
use crate::shared::Shared;
use crate::slot_placement::schedulable_servers;
use crate::slot_scheduling::{SlotEvent, SlotMessage, SlotReceivers};

/// The interval at which the scheduled services and their schedulers are determined again: lists of
/// servers and the fleet change rarely, and a silent scheduler is noticed without it.
const CHECK_INTERVAL_MS: u64 = 100;
/// The interval of statistics in the log.
const STATS_INTERVAL_MS: u64 = 1_000;
/// The time without an update after which this router no longer schedules a service.
const QUEUE_IDLE_MS: u64 = 10_000;
/// The number of routers that are considered as schedulers of a service: more than may be silent at a
/// time.
const SCHEDULER_CANDIDATES: usize = 4;

/// Obtains and assigns slots until the process ends.
pub(crate) async fn schedule_slots(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let Some(SlotReceivers {
        mut events,
        mut messages,
    }) = shared.slot_scheduling.take_receivers()
    else {
        return;
    };
    let mut task = SlotTask::new(shared);
    loop {
        let wait_ms = task.next_step_ms(Clock.now_ms());
        tokio::select! {
            Some(event) = events.recv() => task.record_event(event, Clock.now_ms()),
            Some((from, message)) = messages.recv() => {
                task.record_message(from, message, Clock.now_ms());
            }
            () = sleep(Duration::from_millis(wait_ms)) => {}
        }
        // What happened meanwhile becomes part of the same updates and decisions.
        let now_ms = Clock.now_ms();
        while let Ok((from, message)) = messages.try_recv() {
            task.record_message(from, message, now_ms);
        }
        while let Ok(event) = events.try_recv() {
            task.record_event(event, now_ms);
        }
        for (to, message) in task.step(now_ms) {
            // A lost message needs no retry here: the next one contains the full state.
            drop(socket.send_to(&encode(&message), to).await);
        }
    }
}

struct SlotTask {
    shared: Arc<Shared>,
    own_address: SocketAddr,
    requests: SlotRequests,
    /// Where the decisions on waiting requests go, by ticket.
    decisions: HashMap<u64, oneshot::Sender<SlotDecision>>,
    /// The services that this router schedules.
    queues: HashMap<String, ServiceQueue>,
    scheduled: ScheduledServices,
    /// The schedulers of services in order, as of the last check.
    schedulers: HashMap<String, Vec<SocketAddr>>,
    view: SchedulerView,
    /// The time as of which other routers count as live, as of the last check.
    live_as_of_ms: u64,
    checked_ms: u64,
    reported_ms: u64,
}

/// A service that this router schedules.
struct ServiceQueue {
    queue: SlotQueue,
    updated_ms: u64,
    /// Refusals at the last statistics.
    reported_refusals: u64,
}

impl SlotTask {
    fn new(shared: Arc<Shared>) -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since.map_or(0, |since| since.as_millis() as u64);
        Self {
            own_address: shared.settings().peer_address,
            shared,
            requests: SlotRequests::new(incarnation),
            decisions: HashMap::new(),
            queues: HashMap::new(),
            scheduled: ScheduledServices::default(),
            schedulers: HashMap::new(),
            view: SchedulerView::default(),
            live_as_of_ms: 0,
            checked_ms: 0,
            reported_ms: 0,
        }
    }

    /// The time until `step` has to be called if nothing happens.
    fn next_step_ms(&self, now_ms: u64) -> u64 {
        let queues = self.queues.values();
        let decisions = queues.filter_map(|one| one.queue.next_decision_ms(now_ms));
        let check_ms = (self.checked_ms + CHECK_INTERVAL_MS).saturating_sub(now_ms);
        let poll_ms = self.requests.next_poll_ms(now_ms);
        let first_ms = decisions.chain(poll_ms).min();
        first_ms.map_or(check_ms, |first_ms| first_ms.min(check_ms))
    }

    fn record_event(&mut self, event: SlotEvent, now_ms: u64) {
        match event {
            SlotEvent::Entered {
                service,
                request,
                decision,
            } => {
                self.decisions.insert(request.ticket, decision);
                self.requests.enter(&service, request, now_ms);
            }
            SlotEvent::Ended { ticket, ended } => {
                self.decisions.remove(&ticket);
                self.requests.end(ticket, ended, now_ms);
            }
        }
    }

    fn record_message(&mut self, from: SocketAddr, message: SlotMessage, now_ms: u64) {
        match message {
            SlotMessage::Update(update) => self.record_update(from, &update, now_ms),
            SlotMessage::Reply(reply) => self.record_reply(from, &reply, now_ms),
        }
    }

    fn record_reply(&mut self, from: SocketAddr, reply: &SlotReply, now_ms: u64) {
        for (ticket, decision) in self.requests.record_reply(from, reply, now_ms) {
            self.answer(ticket, decision);
        }
    }

    /// Passes a decision to its request. A request that left gives its slot back itself.
    fn answer(&mut self, ticket: u64, decision: SlotDecision) {
        let receiver = self.decisions.remove(&ticket);
        receiver.map(|receiver| receiver.send(decision).ok());
    }

    /// Records another router's or this router's own update. Without a list of servers it stays
    /// unanswered, so that the sender asks another router.
    fn record_update(&mut self, from: SocketAddr, update: &SlotUpdate, now_ms: u64) {
        let service = &update.service;
        let servers = schedulable_servers(&self.shared, service);
        if servers.is_empty() {
            if self.queues.remove(service).is_some() {
                note_queue_removed(&self.shared, service);
            }
            return;
        }
        let one = self.queues.entry(service.clone()).or_insert_with(|| {
            note!(
                Event::SCHEDULER_CHANGED,
                service = service,
                schedules = true
            );
            ServiceQueue {
                queue: SlotQueue::new(SlotQueueSettings::default()),
                updated_ms: now_ms,
                reported_refusals: 0,
            }
        });
        one.updated_ms = now_ms;
        one.queue.set_servers(&servers, now_ms);
        one.queue.record_update(from, update, now_ms);
    }

    /// Does what is due, and returns the messages to send.
    fn step(&mut self, now_ms: u64) -> Vec<(SocketAddr, RouterMessage)> {
        if now_ms >= self.checked_ms + CHECK_INTERVAL_MS {
            self.checked_ms = now_ms;
            self.check(now_ms);
        }
        let mut messages = Vec::new();
        for (to, update) in self.poll(now_ms) {
            match to == self.own_address {
                true => self.record_update(to, &update, now_ms),
                false => messages.push((to, RouterMessage::SlotUpdate(update))),
            }
        }
        for (to, reply) in self.decide(now_ms) {
            match to == self.own_address {
                true => self.record_reply(to, &reply, now_ms),
                false => messages.push((to, RouterMessage::SlotReply(reply))),
            }
        }
        messages
    }

    /// Returns the updates of this router's own requests that are due.
    fn poll(&mut self, now_ms: u64) -> Vec<(SocketAddr, SlotUpdate)> {
        let (shared, schedulers) = (&self.shared, &mut self.schedulers);
        let live_as_of_ms = self.live_as_of_ms;
        let scheduler_of = |service: &str, skipped: &[SocketAddr]| {
            let order = match schedulers.get(service) {
                Some(order) => order,
                None => schedulers
                    .entry(service.to_owned())
                    .or_insert(scheduler_order(shared, service, live_as_of_ms)),
            };
            order.iter().copied().find(|one| !skipped.contains(one))
        };
        let actions = self.requests.poll(scheduler_of, now_ms);
        for (service, scheduler) in actions.silent {
            note!(
                Event::SCHEDULER_SILENT,
                service = service,
                scheduler = scheduler
            );
        }
        for ticket in actions.unscheduled {
            self.answer(ticket, SlotDecision::Unscheduled);
        }
        actions.updates
    }

    /// Assigns the slots of the services that this router schedules.
    fn decide(&mut self, now_ms: u64) -> Vec<(SocketAddr, SlotReply)> {
        let mut replies = Vec::new();
        self.queues.retain(|service, one| {
            if one.queue.next_decision_ms(now_ms) != Some(0) {
                return true;
            }
            let servers = schedulable_servers(&self.shared, service);
            // Without servers, routers ask another scheduler, as this one stays silent.
            if servers.is_empty() {
                note_queue_removed(&self.shared, service);
                return false;
            }
            one.queue.set_servers(&servers, now_ms);
            replies.extend(one.queue.decide(now_ms));
            true
        });
        replies
    }

    /// Determines again which services are scheduled and by whom, and reports on the queues.
    fn check(&mut self, now_ms: u64) {
        if update_scheduled(&self.shared, &mut self.scheduled, now_ms) {
            let scheduling = &self.shared.slot_scheduling;
            scheduling.set_scheduled(self.scheduled.clone());
        }
        self.schedulers.clear();
        self.live_as_of_ms = self.view.observe(now_ms);
        let is_report_due = now_ms >= self.reported_ms + STATS_INTERVAL_MS;
        if is_report_due {
            self.reported_ms = now_ms;
        }
        let metrics = &self.shared.metrics;
        self.queues.retain(|service, one| {
            let stats = one.queue.stats();
            metrics.set_slot_queue_length(service, stats.waiting);
            let refused = stats.refused_total.saturating_sub(one.reported_refusals);
            if is_report_due && (stats.waiting > 0 || refused > 0) {
                one.reported_refusals = stats.refused_total;
                let windows = stats.windows.iter();
                let window: u32 = windows.map(|(_, window, _)| *window).sum();
                note!(
                    Event::SLOT_QUEUE_STATS,
                    service = service,
                    waiting = stats.waiting,
                    occupied = stats.occupied,
                    window = window,
                    refused = refused,
                    routers = stats.routers,
                    service_ms = stats.service_ms,
                );
            }
            let is_used = now_ms < one.updated_ms + QUEUE_IDLE_MS;
            if !is_used {
                note!(
                    Event::SCHEDULER_CHANGED,
                    service = service,
                    schedules = false
                );
            }
            is_used
        });
    }
}

/// Records that this router no longer schedules a service because it has no servers for it.
fn note_queue_removed(shared: &Shared, service: &str) {
    shared.metrics.set_slot_queue_length(service, 0);
    note!(
        Event::SCHEDULER_CHANGED,
        service = service,
        schedules = false
    );
}

/// The first routers in the order in which they schedule a service, of those that were live at a time.
fn scheduler_order(shared: &Shared, service: &str, live_as_of_ms: u64) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let own = SchedulerCandidate {
        name: &settings.name,
        address: settings.peer_address,
        state: shared.advertised_state(),
        cpu_millicores: settings.cpu_millicores,
    };
    let peers = shared.peers();
    peers.schedulers(service, own, SCHEDULER_CANDIDATES, live_as_of_ms)
}

/// Determines again which services are scheduled: plain ones with few slots for the size of the
/// fleet. A router that does not know the others yet schedules none, nor a service before it knows
/// whether its servers are brittle. Returns whether anything changed.
fn update_scheduled(shared: &Shared, scheduled: &mut ScheduledServices, now_ms: u64) -> bool {
    let factor = shared.settings().attempts.slot_queue_factor;
    let is_discovered = shared.is_discovered.load(Ordering::Relaxed);
    let configuration = shared.configuration.load();
    let (Some(configuration), true) = (configuration.as_ref(), is_discovered && factor > 0.0)
    else {
        return scheduled.update([], 0, 0.0);
    };
    let servers = shared.servers.load();
    let services = servers.iter().filter_map(|(name, listed)| {
        let service = configuration.service(name)?;
        let stated = &shared.stated_availability;
        let is_allowed = !service.is_engine && stated.is_not_brittle(name, now_ms);
        let slots = listed.iter().map(|server| server.slots.max(1)).sum();
        (is_allowed && !listed.is_empty()).then_some((name.as_str(), slots))
    });
    let routers = shared.peers().fleet_size();
    scheduled.update(services, routers, factor)
}
