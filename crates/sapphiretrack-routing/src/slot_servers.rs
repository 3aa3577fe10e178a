//! The servers of a service with few slots: their windows and occupied slots, and how long requests
//! take there.

use std::collections::BTreeMap;

use crate::slot_window::{SlotWindow, TimeEstimate};
use crate::{EndedRequest, Incarnation, SlotOutcome};

/// Servers and the slots that are occupied.
#[derive(Clone, Debug)]
pub(crate) struct SlotServers {
    windows: BTreeMap<u64, SlotWindow>,
    /// Occupied slots by server, also of servers that are not listed.
    occupied: BTreeMap<u64, u32>,
    /// Time from sending a request to the end of its answer.
    service: TimeEstimate,
    /// Time from a grant to the release of its slot.
    cycle: TimeEstimate,
}

impl SlotServers {
    pub(crate) fn new(default_service_ms: u64) -> Self {
        let default_ms = default_service_ms as f64;
        Self {
            windows: BTreeMap::new(),
            occupied: BTreeMap::new(),
            service: TimeEstimate::new(default_ms),
            cycle: TimeEstimate::new(default_ms),
        }
    }

    /// Replaces the servers that may receive requests; known ones keep their windows.
    pub(crate) fn set_listed(&mut self, servers: &[(Incarnation, u32)]) {
        let former = std::mem::take(&mut self.windows);
        for (server, slots) in servers {
            let known = former.get(&server.0);
            let known = known.filter(|window| window.slots() == (*slots).max(1));
            let window = known.cloned().unwrap_or_else(|| SlotWindow::new(*slots));
            self.windows.insert(server.0, window);
        }
    }

    pub(crate) fn listed(&self) -> impl Iterator<Item = (Incarnation, u32)> {
        let windows = self.windows.iter();
        windows.map(|(server, window)| (Incarnation(*server), window.slots()))
    }

    pub(crate) fn is_listed(&self, server: u64) -> bool {
        self.windows.contains_key(&server)
    }

    /// Windows and occupied slots by server.
    pub(crate) fn windows(&self) -> impl Iterator<Item = (Incarnation, u32, u32)> {
        let windows = self.windows.iter();
        windows
            .map(|(server, window)| (Incarnation(*server), window.size(), self.occupied(*server)))
    }

    /// Learns from a request that ended. `cycle_ms` is the time since its grant, where it is known.
    pub(crate) fn record_ended(
        &mut self,
        ended: &EndedRequest,
        cycle_ms: Option<u64>,
        has_queue: bool,
        now_ms: u64,
    ) {
        if ended.outcome == SlotOutcome::Served {
            self.service.record(f64::from(ended.took_ms));
            if let Some(cycle_ms) = cycle_ms {
                self.cycle.record(cycle_ms as f64);
            }
        }
        let cycle_ms = self.cycle_ms();
        if let Some(window) = self.windows.get_mut(&ended.server) {
            window.record(ended, has_queue, cycle_ms, now_ms);
        }
    }

    pub(crate) fn occupy(&mut self, server: u64) {
        *self.occupied.entry(server).or_default() += 1;
    }

    pub(crate) fn release(&mut self, server: u64) {
        if let Some(count) = self.occupied.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.occupied.remove(&server);
            }
        }
    }

    /// Number of occupied slots of all servers.
    pub(crate) fn occupied_count(&self) -> usize {
        self.occupied.values().map(|count| *count as usize).sum()
    }

    pub(crate) fn service_ms(&self) -> f64 {
        self.service.mean_ms()
    }

    pub(crate) fn deviation_ms(&self) -> f64 {
        self.service.deviation_ms()
    }

    fn occupied(&self, server: u64) -> u32 {
        self.occupied.get(&server).copied().unwrap_or(0)
    }

    pub(crate) fn free_slots(&self) -> u32 {
        let windows = self.windows.iter();
        let free =
            windows.map(|(server, window)| window.size().saturating_sub(self.occupied(*server)));
        free.sum()
    }

    /// Returns the server with the lowest window utilization that has room.
    pub(crate) fn choose(&self, excluded: &[u32]) -> Option<u64> {
        let windows = self.windows.iter().filter_map(|(server, window)| {
            let occupied = self.occupied(*server);
            let is_usable =
                occupied < window.size() && !excluded.contains(&Incarnation(*server).tag());
            is_usable.then(|| (f64::from(occupied) / f64::from(window.size()), *server))
        });
        let lowest = windows.min_by(|a, b| a.0.total_cmp(&b.0));
        lowest.map(|(_, server)| server)
    }

    pub(crate) fn has_server_for(&self, excluded: &[u32]) -> bool {
        let mut servers = self.windows.keys();
        servers.any(|server| !excluded.contains(&Incarnation(*server).tag()))
    }

    /// Time for which a request occupies its slot, in milliseconds.
    pub(crate) fn cycle_ms(&self) -> f64 {
        match self.cycle.is_known() {
            true => self.cycle.mean_ms(),
            false => self.service.mean_ms(),
        }
    }

    /// Time between two slots that become free, in milliseconds.
    pub(crate) fn per_slot_ms(&self) -> f64 {
        let windows: u32 = self.windows.values().map(SlotWindow::size).sum();
        self.cycle_ms() / f64::from(windows.max(1))
    }
}
