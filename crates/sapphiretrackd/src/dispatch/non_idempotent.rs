//! Non-idempotent requests: claimed in the platform's table, then run at most once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_backend::ServiceReply;
use sapphiretrack_caller::{Answer, BufferedAnswer, CallerRequest, Target};
use sapphiretrack_core::{
    Claim, ClaimDecision, ClaimState, NonIdempotentRule, Outcome, RecordedAnswer, RecordedBody,
    Refusal, RefusalCode, Repeatable, decide_claim, hash_parts,
};
use sapphiretrack_platform::{ClaimWriteResult, PlatformError};

use crate::clock::wall_clock_ms;
use crate::dispatch::claims::{AtMostOnce, ClaimOutcome, ClaimRow, HeldClaim};
use crate::dispatch::service::{ServiceRun, into_answer};
use crate::dispatch::{Dispatcher, chat, new_attempt};
use crate::events::Event;
use crate::limits::InFlightPermit;

/// Retry delay for callers after the platform failed.
const PLATFORM_RETRY_AFTER_MS: u64 = 2_000;
/// Retry delay for callers if the request may still be running.
const CLAIMED_RETRY_AFTER_MS: u64 = 1_000;
/// The largest answer that is stored in the claim's row; larger ones go to the object store.
const MAX_ROW_BYTES: usize = 16 << 10;
/// How long an answer is delayed until it is recorded; recording continues after that.
const RECORD_WAIT: Duration = Duration::from_millis(500);
/// How long to wait for a reply after the deadline of the caller, in order to record it.
const LATE_REPLY_WAIT: Duration = Duration::from_secs(30);
/// Maximum attempts to record an answer or to withdraw a claim.
const CLAIM_WRITE_ATTEMPTS: u32 = 6;
/// Delay after the first failed attempt to record an answer or to withdraw a claim; doubles with
/// each further one.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs a non-idempotent request at most once.
///
/// The request continues if the caller disconnects so that its answer is recorded.
pub(crate) async fn run_at_most_once(
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    rule: &NonIdempotentRule,
    permit: InFlightPermit,
) -> Answer {
    let Ok(idempotency_key) = required_key(&request, rule) else {
        let message = "this request is non-idempotent";
        return Answer::Refused(Refusal::not_run(
            RefusalCode::IdempotencyKeyRequired,
            message,
        ));
    };
    let at_most_once = AtMostOnce { idempotency_key };
    if matches!(request.target, Target::Chat(_)) {
        return chat::run_chat(dispatcher, request, permit, Some(at_most_once)).await;
    }
    let gate = Arc::new(SendGate::default());
    let deadline = Instant::now() + Duration::from_millis(request.policy.deadline_ms);
    let sender = gate.clone();
    let task = tokio::spawn(async move {
        let answer = dispatcher
            .run_claimed(&request, &at_most_once, &sender)
            .await;
        drop(permit);
        answer.unwrap_or_else(Answer::Refused)
    });
    tokio::select! {
        answer = task => answer.unwrap_or_else(|_| {
            let message = "the request's task ended early";
            Answer::Refused(Refusal::unknown(RefusalCode::ServerFailed, message))
        }),
        () = tokio::time::sleep_until(deadline.into()) => Answer::Refused(gate.close()),
    }
}

/// Returns the idempotency key of a request. Fails if the rule requires a key and there is none.
fn required_key(request: &CallerRequest, rule: &NonIdempotentRule) -> Result<Option<String>, ()> {
    match &request.idempotency_key {
        Some(key) => Ok(Some(key.clone())),
        None if rule.key_optional => Ok(None),
        None => Err(()),
    }
}

/// Ensures that a request is either sent or refused at its deadline, whichever comes first.
///
/// Both are due at once after the process was paused, so an atomic state decides between them.
#[derive(Default)]
struct SendGate(AtomicU8);

impl SendGate {
    const OPEN: u8 = 0;
    const SENT: u8 = 1;
    const CLOSED: u8 = 2;

    /// Marks the request as sent. Returns false if the deadline has closed the gate.
    fn mark_sent(&self) -> bool {
        self.transition(Self::SENT)
    }

    /// Closes the gate at the deadline. The outcome in the refusal depends on whether the request
    /// was sent before.
    fn close(&self) -> Refusal {
        let message = "the deadline of the class passed";
        if self.transition(Self::CLOSED) {
            return Refusal::not_run(RefusalCode::DeadlinePassed, message)
                .retry_after(PLATFORM_RETRY_AFTER_MS);
        }
        Refusal::unknown(RefusalCode::DeadlinePassed, message).retry_after(CLAIMED_RETRY_AFTER_MS)
    }

    fn transition(&self, state: u8) -> bool {
        self.0
            .compare_exchange(Self::OPEN, state, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}

impl Dispatcher {
    async fn run_claimed(
        self: &Arc<Self>,
        request: &CallerRequest,
        at_most_once: &AtMostOnce,
        gate: &SendGate,
    ) -> Result<Answer, Refusal> {
        let mut run = ServiceRun::new(self, request, Repeatable::OnlyIfNotRun);
        let mut slot = run.reserve_slot().await?;
        let held = match self.acquire_claim(request, at_most_once).await? {
            ClaimOutcome::Held(held) => held,
            ClaimOutcome::Recorded(answer) => return Ok(Answer::Buffered(answer)),
        };
        if !gate.mark_sent() {
            self.withdraw(&held);
            let message = "the deadline of the class passed";
            return Err(Refusal::not_run(RefusalCode::DeadlinePassed, message));
        }
        let reply_limit = run.deadline() + LATE_REPLY_WAIT;
        loop {
            let error = match run.attempt(&slot, reply_limit).await {
                Ok(reply) => {
                    self.record_answer(&held, answer_to_record(&reply)).await;
                    run.record_completion();
                    return Ok(into_answer(reply));
                }
                Err(error) => error,
            };
            let next = match run.prepare_retry(&slot, &error).await {
                Ok(()) => run.reserve_slot().await,
                Err(refusal) => Err(refusal),
            };
            slot = match next {
                Ok(slot) => slot,
                Err(refusal) if refusal.outcome == Outcome::NotRun => {
                    self.withdraw(&held);
                    return Err(refusal);
                }
                Err(refusal) => return Err(refusal.retry_after(CLAIMED_RETRY_AFTER_MS)),
            };
        }
    }

    /// Claims a request just before it is sent.
    ///
    /// Returns a refusal if the claim exists without a recorded answer, if its key was used for
    /// another request, or if the platform failed.
    pub(crate) async fn acquire_claim(
        self: &Arc<Self>,
        request: &CallerRequest,
        at_most_once: &AtMostOnce,
    ) -> Result<ClaimOutcome, Refusal> {
        let customer = request.contract.customer.clone();
        let Some(key) = at_most_once.idempotency_key.clone() else {
            return Ok(ClaimOutcome::Held(HeldClaim {
                customer,
                guard: request.guard.clone(),
                row: None,
            }));
        };
        let claim = Claim {
            claim_id: new_attempt().to_string(),
            request_hash: request_hash(request),
            claimed_at_ms: wall_clock_ms(),
            state: ClaimState::Claimed,
        };
        let held = |row_version| HeldClaim {
            customer: customer.clone(),
            guard: request.guard.clone(),
            row: Some(ClaimRow {
                key: key.clone(),
                row_version,
                claim: claim.clone(),
            }),
        };
        match self.claims.write(&customer, &key, &claim).await {
            Ok(ClaimWriteResult::Acquired { row_version }) => {
                Ok(ClaimOutcome::Held(held(row_version)))
            }
            Ok(ClaimWriteResult::Existing(found)) => {
                self.resolve_existing_claim(&found, &claim).await
            }
            Ok(ClaimWriteResult::Unreadable) => Err(already_claimed(
                "the key was used before and its claim cannot be read now",
            )),
            Err(error) => {
                if !error.is_without_effect() {
                    // The write may still take effect, but nothing is sent under this claim.
                    self.withdraw(&held(0));
                }
                Err(platform_refusal(&error))
            }
        }
    }

    /// Withdraws a claim under which nothing was sent, in the background and with retries, since
    /// the row may not have been written yet. If the row remains, repeats get `unknown`.
    pub(crate) fn withdraw(self: &Arc<Self>, held: &HeldClaim) {
        let dispatcher = self.clone();
        let HeldClaim {
            customer,
            guard,
            row,
        } = held.clone();
        let Some(row) = row else { return };
        tokio::spawn(async move {
            let claims = &dispatcher.claims;
            let mut wait = CLAIM_RETRY_DELAY;
            for _ in 0..CLAIM_WRITE_ATTEMPTS {
                let withdrawn = claims.withdraw(&customer, &row.key, &row.claim).await;
                if matches!(withdrawn, Ok(true)) {
                    break;
                }
                tokio::time::sleep(wait).await;
                wait *= 2;
            }
            drop(guard);
        });
    }

    /// Records the answer of a request that ran, with retries.
    ///
    /// Returns after [`RECORD_WAIT`] at the latest; recording then continues in the background.
    pub(crate) async fn record_answer(
        self: &Arc<Self>,
        held: &HeldClaim,
        answer: RecordedAnswer<Bytes>,
    ) {
        let dispatcher = self.clone();
        let HeldClaim {
            customer,
            guard,
            row,
        } = held.clone();
        let Some(row) = row else { return };
        let task = tokio::spawn(async move {
            let mut wait = CLAIM_RETRY_DELAY;
            for _ in 0..CLAIM_WRITE_ATTEMPTS {
                let Err(error) = dispatcher.try_record_answer(&customer, &row, &answer).await
                else {
                    break;
                };
                let reason = error.to_string();
                Event::RECORD_FAILED.log(&[("customer", &customer), ("reason", &reason)]);
                tokio::time::sleep(wait).await;
                wait *= 2;
            }
            drop(guard);
        });
        drop(tokio::time::timeout(RECORD_WAIT, task).await);
    }

    async fn try_record_answer(
        &self,
        customer: &str,
        row: &ClaimRow,
        answer: &RecordedAnswer<Bytes>,
    ) -> Result<(), PlatformError> {
        let text = std::str::from_utf8(&answer.body)
            .ok()
            .filter(|text| text.len() <= MAX_ROW_BYTES);
        let body = match text {
            Some(text) => RecordedBody::Text(text.to_owned()),
            None => {
                let body = answer.body.clone();
                RecordedBody::Object(self.claims.put_body(&row.claim, body).await?)
            }
        };
        let finished = Claim {
            state: ClaimState::Finished(RecordedAnswer {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body,
            }),
            ..row.claim.clone()
        };
        self.claims
            .finish(customer, &row.key, row.row_version, &finished)
            .await
            .map(drop)
    }

    async fn resolve_existing_claim(
        &self,
        found: &Claim,
        own: &Claim,
    ) -> Result<ClaimOutcome, Refusal> {
        match decide_claim(found, &own.claim_id, own.request_hash) {
            ClaimDecision::Replay(answer) => self.replay(answer).await.map(ClaimOutcome::Recorded),
            ClaimDecision::KeyReused => Err(Refusal::not_run(
                RefusalCode::KeyReused,
                "the idempotency key was used for another request",
            )),
            ClaimDecision::Send | ClaimDecision::Unknown => Err(already_claimed(
                "the request was sent before and its answer is not known",
            )),
        }
    }

    async fn replay(&self, answer: RecordedAnswer) -> Result<BufferedAnswer, Refusal> {
        let body = match answer.body {
            RecordedBody::Text(text) => text.into(),
            RecordedBody::Object(name) => match self.claims.get_body(&name).await {
                Ok(Some(body)) => body,
                Ok(None) | Err(_) => {
                    let message = "the request ran; its recorded answer cannot be read now";
                    return Err(already_claimed(message));
                }
            },
        };
        Ok(BufferedAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body,
            warm: None,
        })
    }
}

fn answer_to_record(reply: &ServiceReply) -> RecordedAnswer<Bytes> {
    RecordedAnswer {
        status: reply.status,
        content_type: reply.content_type.clone(),
        body: reply.body.clone(),
    }
}

fn already_claimed(message: &str) -> Refusal {
    Refusal::unknown(RefusalCode::AlreadyClaimed, message).retry_after(CLAIMED_RETRY_AFTER_MS)
}

fn platform_refusal(error: &PlatformError) -> Refusal {
    let message = format!("the claim could not be settled: {error}");
    Refusal::not_run(RefusalCode::PlatformUnavailable, message).retry_after(PLATFORM_RETRY_AFTER_MS)
}

fn request_hash(request: &CallerRequest) -> u64 {
    match &request.target {
        Target::Chat(call) => hash_parts(&[call.model.as_bytes(), &call.body]),
        Target::Service(call) => hash_parts(&[
            call.service.as_bytes(),
            call.method.as_str().as_bytes(),
            call.path.as_bytes(),
            call.content_type.as_deref().unwrap_or_default().as_bytes(),
            &call.body,
        ]),
    }
}
