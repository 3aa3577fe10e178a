//! Tracks which backend servers are cold: they have just started and tolerate few requests.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{ColdPace, Incarnation};

/// Why a server counts as cold, for routers that start.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdReport {
    /// Incarnation of the server.
    pub server: u64,
    /// For how long it stays cold by its own account, in milliseconds.
    pub left_ms: u32,
    /// Time since the last event after which servers are cold, in milliseconds.
    pub event_age_ms: Option<u32>,
}

/// What a router knows about the coldness of servers.
///
/// A server states how long it stays cold, but its entry is late and it may become cold at any
/// moment. So a server also counts as cold for the configured time from events that make servers
/// cold: it was not listed before, or the evacuation of its availability zone ended. Knowledge only
/// extends the time.
#[derive(Clone, Debug, Default)]
pub struct ColdServers {
    servers: HashMap<Incarnation, ColdServer>,
    /// Whether the servers were listed before, so that others are known to be new.
    has_listing: bool,
    /// When the last event occurred. Together with `stated_until_ms` it shows without a search that no
    /// server is cold.
    last_event_ms: Option<u64>,
    /// The latest time until which any server says that it is cold.
    stated_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct ColdServer {
    stated_until_ms: u64,
    event_ms: Option<u64>,
    last_listed_ms: u64,
    pace: ColdPace,
}

impl ColdServers {
    /// Time in milliseconds for which a server that is no longer listed is remembered, so that it
    /// is not new if its entry is restored after an outage of the store.
    const REMEMBERED_MS: u64 = 60_000;
    /// Maximum time in milliseconds that a statement of a server is valid, so that a damaged entry
    /// does not keep it out of use.
    const MAX_STATED_MS: u64 = 600_000;

    /// Records that a server is listed, with the time for which its entry says that it stays cold.
    /// Returns whether it counts as new.
    pub fn record_listed(&mut self, server: Incarnation, left_ms: u32, now_ms: u64) -> bool {
        let is_new = self.has_listing && !self.servers.contains_key(&server);
        let state = self.servers.entry(server).or_default();
        state.last_listed_ms = now_ms;
        if is_new {
            self.record_event(server, now_ms);
        }
        self.record_statement(server, left_ms, now_ms);
        is_new
    }

    /// Records that all servers of a first listing were recorded: from now on others are new.
    pub fn end_listing(&mut self) {
        self.has_listing = true;
    }

    /// Records for how long a server said that it stays cold. Returns whether no statement by which
    /// it is cold was known before.
    pub fn record_statement(&mut self, server: Incarnation, left_ms: u32, now_ms: u64) -> bool {
        if left_ms == 0 {
            return false;
        }
        let until_ms = now_ms + u64::from(left_ms).min(Self::MAX_STATED_MS);
        let state = self.servers.entry(server).or_default();
        let was_cold = now_ms < state.stated_until_ms;
        state.stated_until_ms = state.stated_until_ms.max(until_ms);
        self.stated_until_ms = self.stated_until_ms.max(until_ms);
        !was_cold
    }

    /// Records an event after which a server is cold.
    pub fn record_event(&mut self, server: Incarnation, now_ms: u64) {
        let state = self.servers.entry(server).or_default();
        state.event_ms = state.event_ms.max(Some(now_ms));
        self.last_event_ms = self.last_event_ms.max(Some(now_ms));
    }

    /// Records the report of another router.
    pub fn record_report(&mut self, report: &ColdReport, now_ms: u64) {
        let server = Incarnation(report.server);
        self.record_statement(server, report.left_ms, now_ms);
        if let Some(age_ms) = report.event_age_ms {
            self.record_event(server, now_ms.saturating_sub(u64::from(age_ms)));
        }
    }

    /// Returns reports of the servers that may be cold, if servers are cold for at most `start_ms`
    /// after an event.
    pub fn reports(&self, start_ms: u64, now_ms: u64) -> Vec<ColdReport> {
        let cold = self.servers.iter();
        let cold = cold.filter(|(_, state)| state.is_cold(start_ms, now_ms));
        let reports = cold.map(|(server, state)| ColdReport {
            server: server.0,
            left_ms: state
                .stated_until_ms
                .saturating_sub(now_ms)
                .min(u64::from(u32::MAX)) as u32,
            event_age_ms: state
                .event_ms
                .map(|event_ms| now_ms.saturating_sub(event_ms).min(u64::from(u32::MAX)) as u32),
        });
        reports.collect()
    }

    /// Returns whether any server may be cold.
    pub fn may_be_any(&self, start_ms: u64, now_ms: u64) -> bool {
        now_ms < self.stated_until_ms
            || self
                .last_event_ms
                .is_some_and(|event_ms| now_ms < event_ms.saturating_add(start_ms))
    }

    /// Returns whether a server counts as cold, if servers of its service are cold for `start_ms`
    /// after an event.
    pub fn is_cold(&self, server: Incarnation, start_ms: u64, now_ms: u64) -> bool {
        let state = self.servers.get(&server);
        state.is_some_and(|state| state.is_cold(start_ms, now_ms))
    }

    /// Returns when a server stops counting as cold.
    pub fn cold_until_ms(&self, server: Incarnation, start_ms: u64) -> u64 {
        let state = self.servers.get(&server);
        state.map_or(0, |state| state.cold_until_ms(start_ms))
    }

    /// Returns the pace of this router's requests to a server.
    pub fn pace(&mut self, server: Incarnation) -> &mut ColdPace {
        &mut self.servers.entry(server).or_default().pace
    }

    /// Forgets servers that have not been listed for long. `listed` are those that are.
    pub fn retain_listed(&mut self, listed: &HashSet<Incarnation>, now_ms: u64) {
        self.servers.retain(|server, state| {
            if listed.contains(server) {
                state.last_listed_ms = now_ms;
            }
            now_ms < state.last_listed_ms + Self::REMEMBERED_MS
        });
    }
}

impl ColdServer {
    fn cold_until_ms(&self, start_ms: u64) -> u64 {
        let from_event_ms = self.event_ms.map_or(0, |event_ms| event_ms + start_ms);
        self.stated_until_ms.max(from_event_ms)
    }

    fn is_cold(&self, start_ms: u64, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms(start_ms)
    }
}
