//! Which backend server gets a request: ranking by warmth, home and load.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    ChatKey, Incarnation, PoolKind, PoolView, RouterId, ServerId, ServerView, VmState,
    WorkspaceKey, rendezvous_score, top_by_rendezvous,
};

/// Costs and sizes that rule placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// Time to compute one uncached prompt token.
    pub prefill_us_per_token: f64,
    /// Time that a request in flight adds to the wait of a new one.
    pub queue_ms_per_request: f64,
    /// Number of servers that a workspace's chats start on.
    pub subset_servers: usize,
    /// How much worse, in time to first token, the home may be before another is taken.
    pub home_bonus_ms: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 250.0,
            queue_ms_per_request: 15.0,
            subset_servers: 4,
            home_bonus_ms: 20.0,
        }
    }
}

/// Where a chat was last served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WarmHint {
    /// The server.
    pub server: ServerId,
    /// Its incarnation then; a restarted server has lost its cache.
    pub incarnation: Incarnation,
}

/// What placement needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The chat.
    pub chat: ChatKey,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Where the chat is believed warm, the best evidence first.
    pub warm: &'a [WarmHint],
    /// The asker's availability zone.
    pub zone: &'a str,
}

/// A server to try, with the router that counts its slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Its steward.
    pub steward: RouterId,
    /// Its estimated time to first token.
    pub estimate_ms: f64,
    /// Whether the chat is believed warm there.
    pub warm: bool,
}

/// The live servers of a pool, the one with the smallest estimated time to first token first.
pub fn rank_servers(
    settings: &PlacementSettings,
    pool: &PoolView,
    request: &PlacementRequest<'_>,
) -> Vec<Candidate> {
    let live: Vec<&ServerView> = pool
        .servers
        .iter()
        .filter(|server| server.state == VmState::Live)
        .collect();
    let subset = top_by_rendezvous(
        request.workspace.0,
        &live,
        settings.subset_servers,
        |server| (server.id.0, 1.0),
    );
    let home = subset.iter().max_by(|a, b| {
        rendezvous_score(request.chat.0, a.id.0, 1.0).total_cmp(&rendezvous_score(
            request.chat.0,
            b.id.0,
            1.0,
        ))
    });
    let home = home.map(|server| server.id);
    let mut ranked: Vec<Candidate> = live
        .iter()
        .map(|server| {
            let warm = pool.kind == PoolKind::Engine && is_warm(server, request.warm);
            let in_subset = subset.iter().any(|other| other.id == server.id);
            let bonus = match (home == Some(server.id), in_subset) {
                (true, _) => settings.home_bonus_ms,
                (false, true) => settings.home_bonus_ms / 2.0,
                (false, false) => 0.0,
            };
            Candidate {
                server: server.id,
                steward: server.steward,
                estimate_ms: estimate_ms(settings, server, request, warm) - bonus,
                warm,
            }
        })
        .collect();
    ranked.sort_by(|a, b| {
        a.estimate_ms.total_cmp(&b.estimate_ms).then_with(|| {
            rendezvous_score(request.chat.0, b.server.0, 1.0).total_cmp(&rendezvous_score(
                request.chat.0,
                a.server.0,
                1.0,
            ))
        })
    });
    ranked
}

fn is_warm(server: &ServerView, hints: &[WarmHint]) -> bool {
    hints.iter().any(|hint| {
        hint.server == server.id
            && (server.report.incarnation == 0 || hint.incarnation == server.report.incarnation)
    })
}

fn estimate_ms(
    settings: &PlacementSettings,
    server: &ServerView,
    request: &PlacementRequest<'_>,
    warm: bool,
) -> f64 {
    let queue_ms = f64::from(server.in_flight) * settings.queue_ms_per_request;
    let uncached_tokens = if warm { 0 } else { request.prompt_tokens };
    queue_ms + f64::from(uncached_tokens) * settings.prefill_us_per_token / 1_000.0
}

/// Remembers where chats were last served, bounded and first in, first out.
#[derive(Debug)]
pub struct PlacementMemory {
    capacity: usize,
    places: BTreeMap<ChatKey, WarmHint>,
    order: VecDeque<ChatKey>,
}

impl PlacementMemory {
    /// An empty memory for this many chats.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            places: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes where a chat was served.
    pub fn remember(&mut self, chat: ChatKey, place: WarmHint) {
        if self.places.insert(chat, place).is_some() {
            return;
        }
        self.order.push_back(chat);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.places.remove(&oldest);
        }
    }

    /// Where a chat was last served.
    pub fn recall(&self, chat: ChatKey) -> Option<WarmHint> {
        self.places.get(&chat).copied()
    }

    /// How many chats are remembered.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
