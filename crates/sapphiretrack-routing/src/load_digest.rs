//! The load of the whole fleet by server, aggregated by a few routers of each availability zone.
//!
//! Every router reports its own load to two collectors of its zone. Collectors exchange the sums of
//! their zones and send the total back. There is no agreement on the collectors: a router acts as
//! one while it receives reports. All of this is soft state that the next reports restore.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use sapphiretrack_core::RouterId;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, ServerLoad};

/// The load on one server, in a compact encoding.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadEntry {
    /// The server, see [`Incarnation::tag`].
    pub server: u32,
    /// Requests in flight.
    pub in_flight: u16,
    /// Prompt tokens that the server still has to process for them, in units of 64.
    pub prefill_units: u16,
}

impl LoadEntry {
    const UNIT_TOKENS: u64 = 64;

    fn new(server: u32, in_flight: u64, prefill_tokens: u64) -> Self {
        let cap_to_u16 = |value: u64| value.min(u64::from(u16::MAX)) as u16;
        Self {
            server,
            in_flight: cap_to_u16(in_flight),
            prefill_units: cap_to_u16(prefill_tokens.div_ceil(Self::UNIT_TOKENS)),
        }
    }

    fn prefill_tokens(self) -> u64 {
        u64::from(self.prefill_units) * Self::UNIT_TOKENS
    }
}

impl From<&ServerLoad> for LoadEntry {
    fn from(load: &ServerLoad) -> Self {
        let server = Incarnation(load.server).tag();
        let in_flight = u64::from(load.in_flight);
        Self::new(server, in_flight, u64::from(load.prefill_tokens))
    }
}

/// A router's report to its collectors.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the router.
    pub name: String,
    /// Distinguishes the runs of the router.
    pub incarnation: u64,
    /// Increases with each report of a run.
    pub sequence: u64,
    /// Address to which the digest is sent; `None` if another collector sends it.
    pub reply_to: Option<SocketAddr>,
    /// The load that the router puts on servers.
    pub loads: Vec<LoadEntry>,
}

/// The sums of a zone that a collector sends to the collectors of other zones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneLoads {
    /// The collector's availability zone.
    pub zone: String,
    /// The collector's address.
    pub collector: SocketAddr,
    /// Routers that report to it, see [`router_tag`].
    pub live: Vec<u32>,
    /// Routers that used to report to it and stopped.
    pub silent: Vec<u32>,
    /// The sums by server.
    pub loads: Vec<LoadEntry>,
}

/// The totals that a collector sends to the routers that report to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadDigest {
    /// Routers of all availability zones that stopped reporting, see [`router_tag`].
    pub silent: Vec<u32>,
    /// The sums by server.
    pub loads: Vec<LoadEntry>,
}

/// Returns a short tag of a router's name, for compact messages.
pub fn router_tag(name: &str) -> u32 {
    RouterId::from_name(name).0 as u32
}

/// A longer gap between two actions, in milliseconds, means that this router itself was suspended.
const MAX_GAP_MS: u64 = 350;

/// Requests in flight and unprocessed prompt tokens by [`Incarnation::tag`].
pub type LoadsByServer = HashMap<u32, (u32, u64)>;

/// The reporting side: chooses the collectors and stores the digest received from them.
#[derive(Clone, Debug, Default)]
pub struct LoadReporter {
    /// The first collector, and since when it has not answered reports.
    unanswered: Option<(SocketAddr, u64)>,
    reported_ms: u64,
    /// Collectors that did not answer, and until when they are skipped.
    skipped: HashMap<SocketAddr, u64>,
    reported: Vec<LoadEntry>,
    digest: Option<(LoadsByServer, u64)>,
}

impl LoadReporter {
    /// Number of collectors that a router reports to, so that its reports still arrive if one
    /// collector fails.
    const COLLECTOR_COUNT: usize = 2;
    /// Time after which a collector that does not answer reports counts as silent, in milliseconds.
    const SILENT_MS: u64 = 600;
    /// Time for which a silent collector is skipped, in milliseconds.
    const SKIP_MS: u64 = 5_000;
    /// Time for which a digest is valid, in milliseconds.
    const DIGEST_VALID_MS: u64 = 1_000;

    /// Returns the collectors to report to, from the routers of the zone in the order that all of
    /// them agree on. The first one is asked for the digest.
    pub fn collectors(&mut self, ranked: &[SocketAddr], now_ms: u64) -> Vec<SocketAddr> {
        if now_ms >= self.reported_ms + MAX_GAP_MS {
            self.unanswered = None;
        }
        self.reported_ms = now_ms;
        if let Some((collector, since_ms)) = self.unanswered
            && now_ms >= since_ms + Self::SILENT_MS
        {
            self.skipped.insert(collector, now_ms + Self::SKIP_MS);
            self.unanswered = None;
        }
        self.skipped.retain(|_, until_ms| now_ms < *until_ms);
        let answering = ranked.iter().filter(|one| !self.skipped.contains_key(one));
        let chosen: Vec<SocketAddr> = answering.take(Self::COLLECTOR_COUNT).copied().collect();
        if let Some(first) = chosen.first()
            && self.unanswered.is_none_or(|(known, _)| known != *first)
        {
            self.unanswered = Some((*first, now_ms));
        }
        chosen
    }

    /// Records the reported loads, which the digest will include.
    pub fn record_report(&mut self, loads: &[LoadEntry]) {
        self.reported = loads.to_vec();
    }

    /// Applies a digest, without this router's own last report.
    pub fn record_digest(&mut self, from: SocketAddr, loads: &[LoadEntry], now_ms: u64) {
        if let Some((collector, since_ms)) = &mut self.unanswered
            && *collector == from
        {
            *since_ms = now_ms;
        }
        let entries = loads.iter().map(|load| {
            let sums = (u32::from(load.in_flight), load.prefill_tokens());
            (load.server, sums)
        });
        let mut sums: LoadsByServer = entries.collect();
        for own in &self.reported {
            if let Some((in_flight, prefill)) = sums.get_mut(&own.server) {
                *in_flight = in_flight.saturating_sub(u32::from(own.in_flight));
                *prefill = prefill.saturating_sub(own.prefill_tokens());
            }
        }
        self.digest = Some((sums, now_ms));
    }

    /// Returns the load of all other routers; `None` if there is no recent digest.
    pub fn loads(&self, now_ms: u64) -> Option<&LoadsByServer> {
        let (loads, received_ms) = self.digest.as_ref()?;
        (now_ms < received_ms + Self::DIGEST_VALID_MS).then_some(loads)
    }
}

/// The messages that a collector sends.
#[derive(Clone, Debug, PartialEq)]
pub struct CollectedLoads {
    /// The sums of its own availability zone, for the other collectors.
    pub zone: ZoneLoads,
    /// Collectors whose sums were received, which get these sums, besides the routers that rank
    /// first in their zones.
    pub collectors: Vec<SocketAddr>,
    /// The sums of all zones, for the routers that reported.
    pub digest: LoadDigest,
    /// Recipients of the digest; empty while no digest is due.
    pub reporters: Vec<SocketAddr>,
}

/// The collecting side. Any router can become a collector.
#[derive(Clone, Debug, Default)]
pub struct LoadCollector {
    reports: BTreeMap<String, (LoadReport, u64)>,
    /// Keyed by availability zone and collector.
    zones: BTreeMap<(String, SocketAddr), (ZoneLoads, u64)>,
    /// Routers whose reports ended, and when they last reported.
    lost: BTreeMap<String, u64>,
    collected_ms: u64,
    next_digest_ms: u64,
}

impl LoadCollector {
    /// Time for which a report or the sums of a zone are valid, in milliseconds.
    const VALID_MS: u64 = 1_000;
    /// Time without reports after which a router counts as silent, in milliseconds.
    const SILENT_MS: u64 = 600;
    /// Time for which a silent router is listed, in milliseconds. By then the missing heartbeats
    /// show it to the other routers, too.
    const LOST_RETENTION_MS: u64 = 10_000;
    /// Interval between two digests of the usual size, in milliseconds.
    const DIGEST_INTERVAL_MS: u64 = 200;
    /// Maximum rate of digest bytes to one router: larger digests are sent less often.
    const DIGEST_BYTES_PER_S: u64 = 10_000;
    const ENTRY_BYTES: u64 = 8;

    /// Records a report unless a newer one is known.
    pub fn record_report(&mut self, report: LoadReport, now_ms: u64) {
        let known = self.reports.get(&report.name);
        let is_older = known.is_some_and(|(known, received_ms)| {
            now_ms < received_ms + Self::VALID_MS
                && (report.incarnation, report.sequence) <= (known.incarnation, known.sequence)
        });
        if !is_older {
            self.lost.remove(&report.name);
            self.reports.insert(report.name.clone(), (report, now_ms));
        }
    }

    /// Records the sums of another zone, or of another collector of this one.
    pub fn record_zone(&mut self, zone: ZoneLoads, now_ms: u64) {
        let key = (zone.zone.clone(), zone.collector);
        self.zones.insert(key, (zone, now_ms));
    }

    /// Computes the messages to send; `None` while no router reports to this one.
    pub fn collect(
        &mut self,
        zone: &str,
        own_address: SocketAddr,
        now_ms: u64,
    ) -> Option<CollectedLoads> {
        if now_ms >= self.collected_ms + MAX_GAP_MS {
            // After this router was suspended, earlier reports do not show which routers are silent
            // now.
            self.reports.clear();
            self.lost.clear();
        }
        self.collected_ms = now_ms;
        self.remove_expired(now_ms);
        if self.reports.is_empty() {
            return None;
        }
        let reports = self.reports.values();
        let own = ZoneLoads {
            zone: zone.to_owned(),
            collector: own_address,
            live: self.live(now_ms),
            silent: self.silent(now_ms),
            loads: sum(reports.flat_map(|(report, _)| &report.loads)),
        };
        // Collectors of one zone may have reports of different routers: use the sums that cover the
        // most.
        let mut best: BTreeMap<&str, &ZoneLoads> = BTreeMap::from([(zone, &own)]);
        for ((name, _), (loads, _)) in &self.zones {
            let known = best.entry(name).or_insert(loads);
            if loads.live.len() > known.live.len() {
                *known = loads;
            }
        }
        let loads = sum(best.values().flat_map(|loads| &loads.loads));
        // A router may have stopped reporting to only one of its collectors.
        let received = self.zones.values().map(|(one, _)| one);
        let all: Vec<&ZoneLoads> = received.chain([&own]).collect();
        let live: HashSet<u32> = all.iter().flat_map(|one| &one.live).copied().collect();
        let silent = all.iter().flat_map(|one| &one.silent).copied();
        let silent: BTreeSet<u32> = silent.filter(|tag| !live.contains(tag)).collect();
        let silent = silent.into_iter().collect();
        let is_due = now_ms >= self.next_digest_ms;
        if is_due {
            let bytes = loads.len() as u64 * Self::ENTRY_BYTES;
            let interval_ms =
                Self::DIGEST_INTERVAL_MS.max(bytes * 1_000 / Self::DIGEST_BYTES_PER_S);
            self.next_digest_ms = now_ms + interval_ms;
        }
        let reporters = self.reports.values().filter(|_| is_due);
        let reporters = reporters.filter_map(|(report, _)| report.reply_to);
        let collectors: HashSet<SocketAddr> = self.zones.keys().map(|(_, one)| *one).collect();
        Some(CollectedLoads {
            collectors: collectors.into_iter().collect(),
            digest: LoadDigest { silent, loads },
            reporters: reporters.collect(),
            zone: own,
        })
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_valid = |received_ms: u64| now_ms < received_ms + Self::VALID_MS;
        let reports = self.reports.iter();
        let ended = reports.filter(|(_, (_, at_ms))| !is_valid(*at_ms));
        let ended: Vec<(String, u64)> = ended
            .map(|(name, (_, at_ms))| (name.clone(), *at_ms))
            .collect();
        for (name, at_ms) in ended {
            self.reports.remove(&name);
            self.lost.insert(name, at_ms);
        }
        self.lost
            .retain(|_, at_ms| now_ms < *at_ms + Self::LOST_RETENTION_MS);
        self.zones.retain(|_, (_, at_ms)| is_valid(*at_ms));
    }

    /// Returns the tags of the routers that report to this one.
    fn live(&self, now_ms: u64) -> Vec<u32> {
        let live = self.reports.iter();
        let live = live.filter(|(_, (_, at_ms))| now_ms < *at_ms + Self::SILENT_MS);
        live.map(|(name, _)| router_tag(name)).collect()
    }

    /// Returns the tags of the routers that reported to this one and no longer do.
    fn silent(&self, now_ms: u64) -> Vec<u32> {
        let late = self.reports.iter();
        let late = late.filter(|(_, (_, at_ms))| now_ms >= *at_ms + Self::SILENT_MS);
        let names = late.map(|(name, _)| name).chain(self.lost.keys());
        names.map(|name| router_tag(name)).collect()
    }
}

fn sum<'a, Loads>(loads: Loads) -> Vec<LoadEntry>
where
    Loads: Iterator<Item = &'a LoadEntry>,
{
    let mut sums: BTreeMap<u32, (u64, u64)> = BTreeMap::new();
    for load in loads {
        let sum = sums.entry(load.server).or_default();
        sum.0 += u64::from(load.in_flight);
        sum.1 += load.prefill_tokens();
    }
    let entries = sums.into_iter();
    entries
        .map(|(server, (in_flight, prefill))| LoadEntry::new(server, in_flight, prefill))
        .collect()
}
