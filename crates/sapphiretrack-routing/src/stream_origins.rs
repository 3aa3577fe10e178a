//! Records which version of servers' software began each stream, so that a caller may take the stream up
//! again at any router, and decides by what several routers know.

use std::collections::{HashMap, VecDeque};

use sapphiretrack_core::hash_parts;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{ServerEntry, SoftwareVersion};

/// Identifies a stream by its workspace and the attempt that brought its first event. It is a cryptographic
/// hash, so that no workspace can name a stream of another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// Computes the key of a stream from its workspace, its host and the id of the attempt that began it.
    pub fn new(workspace: &str, host: &str, attempt: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [workspace, host, attempt] {
            // The length prefix keeps the boundaries between parts unambiguous.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_le_bytes(first))
    }

    /// Returns the key by which the routers that keep the stream's record are chosen.
    pub fn owner_key(self) -> u64 {
        self.0 as u64
    }
}

/// What a router sends to others about a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version of the software that began it; `None` if it is not certain.
    pub software: Option<SoftwareVersion>,
    /// What the version depends on; `None` if it was confirmed.
    pub unconfirmed: Option<Unconfirmed>,
}

/// A version counts only if the server was still the listed incarnation at a time: it may have started again under its id
/// before.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Unconfirmed {
    /// The listed incarnation of the server.
    pub server: u64,
    /// Time of the store's clock, in milliseconds.
    pub proven_store_ms: u64,
}

impl Unconfirmed {
    /// Returns the dependence on a listed server.
    pub fn new(server: &ServerEntry, proven_store_ms: u64) -> Self {
        Self {
            server: server.incarnation.0,
            proven_store_ms,
        }
    }

    /// Returns whether it is a dependence on this incarnation of a server.
    pub fn is_on(&self, server: &ServerEntry) -> bool {
        server.incarnation.0 == self.server
    }

    /// Returns whether listed servers confirm a version. A server that is listed no more does not: it may have
    /// started again at another one and left before it was listed with it.
    pub fn is_confirmed_by<'a, Listed>(&self, software: SoftwareVersion, listed: Listed) -> bool
    where
        Listed: IntoIterator<Item = &'a ServerEntry>,
    {
        let mut listed = listed.into_iter();
        let server = listed.find(|entry| self.is_on(entry));
        server.is_some_and(|entry| entry.software() == software)
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The version.
    pub software: SoftwareVersion,
    /// What it depends on; `None` if it was confirmed.
    pub unconfirmed: Option<Unconfirmed>,
}

/// What a router knows about the version that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginEvidence {
    /// The stream has a record. `None` if the version that it holds is not certain.
    Recorded(Option<Origin>),
    /// It has no record, and for as long as a stream may last it could begin only at this version.
    Only(SoftwareVersion),
    /// It has no record. As far as the router knows, it could begin only at this version (`None` if no
    /// server was listed), but the router has known too little for too short a time to be certain.
    Lately(Option<SoftwareVersion>),
    /// It has no record, and could begin at any of several versions.
    Several,
}

impl OriginEvidence {
    /// Returns the evidence as that of a router whose list of servers may be older than the stream.
    pub fn without_certainty(self) -> Self {
        match self {
            Self::Only(software) => Self::Lately(Some(software)),
            Self::Recorded(_) | Self::Lately(_) | Self::Several => self,
        }
    }
}

/// Decides which version began a stream by the evidence of several routers; `None` if it is not certain.
pub fn decide_origin<Evidence>(evidence: Evidence) -> Option<Origin>
where
    Evidence: IntoIterator<Item = OriginEvidence>,
{
    let (mut recorded, mut only, mut lately) = (Vec::new(), Vec::new(), Vec::new());
    let mut has_several = false;
    for one in evidence {
        match one {
            OriginEvidence::Recorded(origin) => recorded.push(origin),
            OriginEvidence::Only(software) => only.push(software),
            OriginEvidence::Lately(software) => lately.extend(software),
            OriginEvidence::Several => has_several = true,
        }
    }
    if !recorded.is_empty() {
        let recorded: Option<Vec<Origin>> = recorded.into_iter().collect();
        return agreed_origin(&recorded?);
    }
    let software = *only.first()?;
    let is_sure = !has_several && only.iter().chain(&lately).all(|one| *one == software);
    is_sure.then_some(Origin {
        software,
        unconfirmed: None,
    })
}

/// Returns the origin that all records agree on. It is confirmed if one of them says so.
fn agreed_origin(recorded: &[Origin]) -> Option<Origin> {
    let first = recorded.first()?;
    if recorded.iter().any(|one| one.software != first.software) {
        return None;
    }
    let mut confirmed = recorded.iter().filter(|one| one.unconfirmed.is_none());
    Some(*confirmed.next().unwrap_or(first))
}

/// The records of streams at one router: of those that it relayed to their callers, and of those that it
/// keeps for other routers.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamKey, Record>,
    /// When records were made or renewed, oldest first.
    ages: VecDeque<(u64, StreamKey)>,
    evicted: u64,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    software: Option<SoftwareVersion>,
    unconfirmed: Option<Unconfirmed>,
    renewed_ms: u64,
    /// The server that runs the stream, by the hash of its id, while this router relays it.
    running_at: Option<u64>,
}

impl Record {
    /// Returns what is sent to other routers.
    fn report(&self, key: StreamKey) -> OriginRecord {
        OriginRecord {
            key,
            software: self.software,
            unconfirmed: self.unconfirmed,
        }
    }
}

impl OriginRecord {
    /// Returns the record as evidence.
    pub fn evidence(&self) -> OriginEvidence {
        OriginEvidence::Recorded(self.software.map(|software| Origin {
            software,
            unconfirmed: self.unconfirmed,
        }))
    }
}

impl StreamOrigins {
    /// Maximum number of records kept; beyond it the oldest are dropped.
    pub const MAX_RECORDS: usize = 16_384;

    /// Records that a stream began, or goes on, at a server. Returns what other routers have to know.
    pub fn record_begun(
        &mut self,
        begun: OriginRecord,
        server: Option<&str>,
        now_ms: u64,
    ) -> OriginRecord {
        let known = self.insert(&begun, now_ms);
        if let Some(record) = self.records.get_mut(&begun.key) {
            record.running_at = server.map(server_hash);
        }
        known
    }

    /// Records that this router no longer relays a stream.
    pub fn record_ended(&mut self, key: StreamKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.running_at = None;
        }
    }

    /// Merges the record of another router.
    pub fn merge(&mut self, record: &OriginRecord, now_ms: u64) {
        self.insert(record, now_ms);
    }

    /// Records the servers that are listed now. A stream that still runs at a server whose listed version
    /// changed may have begun at either version: the server may have started again under its id before
    /// the stream began. Returns the records that this changed.
    pub fn record_listed<'a, Listed>(&mut self, listed: Listed) -> Vec<OriginRecord>
    where
        Listed: IntoIterator<Item = &'a ServerEntry>,
    {
        let running = self.records.iter_mut();
        let running = running.filter(|(_, one)| one.running_at.is_some() && one.software.is_some());
        let mut running: Vec<(&StreamKey, &mut Record)> = running.collect();
        if running.is_empty() {
            return Vec::new();
        }
        let listed = listed.into_iter();
        let listed: HashMap<u64, SoftwareVersion> = listed
            .map(|entry| (server_hash(&entry.id), entry.software()))
            .collect();
        let mut changed = Vec::new();
        for (key, record) in &mut running {
            let listed = record.running_at.and_then(|server| listed.get(&server));
            if listed.is_some_and(|software| Some(*software) != record.software) {
                record.software = None;
                changed.push(record.report(**key));
            }
        }
        changed
    }

    /// Confirms the records of streams that depend on a server and began before a time: it ran this version then.
    /// Returns the records that this changed.
    pub fn confirm(&mut self, server: &ServerEntry, proven_store_ms: u64) -> Vec<OriginRecord> {
        let software = server.software();
        let mut confirmed = Vec::new();
        for (key, record) in &mut self.records {
            let is_proven =
                |on: &Unconfirmed| on.is_on(server) && on.proven_store_ms <= proven_store_ms;
            if record.software == Some(software)
                && record.unconfirmed.as_ref().is_some_and(is_proven)
            {
                record.unconfirmed = None;
                confirmed.push(record.report(*key));
            }
        }
        confirmed
    }

    /// Returns the record of a stream; `None` if there is none.
    pub fn get(&self, key: StreamKey) -> Option<OriginRecord> {
        Some(self.records.get(&key)?.report(key))
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<OriginRecord> {
        let records = self.records.iter();
        records.map(|(key, record)| record.report(*key)).collect()
    }

    /// Drops records of streams that no caller takes up any more: those that were not renewed for
    /// `retention_ms`.
    pub fn expire(&mut self, retention_ms: u64, now_ms: u64) {
        while let Some((made_ms, _)) = self.ages.front()
            && now_ms >= made_ms.saturating_add(retention_ms)
        {
            self.drop_oldest();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how many records were dropped so far because there were too many.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Inserts or renews a record. Its version is not certain once two reports disagree, and confirmed once
    /// one report says so.
    fn insert(&mut self, received: &OriginRecord, now_ms: u64) -> OriginRecord {
        let record = self.records.entry(received.key).or_insert(Record {
            software: received.software,
            unconfirmed: received.unconfirmed,
            renewed_ms: now_ms,
            running_at: None,
        });
        if record.software != received.software {
            record.software = None;
        }
        record.unconfirmed = record.unconfirmed.and(received.unconfirmed);
        record.renewed_ms = now_ms;
        let known = record.report(received.key);
        self.ages.push_back((now_ms, received.key));
        while self.ages.len() > Self::MAX_RECORDS {
            self.evicted += u64::from(self.drop_oldest());
        }
        known
    }

    /// Drops the oldest age, and the record that it belongs to unless that was renewed since. Returns
    /// whether a record was dropped.
    fn drop_oldest(&mut self) -> bool {
        let Some((made_ms, key)) = self.ages.pop_front() else {
            return false;
        };
        let record = self.records.get(&key);
        let is_current = record.is_some_and(|record| record.renewed_ms <= made_ms);
        is_current && self.records.remove(&key).is_some()
    }
}

fn server_hash(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}
