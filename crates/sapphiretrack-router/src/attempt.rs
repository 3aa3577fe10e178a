//! One attempt: a request sent to one backend server, up to the head of its answer.

use std::pin::pin;
use std::time::Duration;

use http::response::Parts;
use http::{Request, StatusCode, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sapphiretrack_routing::Service;
use tokio::time::timeout;

use crate::crashes::note_break;
use crate::events::{Event, note};
use crate::job::Job;
use crate::placing::{NoServer, Placed};
use crate::ports::{AnswerFacts, AttemptHeaders};
use crate::server_pool::{Connection, PoolError};

/// How long the short body of a refusal may take before its connection is given up.
const REFUSAL_BODY_MS: u64 = 100;
/// The longest body of a refusal that is read to keep the connection.
const REFUSAL_BODY_BYTES: usize = 16 * 1024;
/// The part of a server's connections that all routers together use: the rest is for callers of
/// the server beside this fleet, and for routers that this one has not seen.
const CONNECTIONS_PART: f64 = 0.8;

/// A server's answer whose body is still to be read.
pub(crate) struct ServerAnswer {
    /// Its status and headers.
    pub(crate) head: Parts,
    /// What decides about it.
    pub(crate) facts: AnswerFacts,
    /// Its body.
    pub(crate) body: Incoming,
    /// The connection, to be kept after the whole body.
    pub(crate) connection: Connection,
    /// Where it runs.
    pub(crate) placed: Placed,
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptFailure {
    /// There is no server to send it to.
    Unplaced(NoServer),
    /// Its caller waits no longer; nothing was sent.
    NoTimeLeft,
    /// Nothing was sent.
    NotSent(&'static str),
    /// The server says that it did not run the request.
    NotRun(&'static str),
    /// It crashes its servers.
    Blocked,
    /// It may have run.
    MayHaveRun(&'static str),
    /// Its connection ended before its answer; it may have run.
    Broke(&'static str),
    /// No answer in the time that was left; it may have run.
    TimedOut(&'static str),
}

impl AttemptFailure {
    /// Its name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unplaced(none) => none.as_str(),
            Self::NoTimeLeft => "no-time-left",
            Self::Blocked => "crashes-servers",
            Self::NotSent(reason)
            | Self::NotRun(reason)
            | Self::MayHaveRun(reason)
            | Self::Broke(reason)
            | Self::TimedOut(reason) => reason,
        }
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::MayHaveRun(_) | Self::Broke(_) | Self::TimedOut(_)
        )
    }

    /// Counts the failure against its server and writes it to the log.
    pub(crate) fn tell(self, job: &Job, placed: &Placed) {
        // A used-up share of connections says nothing about the server.
        if self != Self::NotSent("connections-used") {
            placed.note_outcome(true);
        }
        let (id, server) = (&job.facts.id, &placed.server.id);
        let (reason, may_have_run) = (self.as_str(), self.may_have_run());
        if let Self::Broke(_) = self {
            note_break(job, &placed.server);
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

/// Sends a request to the server it is placed on and waits for the head of the answer. Each time
/// that `attempt_timeout_ms` pass without it, `gives_up` says whether to leave this server.
pub(crate) async fn send_attempt<GivesUp>(
    job: &Job,
    service: &Service,
    placed: Placed,
    resume_after: Option<u64>,
    attempt_timeout_ms: u64,
    gives_up: GivesUp,
) -> Result<ServerAnswer, AttemptFailure>
where
    GivesUp: FnMut(&Placed) -> bool,
{
    let result = try_send(
        job,
        service,
        placed,
        resume_after,
        attempt_timeout_ms,
        gives_up,
    )
    .await;
    if let Err((placed, failure)) = &result {
        failure.tell(job, placed);
    }
    result.map_err(|(_, failure)| failure)
}

async fn try_send<GivesUp>(
    job: &Job,
    service: &Service,
    placed: Placed,
    resume_after: Option<u64>,
    attempt_timeout_ms: u64,
    mut gives_up: GivesUp,
) -> Result<ServerAnswer, (Placed, AttemptFailure)>
where
    GivesUp: FnMut(&Placed) -> bool,
{
    let shared = &job.shared;
    let routers = shared.peers().may_exist() + 1;
    let share = f64::from(service.max_connections) * CONNECTIONS_PART / routers as f64;
    let limit = (share as u32).max(1);
    let connect_ms = shared.settings().times.connect_ms.min(attempt_timeout_ms);
    let configuration = shared.configuration.load();
    let configuration_version = configuration.as_ref().map_or(0, |one| one.version);
    let mut fresh = false;
    loop {
        let connection = shared
            .pool
            .get(&placed.server, limit, connect_ms, fresh)
            .await;
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(PoolError::NoneFree { .. }) => {
                return Err((placed, AttemptFailure::NotSent("connections-used")));
            }
            Err(PoolError::Unreachable { source }) => {
                placed.note_unreachable();
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
        if job.logs_all {
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
        let answer = {
            let mut sending = pin!(connection.send(request));
            loop {
                let left_ms = job.left_ms();
                let limit = Duration::from_millis(attempt_timeout_ms.clamp(1, left_ms.max(1)));
                if let Ok(answer) = timeout(limit, &mut sending).await {
                    break answer;
                }
                if job.left_ms() == 0 || gives_up(&placed) {
                    return Err((placed, AttemptFailure::TimedOut("no-answer")));
                }
            }
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                if unsent && connection.is_reused && !fresh {
                    // The server closed the kept connection before anything was written.
                    fresh = true;
                    continue;
                }
                let failure = match unsent {
                    true => AttemptFailure::NotSent("connection-closed"),
                    false => AttemptFailure::Broke("connection-broke"),
                };
                return Err((placed, failure));
            }
        };
        return judge(job, placed, connection, answer).await;
    }
}

/// Believes an answer only if it is this attempt's and the server's own.
async fn judge(
    job: &Job,
    placed: Placed,
    connection: Connection,
    answer: http::Response<Incoming>,
) -> Result<ServerAnswer, (Placed, AttemptFailure)> {
    let (head, body) = answer.into_parts();
    let facts = (job.interface.read_answer)(&head);
    if facts.wrong_server || facts.not_run {
        let reason = match facts.wrong_server {
            true => "wrong-server",
            false => "server-refused",
        };
        if facts.wrong_server {
            placed.note_unreachable();
        }
        let whole = Limited::new(body, REFUSAL_BODY_BYTES).collect();
        let limit = Duration::from_millis(REFUSAL_BODY_MS);
        let is_mine = facts.request_id.as_deref() == Some(&*job.facts.id);
        if let Ok(Ok(_)) = timeout(limit, whole).await
            && is_mine
        {
            connection.keep(facts.keep_alive_s);
        }
        return Err((placed, AttemptFailure::NotRun(reason)));
    }
    let flaw = if facts.request_id.as_deref() != Some(&*job.facts.id) {
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
    if let Some(flaw) = flaw {
        return Err((placed, AttemptFailure::MayHaveRun(flaw)));
    }
    Ok(ServerAnswer {
        head,
        facts,
        body,
        connection,
        placed,
    })
}

/// The request as the server gets it.
fn attempt_request(
    job: &Job,
    placed: &Placed,
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
