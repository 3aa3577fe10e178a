//! Admission of requests: route lookup, key check and reading of the body.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::request::Parts;
use http::{StatusCode, header};
use hyper::body::Incoming;
use rand::RngExt;
use sapphiretrack_clients::{BodyError, read_body};
use sapphiretrack_routing::{
    Origin, RequestFacts, RequestKind, Route, RouteError, RouterState, SoftwareVersion, StopPhase,
    Tenant,
};
use tokio::time::{sleep, timeout};

use crate::activity::InFlight;
use crate::answer::strip_connection_headers;
use crate::clock::Clock;
use crate::final_answer::VERSION_RETRY_MS;
use crate::job::Job;
use crate::origin_lookup::find_origin;
use crate::peer_hop::HopRequest;
use crate::planned_stop::{LEAVING, stop_phase, until_too_late};
use crate::ports::Interface;
use crate::refusal::Refusal;
use crate::shared::{ConfigurationInForce, Shared};
use crate::software_versions::service_of_version;
use crate::stream_origins::stream_key;

/// Requests that arrive within this time after process start wait until the router is ready.
const STARTUP_WAIT_MS: u64 = 400;
/// The interval at which waiting requests check whether the router is ready.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Checks a request against the configuration in force, picks its service and reads its body. What is left of the
/// body after a refusal is up to the caller.
pub(crate) async fn receive_request(
    shared: &Arc<Shared>,
    interface: Interface,
    head: Parts,
    facts: RequestFacts,
    body: &mut Incoming,
    in_flight: InFlight,
    hop: Option<HopRequest>,
) -> Result<Job, Refusal> {
    let arrived_ms = Clock.now_ms();
    if stop_phase(shared).is_some_and(|phase| phase != StopPhase::Serving) {
        return Err(Refusal::retryable(LEAVING));
    }
    wait_until_ready(shared).await;
    let in_force = shared.in_force(arrived_ms);
    let in_force = in_force.ok_or_else(|| Refusal::retryable("no-configuration"))?;
    let Admitted { route, tenant } = admit(&in_force, &facts, head.uri.path())?;
    let route = route.clone();
    let tenant = tenant.cloned();
    if route.kind == (RequestKind::Stream { resumable: true }) {
        wait_until_cleared(shared).await;
    }
    let limit = in_force.configuration.limits.body_bytes;
    let timeout_ms = facts.deadline_ms.unwrap_or(route.timeout_ms);
    let timeout_ms = timeout_ms.min(route.timeout_ms);
    let clients = &shared.activity.clients;
    let read = async {
        let (body, body_memory) = read_body(clients.memory(), body, limit).await?;
        let request_memory = clients.hold_request().await.ok_or(BodyError::NoMemory)?;
        Ok((body, (request_memory, body_memory)))
    };
    let read = timeout(Duration::from_millis(timeout_ms), read);
    let read = tokio::select! {
        biased;
        read = read => read,
        () = until_too_late(shared, arrived_ms + timeout_ms) => {
            return Err(Refusal::retryable(LEAVING));
        }
    };
    let (body, memory) = match read {
        Ok(read) => read.map_err(body_refusal)?,
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(Refusal::permanent(status, "body-too-slow"));
        }
    };
    let workspace = tenant.as_ref().map(|tenant| tenant.name.as_str());
    let path = head.uri.path();
    let required_origin = required_origin(shared, &route, workspace, &facts, path, hop).await?;
    let required_software = required_origin.map(|origin| origin.software);
    let service = pick_service(shared, &route, required_software, hop.is_some())?;
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let label = tenant
        .as_ref()
        .map_or("anonymous", |tenant| tenant.name.as_str());
    Ok(Job {
        labels: shared.metrics.labels(label, &route.name),
        priority: tenant
            .as_ref()
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority),
        tenant_regions: tenant
            .as_ref()
            .map(|tenant| tenant.allowed_regions.clone())
            .unwrap_or_default(),
        tenant: tenant.map(|tenant| tenant.name),
        is_log_sampled: shared.is_log_sampled(&facts.id),
        shared: shared.clone(),
        interface,
        facts,
        method: head.method,
        uri: head.uri,
        version: head.version,
        headers,
        body,
        route,
        service,
        fingerprint: OnceLock::new(),
        prefixes: OnceLock::new(),
        is_over_share: OnceLock::new(),
        required_origin: required_origin.map_or_else(OnceLock::new, OnceLock::from),
        arrived_ms,
        expires_ms: arrived_ms + timeout_ms,
        has_ended: AtomicBool::new(false),
        may_have_run: AtomicBool::new(hop.is_some_and(|hop| hop.possible_runs > 0)),
        hop,
        _in_flight: in_flight,
        _memory: memory,
    })
}

/// The refusal of a request whose body was not read to its end.
fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge { .. } => {
            Refusal::permanent(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large")
        }
        BodyError::BrokeOff => Refusal::permanent(StatusCode::BAD_REQUEST, "body-broke-off"),
        BodyError::NoMemory => Refusal::retryable("no-memory"),
    }
}

/// The version of the software that a request has to go to because it takes up a stream; none if it may go
/// to any.
async fn required_origin(
    shared: &Arc<Shared>,
    route: &Route,
    workspace: Option<&str>,
    facts: &RequestFacts,
    path: &str,
    hop: Option<HopRequest>,
) -> Result<Option<Origin>, Refusal> {
    let stated = hop.and_then(|hop| hop.required_origin);
    let is_stream = matches!(route.kind, RequestKind::Stream { .. });
    if stated.is_some() || !is_stream || !facts.takes_up_stream() {
        return Ok(stated);
    }
    let key = stream_key(facts, workspace);
    let origin = find_origin(shared, facts, path, key, route).await;
    let origin = origin.ok_or_else(|| Refusal::retryable("stream-origin-unknown"))?;
    Ok(Some(origin))
}

/// Picks the service for a request: by weight, or the one with servers of the version that it has to go to.
/// `is_relayed` states whether another router passed it on, which then asks a further one.
fn pick_service(
    shared: &Shared,
    route: &Route,
    required_software: Option<SoftwareVersion>,
    is_relayed: bool,
) -> Result<String, Refusal> {
    let Some(software) = required_software else {
        let service = route.pick_target(rand::rng().random());
        let service = service.ok_or_else(|| Refusal::retryable("route-without-service"))?;
        return Ok(service.to_owned());
    };
    service_of_version(shared, route, software).ok_or_else(|| Refusal {
        is_local: is_relayed,
        ..Refusal::retryable_after("version-not-listed", VERSION_RETRY_MS)
    })
}

/// Delays a request that arrives right after process start until the router is ready. When the
/// whole fleet restarts at once, no other router could serve it.
async fn wait_until_ready(shared: &Shared) {
    while shared.activity.uptime_ms() < STARTUP_WAIT_MS && shared.state() == RouterState::NotReady {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Delays a stream that arrives right after process start until this router knows at which versions streams may begin:
/// the row of sole versions is compared with its first list, and written if it has to be.
async fn wait_until_cleared(shared: &Shared) {
    let stored = &shared.stream_origins.stored;
    while shared.activity.uptime_ms() < STARTUP_WAIT_MS && !stored.is_all_cleared() {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// The result of admitting a request under the configuration in force.
pub(crate) struct Admitted<'a> {
    /// The route that matches the request.
    pub(crate) route: &'a Route,
    tenant: Option<&'a Tenant>,
}

/// Finds the route and the tenant of a request in the configuration in force.
///
/// A router that cannot prove that its configuration is the newest neither rejects a request with a
/// final status nor accepts a key, because either decision could be wrong. A router to which a
/// newer configuration was advertised refuses every request to which that one may apply. Both
/// refusals state that the request has not run and may be sent to another router.
pub(crate) fn admit<'a>(
    in_force: &'a ConfigurationInForce,
    facts: &RequestFacts,
    path: &str,
) -> Result<Admitted<'a>, Refusal> {
    let ConfigurationInForce {
        configuration,
        has_fresh_keys,
        is_usable,
    } = in_force;
    if !is_usable {
        return Err(Refusal::retryable("configuration-replaced"));
    }
    let Some(route) = configuration.route(&facts.host, path) else {
        return Err(match has_fresh_keys {
            true => Refusal::permanent(StatusCode::NOT_FOUND, "no-route"),
            false => Refusal::retryable("configuration-stale"),
        });
    };
    if configuration.needs_key(route) && !has_fresh_keys {
        return Err(Refusal::retryable("keys-stale"));
    }
    match configuration.tenant(route, facts.key.as_deref()) {
        Ok(tenant) => Ok(Admitted { route, tenant }),
        Err(RouteError::UnknownKey | RouteError::NoRoute) => Err(match has_fresh_keys {
            true => Refusal::permanent(StatusCode::UNAUTHORIZED, "unknown-key"),
            false => Refusal::retryable("configuration-stale"),
        }),
    }
}
