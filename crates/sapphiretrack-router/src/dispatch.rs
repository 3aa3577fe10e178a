//! Takes a caller's request to its answer: route, key, placement, attempts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use sapphiretrack_core::DrainRate;
use sapphiretrack_routing::{
    Configuration, Incarnation, RequestFacts, RequestKind, Route, RouteError, StopPhase, StopTimes,
    Tenant,
};
use tokio::time::timeout;

use crate::answer::{AnswerBody, own_answer, strip_connection_headers};
use crate::attempt::{AttemptFailure, ServerAnswer, send_attempt};
use crate::clock::Clock;
use crate::events::{Event, note};
use crate::metrics::RequestLabels;
use crate::placing::{NoServer, place};
use crate::ports::Interface;
use crate::relay::{self, ReadAnswer};
use crate::shared::{BodyMemory, InFlight, Shared};

/// When to come back to a fleet of which only this router cannot serve: at once, on a new
/// connection to another one, spread over a tenth of a second.
const ELSEWHERE_MS: u64 = 50;
/// The most servers that one request is offered to while none has run it: beyond that the
/// caller does better to come back.
const MAX_OFFERS: u32 = 3;
/// The part of its objective after which an idempotent request is given up on at a silent server.
const ANSWER_OBJECTIVES: u64 = 2;

/// A request on its way, with all that attempts need.
pub(crate) struct Job {
    /// The router.
    pub(crate) shared: Arc<Shared>,
    /// How callers and servers speak.
    pub(crate) interface: Interface,
    /// The request's facts.
    pub(crate) facts: RequestFacts,
    /// Its method.
    pub(crate) method: Method,
    /// Its path and query.
    pub(crate) uri: Uri,
    /// Its headers, without those of the connection.
    pub(crate) headers: HeaderMap,
    /// Its whole body.
    pub(crate) body: Bytes,
    /// The tenant's name.
    pub(crate) tenant: Option<String>,
    /// Its rank.
    pub(crate) priority: u8,
    /// The terms of its route.
    pub(crate) route: Route,
    /// The service that it goes to.
    pub(crate) service: String,
    /// Labels of its metrics.
    pub(crate) labels: RequestLabels,
    /// Whether the log tells all of it; failures are always told.
    pub(crate) tells_all: bool,
    arrived_ms: u64,
    ends_ms: u64,
    /// Whether the log tells how it ended.
    has_ended: AtomicBool,
    _in_flight: InFlight,
    _body_memory: BodyMemory,
}

/// What became of a request's attempts so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Servers that it was offered to, or that could not be reached.
    pub(crate) tried: Vec<Incarnation>,
    /// Servers that may have run it.
    pub(crate) runs: u32,
    /// Servers that it was sent to.
    pub(crate) offers: u32,
}

/// A final answer of this router's own.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The request has not run; another router may serve it.
    fn elsewhere(reason: &'static str) -> Self {
        let spread_ms = rand::rng().random_range(0..2 * ELSEWHERE_MS);
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(ELSEWHERE_MS + spread_ms),
        }
    }

    fn final_status(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer_request(
    shared: Arc<Shared>,
    interface: Interface,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let in_flight = shared.begin_request();
    let (head, body) = request.into_parts();
    let leaving = shared.leaving_for_ms().is_some();
    let facts = match (interface.read_request)(&head) {
        Ok(facts) => facts,
        Err(error) => {
            let refusal = Refusal::final_status(StatusCode::BAD_REQUEST, error.reason);
            return refuse(&shared, "", refusal, leaving);
        }
    };
    let id = facts.id.clone();
    let job = match accept(&shared, interface, head, facts, body, in_flight).await {
        Ok(job) => job,
        Err(refusal) => return refuse(&shared, &id, refusal, leaving),
    };
    let mut answer = run(Arc::new(job)).await;
    if shared.leaving_for_ms().is_some() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Checks a request and reads its body.
async fn accept(
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
    let configuration = shared.configuration.load_full();
    let configuration = configuration.ok_or_else(|| Refusal::elsewhere("no-configuration"))?;
    let Admitted { route, tenant } = admit(shared, &configuration, &facts, head.uri.path())?;
    let route = route.clone();
    let tenant = tenant.cloned();
    let service = route.pick_target(rand::rng().random());
    let Some(service) = service.map(str::to_owned) else {
        return Err(Refusal::elsewhere("route-without-service"));
    };
    let limit = configuration.limits.body_bytes;
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
        tells_all: shared.tells_in_full(&facts.id),
        shared: shared.clone(),
        interface,
        facts,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        route,
        service,
        arrived_ms,
        ends_ms: arrived_ms + waits_ms,
        has_ended: AtomicBool::new(false),
        _in_flight: in_flight,
        _body_memory: memory,
    })
}

/// What the configuration in force says of a request that it lets through.
struct Admitted<'a> {
    route: &'a Route,
    tenant: Option<&'a Tenant>,
}

/// The route of a request and its tenant, by the configuration in force.
///
/// A router that does not know whether its configuration is the newest denies nothing and lets
/// no key through: both could be wrong. It says that the request has not run.
fn admit<'a>(
    shared: &Shared,
    configuration: &'a Configuration,
    facts: &RequestFacts,
    path: &str,
) -> Result<Admitted<'a>, Refusal> {
    let fresh = shared.keys_are_fresh();
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

impl Job {
    /// Notes that the log tells how the request ended.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// How long the caller still waits.
    pub(crate) fn left_ms(&self) -> u64 {
        self.ends_ms.saturating_sub(Clock.now_ms())
    }

    /// How long ago the request came.
    pub(crate) fn age_ms(&self) -> u64 {
        Clock.now_ms().saturating_sub(self.arrived_ms)
    }

    /// How long an attempt may be silent before another server is asked, where that is allowed.
    fn answer_limit_ms(&self, attempts: &Attempts) -> u64 {
        let repeatable = self.route.kind.may_run_again();
        let last = attempts.runs + 1 >= self.route.max_attempts;
        if !repeatable || last {
            return self.left_ms();
        }
        let patience_ms = self.route.objective_ms * ANSWER_OBJECTIVES;
        patience_ms.min(self.left_ms() / 2)
    }

    /// Checks again, right before a send, what may have changed since the request came: its route
    /// and its key.
    fn check_again(&self) -> Result<Arc<Configuration>, Refusal> {
        let configuration = self.shared.configuration.load_full();
        let configuration = configuration.ok_or_else(|| Refusal::elsewhere("no-configuration"))?;
        let admitted = admit(&self.shared, &configuration, &self.facts, self.uri.path())?;
        let mut targets = admitted.route.targets.iter();
        if !targets.any(|target| target.service == self.service) {
            return Err(Refusal::elsewhere("route-moved"));
        }
        Ok(configuration)
    }

    /// Sends the request until a server answers it, or no further attempt is allowed.
    pub(crate) async fn attempt(
        &self,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Result<ServerAnswer, AttemptFailure> {
        if attempts.offers == 0 {
            let now_ms = Clock.now_ms();
            let mut traffic = self.shared.traffic();
            traffic.retries.note_request(&self.service, now_ms);
            let drain = traffic.drain.entry(self.service.clone());
            drain.or_insert_with(|| DrainRate::new(now_ms));
        }
        loop {
            let configuration = match self.check_again() {
                Ok(configuration) => configuration,
                Err(refusal) => return Err(AttemptFailure::NotSent(refusal.reason)),
            };
            let Some(service) = configuration.service(&self.service) else {
                return Err(AttemptFailure::NotSent("no-service"));
            };
            let placed = place(&self.shared, service, &self.facts, &attempts.tried);
            let placed = placed.map_err(|none| AttemptFailure::NotSent(none.as_str()))?;
            if attempts.offers > 0 && !self.may_repeat() {
                return Err(AttemptFailure::NotSent("retry-budget"));
            }
            attempts.tried.push(placed.server.incarnation);
            let warm = match placed.cached_tokens {
                0 => "cold",
                _ => "warm",
            };
            self.shared.metrics.placed(warm);
            let limit_ms = self.answer_limit_ms(attempts);
            let sent = send_attempt(self, service, placed, resume_after, limit_ms).await;
            let failure = match sent {
                Ok(answer) => {
                    attempts.offers += 1;
                    attempts.runs += 1;
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            match failure {
                AttemptFailure::NotSent("no-time-left") => return Err(failure),
                AttemptFailure::NotSent(_) => {}
                AttemptFailure::NotRun(_) => attempts.offers += 1,
                AttemptFailure::MayHaveRun(_) | AttemptFailure::TimedOut(_) => {
                    attempts.offers += 1;
                    attempts.runs += 1;
                }
            }
            if !self.may_go_on(attempts, failure) {
                return Err(failure);
            }
        }
    }

    /// Whether another attempt may follow a failed one.
    pub(crate) fn may_go_on(&self, attempts: &Attempts, failure: AttemptFailure) -> bool {
        let allowed = !failure.may_have_run() || self.route.kind.may_run_again();
        allowed
            && attempts.runs < self.route.max_attempts.max(1)
            && (attempts.tried.len() as u32) < MAX_OFFERS
            && self.left_ms() > 0
    }

    /// Takes one repeat from this router's share of the budget.
    fn may_repeat(&self) -> bool {
        let routers = self.shared.peers().may_exist() + 1;
        let mut traffic = self.shared.traffic();
        let allowed = traffic
            .retries
            .try_repeat(&self.service, routers, Clock.now_ms());
        drop(traffic);
        if allowed {
            self.shared.metrics.repeated("attempt-failed");
        }
        allowed
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        // Whoever drops a request that has not ended does so because its caller left.
        if !self.has_ended.load(Ordering::Relaxed) {
            self.shared.metrics.failed("caller-left");
            note!(
                Event::CALLER_LEFT,
                id = self.facts.id,
                age_ms = self.age_ms()
            );
        }
    }
}

/// Runs a request's attempts and turns what they end with into the answer.
async fn run(job: Arc<Job>) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    let mut server_error = None;
    loop {
        let answer = match job.attempt(&mut attempts, job.facts.resume_after).await {
            Ok(answer) => answer,
            Err(failure) => {
                return pass_on_or_give_up(&job, &attempts, failure, server_error);
            }
        };
        let streams = matches!(job.route.kind, RequestKind::Stream { .. });
        if streams && answer.head.status.is_success() {
            return relay::stream_events(job, attempts, answer);
        }
        let failure = match relay::whole_answer(&job, answer, &attempts).await {
            Ok(ReadAnswer::Final(answer)) => return answer,
            Ok(ReadAnswer::ServerError(answer)) => {
                server_error = Some(answer);
                AttemptFailure::MayHaveRun("server-error")
            }
            Err(failure) => failure,
        };
        if !job.may_go_on(&attempts, failure) {
            return pass_on_or_give_up(&job, &attempts, failure, server_error);
        }
    }
}

/// A server's own failure goes to the caller if no other server did better.
fn pass_on_or_give_up(
    job: &Job,
    attempts: &Attempts,
    failure: AttemptFailure,
    server_error: Option<Response<AnswerBody>>,
) -> Response<AnswerBody> {
    let Some(answer) = server_error else {
        return give_up(job, attempts, failure);
    };
    relay::note_answered(job, answer.status(), attempts.offers);
    answer
}

/// The final answer of a request that no server answered.
fn give_up(job: &Job, attempts: &Attempts, failure: AttemptFailure) -> Response<AnswerBody> {
    job.end();
    let reason = failure.as_str();
    let leaving = job.shared.leaving_for_ms().is_some();
    if attempts.runs > 0 {
        let status = match failure {
            AttemptFailure::TimedOut(_) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        job.shared.metrics.failed(reason);
        note!(
            Event::FAILED,
            id = job.facts.id,
            status = status.as_u16(),
            reason = reason,
            offers = attempts.offers,
            age_ms = job.age_ms(),
        );
        return own_answer(status, reason, None);
    }
    // Nothing ran: the caller may come back, as soon as there is room.
    let full = reason == NoServer::AllFull.as_str() || failure == AttemptFailure::NotRun(reason);
    let refusal = match full {
        true => {
            let mut traffic = job.shared.traffic();
            let drain = traffic.drain.get_mut(&job.service);
            let draw = rand::rng().random();
            let wait_ms = drain.map(|drain| drain.retry_after_ms(draw, Clock.now_ms()));
            Refusal {
                retry_after_ms: wait_ms,
                ..Refusal::elsewhere(reason)
            }
        }
        false => Refusal::elsewhere(reason),
    };
    refuse(&job.shared, &job.facts.id, refusal, leaving)
}

/// Refuses a request that has not run.
fn refuse(shared: &Shared, id: &str, refusal: Refusal, leaving: bool) -> Response<AnswerBody> {
    shared.metrics.refused(refusal.reason);
    note!(
        Event::REFUSED,
        id = id,
        status = refusal.status.as_u16(),
        reason = refusal.reason,
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        configuration_age_ms = shared.configuration_age_ms().unwrap_or(u64::MAX),
    );
    let mut answer = own_answer(refusal.status, refusal.reason, refusal.retry_after_ms);
    if leaving || refusal.status == StatusCode::SERVICE_UNAVAILABLE && refusal.reason == "leaving" {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}
