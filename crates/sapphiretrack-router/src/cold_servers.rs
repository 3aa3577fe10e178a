//! Limits the requests that this router sends to cold backend servers.

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard};

use sapphiretrack_routing::{
    ColdLimit, ColdReport, ColdServers, ColdShare, Incarnation, PeerTable, RouterState,
    ServerEntry, Service,
};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::shared::Shared;

/// Time after its start for which a router may have been an owner in its former run.
const NEW_ROUTER_MS: u64 = 2_000;

/// What this router knows about cold servers, and its part of the requests to them.
#[derive(Debug, Default)]
pub(crate) struct ColdServerTable {
    servers: Mutex<ColdServers>,
    /// Reports to be sent to the other routers.
    announcements: Mutex<Vec<ColdReport>>,
}

/// The state of the cold servers of one service during a decision.
pub(crate) struct ColdView<'a> {
    shared: &'a Shared,
    servers: MutexGuard<'a, ColdServers>,
    start_ms: u64,
    share: Option<ColdShare>,
    now_ms: u64,
}

impl ColdServerTable {
    /// Records entries of the store or of another router. Servers that were not listed before are
    /// cold, unless the entries are the first whole listing.
    pub(crate) fn record_listed<'a, Entries>(&self, entries: Entries, is_whole_listing: bool)
    where
        Entries: IntoIterator<Item = &'a ServerEntry>,
    {
        let now_ms = Clock.now_ms();
        let mut servers = self.servers();
        for entry in entries {
            let left_ms = entry.cold_left_ms;
            if servers.record_listed(entry.incarnation, left_ms, now_ms) {
                note!(Event::SERVER_COLD, server = entry.id, source = "new");
            } else if servers.record_statement(entry.incarnation, left_ms, now_ms) {
                note!(
                    Event::SERVER_COLD,
                    server = entry.id,
                    source = "entry",
                    left_ms = left_ms
                );
            }
            if left_ms > 0 {
                lock(&self.announcements).push(ColdReport {
                    server: entry.incarnation.0,
                    left_ms,
                    event_age_ms: None,
                });
            }
        }
        if is_whole_listing {
            servers.end_listing();
        }
    }

    /// Records that a server stated in an answer for how long it stays cold.
    pub(crate) fn record_statement(&self, server: &ServerEntry, left_ms: u32) {
        let is_new = self
            .servers()
            .record_statement(server.incarnation, left_ms, Clock.now_ms());
        if is_new {
            note!(
                Event::SERVER_COLD,
                server = server.id,
                source = "answer",
                left_ms = left_ms
            );
            lock(&self.announcements).push(ColdReport {
                server: server.incarnation.0,
                left_ms,
                event_age_ms: None,
            });
        }
    }

    /// Records that the evacuation of a zone ended, after which its servers are cold. Returns their
    /// number.
    pub(crate) fn record_zone_return(&self, shared: &Shared, zone: &str) -> usize {
        let now_ms = Clock.now_ms();
        let mut cold = self.servers();
        let services = shared.servers.load();
        let servers = services.values().flatten();
        let returned = servers.filter(|server| server.zone == zone);
        let returned = returned.map(|server| cold.record_event(server.incarnation, now_ms));
        returned.count()
    }

    /// Records reports of another router.
    pub(crate) fn record_reports(&self, reports: &[ColdReport]) {
        let now_ms = Clock.now_ms();
        let mut servers = self.servers();
        for report in reports {
            servers.record_report(report, now_ms);
        }
    }

    /// Takes the reports that are queued for other routers.
    pub(crate) fn take_announcements(&self) -> Vec<ColdReport> {
        std::mem::take(&mut *lock(&self.announcements))
    }

    /// The reports of all servers that may be cold, for a router that starts.
    pub(crate) fn reports(&self, shared: &Shared) -> Vec<ColdReport> {
        let start_ms = longest_cold_start_ms(shared);
        self.servers().reports(start_ms, Clock.now_ms())
    }

    /// The number of servers that count as cold.
    pub(crate) fn count(&self, shared: &Shared) -> usize {
        self.reports(shared).len()
    }

    /// Forgets servers that have not been listed for long.
    pub(crate) fn retain_listed(&self, listed: &HashSet<Incarnation>) {
        self.servers().retain_listed(listed, Clock.now_ms());
    }

    /// The cold servers of a service; none if no server is cold, or the service sets no limit.
    pub(crate) fn view<'a>(
        &'a self,
        shared: &'a Shared,
        service: &Service,
    ) -> Option<ColdView<'a>> {
        if service.cold_requests_per_s <= 0.0 {
            return None;
        }
        let now_ms = Clock.now_ms();
        let servers = self.servers();
        if !servers.may_be_any(service.cold_start_ms, now_ms) {
            return None;
        }
        let settings = shared.settings();
        let limit = ColdLimit {
            requests_per_s: service.cold_requests_per_s * settings.cold_overrun
                + settings.cold_slack,
        };
        Some(ColdView {
            shared,
            servers,
            start_ms: service.cold_start_ms,
            share: limit.share(shared.peers().fleet_size()),
            now_ms,
        })
    }

    fn servers(&self) -> MutexGuard<'_, ColdServers> {
        lock(&self.servers)
    }
}

impl ColdView<'_> {
    /// Whether a server counts as cold.
    pub(crate) fn is_cold(&self, server: Incarnation) -> bool {
        self.servers.is_cold(server, self.start_ms, self.now_ms)
    }

    /// Whether this router may send a request to a cold server now.
    pub(crate) fn is_due(&mut self, server: Incarnation) -> bool {
        let is_owner = self.update_owner(server).is_some();
        is_owner && self.servers.pace(server).is_due(self.now_ms)
    }

    /// Counts a request that is sent to a cold server now. False if it may not be sent.
    pub(crate) fn try_send(&mut self, server: Incarnation) -> bool {
        let Some(share) = self.update_owner(server) else {
            return false;
        };
        self.servers.pace(server).try_send(share, self.now_ms)
    }

    /// The time until this router may send a request to one of these cold servers, or until one of
    /// them is no longer cold.
    pub(crate) fn wait_ms<'a, Servers>(&mut self, servers: Servers) -> u64
    where
        Servers: IntoIterator<Item = &'a ServerEntry>,
    {
        let times_ms = servers.into_iter().map(|server| {
            let server = server.incarnation;
            let until_ms = self.servers.cold_until_ms(server, self.start_ms);
            let next_ms = self.servers.pace(server).next_ms();
            next_ms.map_or(until_ms, |next_ms| next_ms.min(until_ms))
        });
        let first_ms = times_ms.min().unwrap_or(self.now_ms);
        first_ms.saturating_sub(self.now_ms)
    }

    /// Updates whether this router is an owner of a server. Returns its share if it is.
    fn update_owner(&mut self, server: Incarnation) -> Option<ColdShare> {
        let share = self.share?;
        if self.servers.pace(server).needs_check(self.now_ms) {
            let is_owner = self.is_owner(server, share);
            let is_new = self.shared.activity.uptime_ms() < NEW_ROUTER_MS;
            let pace = self.servers.pace(server);
            pace.record_owner(is_owner, is_new, share, self.now_ms);
        }
        let is_owner = self.servers.pace(server).is_owner();
        is_owner.then_some(share)
    }

    fn is_owner(&self, server: Incarnation, share: ColdShare) -> bool {
        let shared = self.shared;
        let may_own =
            shared.is_discovered.load(Ordering::Relaxed) && shared.state() != RouterState::Leaving;
        let settings = shared.settings();
        let is_owner =
            |peers: &PeerTable| peers.is_owner(server.0, &settings.name, share.owners, self.now_ms);
        may_own && is_owner(&shared.peers())
    }
}

/// The longest time for which servers of any service are cold after they start.
fn longest_cold_start_ms(shared: &Shared) -> u64 {
    let configuration = shared.configuration.load();
    let services = configuration.iter().flat_map(|one| one.services());
    services.map(|one| one.cold_start_ms).max().unwrap_or(0)
}
