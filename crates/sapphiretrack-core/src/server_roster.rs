//! The backend servers and their states, merged from all sources.
//!
//! The platform's list is only a hint: it lags, flaps and may be empty after a restart. Load
//! reports and refused requests are first-hand. Once any source reports an incarnation as
//! *leaving*, it cannot become *live* again.

use std::collections::BTreeMap;

use crate::{
    Damping, FlapHistory, Incarnation, LoadReport, ServerId, UNKNOWN_INCARNATION, VmRecord, VmRole,
    VmState,
};

/// Consecutive failures to get a load report after which a server gets no new work.
const MAX_FAILED_REPORTS: u32 = 3;
/// Number of leaving incarnations recorded per server, far more than a list can lag behind.
const MAX_LEAVING_INCARNATIONS: usize = 8;
/// Maximum number of leaving marks kept for servers that are not listed yet.
const MAX_UNLISTED_MARKS: usize = 1_024;

/// Timing of the roster.
#[derive(Clone, Copy, Debug)]
pub struct ServerRosterSettings {
    /// Time after which a server that is missing from the list and does not report is removed.
    pub missing_after_ms: u64,
    /// Time after which a server missing from a list with other servers is removed, even if its
    /// address still answers.
    pub unlisted_after_ms: u64,
    /// Age up to which a load report counts as fresh and is forwarded to peers.
    pub report_stale_after_ms: u64,
    /// How long a new leaving mark is announced to peers.
    pub spread_ms: u64,
    /// Flap damping of servers.
    pub damping: Damping,
}

impl Default for ServerRosterSettings {
    fn default() -> Self {
        Self {
            missing_after_ms: 5_000,
            unlisted_after_ms: 60_000,
            report_stale_after_ms: 2_000,
            spread_ms: 10_000,
            damping: Damping::default(),
        }
    }
}

/// A change in a roster, to be logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterChange {
    /// A VM was added.
    Joined(String),
    /// A VM started leaving.
    Leaving(String),
    /// A VM was lost.
    Lost(String),
}

/// What a router observed of a server itself, as sent to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSighting {
    /// The server.
    pub server: ServerId,
    /// Whether its incarnation is leaving.
    pub state: VmState,
    /// Whether the server answers and is not held back by flap damping.
    pub reachable: bool,
    /// The server's last load report.
    pub report: LoadReport,
}

/// A backend server, merged from all sources.
#[derive(Clone, Debug)]
pub struct RosterServer {
    /// The server's last entry in the list.
    pub record: VmRecord,
    /// The server's last load report.
    pub report: LoadReport,
    reported_ms: Option<u64>,
    failed_reports: u32,
    flaps: FlapHistory,
    /// Whether a peer reported the server unreachable; cleared by the result of this router's own
    /// request.
    is_reported_unreachable: bool,
    /// When the server was last in the list.
    listed_ms: u64,
    /// Since when the server has been missing from a list that contains other servers.
    unlisted_since_ms: Option<u64>,
    leaving_incarnations: Vec<Incarnation>,
    /// Whether the first reported incarnation is leaving, because the server was marked as leaving
    /// before any report.
    first_is_leaving: bool,
    marked_ms: Option<u64>,
}

/// The backend servers known to a router.
#[derive(Debug, Default)]
pub struct ServerRoster {
    settings: ServerRosterSettings,
    servers: BTreeMap<ServerId, RosterServer>,
    /// Leaving marks of servers that are not listed yet.
    unlisted_marks: BTreeMap<ServerId, Incarnation>,
}

impl ServerRoster {
    /// Creates an empty roster.
    pub fn new(settings: ServerRosterSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            unlisted_marks: BTreeMap::new(),
        }
    }

    /// Processes the platform's list: adds servers and marks leaving ones. Servers missing from the
    /// list are only removed by [`Self::tick`].
    pub fn apply_list(&mut self, list: &[VmRecord], now_ms: u64) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let servers = || {
            list.iter()
                .filter(|record| matches!(record.role, VmRole::Server { .. }))
        };
        for record in servers() {
            let id = ServerId::from_name(&record.name);
            if !self.servers.contains_key(&id) {
                changes.push(RosterChange::Joined(record.name.clone()));
                let mut server = RosterServer::new(record.clone(), now_ms);
                match self.unlisted_marks.remove(&id) {
                    Some(UNKNOWN_INCARNATION) => server.first_is_leaving = true,
                    Some(incarnation) => {
                        server.mark_leaving(incarnation, now_ms);
                    }
                    None => {}
                }
                self.servers.insert(id, server);
            }
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            if server.apply_record(record, now_ms) {
                changes.push(RosterChange::Leaving(record.name.clone()));
            }
        }
        if servers().next().is_some() {
            for server in self.servers.values_mut() {
                if server.listed_ms != now_ms {
                    server.unlisted_since_ms.get_or_insert(now_ms);
                }
            }
        }
        changes
    }

    /// Processes the result of this router's own request for a load report; `None` if it failed.
    pub fn apply_report(
        &mut self,
        id: ServerId,
        report: Option<LoadReport>,
        now_ms: u64,
    ) -> Option<RosterChange> {
        let damping = self.settings.damping;
        let server = self.servers.get_mut(&id)?;
        server.is_reported_unreachable = false;
        let Some(report) = report else {
            server.failed_reports = server.failed_reports.saturating_add(1);
            let up = server.failed_reports < MAX_FAILED_REPORTS;
            server.flaps.record(up, &damping, now_ms);
            return None;
        };
        server.failed_reports = 0;
        server.flaps.record(true, &damping, now_ms);
        server
            .apply_load(report, report.leaving, now_ms)
            .then(|| RosterChange::Leaving(server.record.name.clone()))
    }

    /// Processes what a peer observed of a server itself.
    pub fn merge_sighting(
        &mut self,
        sighting: &ServerSighting,
        now_ms: u64,
    ) -> Option<RosterChange> {
        let server = self.servers.get_mut(&sighting.server)?;
        let is_older = sighting.report.incarnation < server.report.incarnation;
        if is_older && server.is_fresh(&self.settings, now_ms) {
            return None;
        }
        let reported_ms = server.reported_ms;
        let leaving = sighting.state == VmState::Leaving;
        let starts_leaving = server.apply_load(sighting.report, leaving, now_ms);
        server.is_reported_unreachable = !sighting.reachable;
        if sighting.reachable {
            server.failed_reports = 0;
            let damping = self.settings.damping;
            server.flaps.record(true, &damping, now_ms);
        } else {
            server.reported_ms = reported_ms;
        }
        starts_leaving.then(|| RosterChange::Leaving(server.record.name.clone()))
    }

    /// Marks an incarnation as leaving, because it refused a request or a peer reported it.
    ///
    /// If the incarnation is unknown because the request was sent before the first report, the mark
    /// applies to the reported incarnation, or else to the first one to be reported.
    pub fn note_leaving(
        &mut self,
        id: ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<RosterChange> {
        let Some(server) = self.servers.get_mut(&id) else {
            if self.unlisted_marks.len() < MAX_UNLISTED_MARKS {
                self.unlisted_marks.insert(id, incarnation);
            }
            return None;
        };
        let was_leaving = server.is_leaving();
        match (incarnation, server.reported_ms) {
            (UNKNOWN_INCARNATION, None) => server.first_is_leaving = true,
            (UNKNOWN_INCARNATION, Some(_)) => {
                server.mark_leaving(server.report.incarnation, now_ms);
            }
            _ => {
                server.mark_leaving(incarnation, now_ms);
            }
        }
        (!was_leaving && server.is_leaving())
            .then(|| RosterChange::Leaving(server.record.name.clone()))
    }

    /// Removes servers that are gone.
    pub fn tick(&mut self, now_ms: u64) -> Vec<RosterChange> {
        let settings = self.settings;
        let mut changes = Vec::new();
        self.servers.retain(|_, server| {
            let is_kept = !server.is_gone(&settings, now_ms);
            if !is_kept {
                changes.push(RosterChange::Lost(server.record.name.clone()));
            }
            is_kept
        });
        changes
    }

    /// Whether a server accepts new work; unreachable ones count as leaving.
    pub fn state(&self, id: ServerId, now_ms: u64) -> Option<VmState> {
        let server = self.servers.get(&id)?;
        let open = !server.is_leaving() && server.is_reachable(&self.settings, now_ms);
        Some(if open {
            VmState::Live
        } else {
            VmState::Leaving
        })
    }

    /// What this router sends to peers about a server that it watches; `None` if the server is
    /// reachable but has no fresh report.
    pub fn sighting(&self, id: ServerId, now_ms: u64) -> Option<ServerSighting> {
        let server = self.servers.get(&id)?;
        let reachable = server.is_reachable(&self.settings, now_ms);
        let is_conclusive = server.is_fresh(&self.settings, now_ms) || !reachable;
        let state = if server.is_leaving() {
            VmState::Leaving
        } else {
            VmState::Live
        };
        is_conclusive.then_some(ServerSighting {
            server: id,
            state,
            reachable,
            report: server.report,
        })
    }

    /// Leaving marks that are recent enough to be announced to peers.
    pub fn new_marks(&self, now_ms: u64) -> Vec<(ServerId, Incarnation)> {
        let marks = self.servers.iter().filter_map(|(id, server)| {
            let marked_ms = server.marked_ms?;
            let fresh = now_ms.saturating_sub(marked_ms) < self.settings.spread_ms;
            fresh.then_some((*id, *server.leaving_incarnations.last()?))
        });
        marks.collect()
    }

    /// All servers in the roster.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &RosterServer)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// The server with this id.
    pub fn get(&self, id: ServerId) -> Option<&RosterServer> {
        self.servers.get(&id)
    }
}

impl RosterServer {
    /// Creates a newly listed server; its entry in the list is processed separately.
    fn new(record: VmRecord, now_ms: u64) -> Self {
        Self {
            record: VmRecord {
                state: VmState::Live,
                ..record
            },
            report: LoadReport::default(),
            reported_ms: None,
            failed_reports: 0,
            flaps: FlapHistory::default(),
            is_reported_unreachable: false,
            listed_ms: now_ms,
            unlisted_since_ms: None,
            leaving_incarnations: Vec::new(),
            first_is_leaving: false,
            marked_ms: None,
        }
    }

    /// Whether the server is leaving according to the list, its reports, refused requests or peers.
    pub fn is_leaving(&self) -> bool {
        self.record.state == VmState::Leaving
            || self.first_is_leaving
            || self.leaving_incarnations.contains(&self.report.incarnation)
    }

    /// Processes the server's entry in the list; returns whether it makes the server leave.
    fn apply_record(&mut self, record: &VmRecord, now_ms: u64) -> bool {
        let was_leaving = self.is_leaving();
        let starts_leaving = record.state == VmState::Leaving && self.record.state == VmState::Live;
        self.record = record.clone();
        self.listed_ms = now_ms;
        self.unlisted_since_ms = None;
        if starts_leaving && self.reported_ms.is_some() {
            self.mark_leaving(self.report.incarnation, now_ms);
        } else if starts_leaving {
            self.first_is_leaving = true;
        }
        !was_leaving && self.is_leaving()
    }

    /// Processes a load report; returns whether it makes the server leave.
    fn apply_load(&mut self, report: LoadReport, leaving: bool, now_ms: u64) -> bool {
        let was_leaving = self.is_leaving();
        self.report = report;
        self.reported_ms = Some(now_ms);
        if leaving || self.first_is_leaving {
            self.first_is_leaving = false;
            self.mark_leaving(report.incarnation, now_ms);
        }
        !was_leaving && self.is_leaving()
    }

    /// Marks an incarnation as leaving; returns whether the mark is new.
    fn mark_leaving(&mut self, incarnation: Incarnation, now_ms: u64) -> bool {
        if self.leaving_incarnations.contains(&incarnation) {
            return false;
        }
        if self.leaving_incarnations.len() == MAX_LEAVING_INCARNATIONS {
            self.leaving_incarnations.remove(0);
        }
        self.leaving_incarnations.push(incarnation);
        self.marked_ms = Some(now_ms);
        true
    }

    fn is_reachable(&self, settings: &ServerRosterSettings, now_ms: u64) -> bool {
        !self.is_reported_unreachable && self.flaps.is_usable(&settings.damping, now_ms)
    }

    fn is_fresh(&self, settings: &ServerRosterSettings, now_ms: u64) -> bool {
        self.reported_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= settings.report_stale_after_ms)
    }

    fn is_gone(&self, settings: &ServerRosterSettings, now_ms: u64) -> bool {
        let missing_for_ms = now_ms.saturating_sub(self.listed_ms);
        let is_silent = !self.is_fresh(settings, now_ms)
            || self.is_reported_unreachable
            || self.failed_reports >= MAX_FAILED_REPORTS;
        let is_unlisted = self
            .unlisted_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= settings.unlisted_after_ms);
        // Without a list that names other servers, for example while the platform is down, no
        // server is removed.
        is_unlisted
            || (self.unlisted_since_ms.is_some()
                && is_silent
                && missing_for_ms >= settings.missing_after_ms)
    }
}
