//! A single attempt: sends a request to one backend server and reads the head of the response.

use std::pin::pin;
use std::time::Duration;

use http::response::Parts;
use http::{Request, StatusCode, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sapphiretrack_routing::Service;
use tokio::time::timeout;

use crate::crashes::note_connection_loss;
use crate::events::{Event, note};
use crate::job::Job;
use crate::placing::{Placement, PlacementError};
use crate::ports::{AnswerFacts, AttemptHeaders};
use crate::server_pool::{Connection, PoolError};

/// The time limit for reading the body of a refusal; after it, the connection is closed.
const REFUSAL_BODY_TIMEOUT_MS: u64 = 100;
/// The longest body of a refusal that is read to make the connection reusable.
const MAX_REFUSAL_BODY_BYTES: usize = 16 * 1024;
/// The fraction of a server's connection limit that all routers together may use. The rest is left
/// to clients outside the fleet and to routers that this one has not seen yet.
const CONNECTION_FRACTION: f64 = 0.8;

/// A server's response whose body has not been read yet.
pub(crate) struct ServerResponse {
    /// The status and the headers.
    pub(crate) head: Parts,
    /// What the response head states about the attempt and the connection.
    pub(crate) facts: AnswerFacts,
    /// The unread body.
    pub(crate) body: Incoming,
    /// The connection, reusable once the whole body has been read.
    pub(crate) connection: Connection,
    /// The placement on the server that sent the response.
    pub(crate) placed: Placement,
}

/// Why an attempt ended without a usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptFailure {
    /// No server could be chosen.
    NotPlaced(PlacementError),
    /// The caller's deadline has passed; nothing was sent.
    NoTimeLeft,
    /// The request was not sent, for the given reason.
    NotSent(&'static str),
    /// The server stated that it did not run the request.
    NotRun(&'static str),
    /// The request is blocked because it has crashed too many servers.
    Blocked,
    /// The server failed or its response is unusable; the request may have run.
    MayHaveRun(&'static str),
    /// The connection was lost before the response was complete; the request may have run.
    ConnectionLost(&'static str),
    /// The response was not complete in time; the request may have run.
    TimedOut(&'static str),
}

impl AttemptFailure {
    /// The reason as it appears in logs, metrics and responses.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotPlaced(error) => error.as_str(),
            Self::NoTimeLeft => "no-time-left",
            Self::Blocked => "crashes-servers",
            Self::NotSent(reason)
            | Self::NotRun(reason)
            | Self::MayHaveRun(reason)
            | Self::ConnectionLost(reason)
            | Self::TimedOut(reason) => reason,
        }
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::MayHaveRun(_) | Self::ConnectionLost(_) | Self::TimedOut(_)
        )
    }

    /// Counts the failure against the server and logs it.
    pub(crate) fn record(self, job: &Job, placed: &Placement) {
        // Running out of this router's share of connections says nothing about the server's health.
        if self != Self::NotSent("connections-used") {
            placed.record_outcome(true);
        }
        let (id, server) = (&job.facts.id, &placed.server.id);
        let (reason, may_have_run) = (self.as_str(), self.may_have_run());
        if let Self::ConnectionLost(_) = self {
            note_connection_loss(job, &placed.server);
            note!(
                Event::ATTEMPT_FAILED,
                id = id,
                server = server,
                reason = reason,
                may_have_run = may_have_run,
                fingerprint = job.fingerprint(),
            );
            return;
        }
        note!(
            Event::ATTEMPT_FAILED,
            id = id,
            server = server,
            reason = reason,
            may_have_run = may_have_run,
        );
    }
}

/// Sends a request to the server it was placed on and waits for the head of the response. Each time
/// `attempt_timeout_ms` elapses without one, `should_abandon` decides whether to abandon this server.
/// Records and logs a failure.
pub(crate) async fn send_attempt<ShouldAbandon>(
    job: &Job,
    service: &Service,
    placed: Placement,
    resume_after: Option<u64>,
    attempt_timeout_ms: u64,
    should_abandon: ShouldAbandon,
) -> Result<ServerResponse, AttemptFailure>
where
    ShouldAbandon: FnMut(&Placement) -> bool,
{
    let result = try_send(
        job,
        service,
        placed,
        resume_after,
        attempt_timeout_ms,
        should_abandon,
    )
    .await;
    if let Err((placed, failure)) = &result {
        failure.record(job, placed);
    }
    result.map_err(|(_, failure)| failure)
}

async fn try_send<ShouldAbandon>(
    job: &Job,
    service: &Service,
    placed: Placement,
    resume_after: Option<u64>,
    attempt_timeout_ms: u64,
    mut should_abandon: ShouldAbandon,
) -> Result<ServerResponse, (Placement, AttemptFailure)>
where
    ShouldAbandon: FnMut(&Placement) -> bool,
{
    let shared = &job.shared;
    let routers = shared.peers().known_count() + 1;
    let share = f64::from(service.max_connections) * CONNECTION_FRACTION / routers as f64;
    let limit = (share as u32).max(1);
    let connect_ms = shared.settings().times.connect_ms.min(attempt_timeout_ms);
    let configuration = shared.configuration.load();
    let configuration_version = configuration
        .as_ref()
        .map_or(0, |configuration| configuration.version);
    let mut force_new = false;
    loop {
        let connection = shared
            .pool
            .get(&placed.server, limit, connect_ms, force_new)
            .await;
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(PoolError::LimitReached { .. }) => {
                return Err((placed, AttemptFailure::NotSent("connections-used")));
            }
            Err(PoolError::Unreachable { source }) => {
                placed.record_unreachable();
                note!(
                    Event::SERVER_UNREACHABLE,
                    id = job.facts.id,
                    server = placed.server.id,
                    error = source,
                );
                return Err((placed, AttemptFailure::NotSent("unreachable")));
            }
        };
        let left_ms = job.left_ms();
        if left_ms == 0 {
            return Err((placed, AttemptFailure::NoTimeLeft));
        }
        let request = attempt_request(job, &placed, resume_after, left_ms);
        if job.is_log_sampled {
            note!(
                Event::SENT,
                id = job.facts.id,
                route = job.route.name,
                service = service.name,
                server = placed.server.id,
                load = placed.load,
                servers = placed.servers,
                cached_tokens = placed.cached_tokens,
                prompt_tokens = job.facts.prompt_tokens,
                fetches = placed.fetch_from.is_some(),
                reused = connection.is_reused,
                left_ms = left_ms,
                configuration = configuration_version,
                configuration_age_ms = shared.configuration_age_ms().unwrap_or(u64::MAX),
            );
        }
        let response = {
            let mut sending = pin!(connection.send(request));
            loop {
                let left_ms = job.left_ms();
                let limit = Duration::from_millis(attempt_timeout_ms.clamp(1, left_ms.max(1)));
                if let Ok(response) = timeout(limit, &mut sending).await {
                    break response;
                }
                if job.left_ms() == 0 || should_abandon(&placed) {
                    return Err((placed, AttemptFailure::TimedOut("no-answer")));
                }
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(mut error) => {
                let was_not_sent = error.take_message().is_some();
                if was_not_sent && connection.is_reused && !force_new {
                    // The server closed the reused connection before anything was written to it.
                    force_new = true;
                    continue;
                }
                let failure = match was_not_sent {
                    true => AttemptFailure::NotSent("connection-closed"),
                    false => AttemptFailure::ConnectionLost("connection-broke"),
                };
                return Err((placed, failure));
            }
        };
        return check_response(job, placed, connection, response).await;
    }
}

/// Accepts a response only if it belongs to this attempt and comes from the intended server.
async fn check_response(
    job: &Job,
    placed: Placement,
    connection: Connection,
    response: http::Response<Incoming>,
) -> Result<ServerResponse, (Placement, AttemptFailure)> {
    let (head, body) = response.into_parts();
    let facts = (job.interface.read_answer)(&head);
    if facts.wrong_server || facts.not_run {
        let reason = match facts.wrong_server {
            true => "wrong-server",
            false => "server-refused",
        };
        if facts.wrong_server {
            placed.record_unreachable();
        }
        let read_body = Limited::new(body, MAX_REFUSAL_BODY_BYTES).collect();
        let limit = Duration::from_millis(REFUSAL_BODY_TIMEOUT_MS);
        let is_own_response = facts.request_id.as_deref() == Some(&*job.facts.id);
        if let Ok(Ok(_)) = timeout(limit, read_body).await
            && is_own_response
        {
            connection.keep(facts.keep_alive_s);
        }
        return Err((placed, AttemptFailure::NotRun(reason)));
    }
    let problem = if facts.request_id.as_deref() != Some(&*job.facts.id) {
        Some("answer-of-another-request")
    } else if head.status.is_success() && !facts.is_signed {
        Some("answer-not-signed")
    } else if facts.is_encoded {
        Some("answer-encoded")
    } else if head.status.is_informational() || head.status == StatusCode::SWITCHING_PROTOCOLS {
        Some("answer-not-final")
    } else {
        None
    };
    if let Some(problem) = problem {
        return Err((placed, AttemptFailure::MayHaveRun(problem)));
    }
    Ok(ServerResponse {
        head,
        facts,
        body,
        connection,
        placed,
    })
}

/// Builds the request that is sent to the server.
fn attempt_request(
    job: &Job,
    placed: &Placement,
    resume_after: Option<u64>,
    left_ms: u64,
) -> Request<Full<bytes::Bytes>> {
    let mut headers = job.headers.clone();
    let attempt = AttemptHeaders {
        server_id: &placed.server.id,
        tenant: job.tenant.as_deref(),
        left_ms,
        priority: job.priority,
        fetch_from: placed.fetch_from,
        resume_after,
    };
    (job.interface.write_attempt)(&mut headers, &attempt);
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}
