//! A simulated router: the decision logic of the daemon with a view of its own.

mod heartbeats;
mod load;
mod slots;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sapphiretrack_core::{
    Candidate, CellView, ChatKey, ConsentSettings, DrainSettings, Ledger, LedgerSettings,
    LoadReport, PlacementMemory, PlacementRequest, PlacementSettings, PoolKind, PoolView,
    RequesterLoad, ReservationId, RouterId, ServerId, ServerView, StewardBackoff,
    StewardBackoffSettings, StewardConsents, VmState, WarmHint, WorkspaceKey, WorkspaceShares,
    rank_servers, steward_of,
};

use super::trace::Turn;

/// A router without a heartbeat for this long is not considered live.
const DEAD_AFTER_MS: u64 = 3_000;
/// Capacity of a router's placement memory, in chats.
const MEMORY_CHATS: usize = 100_000;

/// A simulated router.
pub(crate) struct Router {
    pub(crate) id: RouterId,
    router_ids: Vec<RouterId>,
    servers: Vec<ServerId>,
    placement: PlacementSettings,
    drain: DrainSettings,
    steward_consents: StewardConsents,
    steward_backoff: StewardBackoff,
    ledger: Ledger,
    pub(super) memory: PlacementMemory,
    shares: WorkspaceShares,
    view: PoolView,
    /// The latest known version of each server's state, see [`state_version`].
    state_versions: Vec<u64>,
    /// This router's requests in flight on each server.
    own_in_flight: Vec<u32>,
    reservations: BTreeMap<ReservationId, Reservation>,
    next_reservation: u32,
    last_report_ms: u64,
    sequence: u64,
    peers: Vec<Peer>,
}

/// A server to try for a request, with what the router expects there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    /// The server to import the chat's cached tokens from.
    pub(crate) import_from: Option<usize>,
    /// Prompt tokens that the server is expected to prefill.
    pub(crate) uncached_tokens: u32,
    /// The load that is sent to a steward with a repeated slot request.
    pub(crate) known_load: Option<RequesterLoad>,
}

/// Converts ranked candidates into attempts, with servers as indices into `servers`.
pub(crate) fn to_attempts(servers: &[ServerId], ranked: &[Candidate]) -> Vec<Attempt> {
    let position = |wanted: ServerId| servers.iter().position(|id| *id == wanted);
    let attempts = ranked.iter().filter_map(|candidate| {
        Some(Attempt {
            server: position(candidate.server)?,
            import_from: candidate.import_from.and_then(position),
            uncached_tokens: candidate.uncached_tokens,
            known_load: None,
        })
    });
    attempts.collect()
}

/// A slot that this router holds or has requested.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    server: usize,
    uncached_tokens: u32,
    requested_ms: u64,
}

/// The last known state of a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_heartbeat_ms: u64,
    in_flight: Vec<u32>,
    /// The counts of requests in flight in the last heartbeat to the peer.
    sent_counts: Vec<u32>,
    /// Whether the peer has replied to the last heartbeat.
    has_replied: bool,
    pool_in_flight: u32,
    pool_load_at_ms: u64,
}

impl Router {
    pub(crate) fn new(
        index: usize,
        router_ids: &[RouterId],
        servers: &[ServerId],
        initial_servers: usize,
        placement: PlacementSettings,
    ) -> Self {
        let consent = ConsentSettings::default();
        let views = servers.iter().map(|id| server_view(*id)).collect();
        let mut router = Self {
            id: router_ids[index],
            router_ids: router_ids.to_vec(),
            servers: servers.to_vec(),
            placement,
            drain: DrainSettings::default(),
            steward_consents: StewardConsents::new(consent),
            steward_backoff: StewardBackoff::new(StewardBackoffSettings::default()),
            ledger: Ledger::new(router_ids[index], LedgerSettings::default()),
            memory: PlacementMemory::new(MEMORY_CHATS),
            shares: WorkspaceShares::default(),
            view: PoolView {
                name: String::from("model"),
                kind: PoolKind::Engine,
                servers: views,
            },
            state_versions: vec![state_version(1, VmState::Live); servers.len()],
            own_in_flight: vec![0; servers.len()],
            reservations: BTreeMap::new(),
            // Near the maximum, so that runs include the wrap-around of reservation ids.
            next_reservation: u32::MAX - 1_000,
            sequence: 0,
            last_report_ms: 0,
            peers: vec![Peer::default(); router_ids.len()],
        };
        for peer in &mut router.peers {
            peer.in_flight = vec![0; servers.len()];
            peer.sent_counts = vec![0; servers.len()];
        }
        for server in &mut router.view.servers[initial_servers..] {
            server.state = VmState::Leaving;
        }
        router.state_versions[initial_servers..].fill(0);
        router
    }

    /// Applies a state of a server unless a newer one is known.
    ///
    /// Returns whether the server has just joined; the caller then schedules
    /// [`Router::finish_join`].
    pub(crate) fn apply_state(&mut self, server: usize, state: VmState, version: u64) -> bool {
        if version <= self.state_versions[server] {
            return false;
        }
        self.state_versions[server] = version;
        let view = &mut self.view.servers[server];
        let joins = state == VmState::Live && view.state != VmState::Live;
        view.state = state;
        view.is_joining |= joins;
        joins
    }

    /// Stops sending requests to a server that refused a connection, until a newer state is known.
    pub(crate) fn mark_unreachable(&mut self, server: usize) {
        self.view.servers[server].state = VmState::Leaving;
    }

    /// Lets a server that joined receive requests.
    pub(crate) fn finish_join(&mut self, server: usize) {
        self.view.servers[server].is_joining = false;
    }

    /// Returns whether this router is the steward of a server, that is, counts its slots.
    pub(crate) fn is_steward(&self, server: usize) -> bool {
        self.ledger.held(self.servers[server]).is_some()
    }

    /// Returns whether this router sends requests to a server.
    pub(crate) fn sends_requests_to(&self, server: usize) -> bool {
        self.view.servers[server].is_open()
    }

    pub(crate) fn is_live(&self, server: usize) -> bool {
        self.view.servers[server].state == VmState::Live
    }

    pub(crate) fn reported_requests(&self, server: usize) -> u32 {
        let report = &self.view.servers[server].report;
        report.running + report.queued
    }

    pub(crate) fn own_in_flight(&self, server: usize) -> u32 {
        self.own_in_flight[server]
    }

    pub(crate) fn record_sent(&mut self, server: usize) {
        self.own_in_flight[server] += 1;
    }

    pub(crate) fn record_ended(&mut self, server: usize) {
        self.own_in_flight[server] -= 1;
    }

    /// Updates the live routers of the ledger and the consents to stewards.
    pub(crate) fn update_stewardship(&mut self, now_ms: u64) {
        let live = self.live_routers(now_ms);
        let is_consented =
            |server: &ServerId| self.steward_consents.consent(*server) == Some(self.id);
        let stewarded: Vec<ServerId> = self.servers.iter().copied().filter(is_consented).collect();
        self.steward_consents.note_sent(self.id, now_ms);
        let view = CellView {
            stewarded: &stewarded,
            live: &live,
            known: &self.router_ids,
            ended: &[],
        };
        self.ledger.set_view(&view, now_ms);
        let may_consent = self.ledger.sees_majority();
        for server in &self.servers {
            if let Some(steward) = steward_of(*server, &live) {
                self.steward_consents
                    .set_preferred(*server, steward, may_consent, now_ms);
            }
        }
    }

    /// Returns the servers to try for a request, best first.
    pub(crate) fn rank(
        &mut self,
        turn: &Turn,
        caller_hint: Option<WarmHint>,
        share: f64,
        now_ms: u64,
    ) -> Vec<Attempt> {
        self.update_view_loads(now_ms);
        let chat = ChatKey(turn.chat);
        let workspace = WorkspaceKey(turn.workspace);
        let remembered = self.memory.get(chat, now_ms);
        let warm: Vec<WarmHint> = caller_hint.into_iter().chain(remembered).collect();
        let request = PlacementRequest {
            workspace,
            workspace_share: self.shares.note_request(workspace, now_ms),
            chat,
            prompt_tokens: turn.prompt_tokens,
            warm: &warm,
            bound_share: share,
            zone: "",
        };
        let ranked = rank_servers(&self.placement, &self.view, &request);
        to_attempts(&self.servers, &ranked)
    }

    pub(crate) fn remember(&mut self, chat: u64, hint: WarmHint, now_ms: u64) {
        self.memory.insert(ChatKey(chat), hint, now_ms);
    }

    /// Clears the placement memory.
    pub(crate) fn clear_memory(&mut self) {
        self.memory = PlacementMemory::new(MEMORY_CHATS);
    }

    /// Merges the hints of another router into the placement memory.
    pub(crate) fn merge_hints<Hints>(&mut self, hints: Hints, now_ms: u64)
    where
        Hints: IntoIterator<Item = (ChatKey, WarmHint)>,
    {
        for (chat, hint) in hints {
            self.memory.merge(chat, hint, now_ms);
        }
    }

    fn live_routers(&self, now_ms: u64) -> Vec<RouterId> {
        let known = self.router_ids.iter().zip(&self.peers);
        known
            .filter(|(id, peer)| {
                **id == self.id || now_ms.saturating_sub(peer.last_heartbeat_ms) < DEAD_AFTER_MS
            })
            .map(|(id, _)| *id)
            .collect()
    }
}

/// Returns a version that orders the states of a server: a later incarnation is newer, and within
/// an incarnation leaving is newer than live.
pub(crate) fn state_version(incarnation: u64, state: VmState) -> u64 {
    incarnation * 2 + u64::from(state == VmState::Leaving)
}

/// A placeholder for all server addresses; all IPv4 addresses have the same encoded size.
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

pub(crate) fn server_view(id: ServerId) -> ServerView {
    ServerView {
        id,
        name: String::new(),
        zone: String::new(),
        address: ADDRESS,
        state: VmState::Live,
        in_flight: 0,
        report: LoadReport {
            incarnation: 1,
            ..LoadReport::default()
        },
        steward: RouterId(0),
        is_joining: false,
        backlog_tokens: 0,
    }
}
