//! Places a request on a backend server and counts its load there.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use sapphiretrack_routing::{
    Candidate, Incarnation, RequestFacts, ServerEntry, Service, choose_server, compared,
    fetch_source, home_count, part_home,
};

use crate::clock::Clock;
use crate::shared::Shared;

/// A request on a server; its load counts until this is dropped.
pub(crate) struct Placed {
    /// The server.
    pub(crate) server: Arc<ServerEntry>,
    /// Tokens of the prompt that the server is believed to hold.
    pub(crate) cached_tokens: u32,
    /// Requests that all routers were believed to have there.
    pub(crate) load: u32,
    /// Servers that it was chosen from.
    pub(crate) servers: usize,
    /// A server that holds more of the prompt, to fetch it from.
    pub(crate) fetch_from: Option<SocketAddr>,
    shared: Arc<Shared>,
    tokens: u64,
    prefill_tokens: u64,
}

/// Why there is no server for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoServer {
    /// The service has no server that takes work.
    NoneListed,
    /// All servers are full.
    AllFull,
    /// The request was sent to all of them.
    AllTried,
}

impl NoServer {
    /// Its name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoneListed => "no-server",
            Self::AllFull => "servers-full",
            Self::AllTried => "servers-tried",
        }
    }
}

impl Placed {
    /// Notes bytes of the answer: the prompt has been read.
    pub(crate) fn note_progress(&mut self) {
        let mut traffic = self.shared.traffic();
        let health = traffic.health.entry(self.server.incarnation).or_default();
        health.note_progress(Clock.now_ms());
        health.prefill_tokens = health.prefill_tokens.saturating_sub(self.prefill_tokens);
        self.prefill_tokens = 0;
    }

    /// Notes how the attempt ended.
    pub(crate) fn note_outcome(&self, failed: bool) {
        let now_ms = Clock.now_ms();
        let mut traffic = self.shared.traffic();
        let health = traffic.health.entry(self.server.incarnation).or_default();
        health.note_outcome(&self.shared.settings().health, failed, now_ms);
        traffic
            .retries
            .note_end(&self.server.service, !failed, now_ms);
        if !failed {
            let drain = traffic.drain.get_mut(&self.server.service);
            if let Some(drain) = drain {
                drain.note_end(now_ms);
            }
        }
    }

    /// Notes that no connection could be made.
    pub(crate) fn note_unreachable(&self) {
        let mut traffic = self.shared.traffic();
        let health = traffic.health.entry(self.server.incarnation).or_default();
        health.note_unreachable(&self.shared.settings().health, Clock.now_ms());
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut traffic = self.shared.traffic();
        let Some(health) = traffic.health.get_mut(&self.server.incarnation) else {
            return;
        };
        health.note_left();
        health.tokens = health.tokens.saturating_sub(self.tokens);
        health.prefill_tokens = health.prefill_tokens.saturating_sub(self.prefill_tokens);
    }
}

/// Chooses a server for a request and counts its load there from now on.
pub(crate) fn place(
    shared: &Arc<Shared>,
    service: &Service,
    facts: &RequestFacts,
    tried: &[Incarnation],
) -> Result<Placed, NoServer> {
    let servers = shared.servers.load();
    let listed = servers.get(&service.name).filter(|list| !list.is_empty());
    let listed = listed.ok_or(NoServer::NoneListed)?;
    let settings = shared.settings();
    let now_ms = Clock.now_ms();
    let peer_loads = shared.peer_loads.load();
    let shared_parts = facts.shared_parts();
    let mut traffic = shared.traffic();
    let mut homes = 1;
    let home = shared_parts.last().and_then(|part| {
        let sends_per_s = traffic.warm.sends_per_s(part.id, now_ms);
        let (prompt, output) = (facts.prompt_tokens, facts.output_tokens);
        homes = home_count(&settings.costs, sends_per_s, prompt, output);
        let incarnations = listed.iter().map(|server| server.incarnation);
        part_home(part, incarnations, homes, rand::rng().random())
    });
    let is_hot = homes > 1;
    let candidate = |server: &Arc<ServerEntry>| {
        let health = traffic.health.get(&server.incarnation);
        let (peers, peer_prefill) = peer_loads
            .get(&server.incarnation)
            .copied()
            .unwrap_or_default();
        let warm = &traffic.warm;
        let cached_tokens = warm.cached_tokens(server.incarnation, shared_parts, now_ms);
        let suspect = health.is_some_and(|health| {
            health.is_unreachable(now_ms) || health.is_mute(&settings.health, now_ms)
        });
        Candidate {
            server: server.incarnation,
            distance: settings.distance(&settings.zone, &server.zone),
            is_home: home == Some(server.incarnation),
            is_hot,
            in_flight: peers + health.map_or(0, |health| health.in_flight),
            capacity: match service.is_engine {
                true => (f64::from(server.slots) * settings.attempts.engine_queue_factor) as u32,
                false => server
                    .slots
                    .saturating_mul(settings.attempts.plain_queue_factor),
            },
            prefill_tokens: peer_prefill + health.map_or(0, |health| health.prefill_tokens),
            cached_tokens,
            failure_share: health
                .map_or(0.0, |health| health.failure_share(&settings.health, now_ms)),
            suspect,
            tried: tried.contains(&server.incarnation),
        }
    };
    let candidates: Vec<Candidate> = listed.iter().map(candidate).collect();
    let index = choose_server(
        &settings.costs,
        service.is_engine,
        facts.prompt_tokens,
        &candidates,
        &compared(&candidates, || rand::rng().random()),
    );
    let Some(index) = index else {
        let all_tried = candidates.iter().all(|one| one.tried);
        return Err(if all_tried {
            NoServer::AllTried
        } else {
            NoServer::AllFull
        });
    };
    let server = listed[index].clone();
    let cached_tokens = candidates[index].cached_tokens;
    let holder = fetch_source(&settings.costs, &candidates, index);
    let held_tokens = holder.map_or(cached_tokens, |holder| candidates[holder].cached_tokens);
    let uncached = facts.prompt_tokens.saturating_sub(held_tokens);
    let tokens = u64::from(facts.prompt_tokens) + u64::from(facts.output_tokens);
    let health = traffic.health.entry(server.incarnation).or_default();
    health.note_sent(now_ms);
    health.tokens += tokens;
    health.prefill_tokens += u64::from(uncached);
    traffic
        .warm
        .note_sent(server.incarnation, shared_parts, now_ms);
    drop(traffic);
    Ok(Placed {
        server,
        cached_tokens,
        load: candidates[index].in_flight,
        servers: candidates.len(),
        fetch_from: holder.map(|holder| listed[holder].address),
        shared: shared.clone(),
        tokens,
        prefill_tokens: u64::from(uncached),
    })
}
