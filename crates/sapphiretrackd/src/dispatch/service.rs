//! Calls of plain services.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphiretrack_backend::{BackendError, ServiceAttempt, ServiceReply};
use sapphiretrack_caller::{Answer, BufferedAnswer, CallerRequest, ServiceCall, Target};
use sapphiretrack_core::{
    AttemptLog, Candidate, PlacementRequest, Refusal, RefusalCode, Repeatable, rank_servers,
};

use crate::control::Snapshot;
use crate::dispatch::slots::Slot;
use crate::dispatch::{Dispatcher, chat_key, new_attempt, workspace_key};
use crate::limits::InFlightPermit;

/// Runs an idempotent service call, with retries within the retry budget.
pub(crate) async fn run_service(
    dispatcher: &Arc<Dispatcher>,
    request: &CallerRequest,
    permit: InFlightPermit,
) -> Answer {
    let mut run = ServiceRun::new(dispatcher, request, Repeatable::Always);
    let reply = run.run_attempts().await;
    drop(permit);
    match reply {
        Ok(reply) => {
            run.record_completion();
            into_answer(reply)
        }
        Err(refusal) => Answer::Refused(refusal),
    }
}

/// Converts the reply of a service into the answer for the caller.
pub(crate) fn into_answer(reply: ServiceReply) -> Answer {
    Answer::Buffered(BufferedAnswer {
        status: reply.status,
        content_type: reply.content_type,
        body: reply.body,
        warm: None,
    })
}

/// A service call in progress.
pub(crate) struct ServiceRun<'a> {
    dispatcher: &'a Dispatcher,
    request: &'a CallerRequest,
    started_at: Instant,
    log: AttemptLog,
}

impl<'a> ServiceRun<'a> {
    /// Creates a call that has not been sent; its deadline counts from now.
    pub(crate) fn new(
        dispatcher: &'a Dispatcher,
        request: &'a CallerRequest,
        repeatable: Repeatable,
    ) -> Self {
        Self {
            dispatcher,
            request,
            started_at: Instant::now(),
            log: AttemptLog::new(repeatable),
        }
    }

    /// Returns the time after which an answer is late.
    pub(crate) fn deadline(&self) -> Instant {
        self.started_at + Duration::from_millis(self.request.policy.deadline_ms)
    }

    /// Reserves a slot for the next attempt.
    pub(crate) async fn reserve_slot(&self) -> Result<Slot, Refusal> {
        let snapshot = self.dispatcher.control.snapshot();
        let candidates = service_candidates(self.dispatcher, &snapshot, self.request);
        self.dispatcher
            .reserve_slot(
                &snapshot,
                self.request,
                candidates,
                &self.log,
                self.deadline(),
            )
            .await
    }

    /// Sends the call once and waits for its reply until `limit`.
    ///
    /// Returns [`BackendError::TimedOut`] if there is no reply by then.
    pub(crate) async fn attempt(
        &mut self,
        slot: &Slot,
        limit: Instant,
    ) -> Result<ServiceReply, BackendError> {
        let Target::Service(call) = &self.request.target else {
            return Err(BackendError::Unreachable {
                reason: String::from("no service call"),
            });
        };
        let left = self.deadline().saturating_duration_since(Instant::now());
        let attempt = service_attempt(call, left);
        self.log.begin(slot.server);
        let sent = self.dispatcher.backend.service(slot.address, &attempt);
        let reply = match tokio::time::timeout_at(limit.into(), sent).await {
            Ok(reply) => reply,
            Err(_) => Err(BackendError::TimedOut),
        };
        if reply.is_ok() {
            self.dispatcher.record_attempt_success(slot);
        }
        reply
    }

    /// Waits for the backoff of the next attempt, or returns a refusal if there is none.
    pub(crate) async fn prepare_retry(
        &mut self,
        slot: &Slot,
        error: &BackendError,
    ) -> Result<(), Refusal> {
        let deadline = self.deadline();
        self.dispatcher
            .prepare_retry(self.request, &mut self.log, slot, error, deadline)
            .await
    }

    /// Records the time of the complete answer.
    pub(crate) fn record_completion(&self) {
        self.dispatcher
            .record_completion(self.request, self.started_at.elapsed());
    }

    async fn run_attempts(&mut self) -> Result<ServiceReply, Refusal> {
        loop {
            let slot = self.reserve_slot().await?;
            match self.attempt(&slot, self.deadline()).await {
                Ok(reply) => return Ok(reply),
                Err(BackendError::TimedOut) => {
                    self.dispatcher.record_deadline_exceeded(self.request);
                    let message = "the deadline of the class passed";
                    return Err(self.log.refusal(RefusalCode::DeadlinePassed, message));
                }
                Err(error) => self.prepare_retry(&slot, &error).await?,
            }
        }
    }
}

fn service_attempt(call: &ServiceCall, left: Duration) -> ServiceAttempt<'_> {
    ServiceAttempt {
        id: new_attempt(),
        method: call.method.clone(),
        path: &call.path,
        content_type: call.content_type.as_deref(),
        body: call.body.clone(),
        deadline_ms: left.as_millis() as u64,
    }
}

fn service_candidates(
    dispatcher: &Dispatcher,
    snapshot: &Snapshot,
    request: &CallerRequest,
) -> Vec<Candidate> {
    let Some(pool) = snapshot.pools.get(request.pool()) else {
        return Vec::new();
    };
    let workspace = workspace_key(request);
    let placement = PlacementRequest {
        workspace,
        workspace_share: dispatcher.count_workspace_request(workspace),
        chat: chat_key(request),
        prompt_tokens: 0,
        warm: &[],
        bound_share: request.policy.bound_share,
        zone: "",
    };
    rank_servers(&dispatcher.placement, pool, &placement)
}
