//! Distinguishes a fault of the router's own path to backend servers from faults of the servers, by which connections open.

use std::collections::{HashMap, HashSet};

use crate::Incarnation;

/// When a router considers its path to the backend servers lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPathSettings {
    /// Number of different servers in a row to which no connection opens; all if fewer are listed. More
    /// than a part of the servers that crashed is likely to hold.
    pub min_failed: usize,
    /// Number of different servers in a row to which connections open again, after which the path
    /// counts as restored.
    pub min_reached: usize,
    /// Time for which a failed connection attempt counts against its server, in milliseconds.
    pub valid_ms: u64,
}

impl Default for ServerPathSettings {
    fn default() -> Self {
        Self {
            min_failed: 6,
            min_reached: 2,
            valid_ms: 2_000,
        }
    }
}

/// A change of the path to all servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// No connection opens any more.
    Lost,
    /// Connections open again.
    Restored,
}

/// The outcomes of a router's connection attempts to backend servers.
///
/// Whether a connection opens is known sooner than whether a request on it is answered, and it does not
/// depend on what the request asks for. Open connections prove nothing: they may work while no new ones
/// open, or stall while new ones work.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    /// When the last attempt failed, for servers whose last attempt did.
    failed_ms: HashMap<Incarnation, u64>,
    /// Servers that failed since a connection to any server last opened.
    failed_in_row: HashSet<Incarnation>,
    /// Servers reached since an attempt at any server last failed, while the path is lost.
    reached_in_row: HashSet<Incarnation>,
    lost_since_ms: Option<u64>,
}

impl ServerPaths {
    /// Records that a connection to a server opened.
    pub fn record_reached(
        &mut self,
        settings: &ServerPathSettings,
        server: Incarnation,
    ) -> Option<PathChange> {
        self.failed_ms.remove(&server);
        self.failed_in_row.clear();
        self.lost_since_ms?;
        self.reached_in_row.insert(server);
        if self.reached_in_row.len() < settings.min_reached {
            return None;
        }
        // What failed because of the path says nothing about its server.
        self.failed_ms.clear();
        self.lost_since_ms = None;
        Some(PathChange::Restored)
    }

    /// Records that no connection to a server opened. `listed` is the number of servers that are
    /// listed.
    pub fn record_failed(
        &mut self,
        settings: &ServerPathSettings,
        server: Incarnation,
        listed: usize,
        now_ms: u64,
    ) -> Option<PathChange> {
        self.failed_ms.insert(server, now_ms);
        self.reached_in_row.clear();
        self.failed_in_row.insert(server);
        let is_lost = self.failed_in_row.len() >= settings.min_failed.min(listed).max(2);
        if !is_lost || self.lost_since_ms.is_some() {
            return None;
        }
        self.lost_since_ms = Some(now_ms);
        Some(PathChange::Lost)
    }

    /// Returns the number of different servers that failed since one was reached.
    pub fn failed_in_row(&self) -> usize {
        self.failed_in_row.len()
    }

    /// Returns since when the path to all servers is lost; `None` if it is not.
    pub fn lost_since_ms(&self) -> Option<u64> {
        self.lost_since_ms
    }

    /// Returns whether a connection to a server is expected to open.
    pub fn is_reachable(
        &self,
        settings: &ServerPathSettings,
        server: Incarnation,
        now_ms: u64,
    ) -> bool {
        if self.lost_since_ms.is_some() && !self.reached_in_row.contains(&server) {
            return false;
        }
        !self.has_failed(settings, server, now_ms)
    }

    /// Returns whether the last connection attempt to a server failed a short time ago.
    pub fn has_failed(
        &self,
        settings: &ServerPathSettings,
        server: Incarnation,
        now_ms: u64,
    ) -> bool {
        let failed_ms = self.failed_ms.get(&server);
        failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + settings.valid_ms)
    }

    /// Returns whether any server may be unreachable.
    pub fn may_exclude_any(&self) -> bool {
        self.lost_since_ms.is_some() || !self.failed_ms.is_empty()
    }

    /// Forgets servers that are not listed, and old failures.
    pub fn retain_listed(
        &mut self,
        settings: &ServerPathSettings,
        listed: &HashSet<Incarnation>,
        now_ms: u64,
    ) {
        self.failed_ms.retain(|server, failed_ms| {
            listed.contains(server) && now_ms < *failed_ms + settings.valid_ms
        });
        self.failed_in_row.retain(|server| listed.contains(server));
    }
}
