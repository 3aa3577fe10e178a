//! Builds the answer to a request whose last attempt failed.

use http::{Response, StatusCode};
use rand::RngExt;
use sapphiretrack_routing::Exclusion;

use crate::answer::{AnswerBody, generated_answer};
use crate::attempt::AttemptFailure;
use crate::attempts::Attempts;
use crate::clock::Clock;
use crate::crashes::suspicion;
use crate::events::{Event, note};
use crate::job::Job;
use crate::peer_hop::{HopAnswer, HopOutcome};
use crate::placement::PlacementError;
use crate::refusal::{Refusal, refuse};
use crate::relay;

/// The retry delay if all servers of a service are in evacuated zones: an operator has to act first.
const EVACUATED_RETRY_MS: u64 = 1_000;
/// The retry delay if no server runs the version of the software that began a stream: one that crashed may
/// start again.
pub(crate) const VERSION_RETRY_MS: u64 = 1_000;

/// Passes on a server's own 5xx answer or another router's refusal if there is one, and fails the
/// request otherwise.
pub(crate) fn final_answer(
    job: &Job,
    attempts: &mut Attempts,
    failure: AttemptFailure,
    server_error: Option<Response<AnswerBody>>,
) -> Response<AnswerBody> {
    if let Some(answer) = server_error {
        relay::record_answered(job, answer.status(), attempts.offers);
        return answer;
    }
    if attempts.possible_runs == 0
        && let Some(refusal) = attempts.refusal.take()
    {
        job.mark_ended();
        return refusal;
    }
    let mut answer = failure_answer(job, attempts, failure);
    let outcome = answer.extensions().get::<HopAnswer>();
    let stated = HopAnswer {
        outcome: outcome.map_or(HopOutcome::Failed, |stated| stated.outcome),
        offers: attempts.offers,
        possible_runs: attempts.possible_runs,
        server: None,
        origin: None,
    };
    answer.extensions_mut().insert(stated);
    answer
}

/// Builds the answer to a request that no server answered.
fn failure_answer(job: &Job, attempts: &Attempts, failure: AttemptFailure) -> Response<AnswerBody> {
    job.mark_ended();
    let reason = failure.as_str();
    let leaving = job.shared.activity.leaving_for_ms().is_some();
    if attempts.possible_runs > 0 {
        let status = match failure {
            AttemptFailure::TimedOut(_) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        job.shared.metrics.count_failure(reason);
        note!(
            Event::FAILED,
            id = job.facts.id,
            status = status.as_u16(),
            reason = reason,
            offers = attempts.offers,
            age_ms = job.age_ms(),
        );
        return generated_answer(status, reason, None);
    }
    if failure == AttemptFailure::Blocked {
        // No `retry-after`: the request stays refused for as long as the evidence is valid.
        let refusal = Refusal::permanent(StatusCode::SERVICE_UNAVAILABLE, reason);
        if let Some(suspicion) = suspicion(job) {
            note!(
                Event::BLOCKED_REFUSED,
                id = job.facts.id,
                fingerprint = suspicion.fingerprint,
                crashes = suspicion.crashes,
            );
        }
        return refuse(&job.shared, &job.facts.id, refusal, leaving);
    }
    if let AttemptFailure::LineFull(wait_ms) = failure {
        // The scheduler has spread these delays: each refused request has its own turn.
        let refusal = Refusal {
            retry_after_ms: Some(wait_ms),
            is_local: false,
            ..Refusal::retryable(reason)
        };
        return refuse(&job.shared, &job.facts.id, refusal, leaving);
    }
    // Nothing ran, so the caller may retry as soon as there is capacity.
    let full = matches!(
        failure,
        AttemptFailure::NotPlaced(
            PlacementError::AllFull
                | PlacementError::EnginesBehind
                | PlacementError::WorkspaceShare
        ) | AttemptFailure::NotRun(_)
    );
    let wait_ms = match failure {
        AttemptFailure::NotPlaced(PlacementError::Excluded(Exclusion::Evacuated)) => {
            Some(EVACUATED_RETRY_MS)
        }
        AttemptFailure::NotPlaced(PlacementError::Excluded(
            Exclusion::OtherVersion | Exclusion::UnclearedVersion,
        )) => Some(VERSION_RETRY_MS),
        AttemptFailure::NotPlaced(error) => error.wait_ms(),
        AttemptFailure::NotRun(_) => job.wait_for_server_ms(),
        _ => None,
    };
    if let Some(wait_ms) = wait_ms {
        let refusal = Refusal {
            is_local: failure.is_local(),
            ..Refusal::retryable_after(reason, wait_ms)
        };
        return refuse(&job.shared, &job.facts.id, refusal, leaving);
    }
    let refusal = match full {
        true => {
            let mut traffic = job.shared.traffic();
            let drain_rate = traffic.drain_rates.get_mut(&job.service);
            let draw = rand::rng().random();
            let wait_ms =
                drain_rate.map(|drain_rate| drain_rate.retry_after_ms(draw, Clock.now_ms()));
            Refusal {
                retry_after_ms: wait_ms,
                ..Refusal::retryable(reason)
            }
        }
        false => Refusal::retryable(reason),
    };
    let refusal = Refusal {
        is_local: failure.is_local(),
        ..refusal
    };
    refuse(&job.shared, &job.facts.id, refusal, leaving)
}
