//! Tracks listed backend servers that are gone although their entries have not lapsed yet, by what
//! routers observe when they send requests there.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// What a router observed of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum EndEvidence {
    /// Another server answers at its address: this incarnation has ended.
    Replaced,
    /// Its address refuses connections.
    Refused,
    /// Its address does not respond, which may be a fault between it and this router.
    Silent,
}

/// An observation that a router reports to others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EndReport {
    /// Incarnation of the server.
    pub server: u64,
    /// What was observed.
    pub evidence: EndEvidence,
}

/// The observations of this router and of others.
///
/// An entry lapses seconds after its server ended. Without reports each router would learn by
/// failed attempts of its own about each server that ended.
#[derive(Clone, Debug, Default)]
pub struct EndedServers {
    servers: HashMap<Incarnation, Observations>,
}

#[derive(Clone, Debug, Default)]
struct Observations {
    is_replaced: bool,
    refused_ms: Option<u64>,
    /// The last time at which each of the first few routers reported that the server is silent.
    silent: Vec<(SocketAddr, u64)>,
    last_ms: u64,
}

impl EndedServers {
    /// Time in milliseconds for which an observation is remembered. An entry lapses earlier unless
    /// the store is unavailable.
    const REMEMBERED_MS: u64 = 60_000;
    /// Minimum number of routers that must report a server as silent before others avoid it: a
    /// single one may have a faulty link.
    const MIN_SILENT_REPORTERS: usize = 2;
    /// Maximum number of reporters kept per server.
    const MAX_REPORTERS: usize = 4;

    /// Records an observation; `reporter` is the address of the router that made it. Returns whether
    /// it is worth a report to other routers: nothing as strong was known in the last `valid_ms`.
    pub fn record(
        &mut self,
        report: EndReport,
        reporter: SocketAddr,
        valid_ms: u64,
        now_ms: u64,
    ) -> bool {
        let server = Incarnation(report.server);
        let was_known = self.is_known(server, report.evidence, valid_ms, now_ms);
        let observations = self.servers.entry(server).or_default();
        observations.last_ms = now_ms;
        match report.evidence {
            EndEvidence::Replaced => observations.is_replaced = true,
            EndEvidence::Refused => observations.refused_ms = Some(now_ms),
            EndEvidence::Silent => {
                observations.silent.retain(|(known, at_ms)| {
                    *known != reporter && now_ms < at_ms.saturating_add(valid_ms)
                });
                if observations.silent.len() < Self::MAX_REPORTERS {
                    observations.silent.push((reporter, now_ms));
                }
            }
        }
        !was_known
    }

    /// Returns whether a server has ended, so that its address belongs to another one.
    pub fn is_replaced(&self, server: Incarnation) -> bool {
        let observations = self.servers.get(&server);
        observations.is_some_and(|observations| observations.is_replaced)
    }

    /// Returns whether a server should be avoided, by observations of the last `valid_ms`.
    pub fn is_suspect(&self, server: Incarnation, valid_ms: u64, now_ms: u64) -> bool {
        let observations = self.servers.get(&server);
        observations.is_some_and(|observations| {
            observations.is_replaced || observations.is_suspect(valid_ms, now_ms)
        })
    }

    /// Returns whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Forgets servers that are no longer listed, and old observations.
    pub fn retain_listed(&mut self, listed: &HashSet<Incarnation>, now_ms: u64) {
        self.servers.retain(|server, observations| {
            listed.contains(server) && now_ms < observations.last_ms + Self::REMEMBERED_MS
        });
    }

    fn is_known(
        &self,
        server: Incarnation,
        evidence: EndEvidence,
        valid_ms: u64,
        now_ms: u64,
    ) -> bool {
        match evidence {
            EndEvidence::Replaced => self.is_replaced(server),
            EndEvidence::Refused | EndEvidence::Silent => self.is_suspect(server, valid_ms, now_ms),
        }
    }
}

impl Observations {
    fn is_suspect(&self, valid_ms: u64, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms.saturating_add(valid_ms);
        let silent = self.silent.iter().filter(|(_, at_ms)| is_recent(*at_ms));
        self.refused_ms.is_some_and(is_recent)
            || silent.count() >= EndedServers::MIN_SILENT_REPORTERS
    }
}
