//! A single attempt: sends a request to one backend server and reads the head of the answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::response::Parts;
use hyper::body::Incoming;
use sapphiretrack_routing::{Exclusion, Incarnation, Origin, RequestKind, Service};
use tokio::time::sleep;

use crate::answer_check::check_answer;
use crate::attempt_request::attempt_request;
use crate::clock::Clock;
use crate::connection_pool::{Connection, PoolError, SendFailure};
use crate::crash_probes::note_failed_run;
use crate::crashes::is_blocked_by_crashes;
use crate::events::{Event, note};
use crate::incarnation_checks::ProofNeed;
use crate::job::{Job, PrefixIds};
use crate::late_answer::read_late_answer;
use crate::peer_hops::PeerSlot;
use crate::placement::{Placement, PlacementError};
use crate::planned_stop::LEAVING;
use crate::ports::AnswerFacts;
use crate::resumed_reads::ResumedReads;
use crate::server_paths::check_path_soon;
use crate::version_proofs::{
    PROOF_POLL_INTERVAL, checked_origin, proven_version, unconfirmed_origin, wait_for_proof,
};

/// The fraction of a server's connection limit that all routers together may use. The rest is left
/// to clients outside the fleet and to routers that this one has not seen yet.
const CONNECTION_FRACTION: f64 = 0.8;

/// The connections per slot of a server that this router may open for requests that have a slot: an
/// absolute bound in case grants of several schedulers add up.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// How long the start of an answer for another router is held until its version is proven: a server usually states it
/// between two inference steps.
const MAX_STATED_WAIT_MS: u64 = 150;

/// The reason of an attempt whose slot was granted too long ago to be used.
pub(crate) const GRANT_EXPIRED: &str = "grant-expired";

/// A server's answer whose body has not been read yet.
pub(crate) struct ServerAnswer {
    /// The status and the headers.
    pub(crate) head: Parts,
    /// What the answer head states about the attempt and the connection.
    pub(crate) facts: AnswerFacts,
    /// The unread body.
    pub(crate) body: Incoming,
    /// Whether the answer has neither a length nor chunks, so that it ends with its connection.
    pub(crate) ends_with_connection: bool,
    /// The connection, reusable once the whole body has been read.
    pub(crate) connection: Connection,
    /// Where the answer comes from.
    pub(crate) target: AttemptTarget,
    /// The version of the server's software as another router states it; none if it is not known.
    pub(crate) stated_origin: Option<Origin>,
}

impl ServerAnswer {
    /// The version of the software that the server runs, and what it depends on while it is not certain;
    /// none if it is not known.
    pub(crate) fn origin(&self, job: &Job) -> Option<Origin> {
        let placement = match &self.target {
            AttemptTarget::Server(placement) => placement,
            AttemptTarget::Peer(_) => return checked_origin(&job.shared, self.stated_origin?),
        };
        let (server, opened_ms) = (&placement.server, self.connection.opened_ms);
        match proven_version(job, server, opened_ms) {
            Some(software) => Some(Origin {
                software,
                unconfirmed: None,
            }),
            None => {
                if job.route.kind == (RequestKind::Stream { resumable: true }) {
                    let incarnations = &job.shared.stream_origins.incarnations;
                    incarnations.ask(&job.shared, server, ProofNeed::Later);
                }
                unconfirmed_origin(&job.shared, server, opened_ms)
            }
        }
    }

    /// The same for another router that passed the request on, none if the caller is connected to this one. That router
    /// cannot ask the server itself, so this one waits for a proof, for a short time.
    pub(crate) async fn origin_for_peer(&self, job: &Job) -> Option<Origin> {
        job.hop?;
        let shared = &job.shared;
        if job.route.kind != (RequestKind::Stream { resumable: true }) {
            return self.origin(job);
        }
        let until_ms = Clock.now_ms() + MAX_STATED_WAIT_MS;
        loop {
            let origin = self.origin(job);
            let is_confirmed = origin.is_some_and(|origin| origin.unconfirmed.is_none());
            let AttemptTarget::Server(placement) = &self.target else {
                return origin;
            };
            let incarnations = &shared.stream_origins.incarnations;
            let is_over = Clock.now_ms() >= until_ms;
            let server = &placement.server;
            let is_askable =
                server.may_reuse_id() && !incarnations.has_restarted(server.incarnation);
            if is_confirmed || is_over || !is_askable {
                return origin;
            }
            incarnations.ask(shared, server, ProofNeed::Now);
            sleep(PROOF_POLL_INTERVAL).await;
        }
    }
}

/// Where an attempt was sent.
pub(crate) enum AttemptTarget {
    /// A backend server.
    Server(Placement),
    /// Another router, which has placed the request on a server.
    Peer(PeerSlot),
}

impl AttemptTarget {
    /// The server, if the attempt was sent there directly.
    pub(crate) fn server(&self) -> Option<Incarnation> {
        match self {
            Self::Server(placement) => Some(placement.server.incarnation),
            Self::Peer(_) => None,
        }
    }

    /// The id of the server, if the attempt was sent there directly.
    pub(crate) fn server_id(&self) -> Option<&str> {
        match self {
            Self::Server(placement) => Some(&placement.server.id),
            Self::Peer(_) => None,
        }
    }

    /// Records that bytes of an answer arrived.
    pub(crate) fn record_progress(&mut self) {
        if let Self::Server(placement) = self {
            placement.record_progress();
        }
    }

    /// Records whether the rest of the answer is left unread until the caller has taken what was read.
    pub(crate) fn set_held_back(&mut self, is_held_back: bool) {
        if let Self::Server(placement) = self {
            placement.set_held_back(is_held_back);
        }
    }

    /// Records how the attempt ended.
    pub(crate) fn record_outcome(&mut self, failed: bool) {
        if let Self::Server(placement) = self {
            placement.record_outcome(failed);
        }
    }

    /// Records and logs a failure of the attempt, this long after its answer began.
    pub(crate) fn record_failure(
        &mut self,
        job: &Job,
        failure: AttemptFailure,
        answer_age_ms: u64,
    ) {
        match self {
            Self::Server(placement) => failure.record(job, placement, answer_age_ms),
            Self::Peer(peer) => note!(
                Event::RELAY_FAILED,
                id = job.facts.id,
                peer = peer.address,
                reason = failure.as_str(),
            ),
        }
    }
}

/// Why an attempt ended without a usable answer.
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
    /// Another router refused the request, which has not run.
    RefusedByRouter,
    /// The service's scheduler refused the request, which may be served after this number of
    /// milliseconds.
    LineFull(u64),
    /// The request is blocked because it has crashed too many servers.
    Blocked,
    /// The server failed or its answer is unusable; the request may have run.
    MayHaveRun(&'static str),
    /// The server answered with a status that promises that the request has not run, and did not state
    /// that; it may have run.
    RefusalNotStated,
    /// The connection was lost before the answer was complete; the request may have run.
    ConnectionLost(&'static str),
    /// The answer was not complete in time; the request may have run.
    TimedOut(&'static str),
}

impl AttemptFailure {
    /// The reason as it appears in logs, metrics and answers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotPlaced(error) => error.as_str(),
            Self::NoTimeLeft => "no-time-left",
            Self::LineFull(_) => "line-full",
            Self::Blocked => "crashes-servers",
            Self::RefusedByRouter => "refused-by-router",
            Self::RefusalNotStated => "refusal-not-stated",
            Self::NotSent(reason)
            | Self::NotRun(reason)
            | Self::MayHaveRun(reason)
            | Self::ConnectionLost(reason)
            | Self::TimedOut(reason) => reason,
        }
    }

    /// Whether only this router's own state kept the request from a server, so that another router may
    /// serve it.
    pub(crate) fn is_local(self) -> bool {
        match self {
            Self::NotPlaced(error) => matches!(
                error,
                PlacementError::NoPath
                    | PlacementError::Excluded(
                        Exclusion::OtherVersion | Exclusion::UnclearedVersion
                    )
            ),
            Self::NotSent(reason) => matches!(
                reason,
                "servers-replaced"
                    | "evacuations-stale"
                    | "no-service"
                    | "no-configuration"
                    | "configuration-replaced"
                    | "configuration-stale"
                    | "keys-stale"
                    | "route-moved"
                    | LEAVING
            ),
            _ => false,
        }
    }

    /// Whether the request may have run.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::MayHaveRun(_)
                | Self::RefusalNotStated
                | Self::ConnectionLost(_)
                | Self::TimedOut(_)
        )
    }

    /// Counts the failure against the server and logs it.
    fn record(self, job: &Job, placement: &mut Placement, answer_age_ms: u64) {
        // Running out of this router's share of connections says nothing about the server's health.
        // Neither does a change of what may be sent there.
        let is_own_limit = matches!(
            self,
            Self::Blocked
                | Self::NotSent(
                    "connections-used"
                        | "other-version"
                        | "version-unproven"
                        | "version-uncleared"
                        | "server-cold"
                        | "server-leaving"
                        | "server-paused"
                        | "zone-evacuated"
                        | "region-not-allowed"
                        | GRANT_EXPIRED
                        | LEAVING
                )
        );
        if !is_own_limit {
            placement.record_outcome(true);
        }
        let (id, server) = (&job.facts.id, &placement.server.id);
        let (reason, may_have_run) = (self.as_str(), self.may_have_run());
        if let Self::ConnectionLost(_) | Self::MayHaveRun(_) = self {
            note_failed_run(job, &placement.server, answer_age_ms);
            note!(
                Event::ATTEMPT_FAILED,
                id = id,
                server = server,
                reason = reason,
                may_have_run = may_have_run,
                fingerprint = job.fingerprint(),
                prefixes = PrefixIds(job.facts.shared_prefixes()),
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

/// Sends a request to the server it was placed on and waits for the head of the answer. Each time
/// `attempt_timeout_ms` elapses without one, `should_abandon` decides whether to abandon this
/// server. Records and logs a failure.
pub(crate) async fn send_attempt<ShouldAbandon>(
    job: &Job,
    service: &Service,
    placement: Placement,
    resume_after: Option<u64>,
    attempt_timeout_ms: u64,
    should_abandon: ShouldAbandon,
) -> Result<ServerAnswer, AttemptFailure>
where
    ShouldAbandon: FnMut(&Placement) -> bool,
{
    let mut result = try_send(
        job,
        service,
        placement,
        resume_after,
        attempt_timeout_ms,
        should_abandon,
    )
    .await;
    if let Err((placement, failure)) = &mut result {
        failure.record(job, placement, 0);
    }
    result.map_err(|(_, failure)| failure)
}

/// The connections that this router may open to a server. `slots` are the server's slots for a request
/// that has one of them: the server's window limits those of all routers together, and they may all be
/// assigned to one router, whose share of the connections may be as low as 1.
fn connection_limit(max_connections: u32, routers: usize, slots: Option<u32>) -> u32 {
    let share = f64::from(max_connections) * CONNECTION_FRACTION / routers as f64;
    let share = (share as u32).max(1);
    let slots = slots.unwrap_or(0);
    share.max(slots.saturating_mul(CONNECTIONS_PER_SLOT))
}

async fn try_send<ShouldAbandon>(
    job: &Job,
    service: &Service,
    mut placement: Placement,
    resume_after: Option<u64>,
    attempt_timeout_ms: u64,
    mut should_abandon: ShouldAbandon,
) -> Result<ServerAnswer, (Placement, AttemptFailure)>
where
    ShouldAbandon: FnMut(&Placement) -> bool,
{
    let shared = &job.shared;
    let routers = shared.peers().known_count() + 1;
    let slots = placement.slot.as_ref().map(|_| placement.server.slots);
    let limit = connection_limit(service.max_connections, routers, slots);
    let connect_ms = shared.settings().times.connect_ms.min(attempt_timeout_ms);
    let configuration = shared.configuration.load();
    let configuration_version = configuration
        .as_ref()
        .map_or(0, |configuration| configuration.version);
    let mut force_new = false;
    loop {
        let connection = shared
            .pool
            .get(
                (placement.server.incarnation, placement.server.address),
                limit,
                connect_ms,
                force_new,
            )
            .await;
        let server = &placement.server;
        let connection = match connection {
            Ok(connection) => {
                if !connection.is_reused {
                    shared
                        .server_paths
                        .record_reached(shared, server.incarnation);
                }
                connection
            }
            Err(PoolError::LimitReached { .. }) => {
                return Err((placement, AttemptFailure::NotSent("connections-used")));
            }
            Err(PoolError::Unreachable { source }) => {
                placement.record_unreachable();
                if shared
                    .server_paths
                    .record_failed(shared, server.incarnation)
                {
                    check_path_soon(shared, server);
                }
                let ended_servers = &shared.ended_servers;
                ended_servers.record_unreachable(shared, server, &source);
                note!(
                    Event::SERVER_UNREACHABLE,
                    id = job.facts.id,
                    server = placement.server.id,
                    error = source,
                );
                return Err((placement, AttemptFailure::NotSent("unreachable")));
            }
        };
        if let Some(origin) = job.required_origin.get()
            && let Err(reason) = wait_for_proof(job, *origin, server, connection.opened_ms).await
        {
            connection.return_to_pool(None);
            return Err((placement, AttemptFailure::NotSent(reason)));
        }
        let left_ms = job.left_ms();
        if left_ms == 0 {
            return Err((placement, AttemptFailure::NoTimeLeft));
        }
        if !job.may_be_passed_on() {
            connection.return_to_pool(None);
            return Err((placement, AttemptFailure::NotSent(LEAVING)));
        }
        // Before the check below, which counts a request to a cold server as sent.
        if placement.slot.as_ref().is_some_and(|slot| !slot.is_valid()) {
            connection.return_to_pool(None);
            return Err((placement, AttemptFailure::NotSent(GRANT_EXPIRED)));
        }
        // What the placement was based on may have changed while the connection was opened.
        if is_blocked_by_crashes(job) {
            connection.return_to_pool(None);
            return Err((placement, AttemptFailure::Blocked));
        }
        if let Some(exclusion) =
            placement.exclusion_at_send(job.placement_request(service, &[], true))
        {
            connection.return_to_pool(None);
            return Err((placement, AttemptFailure::NotSent(exclusion.as_str())));
        }
        if let Some(slot) = &mut placement.slot {
            slot.record_sent();
        }
        let request = attempt_request(job, &placement, resume_after, left_ms);
        if job.is_log_sampled {
            note!(
                Event::SENT,
                id = job.facts.id,
                route = job.route.name,
                service = service.name,
                server = placement.server.id,
                version = placement.server.software_version,
                resume_after = resume_after.unwrap_or(0),
                begun_by = job.facts.begun_by.as_deref().unwrap_or("-"),
                load = placement.load,
                servers = placement.servers,
                cached_tokens = placement.cached_tokens,
                prompt_tokens = job.facts.prompt_tokens,
                fetches = placement.fetch_from.is_some(),
                reused = connection.is_reused,
                left_ms = left_ms,
                configuration = configuration_version,
                configuration_age_ms = shared.configuration_age_ms().unwrap_or(u64::MAX),
            );
        }
        let had_run = job.may_have_run.swap(true, Ordering::Relaxed);
        let mut sending = Box::pin(connection.send(request));
        let mut reads = ResumedReads::default();
        let (connection, answer) = loop {
            let left_ms = job.left_ms();
            let limit = Duration::from_millis(attempt_timeout_ms.clamp(1, left_ms.max(1)));
            if let Some(sent) = reads.read(&mut sending, limit).await {
                break sent;
            }
            if job.left_ms() == 0 {
                read_late_answer(job, &placement.server, sending);
                return Err((placement, AttemptFailure::TimedOut("no-answer")));
            }
            if should_abandon(&placement) {
                return Err((placement, AttemptFailure::TimedOut("no-answer")));
            }
        };
        let answer = match answer {
            Ok(answer) => answer,
            // The server closed the reused connection before anything was written to it.
            Err(SendFailure::NotSent) if connection.is_reused && !force_new => {
                note!(
                    Event::CONNECTION_ENDED,
                    id = job.facts.id,
                    server = placement.server.id,
                );
                job.may_have_run.store(had_run, Ordering::Relaxed);
                force_new = true;
                continue;
            }
            Err(failure) => {
                let failure = match failure {
                    SendFailure::NotSent => AttemptFailure::NotSent("connection-closed"),
                    SendFailure::HeadTooLong => AttemptFailure::MayHaveRun("head-too-long"),
                    SendFailure::InvalidHead => AttemptFailure::ConnectionLost("head-invalid"),
                    SendFailure::ConnectionLost => {
                        AttemptFailure::ConnectionLost("connection-broke")
                    }
                };
                return Err((placement, failure));
            }
        };
        return check_answer(job, placement, connection, answer).await;
    }
}
