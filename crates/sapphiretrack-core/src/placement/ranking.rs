//! Ranking of a pool's servers for a request by estimated time to first token.

use crate::placement::subset::{subset_size, workspace_subset};
use crate::placement::warmth::{expected_warm_tokens, import_source};
use crate::{
    ChatKey, PlacementSettings, PoolKind, PoolLoad, PoolView, RouterId, ServerId, ServerView,
    WarmHint, WorkspaceKey, rendezvous_score, server_limit,
};

/// The properties of a request that determine its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The workspace that the chat belongs to.
    pub workspace: WorkspaceKey,
    /// The workspace's share of the load, from 0 to 1.
    pub workspace_share: f64,
    /// The chat that the request belongs to.
    pub chat: ChatKey,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Servers that probably have the chat cached.
    pub warm: &'a [WarmHint],
    /// Fraction of the load bound that the request's class may fill.
    pub bound_share: f64,
    /// Availability zone of the requesting router.
    pub zone: &'a str,
}

/// A server that the request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Its steward, the router that counts its slots.
    pub steward: RouterId,
    /// Its estimated time to first token.
    pub estimate_ms: f64,
    /// Whether a hint shows that the chat is cached there.
    pub warm: bool,
    /// The server to import the chat's cached tokens from, if that is estimated to be faster than
    /// computing them.
    pub import_from: Option<ServerId>,
    /// Prompt tokens that the server is expected to compute.
    pub uncached_tokens: u32,
    /// Whether it appears to have reached its load bound.
    pub full: bool,
}

/// Ranks the servers of a pool that accept requests: those below their load bound come first, and
/// within both groups those with the lower estimated time to first token.
pub fn rank_servers(
    settings: &PlacementSettings,
    pool: &PoolView,
    request: &PlacementRequest<'_>,
) -> Vec<Candidate> {
    let servers = pool.servers.iter();
    let open: Vec<&ServerView> = servers.filter(|server| server.is_open()).collect();
    let size = subset_size(settings, open.len(), request.workspace_share);
    let subset = workspace_subset(request.workspace, &open, size);
    let scores: Vec<f64> = subset
        .iter()
        .map(|server| rendezvous_score(request.chat.0, server.0, 1.0))
        .collect();
    let home = (0..subset.len())
        .max_by(|a, b| scores[*a].total_cmp(&scores[*b]))
        .map(|index| subset[index]);
    let in_flight = open.iter().map(|server| server.in_flight).sum();
    let load = PoolLoad {
        least_in_flight: in_flight,
        in_flight,
        live_servers: pool.live_count(),
        open_servers: open.len() as u32,
    };
    let limit = server_limit(&settings.bound, &load, request.bound_share);
    let half_life_ms = settings.warm_half_life_ms;
    let source = import_source(pool, request.warm, request.prompt_tokens, half_life_ms);
    let rank = |server: &&ServerView| {
        let affinity = Affinity {
            is_home: home == Some(server.id),
            in_subset: subset.contains(&server.id),
            has_cache: pool.kind == PoolKind::Engine,
            import_source: source.filter(|(from, _)| *from != server.id),
        };
        candidate(settings, server, request, affinity, limit)
    };
    let mut ranked: Vec<Candidate> = open.iter().map(rank).collect();
    ranked.sort_unstable_by(|a, b| {
        let by_fullness = a.full.cmp(&b.full);
        let by_estimate = a.estimate_ms.total_cmp(&b.estimate_ms);
        by_fullness.then(by_estimate).then(a.server.cmp(&b.server))
    });
    ranked
}

/// Affinity of a request to a server, independent of the server's load.
struct Affinity {
    is_home: bool,
    in_subset: bool,
    has_cache: bool,
    /// Another server to import the chat's cached tokens from, and their expected number.
    import_source: Option<(ServerId, f64)>,
}

fn candidate(
    settings: &PlacementSettings,
    server: &ServerView,
    request: &PlacementRequest<'_>,
    affinity: Affinity,
    limit: u32,
) -> Candidate {
    let hinted = expected_warm_tokens(
        server,
        request.warm,
        request.prompt_tokens,
        settings.warm_half_life_ms,
    );
    let assumed_fraction = match (affinity.is_home, affinity.in_subset) {
        (true, _) => settings.home_warm_fraction,
        (false, true) => settings.subset_warm_fraction,
        (false, false) => 0.0,
    };
    let prompt_tokens = f64::from(request.prompt_tokens);
    let cached = match affinity.has_cache {
        true => hinted.max(assumed_fraction * prompt_tokens),
        false => prompt_tokens,
    };
    let prefill_ms = |tokens: f64| tokens * settings.prefill_us_per_token / 1_000.0;
    let backlog_ms = prefill_ms(server.backlog_tokens as f64);
    let queue_ms = f64::from(server.in_flight) * settings.queue_ms_per_request + backlog_ms;
    let compute_ms = prefill_ms(prompt_tokens - cached);
    let import = affinity.import_source.map(|(from, tokens)| {
        let import_ms = settings.import_ms + tokens * settings.import_us_per_token / 1_000.0;
        (from, import_ms + prefill_ms(prompt_tokens - tokens), tokens)
    });
    let import = import.filter(|(_, import_ms, _)| *import_ms < compute_ms);
    let available = import.map_or(cached, |(_, _, tokens)| tokens);
    Candidate {
        server: server.id,
        steward: server.steward,
        estimate_ms: queue_ms + import.map_or(compute_ms, |(_, import_ms, _)| import_ms),
        warm: affinity.has_cache && hinted > 0.0,
        import_from: import.map(|(from, ..)| from),
        uncached_tokens: (prompt_tokens - available) as u32,
        full: server.in_flight >= limit,
    }
}
