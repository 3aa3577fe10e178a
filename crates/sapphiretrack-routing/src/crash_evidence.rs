//! Tracks which requests were running on backend servers that crashed, to find requests and prompt
//! prefixes that crash one server after another.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::answer_times::AnswerTimes;
use crate::{Fingerprint, Outline};

/// A request, or one with a prompt prefix, was running on a backend server that ended in the middle
/// of its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The request or the prefix.
    pub fingerprint: Fingerprint,
    /// Incarnation of the server.
    pub server: u64,
    /// Time since the crash in milliseconds.
    pub age_ms: u32,
    /// Whether the server must have ended for another reason: the same request later got a complete
    /// answer, or one with this prefix did, later or shortly before.
    pub is_void: bool,
}

/// Numbers of servers that may crash before requests are blocked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashLimits {
    /// Under one request and its copies.
    pub request: usize,
    /// Under requests that share a prompt prefix.
    pub prefix: usize,
}

impl CrashLimits {
    /// Returns the limit that applies to a request or a prefix.
    pub fn of(&self, fingerprint: Fingerprint) -> usize {
        match fingerprint.is_prefix() {
            true => self.prefix,
            false => self.request,
        }
    }
}

/// The crash records at one router. The set only grows until records expire, and routers can merge
/// each other's records in any order and any number of times.
///
/// A crash counts against every request that was running on the server unless the request was answered
/// since, and against the prompt prefixes of these requests unless one with the prefix was answered lately. The first crash
/// of either is recorded only at a few routers, which are chosen by rendezvous hashing. From the
/// second one on a request's records are shared with all routers, and a prefix's from the fourth.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    requests: Entries,
    prefixes: Entries,
    answered_requests: AnswerTimes,
    answered_prefixes: AnswerTimes,
    outlines: HashSet<Outline>,
    /// When each recorded server crashed.
    servers: HashMap<u64, u64>,
    /// Cached digest of the shared records; `None` after a change.
    digest: Option<u64>,
}

/// The crashes under each request or prefix, by incarnation of the server.
type Entries = HashMap<Fingerprint, BTreeMap<u64, Crash>>;

#[derive(Clone, Copy, Debug)]
struct Crash {
    at_ms: u64,
    is_void: bool,
}

impl CrashEvidence {
    /// Minimum number of records of a request for them to be shared with all routers.
    pub const MIN_SHARED_RECORDS: usize = 2;
    /// Minimum number of crashes that count against a prefix for its records to be shared with all
    /// routers: after large failures, harmless prefixes have fewer for a short time.
    pub const MIN_SHARED_PREFIX_CRASHES: usize = 4;
    /// Maximum number of records that are compared and sent at once.
    pub const MAX_SENT: usize = 256;
    /// Time in milliseconds after which a record expires.
    pub const RETENTION_MS: u64 = 3_600_000;
    /// Maximum number of requests kept.
    pub const MAX_REQUESTS: usize = 1_024;
    /// Maximum number of prefixes kept.
    pub const MAX_PREFIXES: usize = 1_024;
    /// Maximum number of servers kept per request or prefix.
    pub const MAX_SERVERS: usize = 16;
    /// Time in milliseconds after an answer to a request with a prefix for which crashes do not count
    /// against the prefix.
    pub const ANSWERED_MS: u64 = 10_000;
    /// Time in milliseconds within which servers crash together.
    pub const TOGETHER_MS: u64 = 500;
    /// Maximum number of servers that count against a prefix if they crash together: they are more
    /// likely to have lost their power or their network.
    pub const MAX_TOGETHER: usize = 2;
    /// Time in milliseconds after a crash for which the server is avoided. Its entry lapses earlier
    /// unless the store is unavailable.
    pub const AVOID_MS: u64 = 30_000;

    /// Records that a server ended while it ran a request, or one with this prefix. Returns the
    /// record; `None` if it was recorded before, exceeds [`Self::MAX_SERVERS`] or does not count.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        server: u64,
        crashed_ms: u64,
    ) -> Option<CrashRecord> {
        let record = CrashRecord {
            fingerprint,
            server,
            age_ms: 0,
            is_void: false,
        };
        if self.was_answered(fingerprint, crashed_ms) {
            return None;
        }
        self.merge_record(&record, crashed_ms).then_some(record)
    }

    /// Records that a request, or one with this prefix, got a complete answer, which voids all records
    /// against it. Returns the records that this voided.
    pub fn record_answered(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        match fingerprint.is_prefix() {
            true => self.answered_prefixes.record(fingerprint, now_ms),
            false => self.answered_requests.record(fingerprint, now_ms),
        }
        self.void(fingerprint, now_ms)
    }

    /// Voids all records against a request or a prefix. Returns the records that this voided.
    pub fn void(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        let mut voided = Vec::new();
        let crashes = self.entries_mut(fingerprint).get_mut(&fingerprint);
        for (server, crash) in crashes.into_iter().flatten() {
            if !crash.is_void {
                crash.is_void = true;
                voided.push(crash.to_record(fingerprint, *server, now_ms));
            }
        }
        if !voided.is_empty() {
            self.digest = None;
        }
        voided
    }

    /// Merges another router's records. Returns those that changed something, as they are kept.
    pub fn merge(&mut self, records: &[CrashRecord], now_ms: u64) -> Vec<CrashRecord> {
        let mut merged = Vec::new();
        for record in records {
            let at_ms = now_ms.saturating_sub(u64::from(record.age_ms));
            let is_void = record.is_void || self.was_answered(record.fingerprint, at_ms);
            let record = CrashRecord { is_void, ..*record };
            if self.merge_record(&record, now_ms) {
                merged.push(record);
            }
        }
        merged
    }

    /// Whether a request was answered after a crash, or one with this prefix shortly before it or later. The
    /// crash may become known only after the answer.
    fn was_answered(&self, fingerprint: Fingerprint, crashed_ms: u64) -> bool {
        let (answered, allowance_ms) = match fingerprint.is_prefix() {
            true => (&self.answered_prefixes, Self::ANSWERED_MS),
            false => (&self.answered_requests, 0),
        };
        let answered_ms = answered.last_ms(fingerprint);
        answered_ms.is_some_and(|at_ms| crashed_ms < at_ms.saturating_add(allowance_ms))
    }

    fn merge_record(&mut self, record: &CrashRecord, now_ms: u64) -> bool {
        let age_ms = u64::from(record.age_ms);
        if age_ms >= Self::RETENTION_MS {
            return false;
        }
        let fingerprint = record.fingerprint;
        if !self.entries(fingerprint).contains_key(&fingerprint) {
            self.evict_one(fingerprint);
            self.outlines.insert(fingerprint.outline);
        }
        let crashes = self.entries_mut(fingerprint).entry(fingerprint);
        let crashes = crashes.or_default();
        if let Some(known) = crashes.get_mut(&record.server) {
            let is_newly_void = record.is_void && !known.is_void;
            known.is_void |= record.is_void;
            if is_newly_void {
                self.digest = None;
            }
            return is_newly_void;
        }
        let crash = Crash {
            at_ms: now_ms.saturating_sub(age_ms),
            is_void: record.is_void,
        };
        crashes.insert(record.server, crash);
        if crashes.len() > Self::MAX_SERVERS {
            // All routers have to drop the same record, whatever the order in which they learn of it.
            let least = crashes.iter();
            let least = least.min_by_key(|(server, crash)| (!crash.is_void, **server));
            let least = least.map(|(server, _)| *server);
            least.and_then(|server| crashes.remove(&server));
            if least == Some(record.server) {
                return false;
            }
        }
        self.servers.insert(record.server, crash.at_ms);
        self.digest = None;
        true
    }

    /// The records of requests, or those of prefixes, whichever this belongs to.
    fn entries(&self, fingerprint: Fingerprint) -> &Entries {
        match fingerprint.is_prefix() {
            true => &self.prefixes,
            false => &self.requests,
        }
    }

    fn entries_mut(&mut self, fingerprint: Fingerprint) -> &mut Entries {
        match fingerprint.is_prefix() {
            true => &mut self.prefixes,
            false => &mut self.requests,
        }
    }

    fn all_entries(&self) -> impl Iterator<Item = (&Fingerprint, &BTreeMap<u64, Crash>)> {
        self.requests.iter().chain(&self.prefixes)
    }

    /// Makes room for an entry if the limit is reached: removes the one with the fewest crashes; among
    /// equals, the one whose last crash is the oldest.
    fn evict_one(&mut self, added: Fingerprint) {
        let limit = match added.is_prefix() {
            true => Self::MAX_PREFIXES,
            false => Self::MAX_REQUESTS,
        };
        let entries = self.entries_mut(added);
        if entries.len() < limit {
            return;
        }
        let fewest = entries.iter().min_by_key(|(fingerprint, crashes)| {
            let last_ms = crashes.values().map(|crash| crash.at_ms).max();
            (count_valid(crashes), last_ms, **fingerprint)
        });
        if let Some(fingerprint) = fewest.map(|(fingerprint, _)| *fingerprint) {
            entries.remove(&fingerprint);
            self.digest = None;
            self.rebuild_indexes();
        }
    }

    fn rebuild_indexes(&mut self) {
        let entries = self.all_entries();
        let outlines = entries.map(|(fingerprint, _)| fingerprint.outline);
        let outlines = outlines.collect();
        let crashes = self.all_entries().flat_map(|(_, crashes)| crashes);
        let servers = crashes.map(|(server, crash)| (*server, crash.at_ms));
        let servers = servers.collect();
        self.outlines = outlines;
        self.servers = servers;
    }

    /// Removes expired records. Returns the requests and prefixes that lost any.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let mut expired = Vec::new();
        for entries in [&mut self.requests, &mut self.prefixes] {
            entries.retain(|fingerprint, crashes| {
                let before = crashes.len();
                crashes.retain(|_, crash| now_ms < crash.at_ms.saturating_add(Self::RETENTION_MS));
                if crashes.len() != before {
                    expired.push(*fingerprint);
                }
                !crashes.is_empty()
            });
        }
        if !expired.is_empty() {
            self.digest = None;
            self.rebuild_indexes();
        }
        expired
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.prefixes.is_empty()
    }

    /// Returns whether there are records of prefixes.
    pub fn has_prefixes(&self) -> bool {
        !self.prefixes.is_empty()
    }

    /// Returns whether an incarnation of a server crashed recently, whichever request caused it.
    pub fn has_crashed(&self, server: u64, now_ms: u64) -> bool {
        let at_ms = self.servers.get(&server);
        at_ms.is_some_and(|at_ms| now_ms < at_ms.saturating_add(Self::AVOID_MS))
    }

    /// Returns whether there may be records of requests with an outline. An outline is cheaper to
    /// compute than a fingerprint.
    pub fn may_have_records(&self, outline: Outline) -> bool {
        self.outlines.contains(&outline)
    }

    /// Returns how many servers a request, or requests with a prefix, have crashed by the valid records.
    /// Of servers that crashed together, [`Self::MAX_TOGETHER`] count against a prefix.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let crashes = self.entries(fingerprint).get(&fingerprint);
        crashes.map_or(0, |crashes| count(fingerprint, crashes))
    }

    /// Returns the incarnations of the servers that crashed under a request or a prefix, by the valid
    /// records.
    pub(crate) fn crashed_servers(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u64> {
        let crashes = self.entries(fingerprint).get(&fingerprint);
        let crashes = crashes.into_iter().flatten();
        let valid = crashes.filter(|(_, crash)| !crash.is_void);
        valid.map(|(server, _)| *server)
    }

    /// Returns the prefixes that have records.
    pub(crate) fn prefixes(&self) -> impl Iterator<Item = Fingerprint> {
        self.prefixes.keys().copied()
    }

    /// Returns the requests and prefixes that crashed as many servers as the limits say, or more.
    pub fn blocked(&self, limits: CrashLimits) -> Vec<Fingerprint> {
        let entries = self.all_entries();
        let mut found: Vec<Fingerprint> = entries
            .filter(|(fingerprint, crashes)| {
                count(**fingerprint, crashes) >= limits.of(**fingerprint)
            })
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        found.sort_unstable();
        found
    }

    /// Returns the records of one request or prefix.
    pub fn records_of(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<CrashRecord> {
        let crashes = self.entries(fingerprint).get(&fingerprint);
        let crashes = crashes.into_iter().flatten();
        crashes
            .map(|(server, crash)| crash.to_record(fingerprint, *server, now_ms))
            .collect()
    }

    /// Returns whether the records of a request or a prefix are shared with all routers.
    pub fn is_shared(&self, fingerprint: Fingerprint) -> bool {
        let crashes = self.entries(fingerprint).get(&fingerprint);
        crashes.is_some_and(|crashes| is_shared(fingerprint, crashes))
    }

    /// Returns whether other routers may hold the record as it was before it became void.
    pub fn was_shared(&self, record: &CrashRecord) -> bool {
        let fingerprint = record.fingerprint;
        let crashes = self.entries(fingerprint).get(&fingerprint);
        match record.is_void && fingerprint.is_prefix() {
            true => crashes.is_some_and(|crashes| {
                count_together(crashes.values()) >= Self::MIN_SHARED_PREFIX_CRASHES
            }),
            false => self.is_shared(fingerprint),
        }
    }

    /// Returns those of another router's records that are void here, as they are kept here.
    pub fn corrections(&self, records: &[CrashRecord], now_ms: u64) -> Vec<CrashRecord> {
        let valid = records.iter().filter(|one| !one.is_void);
        let kept = valid.filter_map(|one| {
            let crashes = self.entries(one.fingerprint).get(&one.fingerprint)?;
            let crash = crashes.get(&one.server)?;
            Some(crash.to_record(one.fingerprint, one.server, now_ms))
        });
        kept.filter(|kept| kept.is_void).collect()
    }

    /// Returns the records that are shared with all routers, at most [`Self::MAX_SENT`].
    pub fn shared_records(&self, now_ms: u64) -> Vec<CrashRecord> {
        self.select(is_shared, Self::MAX_SENT, now_ms)
    }

    /// Returns the digest of the shared records, which is equal on routers with the same records; 0
    /// if there are none.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let digest = CrashRecord::digest(&self.shared_records(0));
        self.digest = Some(digest);
        digest
    }

    /// Returns up to `count` records of requests and prefixes that have at least `min_records` of them,
    /// those with the most crashes first.
    pub fn records(&self, min_records: usize, count: usize, now_ms: u64) -> Vec<CrashRecord> {
        self.select(|_, crashes| crashes.len() >= min_records, count, now_ms)
    }

    fn select<Selects>(&self, selects: Selects, count: usize, now_ms: u64) -> Vec<CrashRecord>
    where
        Selects: Fn(Fingerprint, &BTreeMap<u64, Crash>) -> bool,
    {
        let entries = self.all_entries();
        let mut entries: Vec<_> = entries
            .filter(|(fingerprint, crashes)| selects(**fingerprint, crashes))
            .collect();
        entries.sort_unstable_by_key(|(fingerprint, crashes)| {
            (usize::MAX - count_valid(crashes), **fingerprint)
        });
        let records = entries.into_iter().flat_map(|(fingerprint, crashes)| {
            let crashes = crashes.iter();
            crashes.map(|(server, crash)| crash.to_record(*fingerprint, *server, now_ms))
        });
        records.take(count).collect()
    }
}

impl Crash {
    fn to_record(self, fingerprint: Fingerprint, server: u64, now_ms: u64) -> CrashRecord {
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
    /// Computes a digest of a set of records. It depends neither on their order nor on their age.
    pub fn digest(records: &[Self]) -> u64 {
        let record_digest = |record: &Self| {
            let Fingerprint { outline, hash } = record.fingerprint;
            let parts = [hash as u64, (hash >> 64) as u64, outline.0, record.server];
            let start = u64::from(record.is_void);
            parts.into_iter().fold(start, |sum, part| {
                (sum.rotate_left(23) ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            })
        };
        records
            .iter()
            .map(record_digest)
            .fold(records.len() as u64, u64::wrapping_add)
    }
}

/// Counts the crashes that are held against a request or a prefix.
fn count(fingerprint: Fingerprint, crashes: &BTreeMap<u64, Crash>) -> usize {
    if !fingerprint.is_prefix() {
        return count_valid(crashes);
    }
    count_together(crashes.values().filter(|crash| !crash.is_void))
}

/// Counts crashes; of those that happened together, a few.
fn count_together<'a, Crashes>(crashes: Crashes) -> usize
where
    Crashes: Iterator<Item = &'a Crash>,
{
    let mut times: Vec<u64> = crashes.map(|crash| crash.at_ms).collect();
    times.sort_unstable();
    let mut times = times.into_iter().peekable();
    let mut count = 0;
    while let Some(first_ms) = times.next() {
        let until_ms = first_ms.saturating_add(CrashEvidence::TOGETHER_MS);
        let others = std::iter::from_fn(|| times.next_if(|at_ms| *at_ms < until_ms));
        count += (1 + others.count()).min(CrashEvidence::MAX_TOGETHER);
    }
    count
}

/// Whether the records of a request or a prefix are shared with all routers.
fn is_shared(fingerprint: Fingerprint, crashes: &BTreeMap<u64, Crash>) -> bool {
    match fingerprint.is_prefix() {
        true => count(fingerprint, crashes) >= CrashEvidence::MIN_SHARED_PREFIX_CRASHES,
        false => crashes.len() >= CrashEvidence::MIN_SHARED_RECORDS,
    }
}

fn count_valid(crashes: &BTreeMap<u64, Crash>) -> usize {
    crashes.values().filter(|crash| !crash.is_void).count()
}
