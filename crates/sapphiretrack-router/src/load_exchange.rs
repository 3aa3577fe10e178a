//! Exchanges server loads through collectors, for fleets too large to do so by heartbeats alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use sapphiretrack_routing::{
    LoadCollector, LoadDigest, LoadEntry, LoadReport, LoadReporter, LoadsByServer, RankKey,
    RouterMessage, ServerLoad, ZoneLoads,
};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::peer_messages::encode;
use crate::shared::Shared;

/// The interval between a router's load reports.
const REPORT_INTERVAL_MS: u64 = 100;
/// The interval at which a collector adds up reports.
const COLLECT_INTERVAL_MS: u64 = 100;
/// Up to this heartbeat interval, heartbeats alone keep loads fresh enough and no reports are sent.
const FRESH_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// The routers of its own availability zone that a router considers as collectors; later ones are
/// used if earlier ones do not respond.
const COLLECTOR_CANDIDATES: usize = 8;
/// The routers of each availability zone that a collector sends its sums to, in addition to those
/// collectors that it receives sums from.
const COLLECTORS_PER_ZONE: usize = 2;

/// The load exchange: this router's own reports, and the reports that it collects from others.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    reporter: LoadReporter,
    collector: LoadCollector,
}

impl Shared {
    /// The load that this router causes on the servers.
    pub(crate) fn own_loads(&self) -> Vec<ServerLoad> {
        let traffic = self.traffic();
        let busy = traffic.health.iter();
        let busy = busy.filter(|(_, health)| health.in_flight > 0);
        let loads = busy.map(|(server, health)| ServerLoad {
            server: server.0,
            in_flight: health.in_flight.min(u32::from(u16::MAX)) as u16,
            prefill_tokens: health.prefill_tokens.min(u64::from(u32::MAX)) as u32,
        });
        loads.collect()
    }
}

impl LoadExchange {
    /// The load caused by all other routers, if a digest arrived recently.
    pub(crate) fn loads(&self, now_ms: u64) -> Option<&LoadsByServer> {
        self.reporter.loads(now_ms)
    }

    /// Records a router's load report.
    pub(crate) fn record_report(&mut self, report: LoadReport) {
        self.collector.record_report(report, Clock.now_ms());
    }

    /// Records the sums of another collector.
    pub(crate) fn record_zone(&mut self, zone: ZoneLoads) {
        self.collector.record_zone(zone, Clock.now_ms());
    }

    /// Records a digest from a collector.
    pub(crate) fn record_digest(&mut self, from: SocketAddr, digest: &LoadDigest) {
        let now_ms = Clock.now_ms();
        self.reporter.record_digest(from, &digest.loads, now_ms);
    }
}

/// Sends this router's load to its collectors in large fleets, until the process ends.
pub(crate) async fn report_loads(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let incarnation = since.map_or(0, |since| since.as_millis() as u64);
    let mut sequence = 0;
    loop {
        sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        let now_ms = Clock.now_ms();
        let settings = shared.settings();
        let heartbeats_suffice =
            shared.peers().heartbeat_interval_ms() <= FRESH_HEARTBEAT_INTERVAL_MS;
        if heartbeats_suffice {
            continue;
        }
        let own_address = settings.peer_address;
        let ranked = {
            let own = RankKey {
                is_store_failing: false,
                cpu_millicores: settings.cpu_millicores,
            };
            let own = Some((settings.name.as_str(), own, own_address));
            let peers = shared.peers();
            peers.first_of_zone(&settings.zone, own, COLLECTOR_CANDIDATES, now_ms)
        };
        let loads: Vec<LoadEntry> = shared.own_loads().iter().map(LoadEntry::from).collect();
        let collectors = {
            let mut exchange = shared.load_exchange();
            exchange.reporter.record_report(&loads);
            exchange.reporter.collectors(&ranked, now_ms)
        };
        sequence += 1;
        for (index, collector) in collectors.into_iter().enumerate() {
            let report = LoadReport {
                name: settings.name.clone(),
                incarnation,
                sequence,
                reply_to: (index == 0).then_some(own_address),
                loads: loads.clone(),
            };
            if collector == own_address {
                shared.load_exchange().record_report(report);
                continue;
            }
            let message = encode(&RouterMessage::LoadReport(report));
            // A lost report needs no retry: the next one contains the full load.
            drop(socket.send_to(&message, collector).await);
        }
    }
}

/// Adds up the loads that other routers report and distributes the sums, until the process ends.
pub(crate) async fn collect_loads(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        sleep(Duration::from_millis(COLLECT_INTERVAL_MS)).await;
        let now_ms = Clock.now_ms();
        let settings = shared.settings();
        let own_address = settings.peer_address;
        let collected = {
            let mut exchange = shared.load_exchange();
            exchange
                .collector
                .collect(&settings.zone, own_address, now_ms)
        };
        let Some(collected) = collected else {
            continue;
        };
        let mut collectors = collected.collectors;
        {
            let peers = shared.peers();
            for zone in peers.zones() {
                collectors.extend(peers.first_of_zone(zone, None, COLLECTORS_PER_ZONE, now_ms));
            }
        }
        collectors.sort_unstable();
        collectors.dedup();
        let message = encode(&RouterMessage::ZoneLoads(collected.zone));
        for collector in collectors {
            // Lost sums need no retry: the next ones replace them.
            drop(socket.send_to(&message, collector).await);
        }
        let message = encode(&RouterMessage::LoadDigest(collected.digest.clone()));
        for reporter in collected.reporters {
            match reporter == own_address {
                true => shared.apply_digest(own_address, &collected.digest),
                false => drop(socket.send_to(&message, reporter).await),
            }
        }
    }
}
