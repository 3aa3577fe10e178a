//! Endpoints beside the traffic: callers' lookups of routers, readiness, metrics, blocked requests.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt;
use sapphiretrack_routing::{Distance, Incarnation, RouterState, sample_addresses};
use tokio::net::TcpListener;

use crate::caller_listener::accept_next;
use crate::client_limits::{ENDPOINT_BUFFER_BYTES, ENDPOINT_CONNECTION_BYTES, Listener};
use crate::clock::Clock;
use crate::crashes::{blocked_requests, lift_block};
use crate::logging::dropped_log_lines;
use crate::metrics::GaugeValues;
use crate::ports::{Interface, Lookup};
use crate::shared::Shared;

/// How long a caller may cache a lookup, in seconds: the shortest time that callers support, so
/// that they soon drop a router that stops or crashes. Each caller asks once in that time.
const LOOKUP_TTL_S: u64 = 2;
/// How long a connection to these endpoints may idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of routers near a caller with which more distant ones are left out. A single router
/// is not enough: its callers would have no other one if it failed.
const MIN_NEAR_ROUTERS: usize = 2;
/// The path where operators list blocked requests and lift a block.
const BLOCKED_REQUESTS_PATH: &str = "/blocked-requests";
/// The most addresses in the answer to a lookup.
const MAX_ADDRESSES: usize = 64;

/// Serves the endpoints on one listener until the process ends.
pub(crate) async fn serve_endpoints(
    shared: Arc<Shared>,
    interface: Interface,
    listener: TcpListener,
    kind: Listener,
) {
    loop {
        let stream = accept_next(&listener).await;
        let gate = shared.activity.clients.gate(kind);
        let open = Arc::new(gate.admit(ENDPOINT_CONNECTION_BYTES).await);
        let (shared, requests) = (shared.clone(), open.clone());
        let answer = service_fn(move |request: Request<Incoming>| {
            requests.record_request();
            // Only operators reach the listener of the metrics.
            let answer = match kind {
                Listener::Metrics => answer_operator(&shared, &request),
                _ => None,
            };
            let answer = answer.unwrap_or_else(|| answer_public(&shared, &interface, &request));
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(ENDPOINT_BUFFER_BYTES)
            // Metrics are long to encode and seldom read: one answer a connection.
            .keep_alive(kind != Listener::Metrics)
            .serve_connection(TokioIo::new(stream), answer);
        // A connection error concerns only its client, which asks again.
        tokio::spawn(async move { open.serve(connection, |one| one.graceful_shutdown()).await });
    }
}

/// Answers the requests that only operators may make: to list blocked requests, and to lift a
/// block. None for any other path.
fn answer_operator(shared: &Shared, request: &Request<Incoming>) -> Option<Response<Full<Bytes>>> {
    let rest = request.uri().path().strip_prefix(BLOCKED_REQUESTS_PATH)?;
    if rest.is_empty() && request.method() == Method::GET {
        let text = blocked_requests(shared);
        return Some(Response::new(Full::new(Bytes::from(text))));
    }
    let hash = rest.strip_prefix('/');
    let hash = hash.and_then(|hash| u128::from_str_radix(hash, 16).ok());
    let is_lifted =
        request.method() == Method::DELETE && hash.is_some_and(|hash| lift_block(shared, hash));
    Some(status_answer(match is_lifted {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    }))
}

fn answer_public(
    shared: &Shared,
    interface: &Interface,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if let Some(lookup) = (interface.read_lookup)(request.uri()) {
        return answer_lookup(shared, interface, &lookup);
    }
    match request.uri().path() {
        path if path == interface.ready_path => {
            let ready = shared.state() == RouterState::Ready;
            status_answer(match ready {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            })
        }
        "/metrics" => {
            let text = shared.metrics.encode(&read_gauges(shared));
            Response::new(Full::new(Bytes::from(text)))
        }
        _ => status_answer(StatusCode::NOT_FOUND),
    }
}

fn answer_lookup(shared: &Shared, interface: &Interface, lookup: &Lookup) -> Response<Full<Bytes>> {
    let addresses = caller_addresses(shared, lookup.zone.as_deref());
    if addresses.is_empty() {
        return status_answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_s = LOOKUP_TTL_S.min(shared.settings().lookup_ttl_s);
    let (kind, body) = (interface.write_lookup)(&addresses, ttl_s);
    let mut answer = Response::new(Full::new(body));
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// The addresses for callers of the ready routers in a caller's availability zone; of those in its
/// region if the zone has too few, or of all.
fn caller_addresses(shared: &Shared, zone: Option<&str>) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let now_ms = Clock.now_ms();
    let own_proof = shared.configuration_proof();
    let peers = shared.peers();
    let mut ready = peers.ready(own_proof, now_ms);
    if shared.advertised_state() == RouterState::Ready && !peers.is_own_behind(own_proof, now_ms) {
        ready.push((&settings.zone, settings.caller_address));
    }
    // If no router is ready, because none accepts keys, this one still serves routes that need
    // none.
    if ready.is_empty() && shared.serves_open_routes() {
        ready.push((&settings.zone, settings.caller_address));
    }
    let addresses_within = |limit: Distance| {
        let near = ready
            .iter()
            .filter(|(other, _)| zone.is_some_and(|zone| settings.distance(zone, other) <= limit));
        let near: Vec<SocketAddr> = near.map(|(_, address)| *address).collect();
        (near.len() >= MIN_NEAR_ROUTERS).then_some(near)
    };
    let near =
        addresses_within(Distance::SameZone).or_else(|| addresses_within(Distance::SameRegion));
    let all = || ready.iter().map(|(_, address)| *address).collect();
    let addresses: Vec<SocketAddr> = near.unwrap_or_else(all);
    sample_addresses(addresses, MAX_ADDRESSES, || rand::rng().random())
}

fn read_gauges(shared: &Shared) -> GaugeValues {
    let configuration = shared.configuration.load();
    let age_ms = shared.configuration_age_ms();
    let servers_age_ms = shared.servers_watch().state().age_ms(Clock.now_ms());
    let mut loads: HashMap<u32, u32> = HashMap::new();
    for (server, (requests, _)) in shared.peer_loads.load().counts() {
        *loads.entry(*server).or_default() += requests;
    }
    for load in shared.own_loads() {
        *loads.entry(Incarnation(load.server).tag()).or_default() += u32::from(load.in_flight);
    }
    // One lock for both: in the literal below it would be held to its end.
    let (stream_records, evicted_stream_records) = {
        let origins = shared.stream_origins.origins();
        (origins.len(), origins.evicted())
    };
    GaugeValues {
        servers_age_ms: servers_age_ms.map_or(-1, |age| age as i64),
        is_server_path_lost: shared.server_paths.is_lost(),
        server_requests: loads.values().sum(),
        busiest_server_requests: loads.values().copied().max().unwrap_or(0),
        configuration_version: configuration.as_ref().map_or(0, |one| one.version),
        configuration_age_ms: age_ms.map_or(-1, |age| age as i64),
        cold_servers: shared.cold_servers.count(shared),
        paused_servers: shared.stated_availability.paused_count(Clock.now_ms()),
        brittle_services: shared.stated_availability.brittle_count(Clock.now_ms()),
        evacuated_zones: shared.evacuations.zones().len(),
        servers: shared.servers.load().values().map(Vec::len).sum(),
        ready_peers: shared
            .peers()
            .ready(shared.configuration_proof(), Clock.now_ms())
            .len(),
        in_flight: shared.activity.in_flight(),
        clients: shared.activity.clients.usage(),
        held_answer_bytes: shared.activity.held_answers().bytes(),
        stream_records,
        evicted_stream_records,
        dropped_lines: dropped_log_lines(),
    }
}

/// Returns an answer without a body.
pub(crate) fn status_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
