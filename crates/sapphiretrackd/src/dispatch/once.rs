//! Non-idempotent requests: claimed in the platform's table, then sent once.

use std::sync::Arc;
use std::time::Instant;

use sapphiretrack_caller::{Answer, CallerRequest, Target, WholeAnswer};
use sapphiretrack_core::{
    Claim, ClaimDecision, ClaimState, NonIdempotentRule, Refusal, RefusalCode, decide_claim,
    hash_parts,
};
use sapphiretrack_platform::{ClaimWritten, PlatformError};

use crate::clock::wall_clock_ms;
use crate::dispatch::service::{failed, whole};
use crate::dispatch::{Dispatcher, new_attempt};
use crate::events::Event;
use crate::limits::InFlightPlace;

/// When to come back after the platform failed.
const PLATFORM_RETRY_MS: u64 = 2_000;
/// The largest answer that is recorded for repeats.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Runs a non-idempotent request at most once.
///
/// The work goes on if the caller leaves, so that the record of the answer is written.
pub(crate) async fn run_once(
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    rule: &NonIdempotentRule,
    place: InFlightPlace,
) -> Answer {
    if matches!(request.target, Target::Chat(_)) {
        let message = "non-idempotent chats are not supported yet";
        return Answer::Refused(Refusal::not_run(RefusalCode::UnknownPath, message));
    }
    let key = match (&request.idempotency_key, rule.key_optional) {
        (Some(key), _) => key.clone(),
        (None, true) => new_attempt().to_string(),
        (None, false) => {
            let message = "this request is non-idempotent";
            return Answer::Refused(Refusal::not_run(
                RefusalCode::IdempotencyKeyRequired,
                message,
            ));
        }
    };
    let task = tokio::spawn(async move {
        let answer = dispatcher.run_claimed(&request, &key).await;
        drop(place);
        answer.unwrap_or_else(Answer::Refused)
    });
    task.await.unwrap_or_else(|_| {
        let message = "the request's task ended early";
        Answer::Refused(Refusal::unknown(RefusalCode::ServerFailed, message))
    })
}

impl Dispatcher {
    async fn run_claimed(&self, request: &CallerRequest, key: &str) -> Result<Answer, Refusal> {
        let started_at = Instant::now();
        let slot = self.service_slot(request, &[]).await?;
        let customer = request.contract.customer.as_str();
        let claim = Claim {
            claim_id: new_attempt().to_string(),
            request_hash: request_hash(request),
            claimed_at_ms: wall_clock_ms(),
            state: ClaimState::Claimed,
        };
        let written = self
            .claims
            .write(customer, key, &claim)
            .await
            .map_err(platform_refusal)?;
        let row_version = match written {
            ClaimWritten::Ours { row_version } => row_version,
            ClaimWritten::Found(found) => return answer_for_found(&found, &claim),
        };
        match self.service_attempt(request, &slot, started_at).await {
            Ok(reply) => {
                let finished = Claim {
                    state: ClaimState::Finished {
                        status: reply.status,
                        content_type: reply.content_type.clone(),
                        body: String::from_utf8_lossy(&reply.body).into_owned(),
                    },
                    ..claim
                };
                if reply.body.len() <= MAX_RECORDED_BYTES {
                    self.record(customer, key, row_version, &finished).await;
                }
                self.note_service_answer(request, started_at);
                Ok(whole(reply))
            }
            Err(error) if error.is_not_run() => {
                // If the withdrawal is lost the claim stays and repeats get `unknown`.
                drop(self.claims.withdraw(customer, key, row_version).await);
                Err(failed(&error).retry_after(PLATFORM_RETRY_MS))
            }
            Err(error) => Err(failed(&error)),
        }
    }

    async fn record(&self, customer: &str, key: &str, row_version: u64, claim: &Claim) {
        if let Err(error) = self.claims.finish(customer, key, row_version, claim).await {
            Event::RECORD_FAILED.log(&[("customer", customer), ("reason", &error.to_string())]);
        }
    }
}

fn answer_for_found(found: &Claim, own: &Claim) -> Result<Answer, Refusal> {
    match decide_claim(found, &own.claim_id, own.request_hash) {
        ClaimDecision::Replay {
            status,
            content_type,
            body,
        } => Ok(Answer::Whole(WholeAnswer {
            status,
            content_type,
            body: body.into(),
            warm: None,
        })),
        ClaimDecision::KeyReused => Err(Refusal::not_run(
            RefusalCode::BadHeader,
            "the idempotency key was used for another request",
        )),
        ClaimDecision::Send | ClaimDecision::Unknown => Err(Refusal::unknown(
            RefusalCode::AlreadyClaimed,
            "the request was sent before and its answer is not known",
        )),
    }
}

fn platform_refusal(error: PlatformError) -> Refusal {
    let message = format!("the claim could not be settled: {error}");
    Refusal::not_run(RefusalCode::PlatformUnavailable, message).retry_after(PLATFORM_RETRY_MS)
}

fn request_hash(request: &CallerRequest) -> u64 {
    match &request.target {
        Target::Chat(call) => hash_parts(&[call.model.as_bytes(), &call.body]),
        Target::Service(call) => hash_parts(&[
            call.service.as_bytes(),
            call.method.as_str().as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ]),
    }
}
