//! Handles a caller's request: runs attempts, decides on retries and builds the final answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use sapphiretrack_clients::{RequestInProgress, discard_body};
use sapphiretrack_core::DrainRate;
use sapphiretrack_routing::{Configuration, Incarnation, RequestKind, Service};

use crate::admission::{admit, receive_request};
use crate::answer::AnswerBody;
use crate::answer_relay::{ReadAnswer, buffered_answer};
use crate::attempt::{AttemptFailure, GRANT_EXPIRED, ServerAnswer, send_attempt};
use crate::attempts::Attempts;
use crate::clock::Clock;
use crate::crashes::suspicion;
use crate::events::{Event, note};
use crate::final_answer::final_answer;
use crate::job::Job;
use crate::peer_hop::{HopAnswer, HopOutcome, HopRequest};
use crate::peer_hops::{HopResult, PeerHopTable, send_to_peer};
use crate::placement::{
    Placement, PlacementError, PlacementRequest, is_room_local, wait_for_server_ms,
};
use crate::planned_stop::{LEAVING, answer_before_end};
use crate::ports::Interface;
use crate::refusal::{Refusal, refuse};
use crate::relay;
use crate::shared::Shared;
use crate::slot_placement::{SlotState, place_with_slot};
use crate::slot_scheduling::SlotGuard;

/// The number of grants of an attempt that this router cannot use, after which the request is placed
/// without a slot: the scheduler's list of servers differs from this router's.
const MAX_UNUSABLE_GRANTS: usize = 2;

/// Handles one request of a caller, or of another router that stated `hop`.
pub(crate) async fn answer_request(
    shared: Arc<Shared>,
    interface: Interface,
    request: Request<Incoming>,
    hop: Option<HopRequest>,
    progress: &mut RequestInProgress,
) -> Response<AnswerBody> {
    let in_flight = shared.activity.begin_request();
    let (head, mut body) = request.into_parts();
    let expects_continue = head.headers.contains_key(header::EXPECT);
    let leaving = shared.activity.leaving_for_ms().is_some();
    let facts = match (interface.read_request)(&head) {
        Ok(facts) => facts,
        Err(error) => {
            let refusal = Refusal::permanent(StatusCode::BAD_REQUEST, error.reason);
            discard_body(body, expects_continue);
            return refuse(&shared, "", refusal, leaving);
        }
    };
    let id = facts.id.clone();
    let received = receive_request(&shared, interface, head, facts, &mut body, in_flight, hop);
    let job = match received.await {
        Ok(job) => job,
        Err(refusal) => {
            discard_body(body, expects_continue);
            return refuse(&shared, &id, refusal, leaving);
        }
    };
    progress.record_running();
    let job = Arc::new(job);
    let mut answer = answer_before_end(job.clone(), run_attempts(job)).await;
    if shared.activity.leaving_for_ms().is_some() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

impl Job {
    /// How long an attempt may go without an answer before the router checks whether to try another
    /// server. An attempt that cannot be followed by another one may use all the time left.
    fn attempt_timeout_ms(&self, attempts: &Attempts) -> u64 {
        let may_run_again = self.route.kind.may_run_again();
        let is_last_attempt = attempts.possible_runs + 1 >= self.route.max_attempts;
        if !may_run_again || is_last_attempt {
            return self.left_ms();
        }
        let objectives = self.shared.settings().attempts.silent_objectives;
        let attempt_timeout_ms = (self.route.objective_ms as f64 * objectives) as u64;
        attempt_timeout_ms.min(self.left_ms() / 2)
    }

    /// Repeats the admission check right before a send, because the route or the key may have
    /// changed since the request arrived.
    fn recheck_admission(&self) -> Result<Arc<Configuration>, Refusal> {
        let in_force = self.shared.in_force(self.arrived_ms);
        let in_force = in_force.ok_or_else(|| Refusal::retryable("no-configuration"))?;
        let admitted = admit(&in_force, &self.facts, self.uri.path())?;
        let mut targets = admitted.route.targets.iter();
        if !targets.any(|target| target.service == self.service) {
            return Err(Refusal::retryable("route-moved"));
        }
        Ok(in_force.configuration)
    }

    /// The input of a placement of this request.
    pub(crate) fn placement_request<'a>(
        &'a self,
        service: &'a Service,
        tried: &'a [Incarnation],
        tries_unreachable: bool,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service,
            facts: &self.facts,
            tried,
            allowed_regions: [&self.route.allowed_regions, &self.tenant_regions],
            tries_unreachable,
            objective_ms: self.route.objective_ms,
            priority: self.priority,
            tenant: self.tenant.as_deref(),
            is_over_share: &self.is_over_share,
            required_software: self.required_software(),
            begins_stream: self.route.kind == (RequestKind::Stream { resumable: true })
                && self.required_software().is_none(),
        }
    }

    /// Sends the request to servers until one responds or no further attempt is allowed.
    pub(crate) async fn attempt(
        &self,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Result<ServerAnswer, AttemptFailure> {
        let mut slot = SlotState::NotAsked;
        // Servers whose slots were granted but may not be used.
        let mut unusable = Vec::new();
        loop {
            let may_have_run = attempts.possible_runs > 0;
            self.may_have_run.store(may_have_run, Ordering::Relaxed);
            if !self.may_be_passed_on() {
                return Err(AttemptFailure::NotSent(LEAVING));
            }
            // The evidence may have changed while the request waited for a slot.
            if self.is_blocked(attempts) {
                return Err(AttemptFailure::Blocked);
            }
            let configuration = match self.recheck_admission() {
                Ok(configuration) => configuration,
                Err(refusal) => return Err(AttemptFailure::NotSent(refusal.reason)),
            };
            let Some(service) = configuration.service(&self.service) else {
                return Err(AttemptFailure::NotSent("no-service"));
            };
            if !self.shared.servers_are_usable() {
                return Err(AttemptFailure::NotSent("servers-replaced"));
            }
            if !self.shared.evacuations_are_usable() {
                return Err(AttemptFailure::NotSent("evacuations-stale"));
            }
            let tries_unreachable = attempts.is_limited_to_servers;
            let request = self.placement_request(service, &attempts.tried, tries_unreachable);
            let slots = &self.shared.slot_scheduling;
            if matches!(slot, SlotState::NotAsked) && slots.is_scheduled(&service.name) {
                let is_mismatched = unusable.len() >= MAX_UNUSABLE_GRANTS;
                let requested = match is_mismatched {
                    true => Ok(SlotState::NotNeeded),
                    false => self.request_slot(request, &unusable).await,
                };
                slot = match requested {
                    Ok(slot) => slot,
                    Err(failure) => {
                        self.count_request(attempts);
                        return Err(failure);
                    }
                };
                // What was checked before may have changed while the request waited.
                continue;
            }
            let granted = std::mem::take(&mut slot).into_granted();
            let granted_server = granted.as_ref().map(SlotGuard::server);
            let placed = place_with_slot(&self.shared, request, granted);
            if let (Err(_), Some(server)) = (&placed, granted_server) {
                unusable.push(server);
                continue;
            }
            let placement = match placed {
                Ok(placement) => placement,
                Err(error) if self.may_use_peer(attempts, error, request) => {
                    match self.attempt_at_peer(attempts, resume_after).await {
                        Some(Ok(answer)) => return Ok(answer),
                        Some(Err(failure @ AttemptFailure::NotSent(_))) => return Err(failure),
                        Some(Err(failure)) if self.may_retry(attempts, failure) => continue,
                        Some(Err(failure)) => return Err(failure),
                        None => continue,
                    }
                }
                Err(error) => {
                    self.count_request(attempts);
                    return Err(self.note_placement_failure(error));
                }
            };
            if attempts.offers > 0 && !attempts.is_retry_reserved && !self.try_reserve_retry() {
                return Err(AttemptFailure::NotSent("retry-budget"));
            }
            self.count_request(attempts);
            attempts.tried.push(placement.server.incarnation);
            let cache_state = match placement.cached_tokens {
                0 => "cold",
                _ => "warm",
            };
            self.shared.metrics.count_placement(cache_state);
            let mut retry_reserved = false;
            let attempt_timeout_ms = self.attempt_timeout_ms(attempts);
            // A request that is queued at a responsive server keeps its place, since another server
            // may have no capacity for it. It abandons only an unresponsive server, and only if the
            // service is not full and the retry budget allows another attempt.
            let should_abandon = |placement: &Placement| {
                retry_reserved = placement.is_unresponsive()
                    && !self.is_service_full()
                    && self.try_reserve_retry();
                retry_reserved
            };
            let sent = send_attempt(
                self,
                service,
                placement,
                resume_after,
                attempt_timeout_ms,
                should_abandon,
            )
            .await;
            let was_retry_reserved = attempts.is_retry_reserved;
            attempts.is_retry_reserved = retry_reserved;
            if let Err(AttemptFailure::NotSent(GRANT_EXPIRED)) = sent {
                // The server may be used with another grant.
                attempts.tried.pop();
                // The retry that was charged for this attempt has not taken place.
                attempts.is_retry_reserved = was_retry_reserved || attempts.offers > 0;
            }
            let failure = match sent {
                Ok(answer) => {
                    attempts.offers += 1;
                    attempts.possible_runs += 1;
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            match failure {
                AttemptFailure::NoTimeLeft => return Err(failure),
                AttemptFailure::Blocked
                | AttemptFailure::RefusedByRouter
                | AttemptFailure::LineFull(_)
                | AttemptFailure::NotPlaced(_)
                | AttemptFailure::NotSent(_) => {}
                AttemptFailure::NotRun(_) => attempts.offers += 1,
                AttemptFailure::MayHaveRun(_)
                | AttemptFailure::RefusalNotStated
                | AttemptFailure::ConnectionLost(_)
                | AttemptFailure::TimedOut(_) => {
                    attempts.offers += 1;
                    attempts.possible_runs += 1;
                }
            }
            attempts.note_connection_loss(failure);
            if !self.may_retry(attempts, failure) {
                return Err(failure);
            }
        }
    }

    /// Counts the request towards this router's share of the retry budget, once, and measures the drain
    /// rate of its service from then on.
    fn count_request(&self, attempts: &mut Attempts) {
        let now_ms = Clock.now_ms();
        let mut traffic = self.shared.traffic();
        if !std::mem::replace(&mut attempts.is_counted, true) {
            traffic.retries.record_request(&self.service, now_ms);
        }
        if !traffic.drain_rates.contains_key(&self.service) {
            let drain_rate = DrainRate::new(now_ms);
            traffic.drain_rates.insert(self.service.clone(), drain_rate);
        }
    }

    /// Whether the request is passed to another router because this one has no server for it that it
    /// reaches. A request that was passed on once stays here.
    fn may_use_peer(
        &self,
        attempts: &Attempts,
        error: PlacementError,
        request: PlacementRequest<'_>,
    ) -> bool {
        let is_local = match error {
            PlacementError::NoPath => true,
            PlacementError::AllFull | PlacementError::AllTried => {
                is_room_local(&self.shared, request)
            }
            _ => false,
        };
        is_local && self.hop.is_none() && !attempts.is_limited_to_servers
    }

    /// Passes the request to another router. None if there is no router to ask, or the one asked
    /// declined.
    async fn attempt_at_peer(
        &self,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Option<Result<ServerAnswer, AttemptFailure>> {
        let max_declines = self.shared.settings().attempts.max_declines;
        let choose =
            |tried: &[SocketAddr]| PeerHopTable::choose(&self.shared, &self.service, tried);
        let declined_by = &attempts.declined_by;
        let peer = match declined_by.len() < max_declines {
            // A router whose connection was lost is the last choice, since only the server may have failed.
            true => choose(&[&declined_by[..], &attempts.lost_routers].concat())
                .or_else(|| choose(declined_by)),
            false => None,
        };
        let Some(peer) = peer else {
            attempts.is_limited_to_servers = true;
            return None;
        };
        if attempts.offers > 0 && !attempts.is_retry_reserved {
            if !self.try_reserve_retry() {
                return Some(Err(AttemptFailure::NotSent("retry-budget")));
            }
            attempts.is_retry_reserved = true;
        }
        let configuration = self.shared.configuration.load();
        let hop = HopRequest {
            offers: attempts.offers,
            possible_runs: attempts.possible_runs,
            is_retry_reserved: attempts.is_retry_reserved,
            configuration: configuration.as_ref().map_or(0, |one| one.version),
            required_origin: self.required_origin.get().copied(),
        };
        self.count_request(attempts);
        let address = peer.address;
        let mut is_repeat_reserved = false;
        let may_repeat = || {
            is_repeat_reserved = self.route.kind.may_run_again() && self.try_reserve_retry();
            is_repeat_reserved
        };
        let result = send_to_peer(self, peer, hop, resume_after, may_repeat).await;
        match result {
            HopResult::Answered(answer, stated) => {
                attempts.add_stated(stated);
                attempts.is_retry_reserved = false;
                attempts.answered_through = Some(address);
                Some(Ok(*answer))
            }
            HopResult::Refused(refusal) => {
                attempts.refusal = Some(refusal);
                Some(Err(AttemptFailure::RefusedByRouter))
            }
            HopResult::Declined(stated) => {
                if let Some(stated) = stated {
                    attempts.is_retry_reserved &= stated.offers <= attempts.offers;
                    attempts.add_stated(stated);
                }
                attempts.declined_by.push(address);
                None
            }
            HopResult::Failed(failure, stated) => {
                if let Some(stated) = stated {
                    attempts.add_stated(stated);
                }
                // Whatever the other router states, what may have run counts as one more attempt.
                if failure.may_have_run() {
                    attempts.offers = attempts.offers.max(hop.offers + 1);
                    attempts.possible_runs = attempts.possible_runs.max(hop.possible_runs + 1);
                }
                attempts.is_retry_reserved = is_repeat_reserved;
                attempts.declined_by.push(address);
                Some(Err(failure))
            }
        }
    }

    /// Whether the request, or others with one of its prefixes, have crashed too many servers for it to
    /// be sent to another one. A retry is already refused one crash below the limit, so that a router's
    /// own retries do not crash the last server.
    fn is_blocked(&self, attempts: &Attempts) -> bool {
        let max_crashes = self.shared.settings().attempts.max_crashes;
        let left = suspicion(self).map_or(max_crashes, |suspicion| suspicion.crashes_left());
        match attempts.possible_runs {
            0 => left == 0,
            _ => left <= 1 || attempts.connection_losses + 1 >= max_crashes,
        }
    }

    /// Whether another attempt may follow a failed one. Only the router that passed a request on repeats
    /// it after a possible run: it may have given up on this router and repeated the request elsewhere
    /// while this one was suspended.
    pub(crate) fn may_retry(&self, attempts: &Attempts, failure: AttemptFailure) -> bool {
        let may_repeat = self.route.kind.may_run_again() && self.hop.is_none();
        let is_allowed = !failure.may_have_run() || may_repeat;
        is_allowed
            && failure != AttemptFailure::RefusedByRouter
            && !self.is_service_full()
            && attempts.possible_runs < self.route.max_attempts.max(1)
            && attempts.may_try_another(&self.shared.settings().attempts)
            && self.left_ms() > 0
    }

    /// The time until some server may get this request, if none may get it now and that time is
    /// known.
    pub(crate) fn wait_for_server_ms(&self) -> Option<u64> {
        let configuration = self.shared.configuration.load();
        let service = configuration.as_ref()?.service(&self.service)?;
        wait_for_server_ms(&self.shared, self.placement_request(service, &[], true))
    }

    /// Converts a failed placement into a failure. Records a full service, and logs it if that is
    /// new.
    fn note_placement_failure(&self, error: PlacementError) -> AttemptFailure {
        // That the servers of one version are full says nothing about the service.
        if error == PlacementError::AllFull && self.required_software().is_none() {
            let mut traffic = self.shared.traffic();
            let is_new = traffic.retries.record_full(&self.service, Clock.now_ms());
            drop(traffic);
            if is_new {
                note!(Event::SERVICE_FULL, service = self.service);
            }
        }
        AttemptFailure::NotPlaced(error)
    }

    /// Whether the service recently had no capacity for a request of this router.
    fn is_service_full(&self) -> bool {
        let traffic = self.shared.traffic();
        traffic.retries.is_full(&self.service, Clock.now_ms())
    }

    /// Charges one retry to this router's share of the retry budget. Returns false if it is used
    /// up.
    fn try_reserve_retry(&self) -> bool {
        let routers = self.shared.peers().known_count() + 1;
        let mut traffic = self.shared.traffic();
        let is_allowed = traffic
            .retries
            .try_retry(&self.service, routers, Clock.now_ms());
        drop(traffic);
        if is_allowed {
            self.shared.metrics.count_repeat("attempt-failed");
        }
        is_allowed
    }
}

/// Runs a request's attempts and builds the answer from their result.
async fn run_attempts(job: Arc<Job>) -> Response<AnswerBody> {
    let mut attempts = Attempts::before(job.hop);
    let mut server_error = None;
    loop {
        let answer = match job.attempt(&mut attempts, job.facts.resume_after).await {
            Ok(answer) => answer,
            Err(failure) => {
                return final_answer(&job, &mut attempts, failure, server_error);
            }
        };
        let streams = matches!(job.route.kind, RequestKind::Stream { .. });
        let origin = match streams {
            true => answer.origin_for_peer(&job).await,
            false => None,
        };
        let stated = HopAnswer {
            outcome: HopOutcome::Answered,
            offers: attempts.offers,
            possible_runs: attempts.possible_runs,
            server: answer.target.server(),
            origin,
        };
        if streams && answer.head.status.is_success() {
            let mut answer = relay::stream_events(job, attempts, answer);
            answer.extensions_mut().insert(stated);
            return answer;
        }
        let failure = match buffered_answer(&job, answer, attempts.offers).await {
            Ok(ReadAnswer::Final(mut answer)) => {
                answer.extensions_mut().insert(stated);
                return answer;
            }
            Ok(ReadAnswer::ServerError(mut answer)) => {
                answer.extensions_mut().insert(stated);
                server_error = Some(answer);
                AttemptFailure::MayHaveRun("server-error")
            }
            Err(failure) => failure,
        };
        attempts.note_connection_loss(failure);
        if !job.may_retry(&attempts, failure) {
            return final_answer(&job, &mut attempts, failure, server_error);
        }
    }
}
