//! Plain service calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphiretrack_backend::{BackendError, ServiceAttempt, ServiceReply};
use sapphiretrack_caller::{Answer, CallerRequest, ServiceCall, Target, WholeAnswer};
use sapphiretrack_core::{
    Candidate, PlacementRequest, Refusal, RefusalCode, ServerId, rank_servers,
};

use crate::control::Snapshot;
use crate::dispatch::slots::Slot;
use crate::dispatch::{Dispatcher, chat_key, new_attempt, no_server, workspace_key};
use crate::events::Event;
use crate::limits::InFlightPlace;

/// Runs an idempotent service call, again where it fails and the budget allows.
pub(crate) async fn run_service(
    dispatcher: &Arc<Dispatcher>,
    request: &CallerRequest,
    place: InFlightPlace,
) -> Answer {
    let started_at = Instant::now();
    let mut tried = Vec::new();
    let answer = loop {
        let slot = match dispatcher.service_slot(request, &tried).await {
            Ok(slot) => slot,
            Err(refusal) => break Answer::Refused(refusal),
        };
        match dispatcher.service_attempt(request, &slot, started_at).await {
            Ok(reply) => break whole(reply),
            Err(error) => {
                tried.push(slot.server);
                if !dispatcher.try_retry() {
                    break Answer::Refused(failed(&error));
                }
            }
        }
    };
    if matches!(answer, Answer::Whole(_)) {
        dispatcher.note_service_answer(request, started_at);
    }
    drop(place);
    answer
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

/// The refusal for an attempt that failed.
pub(crate) fn failed(error: &BackendError) -> Refusal {
    let message = error.to_string();
    if error.is_not_run() {
        return Refusal::not_run(RefusalCode::ServerFailed, message);
    }
    Refusal::unknown(RefusalCode::ServerFailed, message)
}

impl Dispatcher {
    /// A slot for a service call.
    pub(crate) async fn service_slot(
        &self,
        request: &CallerRequest,
        tried: &[ServerId],
    ) -> Result<Slot, Refusal> {
        let snapshot = self.control.snapshot();
        let candidates = service_candidates(self, &snapshot, request);
        let share = request.policy.bound_share;
        let slot = self
            .reserve(&snapshot, request.pool(), &candidates, share, tried)
            .await;
        slot.ok_or_else(|| no_server(&snapshot, request.pool()))
    }

    /// Sends a service call once.
    pub(crate) async fn service_attempt(
        &self,
        request: &CallerRequest,
        slot: &Slot,
        started_at: Instant,
    ) -> Result<ServiceReply, BackendError> {
        let Target::Service(call) = &request.target else {
            return Err(BackendError::Unreachable {
                reason: String::from("no service call"),
            });
        };
        let whole = Duration::from_millis(request.policy.deadline_ms);
        let left = whole.saturating_sub(started_at.elapsed());
        let attempt = attempt_of(call, left);
        let sent = self.backend.service(slot.address, &attempt);
        let result = match tokio::time::timeout(left, sent).await {
            Ok(result) => result,
            Err(_) => Err(BackendError::Broken {
                reason: String::from("the deadline passed"),
            }),
        };
        if let Err(error) = &result {
            let name = format!("{:016x}", slot.server.0);
            Event::ATTEMPT_FAILED.log(&[("server", &name), ("reason", &error.to_string())]);
            if matches!(error, BackendError::Crossed { .. }) {
                Event::CROSSED_REPLY.log(&[("server", &name)]);
                self.metrics.crossed_replies.inc();
            }
        }
        result
    }

    /// Notes the time of a service's whole answer.
    pub(crate) fn note_service_answer(&self, request: &CallerRequest, started_at: Instant) {
        let labels = self
            .metrics
            .labels(&request.contract.customer, &request.class);
        self.metrics
            .whole_answer(&labels, started_at.elapsed().as_secs_f64());
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
