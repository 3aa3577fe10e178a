//! Tracks the other routers by their heartbeats.

mod schedulers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};

use sapphiretrack_core::{RouterId, rendezvous_score, top_by_rendezvous};
use serde::{Deserialize, Serialize};

use crate::{
    ChangesFragment, ColdReport, CrashRecord, EndReport, Incarnation, ListingAdvert, LoadDigest,
    LoadReport, LoadsByServer, OriginRecord, Recipient, SentPrefix, SentPrompts, ServerChange,
    SlotReply, SlotUpdate, ZoneLoads, router_tag,
};

pub use schedulers::SchedulerCandidate;

/// Whether callers may be sent to a router.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouterState {
    /// It is not ready yet, or not any more.
    NotReady,
    /// It accepts callers.
    Ready,
    /// It is on a planned stop; final for its incarnation.
    Leaving,
}

/// The load that a router puts on one server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Incarnation of the server.
    pub server: u64,
    /// Requests that the router has in flight there.
    pub in_flight: u16,
    /// Prompt tokens that the server still has to process for them.
    pub prefill_tokens: u32,
}

/// The state that a router sends to the others several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The router's name.
    pub name: String,
    /// Distinguishes the runs of the router: the wall-clock time at which the run began.
    pub incarnation: u64,
    /// Increases with each heartbeat of a run.
    pub sequence: u64,
    /// Its availability zone.
    pub zone: String,
    /// Processor time that its VM provides, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for messages of other routers.
    pub peer_address: SocketAddr,
    /// Whether callers may be sent to it.
    pub state: RouterState,
    /// The load it puts on servers; servers without any are omitted.
    pub loads: Vec<ServerLoad>,
    /// Whether it has recorded which servers hold which prompt prefixes.
    pub has_prefixes: bool,
    /// Prompts that it sent since its last heartbeat.
    pub sent: SentPrompts,
    /// Whether its own calls to the store fail.
    pub is_store_failing: bool,
    /// State of its configuration.
    pub configuration: ListingAdvert,
    /// State of its list of backend servers.
    pub servers: ListingAdvert,
}

/// A datagram between routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouterMessage {
    /// The periodic state of a router of the first release, whose listings this one cannot read. It is
    /// not a peer: a router that counts on the listings of such routers would never get a change.
    RetiredHeartbeat1,
    /// A request for all prompt prefixes that the receiver has recorded.
    AskPrefixes {
        /// Address to which they are sent.
        reply_to: SocketAddr,
    },
    /// Some of the requested prefixes.
    Prefixes(Vec<SentPrefix>),
    /// How up to date the sender's listings are. Small enough to be sent to all routers at once.
    Listings {
        /// Name of the sender.
        name: String,
        /// State of the sender's configuration.
        configuration: ListingAdvert,
        /// State of the sender's list of backend servers.
        servers: ListingAdvert,
    },
    /// A router's load, for a collector of its availability zone.
    LoadReport(LoadReport),
    /// The load of one availability zone, for the collectors of the others.
    ZoneLoads(ZoneLoads),
    /// The load of all routers, for one that reported its own.
    LoadDigest(LoadDigest),
    /// Another encoded message, which the receiver forwards within its availability zone.
    Relay(Vec<u8>),
    /// Changes of the backend servers from a release that did not list the versions of their software.
    RetiredServers,
    /// Records of requests that crash servers.
    Crashes {
        /// Some of the sender's records.
        records: Vec<CrashRecord>,
        /// Digest of all records that the sender would send.
        digest: u64,
        /// Whether no answer is requested. Otherwise a receiver with a different digest answers.
        is_final: bool,
    },
    /// Records of first crashes, for the routers that keep the records of these requests.
    CrashReports(Vec<CrashRecord>),
    /// Servers that stated that they are cold.
    ColdServers(Vec<ColdReport>),
    /// Listed servers that are gone.
    EndedServers(Vec<EndReport>),
    /// The periodic state of a router of a release that did not list the versions of servers' software.
    /// It is not a peer either.
    RetiredHeartbeat2,
    /// Requests of a service with few slots, for its scheduler.
    SlotUpdate(SlotUpdate),
    /// Decisions of a scheduler.
    SlotReply(SlotReply),
    /// The periodic state of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Changes of the backend servers, as the store listed them.
    Servers {
        /// The changes, or a fragment of them.
        fragment: ChangesFragment,
        /// How up to date the sender's list of backend servers is.
        advert: ListingAdvert,
    },
    /// Which versions of servers' software began streams, for the routers that keep these records.
    StreamOrigins(Vec<OriginRecord>),
}

/// All changes of the backend servers between two versions of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerChanges {
    /// Version that the changes apply to.
    pub after: u64,
    /// Version that results from them.
    pub version: u64,
    /// The changes in order.
    pub changes: Vec<ServerChange>,
}

/// The routers that sent heartbeats, and those that the store lists.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
    /// Routers that the store lists and that have not sent a heartbeat yet, and when they were
    /// listed.
    listed: BTreeMap<String, (ListedRouter, u64)>,
    /// Tags of the routers that collectors report as silent, valid until `silent_until_ms`.
    silent: HashSet<u32>,
    silent_until_ms: u64,
    heartbeat_interval_ms: u64,
}

/// A router as listed by the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRouter {
    /// Name.
    pub name: String,
    /// Address for messages of other routers.
    pub address: SocketAddr,
    /// Its availability zone, if the row contains it.
    pub zone: Option<String>,
    /// Processor time that its VM provides, in thousandths of a core.
    pub cpu_millicores: Option<u32>,
}

/// The criteria that rank routers; ids break ties.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankKey {
    /// Whether its own calls to the store fail.
    pub is_store_failing: bool,
    /// Processor time that its VM provides, in thousandths of a core.
    pub cpu_millicores: u32,
}

impl RankKey {
    /// Returns the sort key of a router: routers that reach the store come first, then those on
    /// larger VMs. VMs of the same power-of-two size class count as equal.
    fn order(self, name: &str) -> (bool, Reverse<u32>, RouterId) {
        let size = self.cpu_millicores.max(1).ilog2();
        (
            self.is_store_failing,
            Reverse(size),
            RouterId::from_name(name),
        )
    }
}

/// A router that can be asked for a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Address for messages and listings.
    pub address: SocketAddr,
    /// Whether it is in the own availability zone.
    pub is_same_zone: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    heartbeat: Heartbeat,
    last_seen_ms: u64,
}

impl PeerTable {
    /// Sets the time until every router has received a heartbeat of every other one, in
    /// milliseconds.
    pub fn set_heartbeat_interval(&mut self, interval_ms: u64) {
        self.heartbeat_interval_ms = interval_ms;
    }

    /// Returns the time until every router has received a heartbeat of every other one, in
    /// milliseconds.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        self.heartbeat_interval_ms
    }

    /// Returns the time without heartbeats after which a router no longer counts as live, in
    /// milliseconds. It allows for one lost heartbeat. It follows the interval, since heartbeats
    /// are rare in a large fleet: with a fixed time routers would repeatedly count each other as
    /// lost.
    fn liveness_timeout_ms(&self) -> u64 {
        Self::MIN_LIVENESS_TIMEOUT_MS.max(self.heartbeat_interval_ms * 5 / 2)
    }

    /// Returns whether a router counts as live: its heartbeats arrive, and no collector reports it
    /// as silent.
    fn is_live(&self, peer: &Peer, now_ms: u64) -> bool {
        let is_silent = now_ms < self.silent_until_ms
            && !self.silent.is_empty()
            && self.silent.contains(&router_tag(&peer.heartbeat.name));
        !is_silent && now_ms < peer.last_seen_ms + self.liveness_timeout_ms()
    }

    /// Records the routers that the collectors report as silent.
    pub fn record_silent(&mut self, silent: &[u32], now_ms: u64) {
        self.silent = silent.iter().copied().collect();
        self.silent_until_ms = now_ms + Self::SILENT_VALID_MS;
    }

    /// Time for which a report of silent routers is valid, in milliseconds.
    const SILENT_VALID_MS: u64 = 1_000;
    /// Minimum time for which a silent router is still offered to callers, in milliseconds: four
    /// heartbeats of a small fleet, so that single lost datagrams do not count.
    const MIN_LIVENESS_TIMEOUT_MS: u64 = 1_000;
    /// How far a router's proof may lag behind the newest, in milliseconds: two watches of a
    /// second, and a margin for one lost heartbeat.
    const MAX_PROOF_LAG_MS: u64 = 2_500;
    /// Minimum time for which the load of a silent router still counts, in milliseconds. Longer in
    /// a fleet whose heartbeats are rarer.
    const MIN_LOAD_VALID_MS: u64 = 2_000;
    /// Time without heartbeats after which a router is removed, in milliseconds.
    const REMOVE_AFTER_MS: u64 = 30_000;

    /// Returns whether a heartbeat is newer than all others received from its router.
    pub fn is_newer(&self, heartbeat: &Heartbeat, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get(&heartbeat.name) else {
            return true;
        };
        if heartbeat.incarnation == peer.heartbeat.incarnation {
            return heartbeat.sequence > peer.heartbeat.sequence;
        }
        // Runs are numbered by the wall-clock time of their start, which may step back between two
        // runs. Once the last run is silent, a run with a smaller number is a new one, too.
        let was_silent = now_ms >= peer.last_seen_ms + self.liveness_timeout_ms();
        heartbeat.incarnation > peer.heartbeat.incarnation || was_silent
    }

    /// Records a heartbeat. Returns true if the router was not known before, came back or changed
    /// state.
    pub fn record(&mut self, heartbeat: Heartbeat, now_ms: u64) -> bool {
        let liveness_timeout_ms = self.liveness_timeout_ms();
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
        let is_same_run = heartbeat.incarnation == peer.heartbeat.incarnation;
        let was_silent = now_ms >= peer.last_seen_ms + liveness_timeout_ms;
        let has_left = is_same_run && peer.heartbeat.state == RouterState::Leaving;
        let has_changed = !is_same_run || heartbeat.state != peer.heartbeat.state || was_silent;
        peer.last_seen_ms = now_ms;
        peer.heartbeat = heartbeat;
        if has_left {
            peer.heartbeat.state = RouterState::Leaving;
        }
        has_changed && !has_left
    }

    /// Records how up to date the listings of a known router are.
    pub fn record_listings(
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

    /// Removes routers that have been silent for too long to still exist. Returns their names.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<String> {
        let lost = self.peers.iter();
        let lost = lost.filter(|(_, peer)| now_ms >= peer.last_seen_ms + Self::REMOVE_AFTER_MS);
        let lost: Vec<String> = lost.map(|(name, _)| name.clone()).collect();
        for name in &lost {
            self.peers.remove(name);
        }
        lost
    }

    /// Returns the availability zone and address of the routers that callers may be sent to.
    /// `own_proof` is the time of the store's clock up to which this router's configuration is
    /// proven to be the newest.
    ///
    /// A router that has fallen behind the others will soon reject keys. Callers are kept away from
    /// it before, unless all routers have fallen behind.
    pub fn ready(&self, own_proof: Option<u64>, now_ms: u64) -> Vec<(&str, SocketAddr)> {
        let ready = self.peers_in(RouterState::Ready, own_proof, now_ms);
        let ready = ready.map(|peer| (peer.heartbeat.zone.as_str(), peer.heartbeat.caller_address));
        ready.collect()
    }

    /// Returns the availability zone and address for messages of the routers in a state that this one
    /// may pass requests to.
    pub fn peer_addresses(
        &self,
        state: RouterState,
        own_proof: Option<u64>,
        now_ms: u64,
    ) -> Vec<(&str, SocketAddr)> {
        let peers = self.peers_in(state, own_proof, now_ms);
        let peers = peers.map(|peer| (peer.heartbeat.zone.as_str(), peer.heartbeat.peer_address));
        peers.collect()
    }

    /// Returns the live routers in a state whose configuration is not behind.
    fn peers_in(
        &self,
        state: RouterState,
        own_proof: Option<u64>,
        now_ms: u64,
    ) -> impl Iterator<Item = &Peer> {
        let live = self
            .peers
            .values()
            .filter(move |peer| peer.heartbeat.state == state && self.is_live(peer, now_ms));
        let newest = self.newest_proof(now_ms).max(own_proof);
        live.filter(move |peer| {
            let age_ms = now_ms.saturating_sub(peer.last_seen_ms);
            !Self::is_behind(peer.heartbeat.configuration.proven_store_ms, newest, age_ms)
        })
    }

    /// Returns whether a router with this IP address is known.
    pub fn is_known_ip(&self, ip: IpAddr) -> bool {
        let peers = self.peers.values();
        let peers = peers.map(|peer| peer.heartbeat.peer_address);
        let listed = self.listed.values().map(|(router, _)| router.address);
        peers.chain(listed).any(|address| address.ip() == ip)
    }

    /// Returns whether the router at a matching address for messages is live.
    pub fn is_live_at<Matches>(&self, now_ms: u64, matches: Matches) -> bool
    where
        Matches: Fn(SocketAddr) -> bool,
    {
        let mut peers = self.peers.values();
        peers.any(|peer| matches(peer.heartbeat.peer_address) && self.is_live(peer, now_ms))
    }

    /// Returns whether this router has fallen behind the others.
    pub fn is_own_behind(&self, own_proof: Option<u64>, now_ms: u64) -> bool {
        Self::is_behind(own_proof, self.newest_proof(now_ms).max(own_proof), 0)
    }

    fn newest_proof(&self, now_ms: u64) -> Option<u64> {
        let live = self.peers.values();
        let live = live.filter(|peer| self.is_live(peer, now_ms));
        live.filter_map(|peer| peer.heartbeat.configuration.proven_store_ms)
            .max()
    }

    /// Returns whether a proof is too far behind the newest one. The router may have had later
    /// proofs since its last heartbeat, `age_ms` ago.
    fn is_behind(proof: Option<u64>, newest: Option<u64>, age_ms: u64) -> bool {
        let Some(newest) = newest else {
            return false;
        };
        proof.is_none_or(|proof| proof + Self::MAX_PROOF_LAG_MS + age_ms < newest)
    }

    /// Records the routers that the store lists. They count as live until they have had time to
    /// send a heartbeat, so that not every router of a starting fleet ranks first.
    pub fn record_listed<Routers>(&mut self, routers: Routers, now_ms: u64)
    where
        Routers: IntoIterator<Item = ListedRouter>,
    {
        let unknown = routers
            .into_iter()
            .filter(|router| !self.peers.contains_key(&router.name));
        let unknown = unknown.map(|router| (router.name.clone(), (router, now_ms)));
        self.listed = unknown.collect();
    }

    /// Returns the number of live routers that rank before this one in the order that all routers
    /// agree on.
    pub fn rank(&self, own_name: &str, own: RankKey, now_ms: u64) -> usize {
        let own_order = own.order(own_name);
        let liveness_timeout_ms = self.liveness_timeout_ms();
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
        let listed = listed.filter(|(_, listed_ms)| now_ms < listed_ms + liveness_timeout_ms);
        let listed = listed.map(|(router, _)| {
            let key = RankKey {
                is_store_failing: false,
                // An unknown size is assumed to equal this router's.
                cpu_millicores: router.cpu_millicores.unwrap_or(own.cpu_millicores),
            };
            key.order(&router.name)
        });
        live.chain(listed)
            .filter(|order| *order < own_order)
            .count()
    }

    /// Returns the first routers of an availability zone in the order that all routers agree on,
    /// including `own` if given.
    pub fn first_of_zone(
        &self,
        zone: &str,
        own: Option<(&str, RankKey, SocketAddr)>,
        count: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let zone_peers = self.peers.iter().filter(|(_, peer)| {
            peer.heartbeat.zone == zone
                && peer.heartbeat.state != RouterState::Leaving
                && self.is_live(peer, now_ms)
        });
        let zone_peers = zone_peers.map(|(name, peer)| {
            let key = RankKey {
                is_store_failing: false,
                cpu_millicores: peer.heartbeat.cpu_millicores,
            };
            (key.order(name), peer.heartbeat.peer_address)
        });
        let own = own.map(|(name, key, address)| (key.order(name), address));
        let mut ranked: Vec<_> = zone_peers.chain(own).collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the live routers, including `own`, that rank first for a key by rendezvous hashing.
    pub fn key_owners(
        &self,
        key: u64,
        own: (&str, SocketAddr),
        count: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        self.first_for_key(key, self.live_routers(now_ms).chain([own]), count)
    }

    /// Returns the routers, including `own`, that rank first for a key by rendezvous hashing: of the live
    /// ones, and of those that the store lists and whose heartbeats have not arrived yet.
    pub fn key_holders(
        &self,
        key: u64,
        own: (&str, SocketAddr),
        count: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let listed = self.listed.iter();
        let listed = listed.map(|(name, (router, _))| (name.as_str(), router.address));
        self.first_for_key(
            key,
            self.live_routers(now_ms).chain(listed).chain([own]),
            count,
        )
    }

    /// Returns the live routers that are not on a planned stop.
    fn live_routers(&self, now_ms: u64) -> impl Iterator<Item = (&str, SocketAddr)> {
        let live = self.peers.iter().filter(move |(_, peer)| {
            peer.heartbeat.state != RouterState::Leaving && self.is_live(peer, now_ms)
        });
        live.map(|(name, peer)| (name.as_str(), peer.heartbeat.peer_address))
    }

    fn first_for_key<'a, Routers>(
        &self,
        key: u64,
        routers: Routers,
        count: usize,
    ) -> Vec<SocketAddr>
    where
        Routers: Iterator<Item = (&'a str, SocketAddr)>,
    {
        let routers: Vec<(&str, SocketAddr)> = routers.collect();
        let id = |router: &(&str, SocketAddr)| (RouterId::from_name(router.0).0, 1.0);
        let first = top_by_rendezvous(key, &routers, count, id);
        first.into_iter().map(|(_, address)| *address).collect()
    }

    /// Returns whether this router is one of the first `owners` for a key by rendezvous hashing.
    ///
    /// A router that is cut off from most of the others must not take over what they own. So
    /// routers that are not live are skipped only while most of those that may exist are live.
    pub fn is_owner(&self, key: u64, own_name: &str, owners: usize, now_ms: u64) -> bool {
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.heartbeat.state != RouterState::Leaving);
        let peers = peers.map(|peer| (&peer.heartbeat.name, self.is_live(peer, now_ms)));
        let listed = self.listed.keys().map(|name| (name, false));
        let others: Vec<(&String, bool)> = peers.chain(listed).collect();
        let live = others.iter().filter(|(_, is_live)| *is_live).count();
        let skips_silent = 2 * (live + 1) > others.len() + 1;
        let score = |name: &str| rendezvous_score(key, RouterId::from_name(name).0, 1.0);
        let own = (score(own_name), own_name);
        let others = others.iter();
        let others = others.filter(|(_, is_live)| *is_live || !skips_silent);
        let ahead = others.filter(|(name, _)| (score(name), name.as_str()) > own);
        ahead.count() < owners
    }

    /// Returns the number of routers that may exist, including this one.
    pub fn fleet_size(&self) -> usize {
        self.peers.len() + self.listed.len() + 1
    }

    /// Returns the number of routers that may send requests to servers, including this one: all but those
    /// that state that they do not.
    pub fn sender_count(&self) -> usize {
        let peers = self.peers.values();
        let idle = peers.filter(|peer| peer.heartbeat.state == RouterState::NotReady);
        self.fleet_size() - idle.count()
    }

    /// Returns the availability zones of the other routers.
    pub fn zones(&self) -> BTreeSet<&str> {
        let peers = self.peers.values();
        peers.map(|peer| peer.heartbeat.zone.as_str()).collect()
    }

    /// Returns the number of other live routers.
    pub fn live(&self, now_ms: u64) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| self.is_live(peer, now_ms)).count()
    }

    /// Returns whether any other router sent a heartbeat recently.
    pub fn is_connected(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| now_ms < peer.last_seen_ms + Self::MIN_LIVENESS_TIMEOUT_MS)
    }

    /// Returns the live routers that have a listing up to a version. `advert_of` selects the
    /// listing.
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
            is_same_zone: peer.heartbeat.zone == own_zone,
        });
        holders.collect()
    }

    /// Returns the addresses of live routers that have recorded prompt prefixes: those of the own
    /// availability zone if there are any, else all.
    pub fn prefix_sources(&self, own_zone: &str, now_ms: u64) -> Vec<SocketAddr> {
        let live = self.peers.values();
        let sources = live.filter(|peer| peer.heartbeat.has_prefixes && self.is_live(peer, now_ms));
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            sources.partition(|peer| peer.heartbeat.zone == own_zone);
        let sources = if near.is_empty() { far } else { near };
        sources
            .into_iter()
            .map(|peer| peer.heartbeat.peer_address)
            .collect()
    }

    /// Returns the number of other routers that may still exist, live or not.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the recipients of messages: the routers that sent heartbeats, live or not, and the
    /// others that the store lists.
    pub fn recipients(&self, now_ms: u64) -> Vec<Recipient<'_>> {
        let recent_ms = Self::MIN_LIVENESS_TIMEOUT_MS.max(self.heartbeat_interval_ms * 3 / 2);
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

    /// Returns the load of all other routers by server.
    pub fn loads(&self, now_ms: u64) -> LoadsByServer {
        let mut sums = LoadsByServer::new();
        let recent = self.peers.values();
        let load_valid_ms = Self::MIN_LOAD_VALID_MS.max(self.heartbeat_interval_ms * 5 / 4);
        let recent = recent.filter(|peer| now_ms < peer.last_seen_ms + load_valid_ms);
        for load in recent.flat_map(|peer| &peer.heartbeat.loads) {
            let sum = sums.entry(Incarnation(load.server).tag()).or_default();
            sum.0 += u32::from(load.in_flight);
            sum.1 += u64::from(load.prefill_tokens);
        }
        sums
    }
}
