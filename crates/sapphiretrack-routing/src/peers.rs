//! The other routers, as their heartbeats show them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

use sapphiretrack_core::{RouterId, top_by_rendezvous};
use serde::{Deserialize, Serialize};

use crate::{
    ChangesFragment, CrashRecord, Incarnation, ListingAdvert, LoadDigest, LoadReport,
    LoadsByServer, Recipient, SentPrefix, SentPrompts, ServerChange, ZoneLoads, router_tag,
};

/// Whether callers may be sent to a router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouterState {
    /// It is not ready yet, or not any more.
    NotReady,
    /// It takes callers.
    Ready,
    /// It is on a planned stop; for its incarnation this is final.
    Leaving,
}

/// The load that a router puts on one server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerLoad {
    /// The server's incarnation.
    pub server: u64,
    /// Requests that the router has there.
    pub in_flight: u16,
    /// Prompt tokens that the server has yet to read for them.
    pub prefill_tokens: u32,
}

/// What a router sends to the others several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Its name.
    pub name: String,
    /// Tells its runs apart: when the run began, by the time of day.
    pub incarnation: u64,
    /// Rises with each heartbeat of a run.
    pub sequence: u64,
    /// Its availability zone.
    pub zone: String,
    /// The processor time that its VM gives it, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where it receives messages.
    pub peer_address: SocketAddr,
    /// Whether callers may be sent to it.
    pub state: RouterState,
    /// The load it puts on servers, without those where it has none.
    pub loads: Vec<ServerLoad>,
    /// Whether it knows which servers hold which prompt prefixes.
    pub knows_prefixes: bool,
    /// Prompts that it sent since its last heartbeat.
    pub sent: SentPrompts,
    /// Whether its own calls to the store fail.
    pub is_store_failing: bool,
    /// What it knows of the configuration.
    pub configuration: ListingAdvert,
    /// What it knows of the backend servers.
    pub servers: ListingAdvert,
}

/// A datagram between routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouterMessage {
    /// The regular one.
    Heartbeat(Box<Heartbeat>),
    /// Asks for all prompt prefixes that the other router knows.
    AskPrefixes {
        /// Where to send them.
        reply_to: SocketAddr,
    },
    /// Some of the prefixes that were asked for.
    Prefixes(Vec<SentPrefix>),
    /// How far the sender knows the store's listings; small, so that it may go to all at once.
    Listings {
        /// The sender's name.
        name: String,
        /// What it knows of the configuration.
        configuration: ListingAdvert,
        /// What it knows of the backend servers.
        servers: ListingAdvert,
    },
    /// A router's load, for a collector of its availability zone.
    LoadReport(LoadReport),
    /// The load of a collector's availability zone, for those of the others.
    ZoneLoads(ZoneLoads),
    /// The load of all routers, for one that reported its own.
    LoadDigest(LoadDigest),
    /// Another message, encoded, that the receiver passes on within its availability zone.
    Relay(Vec<u8>),
    /// Changes of the backend servers, as the store listed them.
    Servers {
        /// The changes, or a fragment of them.
        fragment: ChangesFragment,
        /// How far the sender knows the backend servers.
        advert: ListingAdvert,
    },
    /// Evidence against requests that crash servers.
    Crashes {
        /// Some of what the sender knows.
        records: Vec<CrashRecord>,
        /// The digest of all that it would send.
        digest: u64,
        /// Whether it asks for nothing; else who knows something else answers.
        is_final: bool,
    },
    /// First crashes under requests, for the stewards of these requests.
    CrashReports(Vec<CrashRecord>),
}

/// All changes of the backend servers between two versions of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerChanges {
    /// They come after this version.
    pub after: u64,
    /// They go up to this version.
    pub version: u64,
    /// The changes in their order.
    pub changes: Vec<ServerChange>,
}

/// The routers that sent heartbeats.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
    /// Routers that the store lists and that have not sent a heartbeat, and when they were listed.
    listed: BTreeMap<String, (ListedRouter, u64)>,
    /// Routers that collectors know to be silent, and until when that counts.
    silent: HashSet<u32>,
    silent_until_ms: u64,
    heartbeat_interval_ms: u64,
}

/// A router as the store lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRouter {
    /// Its name.
    pub name: String,
    /// Where it receives messages.
    pub address: SocketAddr,
    /// Its availability zone, if the row holds it.
    pub zone: Option<String>,
    /// The processor time that its VM gives it, in thousandths of a core.
    pub cpu_millicores: Option<u32>,
}

/// What decides a router's rank before its id does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankKey {
    /// Whether its own calls to the store fail.
    pub is_store_failing: bool,
    /// The processor time that its VM gives it, in thousandths of a core.
    pub cpu_millicores: u32,
}

impl RankKey {
    /// Sorts before others: the store is reached, then the larger VM. VMs of about the same size
    /// count as equal.
    fn order(self, name: &str) -> (bool, Reverse<u32>, RouterId) {
        let size = self.cpu_millicores.max(1).ilog2();
        (
            self.is_store_failing,
            Reverse(size),
            RouterId::from_name(name),
        )
    }
}

/// Who may be asked for a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Where it receives messages and serves listings.
    pub address: SocketAddr,
    /// Whether it is in the own availability zone.
    pub is_near: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    last_seen_ms: u64,
}

impl PeerTable {
    /// Sets how long it takes until each router has had a heartbeat of each other one.
    pub fn set_heartbeat_interval(&mut self, interval_ms: u64) {
        self.heartbeat_interval_ms = interval_ms;
    }

    /// How long it takes until each router has had a heartbeat of each other one.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        self.heartbeat_interval_ms
    }

    /// How long a silent router counts as live: one heartbeat may be lost. In a large fleet heartbeats come
    /// seldom; with a fixed time each router would take the others for lost by turns.
    fn alive_ms(&self) -> u64 {
        Self::MIN_ALIVE_MS.max(self.heartbeat_interval_ms * 5 / 2)
    }

    /// Whether a router counts as live: its heartbeats come, and no collector misses its reports.
    fn is_live(&self, peer: &Peer, now_ms: u64) -> bool {
        let is_silent = now_ms < self.silent_until_ms
            && !self.silent.is_empty()
            && self.silent.contains(&router_tag(&peer.heartbeat.name));
        !is_silent && now_ms < peer.last_seen_ms + self.alive_ms()
    }

    /// Takes in which routers the collectors miss.
    pub fn note_silent(&mut self, silent: &[u32], now_ms: u64) {
        self.silent = silent.iter().copied().collect();
        self.silent_until_ms = now_ms + Self::SILENT_MS;
    }

    /// How long a collector's word about silent routers counts.
    const SILENT_MS: u64 = 1_000;
    /// How long a silent router is still offered to callers at least: four heartbeats of a small fleet,
    /// so that single lost datagrams do not count.
    const MIN_ALIVE_MS: u64 = 1_000;
    /// How far a router's proof may be behind the newest: two watches of a second, with a margin
    /// for one lost heartbeat.
    const BEHIND_MS: u64 = 2_500;
    /// How long the load of a silent router still counts, in a fleet whose heartbeats come in that time.
    const LOAD_MS: u64 = 2_000;
    /// How long a silent router counts as one that may exist.
    const MAY_EXIST_MS: u64 = 30_000;

    /// Whether a heartbeat is newer than all that were received from its router.
    pub fn is_newer(&self, heartbeat: &Heartbeat, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get(&heartbeat.name) else {
            return true;
        };
        if heartbeat.incarnation == peer.heartbeat.incarnation {
            return heartbeat.sequence > peer.heartbeat.sequence;
        }
        // The number of a run is its start by the time of day, which may step back between two
        // runs: once the last run is silent, a run with a smaller number is a new one, too.
        let was_silent = now_ms >= peer.last_seen_ms + self.alive_ms();
        heartbeat.incarnation > peer.heartbeat.incarnation || was_silent
    }

    /// Takes in a heartbeat; true if the router was not seen before, came back or changed state.
    pub fn note(&mut self, heartbeat: Heartbeat, now_ms: u64) -> bool {
        let alive_ms = self.alive_ms();
        self.listed.remove(&heartbeat.name);
        if !self.is_newer(&heartbeat, now_ms) {
            return false;
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.name) else {
            let name = heartbeat.name.clone();
            let last_seen_ms = now_ms;
            self.peers.insert(
                name,
                Peer {
                    heartbeat,
                    last_seen_ms,
                },
            );
            return true;
        };
        let same_run = heartbeat.incarnation == peer.heartbeat.incarnation;
        let was_silent = now_ms >= peer.last_seen_ms + alive_ms;
        let left = same_run && peer.heartbeat.state == RouterState::Leaving;
        let changed = !same_run || heartbeat.state != peer.heartbeat.state || was_silent;
        peer.last_seen_ms = now_ms;
        peer.heartbeat = heartbeat;
        if left {
            peer.heartbeat.state = RouterState::Leaving;
        }
        changed && !left
    }

    /// Takes in how far a known router knows the store's listings.
    pub fn note_listings(
        &mut self,
        name: &str,
        configuration: ListingAdvert,
        servers: ListingAdvert,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.heartbeat.configuration = configuration;
            peer.heartbeat.servers = servers;
        }
    }

    /// Forgets routers that cannot exist any more; their names.
    pub fn forget_lost(&mut self, now_ms: u64) -> Vec<String> {
        let lost = self.peers.iter();
        let lost = lost.filter(|(_, peer)| now_ms >= peer.last_seen_ms + Self::MAY_EXIST_MS);
        let lost: Vec<String> = lost.map(|(name, _)| name.clone()).collect();
        for name in &lost {
            self.peers.remove(name);
        }
        lost
    }

    /// The routers that callers may be sent to: availability zone and address. `own_proof` is the
    /// store's time up to which this router knows the configuration.
    ///
    /// A router that has fallen behind the others soon refuses keys: callers are kept away from
    /// it before, unless all have fallen behind.
    pub fn ready(&self, own_proof: Option<u64>, now_ms: u64) -> Vec<(&str, SocketAddr)> {
        let live = self.peers.values().filter(|peer| {
            peer.heartbeat.state == RouterState::Ready && self.is_live(peer, now_ms)
        });
        let newest = self.newest_proof(now_ms).max(own_proof);
        let ready = live.filter(|peer| {
            let age_ms = now_ms.saturating_sub(peer.last_seen_ms);
            !Self::is_behind(peer.heartbeat.configuration.proven_store_ms, newest, age_ms)
        });
        let ready = ready.map(|peer| (peer.heartbeat.zone.as_str(), peer.heartbeat.caller_address));
        ready.collect()
    }

    /// Whether this router has fallen behind the others.
    pub fn is_own_behind(&self, own_proof: Option<u64>, now_ms: u64) -> bool {
        Self::is_behind(own_proof, self.newest_proof(now_ms).max(own_proof), 0)
    }

    fn newest_proof(&self, now_ms: u64) -> Option<u64> {
        let live = self.peers.values();
        let live = live.filter(|peer| self.is_live(peer, now_ms));
        live.filter_map(|peer| peer.heartbeat.configuration.proven_store_ms)
            .max()
    }

    /// Whether a proof is behind the newest one. The router may have had later ones since its last
    /// heartbeat, `age_ms` ago.
    fn is_behind(proof: Option<u64>, newest: Option<u64>, age_ms: u64) -> bool {
        let Some(newest) = newest else {
            return false;
        };
        proof.is_none_or(|proof| proof + Self::BEHIND_MS + age_ms < newest)
    }

    /// Notes the routers that the store lists. Until they had time to send a heartbeat they count as
    /// live, so that not every router of a starting fleet ranks first.
    pub fn note_listed<Routers>(&mut self, routers: Routers, now_ms: u64)
    where
        Routers: IntoIterator<Item = ListedRouter>,
    {
        let unknown = routers
            .into_iter()
            .filter(|router| !self.peers.contains_key(&router.name));
        let unknown = unknown.map(|router| (router.name.clone(), (router, now_ms)));
        self.listed = unknown.collect();
    }

    /// How many live routers come before this one in the order that all of them agree on.
    pub fn rank(&self, own_name: &str, own: RankKey, now_ms: u64) -> usize {
        let own_order = own.order(own_name);
        let alive_ms = self.alive_ms();
        let live = self.peers.iter().filter(|(_, peer)| {
            peer.heartbeat.state != RouterState::Leaving && self.is_live(peer, now_ms)
        });
        let live = live.map(|(name, peer)| {
            let key = RankKey {
                is_store_failing: peer.heartbeat.is_store_failing,
                cpu_millicores: peer.heartbeat.cpu_millicores,
            };
            key.order(name)
        });
        let listed = self.listed.values();
        let listed = listed.filter(|(_, listed_ms)| now_ms < listed_ms + alive_ms);
        let listed = listed.map(|(router, _)| {
            let key = RankKey {
                is_store_failing: false,
                // Without a word of its own it counts as of this one's size.
                cpu_millicores: router.cpu_millicores.unwrap_or(own.cpu_millicores),
            };
            key.order(&router.name)
        });
        live.chain(listed)
            .filter(|order| *order < own_order)
            .count()
    }

    /// The routers of an availability zone that come first in the order that all of them agree
    /// on, `own` among them if given.
    pub fn first_of_zone(
        &self,
        zone: &str,
        own: Option<(&str, RankKey, SocketAddr)>,
        count: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let mates = self.peers.iter().filter(|(_, peer)| {
            peer.heartbeat.zone == zone
                && peer.heartbeat.state != RouterState::Leaving
                && self.is_live(peer, now_ms)
        });
        let mates = mates.map(|(name, peer)| {
            let key = RankKey {
                is_store_failing: false,
                cpu_millicores: peer.heartbeat.cpu_millicores,
            };
            (key.order(name), peer.heartbeat.peer_address)
        });
        let own = own.map(|(name, key, address)| (key.order(name), address));
        let mut ranked: Vec<_> = mates.chain(own).collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// The live routers that come first for a key in an order that differs from key to key, `own` among
    /// them.
    pub fn stewards(
        &self,
        key: u64,
        own: (&str, SocketAddr),
        count: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, peer)| {
            peer.heartbeat.state != RouterState::Leaving && self.is_live(peer, now_ms)
        });
        let live = live.map(|(name, peer)| (name.as_str(), peer.heartbeat.peer_address));
        let routers: Vec<(&str, SocketAddr)> = live.chain([own]).collect();
        let id = |router: &(&str, SocketAddr)| (RouterId::from_name(router.0).0, 1.0);
        let first = top_by_rendezvous(key, &routers, count, id);
        first.into_iter().map(|(_, address)| *address).collect()
    }

    /// The availability zones of the other routers.
    pub fn zones(&self) -> BTreeSet<&str> {
        let peers = self.peers.values();
        peers.map(|peer| peer.heartbeat.zone.as_str()).collect()
    }

    /// How many other routers are live.
    pub fn live(&self, now_ms: u64) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| self.is_live(peer, now_ms)).count()
    }

    /// Whether any other router sent a heartbeat lately.
    pub fn is_connected(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| now_ms < peer.last_seen_ms + Self::MIN_ALIVE_MS)
    }

    /// The live routers that know a listing up to a version, as `advert_of` reads it.
    pub fn holders<AdvertOf>(
        &self,
        own_zone: &str,
        version: u64,
        advert_of: AdvertOf,
        now_ms: u64,
    ) -> Vec<Holder>
    where
        AdvertOf: Fn(&Heartbeat) -> &ListingAdvert,
    {
        let live = self.peers.values().filter(|peer| {
            let advert = advert_of(&peer.heartbeat);
            self.is_live(peer, now_ms)
                && advert.proven_store_ms.is_some()
                && advert.changed_version >= version
        });
        let holders = live.map(|peer| Holder {
            address: peer.heartbeat.peer_address,
            is_near: peer.heartbeat.zone == own_zone,
        });
        holders.collect()
    }

    /// Where to ask for prompt prefixes: live routers that know them, of the own availability zone if
    /// there are any.
    pub fn prefix_sources(&self, own_zone: &str, now_ms: u64) -> Vec<SocketAddr> {
        let live = self.peers.values();
        let sources =
            live.filter(|peer| peer.heartbeat.knows_prefixes && self.is_live(peer, now_ms));
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            sources.partition(|peer| peer.heartbeat.zone == own_zone);
        let sources = if near.is_empty() { far } else { near };
        sources
            .into_iter()
            .map(|peer| peer.heartbeat.peer_address)
            .collect()
    }

    /// How many other routers may exist.
    pub fn may_exist(&self) -> usize {
        self.peers.len()
    }

    /// Where messages go: the routers that sent heartbeats, live or not, and those that the store
    /// lists besides.
    pub fn recipients(&self, now_ms: u64) -> Vec<Recipient<'_>> {
        let recent_ms = Self::MIN_ALIVE_MS.max(self.heartbeat_interval_ms * 3 / 2);
        let peers = self.peers.values().map(|peer| Recipient {
            address: peer.heartbeat.peer_address,
            zone: Some(&peer.heartbeat.zone),
            is_live: peer.heartbeat.state != RouterState::Leaving
                && self.is_live(peer, now_ms)
                && now_ms < peer.last_seen_ms + recent_ms,
        });
        let listed = self.listed.values().map(|(router, _)| Recipient {
            address: router.address,
            zone: router.zone.as_deref(),
            is_live: false,
        });
        peers.chain(listed).collect()
    }

    /// The load of all other routers by server.
    pub fn loads(&self, now_ms: u64) -> LoadsByServer {
        let mut sums = LoadsByServer::new();
        let alive = self.peers.values();
        let load_ms = Self::LOAD_MS.max(self.heartbeat_interval_ms * 5 / 4);
        let alive = alive.filter(|peer| now_ms < peer.last_seen_ms + load_ms);
        for load in alive.flat_map(|peer| &peer.heartbeat.loads) {
            let sum = sums.entry(Incarnation(load.server).tag()).or_default();
            sum.0 += u32::from(load.in_flight);
            sum.1 += u64::from(load.prefill_tokens);
        }
        sums
    }
}
