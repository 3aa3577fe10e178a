//! Plain service calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphiretrack_backend::{BackendError, ServiceAttempt, ServiceReply};
use sapphiretrack_caller::{Answer, CallerRequest, ServiceCall, Target, WholeAnswer};
use sapphiretrack_core::{
    AttemptLog, Candidate, PlacementRequest, Refusal, RefusalCode, Repeatable, rank_servers,
};

use crate::control::Snapshot;
use crate::dispatch::slots::Slot;
use crate::dispatch::{Dispatcher, chat_key, new_attempt, workspace_key};
use crate::limits::InFlightPlace;

/// Runs an idempotent service call, again where it fails and the budget allows.
pub(crate) async fn run_service(
    dispatcher: &Arc<Dispatcher>,
    request: &CallerRequest,
    place: InFlightPlace,
) -> Answer {
    let mut run = ServiceRun::new(dispatcher, request, Repeatable::Always);
    let reply = run.until_answered().await;
    drop(place);
    match reply {
        Ok(reply) => {
            run.note_whole();
            whole(reply)
        }
        Err(refusal) => Answer::Refused(refusal),
    }
}

/// The caller's form of a service's reply.
pub(crate) fn whole(reply: ServiceReply) -> Answer {
    Answer::Whole(WholeAnswer {
        status: reply.status,
        content_type: reply.content_type,
        body: reply.body,
        warm: None,
    })
}

/// One service call on its way.
pub(crate) struct ServiceRun<'a> {
    dispatcher: &'a Dispatcher,
    request: &'a CallerRequest,
    started_at: Instant,
    log: AttemptLog,
}

impl<'a> ServiceRun<'a> {
    /// A call that was not sent yet; its deadline counts from now.
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

    /// When the answer is late.
    pub(crate) fn deadline(&self) -> Instant {
        self.started_at + Duration::from_millis(self.request.policy.deadline_ms)
    }

    /// A slot for the next attempt.
    pub(crate) async fn slot(&self) -> Result<Slot, Refusal> {
        let snapshot = self.dispatcher.control.snapshot();
        let candidates = service_candidates(self.dispatcher, &snapshot, self.request);
        self.dispatcher
            .slot(
                &snapshot,
                self.request,
                candidates,
                &self.log,
                self.deadline(),
            )
            .await
    }

    /// Sends the call once and waits for its reply until `limit`.
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
        let attempt = attempt_of(call, left);
        self.log.begin(slot.server);
        let sent = self.dispatcher.backend.service(slot.address, &attempt);
        let reply = match tokio::time::timeout_at(limit.into(), sent).await {
            Ok(reply) => reply,
            Err(_) => Err(BackendError::Late),
        };
        if reply.is_ok() {
            self.dispatcher.note_attempt_well(slot);
        }
        reply
    }

    /// Decides whether another attempt follows a failed one, and waits until it may.
    pub(crate) async fn after_failure(
        &mut self,
        slot: &Slot,
        error: &BackendError,
    ) -> Result<(), Refusal> {
        let deadline = self.deadline();
        self.dispatcher
            .after_failure(self.request, &mut self.log, slot, error, deadline)
            .await
    }

    /// Notes the time of the whole answer.
    pub(crate) fn note_whole(&self) {
        self.dispatcher
            .note_answer(self.request, self.started_at.elapsed());
    }

    async fn until_answered(&mut self) -> Result<ServiceReply, Refusal> {
        loop {
            let slot = self.slot().await?;
            match self.attempt(&slot, self.deadline()).await {
                Ok(reply) => return Ok(reply),
                Err(BackendError::Late) => {
                    self.dispatcher.note_late(self.request);
                    let message = "the deadline of the class passed";
                    return Err(self.log.refusal(RefusalCode::DeadlinePassed, message));
                }
                Err(error) => self.after_failure(&slot, &error).await?,
            }
        }
    }
}

fn attempt_of(call: &ServiceCall, left: Duration) -> ServiceAttempt<'_> {
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
        workspace_share: dispatcher.note_workspace(workspace),
        chat: chat_key(request),
        prompt_tokens: 0,
        warm: &[],
        bound_share: request.policy.bound_share,
        zone: "",
    };
    rank_servers(&dispatcher.placement, pool, &placement)
}
