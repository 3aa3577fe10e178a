//! Which backend servers there are and which take new work, merged from all signals.
//!
//! The platform's list is a hint that lags, flaps and may come empty after a restart; load
//! reports and what requests meet are first-hand. *Leaving* outranks *live* for an incarnation
//! for good, whichever signal brought it.

use std::collections::BTreeMap;

use crate::{
    Damping, Flaps, Incarnation, LoadReport, ServerId, UNKNOWN_INCARNATION, VmRecord, VmRole,
    VmState,
};

/// Load reports that may fail in a row before a server gets no new work.
const MAX_FAILED_REPORTS: u32 = 3;
/// Incarnations of one server that are remembered as leaving; far more than a list lags behind.
const MAX_LEFT_INCARNATIONS: usize = 8;
/// Leaving marks kept for servers that no list has named yet.
const MAX_EARLY_MARKS: usize = 1_024;

/// Times that rule the roster.
#[derive(Clone, Copy, Debug)]
pub struct ServerRosterSettings {
    /// A server that is missing in the list for so long and does not report is gone.
    pub missing_after_ms: u64,
    /// A server that is missing in a list with other servers for so long is gone, even if
    /// something still answers at its address.
    pub unlisted_after_ms: u64,
    /// How long a load report is passed on.
    pub report_stale_after_ms: u64,
    /// How long a new leaving mark is told to peers.
    pub spread_ms: u64,
    /// Holds flapping servers back.
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

/// A change that is worth an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterChange {
    /// A VM is new.
    Joined(String),
    /// A VM is leaving.
    Leaving(String),
    /// A VM is gone.
    Lost(String),
}

/// What one router knows first-hand of a server, as it tells its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSighting {
    /// The server.
    pub server: ServerId,
    /// Whether its incarnation is leaving.
    pub state: VmState,
    /// Whether it answers and is not held back.
    pub reachable: bool,
    /// Its last load report.
    pub report: LoadReport,
}

/// A backend server, as merged from all signals.
#[derive(Clone, Debug)]
pub struct RosterServer {
    /// Its line of the list, as last seen there.
    pub record: VmRecord,
    /// Its last load report.
    pub report: LoadReport,
    reported_ms: Option<u64>,
    failed_reports: u32,
    flaps: Flaps,
    /// What a peer that watches the server says; first-hand reports replace it.
    told_unreachable: bool,
    /// When it was last in the list.
    listed_ms: u64,
    /// Since when the list, with other servers in it, has left it out.
    unlisted_since_ms: Option<u64>,
    left: Vec<Incarnation>,
    /// The list said leaving before any report told the incarnation.
    first_is_leaving: bool,
    marked_ms: Option<u64>,
}

/// All backend servers that one router knows of.
#[derive(Debug, Default)]
pub struct ServerRoster {
    settings: ServerRosterSettings,
    servers: BTreeMap<ServerId, RosterServer>,
    /// Leaving marks of servers that are not listed yet.
    early_marks: BTreeMap<ServerId, Incarnation>,
}

impl ServerRoster {
    /// An empty roster.
    pub fn new(settings: ServerRosterSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            early_marks: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list. It adds servers and marks leaving ones; what it leaves out
    /// is dropped by [`Self::tick`] only.
    pub fn take_list(&mut self, list: &[VmRecord], now_ms: u64) -> Vec<RosterChange> {
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
                match self.early_marks.remove(&id) {
                    Some(UNKNOWN_INCARNATION) => server.first_is_leaving = true,
                    Some(incarnation) => {
                        server.mark_left(incarnation, now_ms);
                    }
                    None => {}
                }
                self.servers.insert(id, server);
            }
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            if server.take_record(record, now_ms) {
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

    /// Takes in a load report that this router asked for, or that none came.
    pub fn take_report(
        &mut self,
        id: ServerId,
        report: Option<LoadReport>,
        now_ms: u64,
    ) -> Option<RosterChange> {
        let damping = self.settings.damping;
        let server = self.servers.get_mut(&id)?;
        server.told_unreachable = false;
        let Some(report) = report else {
            server.failed_reports = server.failed_reports.saturating_add(1);
            let up = server.failed_reports < MAX_FAILED_REPORTS;
            server.flaps.note(up, &damping, now_ms);
            return None;
        };
        server.failed_reports = 0;
        server.flaps.note(true, &damping, now_ms);
        server
            .take_load(report, report.leaving, now_ms)
            .then(|| RosterChange::Leaving(server.record.name.clone()))
    }

    /// Takes in what a peer knows first-hand.
    pub fn take_sighting(
        &mut self,
        sighting: &ServerSighting,
        now_ms: u64,
    ) -> Option<RosterChange> {
        let server = self.servers.get_mut(&sighting.server)?;
        let older = sighting.report.incarnation < server.report.incarnation;
        if older && server.is_fresh(&self.settings, now_ms) {
            return None;
        }
        let reported_ms = server.reported_ms;
        let leaving = sighting.state == VmState::Leaving;
        let left = server.take_load(sighting.report, leaving, now_ms);
        server.told_unreachable = !sighting.reachable;
        if sighting.reachable {
            server.failed_reports = 0;
            let damping = self.settings.damping;
            server.flaps.note(true, &damping, now_ms);
        } else {
            server.reported_ms = reported_ms;
        }
        left.then(|| RosterChange::Leaving(server.record.name.clone()))
    }

    /// Marks an incarnation as leaving: a request was refused for it, or a peer says so.
    ///
    /// A request that met the server before its first report does not know the incarnation; the
    /// mark then holds for the one that is reported, or for the first that will be.
    pub fn note_leaving(
        &mut self,
        id: ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<RosterChange> {
        let Some(server) = self.servers.get_mut(&id) else {
            if self.early_marks.len() < MAX_EARLY_MARKS {
                self.early_marks.insert(id, incarnation);
            }
            return None;
        };
        let was_leaving = server.is_leaving();
        match (incarnation, server.reported_ms) {
            (UNKNOWN_INCARNATION, None) => server.first_is_leaving = true,
            (UNKNOWN_INCARNATION, Some(_)) => {
                server.mark_left(server.report.incarnation, now_ms);
            }
            _ => {
                server.mark_left(incarnation, now_ms);
            }
        }
        (!was_leaving && server.is_leaving())
            .then(|| RosterChange::Leaving(server.record.name.clone()))
    }

    /// Drops servers that are gone by all signals.
    pub fn tick(&mut self, now_ms: u64) -> Vec<RosterChange> {
        let settings = self.settings;
        let mut changes = Vec::new();
        self.servers.retain(|_, server| {
            let keep = !server.is_gone(&settings, now_ms);
            if !keep {
                changes.push(RosterChange::Lost(server.record.name.clone()));
            }
            keep
        });
        changes
    }

    /// Whether a server takes new work, as far as the roster knows.
    pub fn state(&self, id: ServerId, now_ms: u64) -> Option<VmState> {
        let server = self.servers.get(&id)?;
        let open = !server.is_leaving() && server.is_reachable(&self.settings, now_ms);
        Some(if open {
            VmState::Live
        } else {
            VmState::Leaving
        })
    }

    /// What this router tells of a server that it watches; none before the first report.
    pub fn sighting(&self, id: ServerId, now_ms: u64) -> Option<ServerSighting> {
        let server = self.servers.get(&id)?;
        let reachable = server.is_reachable(&self.settings, now_ms);
        let known_well = server.is_fresh(&self.settings, now_ms) || !reachable;
        let state = if server.is_leaving() {
            VmState::Leaving
        } else {
            VmState::Live
        };
        known_well.then_some(ServerSighting {
            server: id,
            state,
            reachable,
            report: server.report,
        })
    }

    /// Leaving marks that are new enough to be told to peers.
    pub fn new_marks(&self, now_ms: u64) -> Vec<(ServerId, Incarnation)> {
        let marks = self.servers.iter().filter_map(|(id, server)| {
            let marked_ms = server.marked_ms?;
            let fresh = now_ms.saturating_sub(marked_ms) < self.settings.spread_ms;
            fresh.then_some((*id, *server.left.last()?))
        });
        marks.collect()
    }

    /// All servers that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &RosterServer)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// The server of this id.
    pub fn get(&self, id: ServerId) -> Option<&RosterServer> {
        self.servers.get(&id)
    }
}

impl RosterServer {
    /// A server that is new in the list; the line itself is taken in after this.
    fn new(record: VmRecord, now_ms: u64) -> Self {
        Self {
            record: VmRecord {
                state: VmState::Live,
                ..record
            },
            report: LoadReport::default(),
            reported_ms: None,
            failed_reports: 0,
            flaps: Flaps::default(),
            told_unreachable: false,
            listed_ms: now_ms,
            unlisted_since_ms: None,
            left: Vec::new(),
            first_is_leaving: false,
            marked_ms: None,
        }
    }

    /// Whether the list, the server itself or a request that met it says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.record.state == VmState::Leaving
            || self.first_is_leaving
            || self.left.contains(&self.report.incarnation)
    }

    /// Returns whether the line newly says leaving.
    fn take_record(&mut self, record: &VmRecord, now_ms: u64) -> bool {
        let was_leaving = self.is_leaving();
        let turned = record.state == VmState::Leaving && self.record.state == VmState::Live;
        self.record = record.clone();
        self.listed_ms = now_ms;
        self.unlisted_since_ms = None;
        if turned && self.reported_ms.is_some() {
            self.mark_left(self.report.incarnation, now_ms);
        } else if turned {
            self.first_is_leaving = true;
        }
        !was_leaving && self.is_leaving()
    }

    /// Returns whether this makes the server leave.
    fn take_load(&mut self, report: LoadReport, leaving: bool, now_ms: u64) -> bool {
        let was_leaving = self.is_leaving();
        self.report = report;
        self.reported_ms = Some(now_ms);
        if leaving || self.first_is_leaving {
            self.first_is_leaving = false;
            self.mark_left(report.incarnation, now_ms);
        }
        !was_leaving && self.is_leaving()
    }

    /// Returns whether the mark is new.
    fn mark_left(&mut self, incarnation: Incarnation, now_ms: u64) -> bool {
        if self.left.contains(&incarnation) {
            return false;
        }
        if self.left.len() == MAX_LEFT_INCARNATIONS {
            self.left.remove(0);
        }
        self.left.push(incarnation);
        self.marked_ms = Some(now_ms);
        true
    }

    fn is_reachable(&self, settings: &ServerRosterSettings, now_ms: u64) -> bool {
        !self.told_unreachable && self.flaps.is_usable(&settings.damping, now_ms)
    }

    fn is_fresh(&self, settings: &ServerRosterSettings, now_ms: u64) -> bool {
        self.reported_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= settings.report_stale_after_ms)
    }

    fn is_gone(&self, settings: &ServerRosterSettings, now_ms: u64) -> bool {
        let missing_for_ms = now_ms.saturating_sub(self.listed_ms);
        let silent = !self.is_fresh(settings, now_ms)
            || self.told_unreachable
            || self.failed_reports >= MAX_FAILED_REPORTS;
        let unlisted = self
            .unlisted_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= settings.unlisted_after_ms);
        // While no list comes at all, as with the platform down, a server that answers stays.
        unlisted
            || (self.unlisted_since_ms.is_some()
                && silent
                && missing_for_ms >= settings.missing_after_ms)
    }
}
