//! Placement of requests on backend servers, and accounting of the load that they cause.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use rand::RngExt;
use sapphiretrack_routing::{
    AwaitedEvent, Candidate, Exclusion, Incarnation, PeerLoads, PlainShare, RequestFacts,
    ServerEntry, Service, ServiceTime, SlotOutcome, SlotShare, SoftwareVersion,
    choose_server_among, draining_source, fetch_source, home_count, home_server, mean_load,
    sample_candidates, sample_server,
};

use crate::clock::Clock;
use crate::eligible_servers::{EligibilityCheck, EligibleServers};
use crate::placement_limits::{admit_at_engines, is_over_plain_share, record_full_engines};
use crate::settings::RouterSettings;
use crate::shared::Shared;
use crate::slot_scheduling::SlotGuard;
use crate::traffic::Traffic;

/// A request's placement on a server. Its load counts against the server until this is dropped.
pub(crate) struct Placement {
    /// The chosen server.
    pub(crate) server: Arc<ServerEntry>,
    /// Tokens of the prompt that are expected in the server's cache.
    pub(crate) cached_tokens: u32,
    /// Estimated requests in flight at the server from all routers, before this one.
    pub(crate) load: u32,
    /// The number of servers that it was chosen from.
    pub(crate) servers: usize,
    /// A server with more of the prompt in its cache, from which the chosen one may fetch it.
    pub(crate) fetch_from: Option<SocketAddr>,
    /// The slot that its scheduler assigned to the request, given back when this is dropped.
    pub(crate) slot: Option<SlotGuard>,
    /// Whether its workspace asks for more than its share while the engines of the service refuse requests.
    pub(crate) is_over_share: bool,
    shared: Arc<Shared>,
    sent_ms: u64,
    tokens: u64,
    prefill_tokens: u64,
    /// The first event, while it is awaited from an engine.
    first_event: Option<AwaitedEvent>,
    /// Since when the answer is not read further until the caller has taken what was read.
    held_back_since_ms: Option<u64>,
    /// How long the answer was held back before, which is not the server's time.
    held_back_ms: u64,
}

/// The retry delay while no router reaches a server: two rounds of probes.
const NO_PATH_RETRY_MS: u64 = 500;

/// Why a request could not be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementError {
    /// The service has no server that accepts work.
    NoneListed,
    /// All remaining servers are full.
    AllFull,
    /// The engines of the service hold so many requests that first events are slow.
    EnginesBehind,
    /// The queue places that are left are for workspaces within their share.
    WorkspaceShare,
    /// The request was already placed on every server.
    AllTried,
    /// No server may get the request, for the reason that applies to the last of them.
    Excluded(Exclusion),
    /// No connection to any of the servers is expected to open.
    NoPath,
    /// Only cold servers are left, and this router may send none of them a request for a number of
    /// milliseconds.
    OnlyCold(u64),
    /// Only servers are left that asked for a pause; the first pause ends in a number of
    /// milliseconds.
    OnlyPaused(u64),
}

impl PlacementError {
    /// The reason as it appears in logs, metrics and answers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoneListed => "no-server",
            Self::AllFull => "servers-full",
            Self::EnginesBehind => "engines-behind",
            Self::WorkspaceShare => "workspace-share",
            Self::AllTried => "servers-tried",
            Self::Excluded(exclusion) => exclusion.as_str(),
            Self::NoPath => "no-path",
            Self::OnlyCold(_) => "servers-cold",
            Self::OnlyPaused(_) => "servers-paused",
        }
    }

    /// The time until a server may get a request, if that is known.
    pub(crate) fn wait_ms(self) -> Option<u64> {
        match self {
            Self::OnlyCold(wait_ms) | Self::OnlyPaused(wait_ms) => Some(wait_ms),
            Self::NoPath => Some(NO_PATH_RETRY_MS),
            Self::NoneListed
            | Self::AllFull
            | Self::EnginesBehind
            | Self::WorkspaceShare
            | Self::AllTried
            | Self::Excluded(_) => None,
        }
    }
}

impl Placement {
    /// Places a request on a server, and adds the request's load to it.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        server: Arc<ServerEntry>,
        facts: &RequestFacts,
        load: u32,
    ) -> Self {
        let added_load = add_load(&mut shared.traffic(), server.incarnation, facts, 0);
        Self {
            server,
            cached_tokens: 0,
            load,
            servers: 1,
            fetch_from: None,
            slot: None,
            is_over_share: false,
            shared: shared.clone(),
            sent_ms: Clock.now_ms(),
            tokens: added_load.tokens,
            prefill_tokens: added_load.prefill_tokens,
            first_event: None,
            held_back_since_ms: None,
            held_back_ms: 0,
        }
    }

    /// Records that bytes of an answer arrived, which means that the server has read the prompt.
    pub(crate) fn record_progress(&mut self) {
        let mut traffic = self.shared.traffic();
        if let Some(event) = self.first_event.take()
            && let Some(admission) = traffic.engine_admissions.get_mut(&self.server.service)
        {
            admission.record_first_event(event, Clock.now_ms());
        }
        let health = traffic.health.entry(self.server.incarnation).or_default();
        health.record_progress(Clock.now_ms());
        health.prefill_tokens = health.prefill_tokens.saturating_sub(self.prefill_tokens);
        self.prefill_tokens = 0;
    }

    /// Records whether the rest of the answer is left unread until the caller has taken what was read:
    /// the server is not expected to make progress meanwhile.
    pub(crate) fn set_held_back(&mut self, is_held_back: bool) {
        if self.held_back_since_ms.is_some() == is_held_back {
            return;
        }
        let now_ms = Clock.now_ms();
        if let Some(since_ms) = self.held_back_since_ms.take() {
            self.held_back_ms += now_ms.saturating_sub(since_ms);
        }
        self.held_back_since_ms = is_held_back.then_some(now_ms);
        let mut traffic = self.shared.traffic();
        let health = traffic.health.entry(self.server.incarnation).or_default();
        match is_held_back {
            true => health.record_held_back(),
            false => health.record_read_again(now_ms),
        }
    }

    /// Records how the attempt ended: health, retry statistics, service time and completion rate.
    pub(crate) fn record_outcome(&mut self, failed: bool) {
        if let Some(slot) = self.slot.as_mut().filter(|_| !failed) {
            slot.record_outcome(SlotOutcome::Served);
        }
        let now_ms = Clock.now_ms();
        let mut traffic = self.shared.traffic();
        let health = traffic.health.entry(self.server.incarnation).or_default();
        health.record_outcome(&self.shared.settings().health, failed, now_ms);
        traffic
            .retries
            .record_end(&self.server.service, !failed, now_ms);
        if !failed {
            let took_ms = now_ms.saturating_sub(self.sent_ms + self.held_back_ms);
            let service_time = traffic.service_times.entry(self.server.service.clone());
            service_time.or_default().record(took_ms);
            let drain_rate = traffic.drain_rates.get_mut(&self.server.service);
            if let Some(drain_rate) = drain_rate {
                drain_rate.note_end(now_ms);
            }
        }
    }

    /// Why the request must not be sent to the server any more; none if it may be sent. Counts it if
    /// the server is cold.
    pub(crate) fn exclusion_at_send(&self, request: PlacementRequest<'_>) -> Option<Exclusion> {
        EligibilityCheck::new(&self.shared, request).exclusion_at_send(&self.server)
    }

    /// Whether the server makes no progress on any of this router's requests.
    pub(crate) fn is_unresponsive(&self) -> bool {
        let traffic = self.shared.traffic();
        let health = traffic.health.get(&self.server.incarnation);
        let settings = self.shared.settings();
        health.is_none_or(|health| health.is_unresponsive(&settings.health, Clock.now_ms()))
    }

    /// Records that the server could not be reached.
    pub(crate) fn record_unreachable(&self) {
        let mut traffic = self.shared.traffic();
        let health = traffic.health.entry(self.server.incarnation).or_default();
        health.record_unreachable(&self.shared.settings().health, Clock.now_ms());
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.set_held_back(false);
        let mut traffic = self.shared.traffic();
        if let Some(event) = self.first_event.take()
            && let Some(admission) = traffic.engine_admissions.get_mut(&self.server.service)
        {
            admission.forget(event);
        }
        let Some(health) = traffic.health.get_mut(&self.server.incarnation) else {
            return;
        };
        health.record_finished();
        health.tokens = health.tokens.saturating_sub(self.tokens);
        health.prefill_tokens = health.prefill_tokens.saturating_sub(self.prefill_tokens);
    }
}

/// The input of a placement.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    /// The service that the request goes to.
    pub(crate) service: &'a Service,
    /// The decoded facts of the request.
    pub(crate) facts: &'a RequestFacts,
    /// Servers that the request was already placed on.
    pub(crate) tried: &'a [Incarnation],
    /// The regions that its route and its tenant allow; all if empty.
    pub(crate) allowed_regions: [&'a [String]; 2],
    /// Whether servers are tried to which no connection is expected to open, unless all of them have
    /// just failed.
    pub(crate) tries_unreachable: bool,
    /// The route's objective.
    pub(crate) objective_ms: u64,
    /// The priority; 0 is the highest.
    pub(crate) priority: u8,
    /// The caller's tenant; none for an anonymous request.
    pub(crate) tenant: Option<&'a str>,
    /// Whether its workspace asks for more than its share, once it was counted.
    pub(crate) is_over_share: &'a OnceLock<bool>,
    /// The version of the software that began its stream; none if it may go to any.
    pub(crate) required_software: Option<SoftwareVersion>,
    /// Whether it begins a stream that its caller may take up.
    pub(crate) begins_stream: bool,
}

/// Chooses a server for a request and adds the request's load to it.
pub(crate) fn place(
    shared: &Arc<Shared>,
    request: PlacementRequest<'_>,
) -> Result<Placement, PlacementError> {
    let servers = shared.servers.load();
    let listed = servers.get(&request.service.name);
    let listed = listed.filter(|list| !list.is_empty());
    let listed = listed.ok_or(PlacementError::NoneListed)?;
    let check = EligibilityCheck::new(shared, request);
    if check.allows_all() {
        drop(check);
        check_reachable(shared, request, listed)?;
        return place_on(shared, request, listed, &HashSet::new(), &[]);
    }
    let eligible = check.into_eligible(listed);
    if eligible.servers.is_empty() {
        return Err(eligible.error());
    }
    check_reachable(shared, request, &eligible.servers)?;
    let EligibleServers {
        servers,
        cold,
        others,
        ..
    } = &eligible;
    place_on(shared, request, servers, cold, others)
}

/// Fails if no connection to any of these servers is expected to open.
fn check_reachable(
    shared: &Shared,
    request: PlacementRequest<'_>,
    servers: &[Arc<ServerEntry>],
) -> Result<(), PlacementError> {
    let paths = &shared.server_paths;
    let is_worth_trying = match request.tries_unreachable {
        true => !paths.have_all_failed(servers),
        false => paths.reachable_count(servers) > 0,
    };
    if is_worth_trying {
        return Ok(());
    }
    shared.server_paths.want_probes(servers);
    Err(PlacementError::NoPath)
}

/// Whether another router may have room for a request that found none here: this one does not reach all
/// servers, or has no more than a share of them.
pub(crate) fn is_room_local(shared: &Shared, request: PlacementRequest<'_>) -> bool {
    let servers = shared.servers.load();
    let listed = servers.get(&request.service.name);
    listed.is_some_and(|listed| {
        let stated = &shared.stated_availability;
        shared.server_paths.reachable_count(listed) < listed.len()
            || stated.is_brittle(&request.service.name, Clock.now_ms())
    })
}

/// The time until some server may get a request, if none may get it now and that time is known.
pub(crate) fn wait_for_server_ms(shared: &Shared, request: PlacementRequest<'_>) -> Option<u64> {
    let servers = shared.servers.load();
    let listed = servers.get(&request.service.name)?;
    let eligible = EligibilityCheck::new(shared, request).into_eligible(listed);
    if !eligible.servers.is_empty() {
        return None;
    }
    eligible.error().wait_ms()
}

/// Chooses one of these servers for a request and adds the request's load to it. `others` are the
/// servers of the service that may not get it.
fn place_on(
    shared: &Arc<Shared>,
    request: PlacementRequest<'_>,
    listed: &[Arc<ServerEntry>],
    cold: &HashSet<Incarnation>,
    others: &[Arc<ServerEntry>],
) -> Result<Placement, PlacementError> {
    let settings = shared.settings();
    let mut traffic = shared.traffic();
    let now_ms = Clock.now_ms();
    let shares = shared
        .stated_availability
        .slot_shares(shared, listed, now_ms);
    let is_over_plain_share = shares.is_none()
        && !shared.slot_scheduling.is_scheduled(&request.service.name)
        && is_over_plain_share(&mut traffic, &settings, request, now_ms);
    let context = PlacementContext {
        shared,
        settings: &settings,
        traffic: &traffic,
        request,
        cold,
        now_ms,
    };
    let mut candidates = context.candidates(listed);
    if let Some(shares) = &shares {
        context.limit_to_shares(&mut candidates, shares);
    }
    let mean = mean_load(&candidates, others.len(), context.in_flight(others));
    let is_outdated = shares.is_none() && context.has_outdated_loads();
    if is_over_plain_share {
        let draw = rand::rng().random();
        if !PlainShare::admits(settings.plain_share, &mut candidates, is_outdated, draw) {
            return Err(PlacementError::WorkspaceShare);
        }
    }
    let index = match is_outdated {
        true => sample_server(&candidates, || rand::rng().random()),
        false => choose_server_among(
            &settings.costs,
            request.service.is_engine,
            request.facts.prompt_tokens,
            &candidates,
            &sample_candidates(&candidates, || rand::rng().random()),
            mean,
        ),
    };
    let Some(index) = index else {
        if candidates.iter().all(|one| one.tried) {
            return Err(PlacementError::AllTried);
        }
        // A share of the slots that is used up says nothing about the servers, and a part of the servers
        // nothing about the service.
        if shares.is_none() && others.is_empty() {
            record_full_engines(&mut traffic, &settings, request);
        }
        return Err(PlacementError::AllFull);
    };
    let chosen = &candidates[index];
    let source = fetch_source(&settings.costs, &candidates, index).map(|holder| FetchSource {
        address: listed[holder].address,
        tokens: candidates[holder].cached_tokens,
    });
    let source = context.draining_source(chosen, source.as_ref()).or(source);
    let reusable_tokens = source
        .as_ref()
        .map_or(chosen.cached_tokens, |source| source.tokens);
    let is_over_share = admit_at_engines(&mut traffic, &settings, request, mean)?;
    let added_load = add_load(&mut traffic, chosen.server, request.facts, reusable_tokens);
    let first_event = request.service.is_engine.then(|| {
        let admissions = &mut traffic.engine_admissions;
        let admission = admissions.entry(request.service.name.clone()).or_default();
        admission.record_sent(&settings.engine_admission, request.objective_ms, now_ms)
    });
    drop(traffic);
    Ok(Placement {
        server: listed[index].clone(),
        cached_tokens: chosen.cached_tokens,
        load: chosen.in_flight,
        servers: candidates.len(),
        fetch_from: source.map(|source| source.address),
        slot: None,
        is_over_share,
        shared: shared.clone(),
        sent_ms: now_ms,
        tokens: added_load.tokens,
        prefill_tokens: added_load.prefill_tokens,
        first_event,
        held_back_since_ms: None,
        held_back_ms: 0,
    })
}

/// A server with more of a prompt in its cache than the chosen one.
struct FetchSource {
    address: SocketAddr,
    /// Tokens of the prompt that it holds.
    tokens: u32,
}

/// The load that a request adds to its server.
struct RequestLoad {
    tokens: u64,
    prefill_tokens: u64,
}

/// Adds a request's load to its server.
fn add_load(
    traffic: &mut Traffic,
    server: Incarnation,
    facts: &RequestFacts,
    reusable_tokens: u32,
) -> RequestLoad {
    let now_ms = Clock.now_ms();
    let added_load = RequestLoad {
        tokens: u64::from(facts.prompt_tokens) + u64::from(facts.output_tokens),
        prefill_tokens: u64::from(facts.prompt_tokens.saturating_sub(reusable_tokens)),
    };
    let health = traffic.health.entry(server).or_default();
    health.record_sent(now_ms);
    health.tokens += added_load.tokens;
    health.prefill_tokens += added_load.prefill_tokens;
    traffic.prefix_index.record_sent(server, facts, now_ms);
    added_load
}

/// The state that a placement decision is based on.
struct PlacementContext<'a> {
    shared: &'a Shared,
    settings: &'a RouterSettings,
    traffic: &'a Traffic,
    request: PlacementRequest<'a>,
    /// Those of the servers that are cold.
    cold: &'a HashSet<Incarnation>,
    now_ms: u64,
}

impl PlacementContext<'_> {
    /// The listed servers as placement candidates, in the same order.
    fn candidates(&self, listed: &[Arc<ServerEntry>]) -> Vec<Candidate> {
        let peer_loads = self.shared.peer_loads.load();
        let candidates = listed
            .iter()
            .map(|server| self.candidate(server, &peer_loads));
        let mut candidates: Vec<Candidate> = candidates.collect();
        self.mark_gone(&mut candidates);
        self.mark_home(&mut candidates);
        candidates
    }

    /// Limits this router's own requests at each server to its share of the server's slots and memory. A
    /// share always has room for one request.
    fn limit_to_shares(&self, candidates: &mut [Candidate], shares: &[Option<SlotShare>]) {
        let facts = self.request.facts;
        let tokens = u64::from(facts.prompt_tokens) + u64::from(facts.output_tokens);
        let memory_tokens = self.request.service.memory_tokens;
        for (candidate, share) in candidates.iter_mut().zip(shares) {
            let health = self.traffic.health.get(&candidate.server);
            let (own, own_tokens) = health.map_or((0, 0), |one| (one.in_flight, one.tokens));
            let has_room = share.is_some_and(|share| {
                let fits = own_tokens + tokens <= share.memory_tokens(memory_tokens);
                own == 0 || own < share.slots && fits
            });
            candidate.capacity = candidate.in_flight + u32::from(has_room);
        }
    }

    /// The requests that these servers hold, from all routers.
    fn in_flight(&self, servers: &[Arc<ServerEntry>]) -> u32 {
        let peer_loads = self.shared.peer_loads.load();
        let in_flight = servers.iter().map(|server| {
            let (peers, _) = peer_loads.count(server.incarnation.tag());
            let health = self.traffic.health.get(&server.incarnation);
            peers + health.map_or(0, |health| health.in_flight)
        });
        in_flight.sum()
    }

    /// Whether the other routers' loads are too old to compare servers by load.
    fn has_outdated_loads(&self) -> bool {
        // For engines, the location of the cached prompt matters more than the load.
        if self.request.service.is_engine {
            return false;
        }
        let service_time = self.traffic.service_times.get(&self.request.service.name);
        let service_ms = service_time.and_then(ServiceTime::estimate_ms);
        self.shared
            .peer_loads
            .load()
            .is_outdated(service_ms, self.now_ms)
    }

    /// Marks the servers that are probably gone as suspect: entries lapse only after several
    /// seconds.
    fn mark_gone(&self, candidates: &mut [Candidate]) {
        let evidence = self.shared.crash_evidence();
        let ended = self.shared.ended_servers.servers();
        if evidence.is_empty() && ended.is_empty() {
            return;
        }
        let valid_ms = self.settings.attempts.reported_ms;
        for candidate in candidates {
            let server = candidate.server;
            candidate.suspect |= evidence.has_crashed(server.0, self.now_ms)
                || ended.is_suspect(server, valid_ms, self.now_ms);
        }
    }

    /// A draining server that holds more of the prompt than the chosen server and the best source
    /// among the others; none if there is none.
    fn draining_source(
        &self,
        chosen: &Candidate,
        best: Option<&FetchSource>,
    ) -> Option<FetchSource> {
        let evacuated = self.shared.evacuations.zones();
        let mut draining = self.shared.draining_servers.running(self.now_ms);
        draining.retain(|one| {
            one.entry.service == self.request.service.name && !evacuated.contains(&one.entry.zone)
        });
        let shared_prefixes = self.request.facts.shared_prefixes();
        let held = draining.iter().map(|one| {
            let index = &self.traffic.prefix_index;
            index.cached_tokens(one.entry.incarnation, shared_prefixes, self.now_ms)
        });
        let held: Vec<u32> = held.collect();
        let best = best.map_or(0, |best| best.tokens);
        let costs = &self.settings.costs;
        let source = draining_source(costs, &held, chosen.cached_tokens, best)?;
        Some(FetchSource {
            address: draining[source].entry.address,
            tokens: held[source],
        })
    }

    /// Marks the home server of the prompt's last shared prefix, and whether that prefix has
    /// several homes.
    fn mark_home(&self, candidates: &mut [Candidate]) {
        let Some(prefix) = self.request.facts.shared_prefixes().last() else {
            return;
        };
        let share = self
            .traffic
            .prefix_index
            .share_of_sends(prefix.id, self.now_ms);
        let in_flight = candidates.iter().map(|candidate| candidate.in_flight).sum();
        let homes = home_count(&self.settings.costs, share, in_flight, candidates.len());
        // A cold server gets too few requests for its caches to be worth more than others.
        let servers = candidates.iter().filter(|candidate| !candidate.is_cold);
        let servers = servers.map(|candidate| candidate.server);
        let home = home_server(prefix, servers, homes, rand::rng().random());
        for candidate in candidates {
            candidate.is_home = Some(candidate.server) == home;
            candidate.is_hot = homes > 1;
        }
    }

    fn candidate(&self, server: &ServerEntry, peer_loads: &PeerLoads) -> Candidate {
        let settings = self.settings;
        let tag = server.incarnation.tag();
        let (peers, peer_prefill) = peer_loads.count(tag);
        let health = self.traffic.health.get(&server.incarnation);
        let suspect = health.is_some_and(|health| {
            health.is_unreachable(self.now_ms)
                || health.is_unresponsive(&settings.health, self.now_ms)
        });
        let failure_share =
            health.map_or(0.0, |one| one.failure_share(&settings.health, self.now_ms));
        let shared_prefixes = self.request.facts.shared_prefixes();
        let prefix_index = &self.traffic.prefix_index;
        Candidate {
            server: server.incarnation,
            distance: settings.distance(&settings.zone, &server.zone),
            is_home: false,
            is_hot: false,
            in_flight: peers + health.map_or(0, |health| health.in_flight),
            average_in_flight: peer_loads.average(tag)
                + health.map_or(0.0, |health| f64::from(health.in_flight)),
            slots: server.slots,
            capacity: self.capacity(server),
            prefill_tokens: peer_prefill + health.map_or(0, |health| health.prefill_tokens),
            cached_tokens: prefix_index.cached_tokens(
                server.incarnation,
                shared_prefixes,
                self.now_ms,
            ),
            failure_share,
            suspect,
            is_cold: self.cold.contains(&server.incarnation),
            tried: self.request.tried.contains(&server.incarnation),
        }
    }

    /// The most requests that a server may hold, running and queued.
    fn capacity(&self, server: &ServerEntry) -> u32 {
        let attempts = &self.settings.attempts;
        match self.request.service.is_engine {
            true => (f64::from(server.slots) * attempts.engine_queue_factor) as u32,
            false => server.slots.saturating_mul(attempts.plain_queue_factor),
        }
    }
}
