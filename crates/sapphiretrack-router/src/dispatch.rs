//! Takes a caller's request to its answer: attempts, what follows a failed one, the truth at the end.

use std::sync::Arc;

use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::RngExt;
use sapphiretrack_core::DrainRate;
use sapphiretrack_routing::{Configuration, Incarnation, RequestKind};

use crate::admission::{accept, admit};
use crate::answer::{AnswerBody, own_answer};
use crate::attempt::{AttemptFailure, ServerAnswer, send_attempt};
use crate::clock::Clock;
use crate::crashes::crashes;
use crate::events::{Event, note};
use crate::job::Job;
use crate::placing::{NoServer, Placed, PlacementRequest, place};
use crate::ports::Interface;
use crate::refusal::{Refusal, refuse};
use crate::relay::{self, ReadAnswer};
use crate::shared::Shared;

/// What became of a request's attempts so far.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Servers that it was offered to, or that could not be reached.
    pub(crate) tried: Vec<Incarnation>,
    /// Servers that may have run it.
    pub(crate) runs: u32,
    /// Servers that it was sent to.
    pub(crate) offers: u32,
    /// Servers whose connection broke before the answer.
    pub(crate) breaks: usize,
}

impl Attempts {
    /// Counts a failure whose connection broke.
    pub(crate) fn note_break(&mut self, failure: AttemptFailure) {
        self.breaks += usize::from(matches!(failure, AttemptFailure::Broke(_)));
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

impl Job {
    /// How long an attempt may be silent before it is asked whether another server may be tried.
    fn attempt_timeout_ms(&self, attempts: &Attempts) -> u64 {
        let repeatable = self.route.kind.may_run_again();
        let last = attempts.runs + 1 >= self.route.max_attempts;
        if !repeatable || last {
            return self.left_ms();
        }
        let silent = self.shared.settings().attempts.silent_objectives;
        let attempt_timeout_ms = (self.route.objective_ms as f64 * silent) as u64;
        attempt_timeout_ms.min(self.left_ms() / 2)
    }

    /// Checks again, right before a send, what may have changed since the request came: its route
    /// and its key.
    fn check_again(&self) -> Result<Arc<Configuration>, Refusal> {
        let in_force = self.shared.in_force(self.arrived_ms);
        let in_force = in_force.ok_or_else(|| Refusal::elsewhere("no-configuration"))?;
        let admitted = admit(&in_force, &self.facts, self.uri.path())?;
        let mut targets = admitted.route.targets.iter();
        if !targets.any(|target| target.service == self.service) {
            return Err(Refusal::elsewhere("route-moved"));
        }
        Ok(in_force.configuration)
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
        if self.is_blocked(attempts) {
            return Err(AttemptFailure::Blocked);
        }
        // Whether the repeat that comes next was already taken from the budget.
        let mut has_repeat = false;
        loop {
            let configuration = match self.check_again() {
                Ok(configuration) => configuration,
                Err(refusal) => return Err(AttemptFailure::NotSent(refusal.reason)),
            };
            let Some(service) = configuration.service(&self.service) else {
                return Err(AttemptFailure::NotSent("no-service"));
            };
            if !self.shared.servers_are_usable() {
                return Err(AttemptFailure::NotSent("servers-replaced"));
            }
            let request = PlacementRequest {
                service,
                facts: &self.facts,
                tried: &attempts.tried,
            };
            let placed = place(&self.shared, request);
            let placed = placed.map_err(|none| self.note_unplaced(none))?;
            if attempts.offers > 0 && !has_repeat && !self.may_repeat() {
                return Err(AttemptFailure::NotSent("retry-budget"));
            }
            attempts.tried.push(placed.server.incarnation);
            let warm = match placed.cached_tokens {
                0 => "cold",
                _ => "warm",
            };
            self.shared.metrics.placed(warm);
            has_repeat = false;
            let attempt_timeout_ms = self.attempt_timeout_ms(attempts);
            // A request that waits its turn is better off there than without any server: it leaves
            // only a silent one, and only if it may be sent again.
            let gives_up = |placed: &Placed| {
                has_repeat = placed.is_silent() && !self.is_service_full() && self.may_repeat();
                has_repeat
            };
            let sent = send_attempt(
                self,
                service,
                placed,
                resume_after,
                attempt_timeout_ms,
                gives_up,
            )
            .await;
            let failure = match sent {
                Ok(answer) => {
                    attempts.offers += 1;
                    attempts.runs += 1;
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            match failure {
                AttemptFailure::NoTimeLeft => return Err(failure),
                AttemptFailure::Blocked
                | AttemptFailure::Unplaced(_)
                | AttemptFailure::NotSent(_) => {}
                AttemptFailure::NotRun(_) => attempts.offers += 1,
                AttemptFailure::MayHaveRun(_)
                | AttemptFailure::Broke(_)
                | AttemptFailure::TimedOut(_) => {
                    attempts.offers += 1;
                    attempts.runs += 1;
                }
            }
            attempts.note_break(failure);
            if !self.may_go_on(attempts, failure) {
                return Err(failure);
            }
        }
    }

    /// Whether it has crashed too many servers to be sent to another one. The last server that it takes to
    /// show that is not spent by a repeat of this router.
    fn is_blocked(&self, attempts: &Attempts) -> bool {
        let crashes = crashes(self);
        let max_crashes = self.shared.settings().attempts.max_crashes;
        match attempts.runs {
            0 => crashes >= max_crashes,
            _ => crashes.max(attempts.breaks) + 1 >= max_crashes,
        }
    }

    /// Whether another attempt may follow a failed one.
    pub(crate) fn may_go_on(&self, attempts: &Attempts, failure: AttemptFailure) -> bool {
        let allowed = !failure.may_have_run() || self.route.kind.may_run_again();
        allowed
            && !self.is_service_full()
            && attempts.runs < self.route.max_attempts.max(1)
            && (attempts.tried.len() as u32) < self.shared.settings().attempts.max_offers
            && self.left_ms() > 0
    }

    /// Notes why there is no server.
    fn note_unplaced(&self, none: NoServer) -> AttemptFailure {
        if none == NoServer::AllFull {
            let mut traffic = self.shared.traffic();
            let is_news = traffic.retries.note_full(&self.service, Clock.now_ms());
            drop(traffic);
            if is_news {
                note!(Event::SERVICE_FULL, service = self.service);
            }
        }
        AttemptFailure::Unplaced(none)
    }

    /// Whether its service lately had no room for a request of this router.
    fn is_service_full(&self) -> bool {
        let traffic = self.shared.traffic();
        traffic.retries.is_full(&self.service, Clock.now_ms())
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
        attempts.note_break(failure);
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
    if failure == AttemptFailure::Blocked {
        // Without a time to come back: it is refused for as long as the evidence stands.
        let refusal = Refusal::final_status(StatusCode::SERVICE_UNAVAILABLE, reason);
        note!(
            Event::BLOCKED_REFUSED,
            id = job.facts.id,
            fingerprint = job.fingerprint(),
            crashes = crashes(job),
        );
        return refuse(&job.shared, &job.facts.id, refusal, leaving);
    }
    // Nothing ran: the caller may come back, as soon as there is room.
    let full = matches!(
        failure,
        AttemptFailure::Unplaced(NoServer::AllFull) | AttemptFailure::NotRun(_)
    );
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
