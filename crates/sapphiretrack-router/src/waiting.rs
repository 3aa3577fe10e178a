//! Requests that wait at this router for room at a service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_routing::{NoWaiting, Ticket, Waiting, WaitingLine, WaitingSettings};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::Clock;

/// How often a waiting request looks again without being woken: the order changes with time, and
/// other routers' requests end unseen.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// The lines of all services.
#[derive(Default)]
pub(crate) struct WaitingLines(Mutex<HashMap<String, ServiceLine>>);

/// Those who wait for one service.
#[derive(Default)]
struct ServiceLine {
    line: WaitingLine,
    wakers: HashMap<Ticket, Arc<Notify>>,
}

/// A request's place in a line, until it is dropped.
pub(crate) struct Seat {
    lines: Arc<WaitingLines>,
    service: String,
    ticket: Ticket,
    waker: Arc<Notify>,
}

impl WaitingLines {
    /// Whether a request that has just come need not wait behind others.
    pub(crate) fn goes_first(
        &self,
        settings: &WaitingSettings,
        service: &str,
        request: &Waiting,
    ) -> bool {
        let lines = self.lock();
        let line = lines.get(service);
        line.is_none_or(|one| one.line.goes_first(settings, request, Clock.now_ms()))
    }

    /// Lets a request wait, unless that is in vain.
    pub(crate) fn enter(
        self: &Arc<Self>,
        settings: &WaitingSettings,
        service: &str,
        request: Waiting,
        sent_per_s: Option<f64>,
    ) -> Result<Seat, NoWaiting> {
        let mut lines = self.lock();
        let one = lines.entry(service.to_owned()).or_default();
        let ticket = one
            .line
            .enter(settings, request, sent_per_s, Clock.now_ms())?;
        let waker = Arc::new(Notify::new());
        one.wakers.insert(ticket, waker.clone());
        Ok(Seat {
            lines: self.clone(),
            service: service.to_owned(),
            ticket,
            waker,
        })
    }

    /// Wakes the request that goes next, since there may be room.
    pub(crate) fn wake_next(&self, settings: &WaitingSettings, service: &str) {
        if let Some(one) = self.lock().get(service) {
            one.wake_next(settings);
        }
    }

    /// Wakes the next request of each service, since other routers' loads have changed.
    pub(crate) fn wake_all(&self, settings: &WaitingSettings) {
        for one in self.lock().values() {
            one.wake_next(settings);
        }
    }

    /// How many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.lock().values().map(|one| one.line.len()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ServiceLine>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceLine {
    fn wake_next(&self, settings: &WaitingSettings) {
        let next = self.line.next(settings, Clock.now_ms());
        if let Some(waker) = next.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }
}

impl Seat {
    /// Whether it is this request's turn.
    pub(crate) fn is_next(&self, settings: &WaitingSettings) -> bool {
        let lines = self.lines.lock();
        let one = lines.get(&self.service);
        one.is_some_and(|one| one.line.next(settings, Clock.now_ms()) == Some(self.ticket))
    }

    /// Whether requests that are still on time keep this late one from its turn.
    pub(crate) fn is_overtaken(&self) -> bool {
        let lines = self.lines.lock();
        let one = lines.get(&self.service);
        one.is_some_and(|one| one.line.is_overtaken(self.ticket, Clock.now_ms()))
    }

    /// Waits until there may be room.
    pub(crate) async fn wait(&self) {
        // Whether it was woken or looks again by itself, it looks.
        drop(timeout(LOOK_AGAIN, self.waker.notified()).await);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut lines = self.lines.lock();
        let Some(one) = lines.get_mut(&self.service) else {
            return;
        };
        one.line.leave(self.ticket);
        one.wakers.remove(&self.ticket);
        if one.line.is_empty() {
            lines.remove(&self.service);
        }
    }
}
