//! The routers of the cell, merged from heartbeats and the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{
    Damping, FlapHistory, HeartbeatResult, Incarnation, PeerHeartbeat, RosterChange, RouterId,
    RouterProfile, VmRecord, VmRole, VmState,
};

/// Maximum number of routers whose last heartbeat is recorded, so that a replay of it does not add
/// a lost router again. Also the maximum number of introduced routers.
const MAX_REMEMBERED: usize = 1_024;
/// How long a lost router is announced to peers.
const ANNOUNCE_LOST_MS: u64 = 1_000;

/// Timing of the roster.
#[derive(Clone, Copy, Debug)]
pub struct PeerRosterSettings {
    /// Time without a heartbeat after which a peer counts as dead.
    pub dead_after_ms: u64,
    /// Flap damping: how long a returning peer is held back from stewardship.
    pub damping: Damping,
}

/// A peer whose heartbeats are received.
#[derive(Clone, Debug)]
pub struct RosterPeer {
    /// The peer's profile.
    pub profile: RouterProfile,
    /// The peer's configuration version in force, as last seen.
    pub config_version: u64,
    seen_ms: u64,
    /// When the peer last answered a call of this router, or was first seen.
    answered_ms: u64,
    state: VmState,
    has_resigned: bool,
}

/// The record of a router, kept after it is lost.
#[derive(Clone, Copy, Debug, Default)]
struct RouterRecord {
    incarnation: Incarnation,
    sequence: u64,
    /// The latest incarnation known to be leaving.
    leaving_incarnation: Option<Incarnation>,
    /// When the router was last lost.
    lost_ms: Option<u64>,
    flaps: FlapHistory,
    seen_ms: u64,
}

/// The peers of one router.
#[derive(Debug)]
pub struct PeerRoster {
    settings: PeerRosterSettings,
    me: RouterId,
    peers: BTreeMap<RouterId, RosterPeer>,
    records: BTreeMap<RouterId, RouterRecord>,
    listed: BTreeMap<RouterId, ListedRouter>,
    /// Addresses of routers that a peer reported and that were not seen yet.
    introduced: BTreeMap<RouterId, SocketAddr>,
    seen_ms: u64,
}

/// A router in the platform's list.
#[derive(Clone, Debug)]
pub struct ListedRouter {
    /// Its entry in the list.
    pub record: VmRecord,
    /// Address for peers.
    pub peer_address: SocketAddr,
    since_ms: u64,
    refused: bool,
}

impl PeerRoster {
    /// Creates an empty roster for the router `me`.
    pub fn new(me: RouterId, settings: PeerRosterSettings) -> Self {
        Self {
            settings,
            me,
            peers: BTreeMap::new(),
            records: BTreeMap::new(),
            listed: BTreeMap::new(),
            introduced: BTreeMap::new(),
            seen_ms: 0,
        }
    }

    /// Processes a heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now_ms: u64) -> HeartbeatResult {
        if heartbeat.router == self.me {
            return HeartbeatResult::Stale;
        }
        let record = self.records.entry(heartbeat.router).or_default();
        if (heartbeat.incarnation, heartbeat.sequence) <= (record.incarnation, record.sequence) {
            return HeartbeatResult::Stale;
        }
        let known = self.peers.get(&heartbeat.router);
        let restarted = heartbeat.incarnation != record.incarnation;
        let Some(profile) = heartbeat.profile.clone().or_else(|| {
            known
                .filter(|_| !restarted)
                .map(|peer| peer.profile.clone())
        }) else {
            return HeartbeatResult::NeedsProfile;
        };
        if restarted && known.is_some() {
            record.flaps.record(false, &self.settings.damping, now_ms);
        }
        record.flaps.record(true, &self.settings.damping, now_ms);
        record.incarnation = heartbeat.incarnation;
        record.sequence = heartbeat.sequence;
        record.seen_ms = now_ms;
        let listed_leaving = self
            .listed
            .get(&heartbeat.router)
            .is_some_and(|listed| listed.record.state == VmState::Leaving);
        if heartbeat.state == VmState::Leaving || (listed_leaving && known.is_none()) {
            record.leaving_incarnation = Some(heartbeat.incarnation);
        }
        let state = if record.leaving_incarnation == Some(heartbeat.incarnation) {
            VmState::Leaving
        } else {
            VmState::Live
        };
        let change = match known {
            None => Some(RosterChange::Joined(profile.name.clone())),
            Some(peer) if peer.state == VmState::Live && state == VmState::Leaving => {
                Some(RosterChange::Leaving(profile.name.clone()))
            }
            Some(_) => None,
        };
        let answered_ms = known.filter(|_| !restarted).map(|peer| peer.answered_ms);
        self.seen_ms = now_ms;
        let peer = RosterPeer {
            profile,
            config_version: heartbeat.config_version,
            seen_ms: now_ms,
            answered_ms: answered_ms.unwrap_or(now_ms),
            state,
            has_resigned: heartbeat.has_resigned,
        };
        self.peers.insert(heartbeat.router, peer);
        self.introduced.remove(&heartbeat.router);
        self.evict_oldest_record();
        HeartbeatResult::Accepted { change }
    }

    /// Processes the platform's list, which names heartbeat targets and leaving routers.
    pub fn apply_list(&mut self, list: &[VmRecord], now_ms: u64) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let mut listed = BTreeMap::new();
        for record in list {
            let VmRole::Router { peer_address, .. } = &record.role else {
                continue;
            };
            let router = RouterId::from_name(&record.name);
            let before = self.listed.get(&router);
            let was_leaving = before.is_some_and(|entry| entry.record.state == VmState::Leaving);
            let entry = ListedRouter {
                record: record.clone(),
                peer_address: *peer_address,
                since_ms: before.map_or(now_ms, |entry| entry.since_ms),
                refused: before.is_some_and(|entry| entry.refused),
            };
            listed.insert(router, entry);
            if record.state == VmState::Leaving && !was_leaving {
                changes.extend(self.mark_leaving(router));
            }
        }
        // A list without any routers means that the platform lost its data, not that all routers
        // are gone.
        if !listed.is_empty() {
            self.listed = listed;
        }
        changes
    }

    fn mark_leaving(&mut self, router: RouterId) -> Option<RosterChange> {
        let peer = self.peers.get_mut(&router)?;
        let record = self.records.get_mut(&router)?;
        record.leaving_incarnation = Some(record.incarnation);
        let previous = std::mem::replace(&mut peer.state, VmState::Leaving);
        (previous == VmState::Live).then(|| RosterChange::Leaving(peer.profile.name.clone()))
    }

    /// Records addresses of other routers reported by a peer, so that routers that joined through
    /// different peers find each other although no list names them.
    pub fn introduce(&mut self, others: &[(RouterId, SocketAddr)]) {
        for (router, address) in others {
            let known = *router == self.me || self.peers.contains_key(router);
            if !known && self.introduced.len() < MAX_REMEMBERED {
                self.introduced.insert(*router, *address);
            }
        }
    }

    /// Records that a peer answered a call of this router, and its configuration version in force.
    /// Returns whether that version is newer than the last one seen.
    pub fn note_answer(&mut self, router: RouterId, config_version: u64, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get_mut(&router) else {
            return false;
        };
        peer.answered_ms = now_ms;
        let is_newer = config_version > peer.config_version;
        peer.config_version = peer.config_version.max(config_version);
        is_newer
    }

    /// Removes a peer whose address refuses connections, since its process has ended.
    pub fn note_refused(&mut self, router: RouterId, now_ms: u64) -> Option<RosterChange> {
        if let Some(entry) = self.listed.get_mut(&router) {
            entry.refused = true;
        }
        self.introduced.remove(&router);
        self.drop_peer(router, now_ms)
    }

    fn drop_peer(&mut self, router: RouterId, now_ms: u64) -> Option<RosterChange> {
        let peer = self.peers.remove(&router)?;
        let damping = self.settings.damping;
        if let Some(record) = self.records.get_mut(&router) {
            record.flaps.record(false, &damping, now_ms);
            record.lost_ms = Some(now_ms);
        }
        Some(RosterChange::Lost(peer.profile.name))
    }

    /// Removes peers without a recent heartbeat.
    pub fn tick(&mut self, now_ms: u64) -> Vec<RosterChange> {
        let dead_after_ms = self.settings.dead_after_ms;
        let silent: Vec<RouterId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now_ms.saturating_sub(peer.seen_ms) >= dead_after_ms)
            .map(|(router, _)| *router)
            .collect();
        let mut changes = Vec::new();
        for router in silent {
            changes.extend(self.drop_peer(router, now_ms));
        }
        changes
    }

    /// Restarts the heartbeat timeout of all peers, after a pause of this router itself.
    pub fn reset_silence(&mut self, now_ms: u64) {
        self.seen_ms = now_ms;
        for peer in self.peers.values_mut() {
            peer.seen_ms = now_ms;
            peer.answered_ms = now_ms;
        }
    }

    /// The routers that may be stewards, including this one unless it is leaving.
    ///
    /// Peers are excluded if they are leaving, have resigned, are held back by flap damping, or
    /// send heartbeats but do not answer calls. If no router remains, leaving ones that have not
    /// resigned are returned. If there are none of these either, this router stays a steward.
    pub fn steward_candidates(
        &self,
        own: VmState,
        has_resigned: bool,
        now_ms: u64,
    ) -> Vec<RouterId> {
        let mut candidates = self.eligible_peers(VmState::Live, now_ms);
        if own == VmState::Live {
            candidates.push(self.me);
        }
        if candidates.is_empty() {
            candidates = self.eligible_peers(VmState::Leaving, now_ms);
            if !has_resigned || candidates.is_empty() {
                candidates.push(self.me);
            }
        }
        candidates
    }

    fn eligible_peers(&self, state: VmState, now_ms: u64) -> Vec<RouterId> {
        let peers = self.peers.iter().filter(|(router, peer)| {
            peer.state == state && !peer.has_resigned && self.is_eligible(**router, peer, now_ms)
        });
        peers.map(|(router, _)| *router).collect()
    }

    /// The routers that may hold slots: this one, all that are seen, and routers that were listed
    /// too recently to have been seen.
    pub fn holders(&self, now_ms: u64) -> Vec<RouterId> {
        let not_yet_seen = self.listed.iter().filter(|(router, entry)| {
            let is_new = now_ms.saturating_sub(entry.since_ms) < self.settings.dead_after_ms;
            is_new && !entry.refused && !self.peers.contains_key(router) && **router != self.me
        });
        let not_yet_seen = not_yet_seen.map(|(router, _)| *router);
        self.peers
            .keys()
            .copied()
            .chain(not_yet_seen)
            .chain([self.me])
            .collect()
    }

    /// Whether the list names a router other than this one.
    pub fn expects_others(&self) -> bool {
        self.listed.keys().any(|router| *router != self.me)
    }

    /// Whether the list marks this router as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        self.listed
            .get(&self.me)
            .is_some_and(|entry| entry.record.state == VmState::Leaving)
    }

    /// The listed routers that are not leaving, without this one.
    pub fn listed_others(&self) -> impl Iterator<Item = &VmRecord> {
        self.listed
            .iter()
            .filter(|(router, entry)| **router != self.me && entry.record.state == VmState::Live)
            .map(|(_, entry)| &entry.record)
    }

    /// Number of live peers seen within the last `within_ms`.
    pub fn live_seen_within(&self, within_ms: u64, now_ms: u64) -> usize {
        let peers = self.peers.values().filter(|peer| {
            peer.state == VmState::Live && now_ms.saturating_sub(peer.seen_ms) < within_ms
        });
        peers.count()
    }

    /// Number of live routers, listed or seen, including this one.
    pub fn expected_routers(&self) -> usize {
        let listed = self.listed.iter().filter(|(router, entry)| {
            entry.record.state == VmState::Live && !self.peers.contains_key(router)
        });
        let listed = listed.filter(|(router, _)| **router != self.me).count();
        let seen = self.peers.values();
        1 + listed + seen.filter(|peer| peer.state == VmState::Live).count()
    }

    /// Routers lost so recently that their loss is still announced to peers.
    pub fn recently_lost(&self, now_ms: u64) -> Vec<RouterId> {
        let records = self.records.iter().filter(|(router, record)| {
            let is_recent = record
                .lost_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < ANNOUNCE_LOST_MS);
            is_recent && !self.peers.contains_key(router)
        });
        records.map(|(router, _)| *router).collect()
    }

    /// The last sequence number seen from a router; 0 if none.
    pub fn seen_sequence(&self, router: RouterId) -> u64 {
        self.records
            .get(&router)
            .map_or(0, |record| record.sequence)
    }

    /// When a heartbeat of any peer was last received.
    pub fn seen_ms(&self) -> u64 {
        self.seen_ms
    }

    /// The targets of heartbeats: peers that are seen, listed routers, and introduced routers.
    pub fn targets(&self) -> BTreeMap<RouterId, SocketAddr> {
        let listed = self
            .listed
            .iter()
            .filter(|(router, _)| **router != self.me)
            .map(|(router, entry)| (*router, entry.peer_address));
        let seen = self
            .peers
            .iter()
            .map(|(router, peer)| (*router, peer.profile.peer_address));
        let introduced = self.introduced.iter();
        let introduced = introduced.map(|(router, address)| (*router, *address));
        listed.chain(introduced).chain(seen).collect()
    }

    /// All peers whose heartbeats are received.
    pub fn iter(&self) -> impl Iterator<Item = (RouterId, &RosterPeer)> {
        self.peers.iter().map(|(router, peer)| (*router, peer))
    }

    /// The peer with this id, if its heartbeats are received.
    pub fn get(&self, router: RouterId) -> Option<&RosterPeer> {
        self.peers.get(&router)
    }

    /// The latest known incarnation of a router; 0 if none.
    pub fn known_incarnation(&self, router: RouterId) -> Incarnation {
        self.records
            .get(&router)
            .map_or(0, |record| record.incarnation)
    }

    fn is_eligible(&self, router: RouterId, peer: &RosterPeer, now_ms: u64) -> bool {
        let answers = now_ms.saturating_sub(peer.answered_ms) < self.settings.dead_after_ms;
        let is_steady = self
            .records
            .get(&router)
            .is_none_or(|record| record.flaps.is_usable(&self.settings.damping, now_ms));
        answers && is_steady
    }

    fn evict_oldest_record(&mut self) {
        if self.records.len() <= MAX_REMEMBERED {
            return;
        }
        let oldest = self
            .records
            .iter()
            .filter(|(router, _)| !self.peers.contains_key(router))
            .min_by_key(|(_, record)| record.seen_ms)
            .map(|(router, _)| *router);
        if let Some(router) = oldest {
            self.records.remove(&router);
        }
    }
}

impl RosterPeer {
    /// Whether the peer accepts new work; `Leaving` is final for its incarnation.
    pub fn state(&self) -> VmState {
        self.state
    }
}
