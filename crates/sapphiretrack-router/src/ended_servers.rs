//! Exchanges with other routers which listed backend servers are gone.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::future::join_all;
use rand::RngExt;
use sapphiretrack_routing::{
    EndEvidence, EndReport, EndedServers, Incarnation, RouterMessage, ServerEntry,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::connect::ConnectError;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::peer_messages::{encode, send_to_all};
use crate::server_paths::is_gone;
use crate::shared::Shared;

/// The longest delay of a report. The delays are random, so that the first router to report a server
/// saves the others their reports.
const MAX_REPORT_DELAY_MS: u64 = 40;
/// The pause after a report, for each router that receives it: while many servers are gone, a router
/// sends about 300 datagrams a second at most, whatever the size of the fleet.
const PAUSE_PER_ROUTER: Duration = Duration::from_micros(3_300);
/// The most reports in one message.
const MAX_REPORTS: usize = 256;

/// The servers that are gone, by observations of this router and of others.
#[derive(Debug, Default)]
pub(crate) struct EndedServerTable {
    servers: Mutex<EndedServers>,
    announcements: Mutex<Vec<EndReport>>,
    announced: Notify,
}

impl EndedServerTable {
    /// Locks the observations.
    pub(crate) fn servers(&self) -> MutexGuard<'_, EndedServers> {
        lock(&self.servers)
    }

    /// Records that another server answers at a server's address.
    pub(crate) fn record_replaced(&self, shared: &Shared, server: &ServerEntry) {
        self.record_own(shared, server, EndEvidence::Replaced);
    }

    /// Records that no connection to a server could be opened.
    pub(crate) fn record_unreachable(
        &self,
        shared: &Shared,
        server: &ServerEntry,
        error: &ConnectError,
    ) {
        let evidence = match error {
            ConnectError::Refused { source, .. }
                if source.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                EndEvidence::Refused
            }
            ConnectError::TimedOut { .. } => EndEvidence::Silent,
            ConnectError::Refused { .. } | ConnectError::Handshake { .. } => return,
        };
        self.record_own(shared, server, evidence);
    }

    fn record_own(&self, shared: &Shared, server: &ServerEntry, evidence: EndEvidence) {
        // A router that reaches no server at all has learned nothing about this one.
        if evidence != EndEvidence::Replaced && shared.server_paths.is_lost() {
            return;
        }
        let settings = shared.settings();
        let report = EndReport {
            server: server.incarnation.0,
            evidence,
        };
        let valid_ms = settings.attempts.reported_ms;
        let now_ms = Clock.now_ms();
        let is_new = self
            .servers()
            .record(report, settings.peer_address, valid_ms, now_ms);
        if is_new && valid_ms > 0 {
            lock(&self.announcements).push(report);
            self.announced.notify_one();
        }
    }

    /// Records reports of another router.
    pub(crate) fn record_reports(&self, shared: &Shared, from: SocketAddr, reports: &[EndReport]) {
        let valid_ms = shared.settings().attempts.reported_ms;
        if valid_ms == 0 {
            return;
        }
        let now_ms = Clock.now_ms();
        let mut servers = self.servers();
        let new = reports
            .iter()
            .filter(|report| servers.record(**report, from, valid_ms, now_ms));
        let new = new.count();
        drop(servers);
        if new > 0 {
            note!(Event::SERVERS_REPORTED_GONE, from = from, servers = new);
        }
        // What others have just reported need not be reported again.
        let reported: HashSet<&EndReport> = reports.iter().collect();
        lock(&self.announcements)
            .retain(|report| !reported.contains(report) || report.evidence == EndEvidence::Silent);
    }

    /// Forgets servers that are no longer listed.
    pub(crate) fn retain_listed(&self, listed: &HashSet<Incarnation>) {
        self.servers().retain_listed(listed, Clock.now_ms());
    }
}

/// Drops reports of servers that only this router does not reach.
async fn confirmed(shared: &Arc<Shared>, reports: Vec<EndReport>) -> Vec<EndReport> {
    let servers = shared.servers.load_full();
    let find = |report: &EndReport| {
        let mut servers = servers.values().flatten();
        servers.find(|one| one.incarnation.0 == report.server)
    };
    let checks = reports.into_iter().map(|report| {
        let server = find(&report).cloned();
        async move {
            let is_confirmed = match server {
                Some(server) if report.evidence != EndEvidence::Replaced => {
                    is_gone(shared, &server).await
                }
                _ => true,
            };
            is_confirmed.then_some(report)
        }
    });
    join_all(checks).await.into_iter().flatten().collect()
}

/// Reports servers that are gone to the other routers, until the process ends. A lost report costs a
/// router an attempt of its own.
pub(crate) async fn report_ended_servers(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut turn = rand::random::<u16>() as usize;
    let table = &shared.ended_servers;
    loop {
        table.announced.notified().await;
        let delay_ms = rand::rng().random_range(0..=MAX_REPORT_DELAY_MS);
        sleep(Duration::from_millis(delay_ms)).await;
        let reports = std::mem::take(&mut *lock(&table.announcements));
        let reports = confirmed(&shared, reports).await;
        for reports in reports.chunks(MAX_REPORTS) {
            turn = turn.wrapping_add(1);
            let message = encode(&RouterMessage::EndedServers(reports.to_vec()));
            send_to_all(&shared, &socket, turn, &message).await;
        }
        let routers = shared.peers().known_count() as u32;
        sleep(PAUSE_PER_ROUTER * routers).await;
    }
}
