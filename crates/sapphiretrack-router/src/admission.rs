//! Lets a request in or refuses it: route, key, body.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::request::Parts;
use http::{StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use sapphiretrack_routing::{
    RequestFacts, Route, RouteError, RouterState, StopPhase, StopTimes, Tenant,
};
use tokio::time::{sleep, timeout};

use crate::answer::strip_connection_headers;
use crate::clock::Clock;
use crate::job::Job;
use crate::ports::Interface;
use crate::refusal::Refusal;
use crate::shared::{InFlight, InForce, Shared};

/// How long after the start of the process requests wait until it is ready.
const START_MS: u64 = 400;
/// How often they look.
const START_CHECK: Duration = Duration::from_millis(10);

/// Checks a request and reads its body.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    interface: Interface,
    head: Parts,
    facts: RequestFacts,
    body: Incoming,
    in_flight: InFlight,
) -> Result<Job, Refusal> {
    let arrived_ms = Clock.now_ms();
    if let Some(since_ms) = shared.leaving_for_ms() {
        let times = StopTimes {
            grace_ms: shared.settings().grace_ms,
        };
        let phase = times.phase(since_ms, shared.in_flight(), shared.quiet_ms());
        if phase != StopPhase::Serving {
            return Err(Refusal::elsewhere("leaving"));
        }
    }
    wait_for_start(shared).await;
    let in_force = shared.in_force(arrived_ms);
    let in_force = in_force.ok_or_else(|| Refusal::elsewhere("no-configuration"))?;
    let Admitted { route, tenant } = admit(&in_force, &facts, head.uri.path())?;
    let route = route.clone();
    let tenant = tenant.cloned();
    let service = route.pick_target(rand::rng().random());
    let Some(service) = service.map(str::to_owned) else {
        return Err(Refusal::elsewhere("route-without-service"));
    };
    let limit = in_force.configuration.limits.body_bytes;
    let too_large = || Refusal::final_status(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
    let expected = body.size_hint().exact().map_or(0, |bytes| bytes as usize);
    if expected > limit {
        return Err(too_large());
    }
    let waits_ms = facts.deadline_ms.unwrap_or(route.timeout_ms);
    let waits_ms = waits_ms.min(route.timeout_ms);
    let read = Limited::new(body, limit).collect();
    let read = timeout(Duration::from_millis(waits_ms), read).await;
    let body = match read {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            return Err(Refusal::final_status(status, "body-broke-off"));
        }
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(Refusal::final_status(status, "body-too-slow"));
        }
    };
    let memory = shared.reserve_body(body.len());
    let memory = memory.ok_or_else(|| Refusal::elsewhere("no-memory"))?;
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let label = tenant.as_ref().map_or("anonymous", |one| one.name.as_str());
    Ok(Job {
        labels: shared.metrics.labels(label, &route.name),
        priority: tenant
            .as_ref()
            .and_then(|one| one.priority)
            .unwrap_or(route.priority),
        tenant: tenant.map(|one| one.name),
        logs_all: shared.logs_in_full(&facts.id),
        shared: shared.clone(),
        interface,
        facts,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        route,
        service,
        fingerprint: OnceLock::new(),
        arrived_ms,
        ends_ms: arrived_ms + waits_ms,
        has_ended: AtomicBool::new(false),
        _in_flight: in_flight,
        _body_memory: memory,
    })
}

/// Holds a request that comes in the first moments of this process, until it knows what to do with
/// it: where a whole fleet starts again there is no other router to go to.
async fn wait_for_start(shared: &Shared) {
    while shared.uptime_ms() < START_MS && shared.state() == RouterState::NotReady {
        sleep(START_CHECK).await;
    }
}

/// What the configuration in force says of a request that it lets through.
pub(crate) struct Admitted<'a> {
    /// Its route.
    pub(crate) route: &'a Route,
    tenant: Option<&'a Tenant>,
}

/// The route of a request and its tenant, by the configuration in force.
///
/// A router that does not know whether its configuration is the newest denies nothing and lets
/// no key through: both could be wrong. One that knows of a newer configuration handles no request that
/// may have to follow it. Both say that the request has not run.
pub(crate) fn admit<'a>(
    in_force: &'a InForce,
    facts: &RequestFacts,
    path: &str,
) -> Result<Admitted<'a>, Refusal> {
    let InForce {
        configuration,
        has_fresh_keys: fresh,
        is_usable,
    } = in_force;
    if !is_usable {
        return Err(Refusal::elsewhere("configuration-replaced"));
    }
    let Some(route) = configuration.route(&facts.host, path) else {
        return Err(match fresh {
            true => Refusal::final_status(StatusCode::NOT_FOUND, "no-route"),
            false => Refusal::elsewhere("configuration-stale"),
        });
    };
    if configuration.needs_key(route) && !fresh {
        return Err(Refusal::elsewhere("keys-stale"));
    }
    match configuration.tenant(route, facts.key.as_deref()) {
        Ok(tenant) => Ok(Admitted { route, tenant }),
        Err(RouteError::UnknownKey | RouteError::NoRoute) => Err(match fresh {
            true => Refusal::final_status(StatusCode::UNAUTHORIZED, "unknown-key"),
            false => Refusal::elsewhere("configuration-stale"),
        }),
    }
}
