//! Which requests ran on backend servers that ended: who takes down one server after the other.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Outline};

/// A request ran on a backend server that ended in the middle of its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnation of the server.
    pub server: u64,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u32,
    /// Whether the same request got a whole answer later: the server ended for another reason.
    pub is_void: bool,
}

/// What a router knows of requests that crash servers: a set of records that only grows, until they expire.
/// Routers merge what they send each other in any order and as often as it comes.
///
/// One crash is evidence against all requests that ran there. Only a few routers, the stewards of a request,
/// learn of its first crash; all learn of it from the second one on.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    requests: HashMap<Fingerprint, BTreeMap<u64, Crash>>,
    outlines: HashSet<Outline>,
    /// The digest of what all routers are to know, until something changes.
    digest: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    at_ms: u64,
    is_void: bool,
}

impl CrashEvidence {
    /// The records of a request from which on all routers are to know them.
    pub const SHARED_FROM: usize = 2;
    /// The most records that are compared and sent at once.
    pub const MAX_SENT: usize = 256;
    /// How long a record counts.
    pub const KEPT_MS: u64 = 3_600_000;
    /// The most requests that are kept.
    pub const MAX_REQUESTS: usize = 1_024;
    /// The most servers that are kept of a request.
    pub const MAX_SERVERS: usize = 16;

    /// Notes that a server ended while it ran a request; none if that is known.
    pub fn note_crash(
        &mut self,
        fingerprint: Fingerprint,
        server: u64,
        now_ms: u64,
    ) -> Option<CrashRecord> {
        let record = CrashRecord {
            fingerprint,
            server,
            age_ms: 0,
            is_void: false,
        };
        self.merge_one(&record, now_ms).then_some(record)
    }

    /// Notes that a request got a whole answer: what is known against it is void. Returns those records.
    pub fn note_answered(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        let mut voided = Vec::new();
        let crashes = self.requests.get_mut(&fingerprint);
        for (server, crash) in crashes.into_iter().flatten() {
            if !crash.is_void {
                crash.is_void = true;
                self.digest = None;
                voided.push(crash.record(fingerprint, *server, now_ms));
            }
        }
        voided
    }

    /// Takes in another router's records; those that were news.
    pub fn merge(&mut self, records: &[CrashRecord], now_ms: u64) -> Vec<CrashRecord> {
        let news = records
            .iter()
            .filter(|record| self.merge_one(record, now_ms));
        news.copied().collect()
    }

    fn merge_one(&mut self, record: &CrashRecord, now_ms: u64) -> bool {
        let age_ms = u64::from(record.age_ms);
        if age_ms >= Self::KEPT_MS {
            return false;
        }
        if !self.requests.contains_key(&record.fingerprint) {
            self.make_room();
            self.outlines.insert(record.fingerprint.outline);
        }
        let crashes = self.requests.entry(record.fingerprint).or_default();
        if let Some(known) = crashes.get_mut(&record.server) {
            let is_news = record.is_void && !known.is_void;
            known.is_void |= record.is_void;
            if is_news {
                self.digest = None;
            }
            return is_news;
        }
        if crashes.len() == Self::MAX_SERVERS {
            return false;
        }
        let crash = Crash {
            at_ms: now_ms.saturating_sub(age_ms),
            is_void: record.is_void,
        };
        crashes.insert(record.server, crash);
        self.digest = None;
        true
    }

    /// Forgets the request with the fewest crashes, and of these the one whose last crash is the oldest.
    fn make_room(&mut self) {
        if self.requests.len() < Self::MAX_REQUESTS {
            return;
        }
        let least = self.requests.iter().min_by_key(|(fingerprint, crashes)| {
            let last_ms = crashes.values().map(|crash| crash.at_ms).max();
            (valid(crashes), last_ms, **fingerprint)
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.digest = None;
            self.requests.remove(&fingerprint);
            self.note_outlines();
        }
    }

    fn note_outlines(&mut self) {
        let requests = self.requests.keys();
        self.outlines = requests.map(|fingerprint| fingerprint.outline).collect();
    }

    /// Forgets what does not count any more; the requests that lost records by it.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let mut expired = Vec::new();
        self.requests.retain(|fingerprint, crashes| {
            let before = crashes.len();
            crashes.retain(|_, crash| now_ms < crash.at_ms.saturating_add(Self::KEPT_MS));
            if crashes.len() != before {
                expired.push(*fingerprint);
            }
            !crashes.is_empty()
        });
        if !expired.is_empty() {
            self.digest = None;
            self.note_outlines();
        }
        expired
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether anything may be known of requests with an outline, which costs less than a fingerprint.
    pub fn may_know(&self, outline: Outline) -> bool {
        self.outlines.contains(&outline)
    }

    /// How many servers a request has crashed, as far as it is known.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.requests.get(&fingerprint).map_or(0, valid)
    }

    /// The requests that crashed at least so many servers.
    pub fn with_crashes(&self, count: usize) -> Vec<Fingerprint> {
        let requests = self.requests.iter();
        let mut found: Vec<Fingerprint> = requests
            .filter(|(_, crashes)| valid(crashes) >= count)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        found.sort_unstable();
        found
    }

    /// The records of one request.
    pub fn records_of(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        let crashes = self.requests.get(&fingerprint);
        let crashes = crashes.into_iter().flatten();
        crashes
            .map(|(server, crash)| crash.record(fingerprint, *server, now_ms))
            .collect()
    }

    /// Whether all routers are to know what is known of a request.
    pub fn is_shared(&self, fingerprint: Fingerprint) -> bool {
        let crashes = self.requests.get(&fingerprint);
        crashes.is_some_and(|crashes| crashes.len() >= Self::SHARED_FROM)
    }

    /// What all routers are to know, up to what is sent at once.
    pub fn shared_records(&self, now_ms: u64) -> Vec<CrashRecord> {
        self.records(Self::SHARED_FROM, Self::MAX_SENT, now_ms)
    }

    /// A number for what all routers are to know: equal at routers that know the same. 0 for nothing.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let digest = CrashRecord::digest(&self.shared_records(0));
        self.digest = Some(digest);
        digest
    }

    /// Up to `count` records of requests with `least` of them at least, those with the most crashes first.
    pub fn records(&self, least: usize, count: usize, now_ms: u64) -> Vec<CrashRecord> {
        let requests = self.requests.iter();
        let mut requests: Vec<_> = requests
            .filter(|(_, crashes)| crashes.len() >= least)
            .collect();
        requests.sort_unstable_by_key(|(fingerprint, crashes)| {
            (usize::MAX - valid(crashes), **fingerprint)
        });
        let records = requests.into_iter().flat_map(|(fingerprint, crashes)| {
            let crashes = crashes.iter();
            crashes.map(|(server, crash)| crash.record(*fingerprint, *server, now_ms))
        });
        records.take(count).collect()
    }
}

impl Crash {
    fn record(self, fingerprint: Fingerprint, server: u64, now_ms: u64) -> CrashRecord {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        CrashRecord {
            fingerprint,
            server,
            age_ms: age_ms.min(u64::from(u32::MAX)) as u32,
            is_void: self.is_void,
        }
    }
}

impl CrashRecord {
    /// A number for what a set of records says: equal sets have equal sums in any order, whenever they
    /// were made.
    pub fn digest(records: &[Self]) -> u64 {
        let one = |record: &Self| {
            let Fingerprint { outline, hash } = record.fingerprint;
            let parts = [hash as u64, (hash >> 64) as u64, outline.0, record.server];
            let start = u64::from(record.is_void);
            parts.into_iter().fold(start, |sum, part| {
                (sum.rotate_left(23) ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            })
        };
        records
            .iter()
            .map(one)
            .fold(records.len() as u64, u64::wrapping_add)
    }
}

fn valid(crashes: &BTreeMap<u64, Crash>) -> usize {
    crashes.values().filter(|crash| !crash.is_void).count()
}
