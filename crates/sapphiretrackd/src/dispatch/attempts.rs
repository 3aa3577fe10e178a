//! Attempts of chat requests and service calls: reserving a slot and handling failures.

use std::time::{Duration, Instant};

use sapphiretrack_backend::BackendError;
use sapphiretrack_caller::CallerRequest;
use sapphiretrack_core::{
    AttemptFailure, AttemptLog, Candidate, NextStep, Refusal, RefusalCode, SHED_BELOW_SHARE,
    backoff_ms,
};

use crate::control::Snapshot;
use crate::dispatch::Dispatcher;
use crate::dispatch::slots::{Slot, SlotRequest};
use crate::events::Event;

/// Retry delay for callers after the last attempt failed.
const FAILED_RETRY_AFTER_MS: u64 = 1_000;

impl Dispatcher {
    /// Reserves a slot for the next attempt of a request, waiting at most until its deadline.
    pub(crate) async fn reserve_slot(
        &self,
        snapshot: &Snapshot,
        request: &CallerRequest,
        candidates: Vec<Candidate>,
        log: &AttemptLog,
        deadline: Instant,
    ) -> Result<Slot, Refusal> {
        let now_ms = self.clock.now_ms();
        let candidates = self.health.filter(candidates, now_ms);
        let pool = request.pool();
        let class_share = self.health.bound_share(pool, &request.policy, now_ms);
        let customer_share = self.limits.bound_share(&request.contract.customer, pool);
        // The customer's share alone must not lower the bound so far that a class counts as shed.
        let share = (class_share * customer_share).max(class_share.min(SHED_BELOW_SHARE));
        let untried = SlotRequest {
            pool,
            bound_share: share,
            tried: log.tried(),
            deadline,
        };
        let reserved = async {
            let slot = self.reserve(&untried, &candidates).await;
            if slot.is_some() || log.attempts() == 0 {
                return slot;
            }
            // No untried server has capacity, so a server that failed before may be tried again.
            let any = SlotRequest {
                tried: &[],
                ..untried
            };
            self.reserve(&any, &candidates).await
        };
        match tokio::time::timeout_at(deadline.into(), reserved).await {
            Ok(Some(slot)) => Ok(slot),
            Ok(None) => Err(log.adapt_refusal(self.no_server_refusal(snapshot, pool))),
            Err(_) => {
                let message = "the deadline of the class passed";
                Err(log.refusal(RefusalCode::DeadlinePassed, message))
            }
        }
    }

    /// Waits for the backoff of the next attempt after a failed one.
    ///
    /// Returns a refusal if there is no next attempt: a repeat is not safe or not allowed, the
    /// retry budget is used up, or the deadline comes before the end of the backoff.
    pub(crate) async fn prepare_retry(
        &self,
        request: &CallerRequest,
        log: &mut AttemptLog,
        slot: &Slot,
        error: &BackendError,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        self.report_leaving_server(slot, error);
        self.record_attempt_failure(slot, error);
        let failure = if error.is_not_run() {
            AttemptFailure::NotRun
        } else {
            AttemptFailure::MayHaveRun
        };
        let next = log.fail(failure);
        let code = RefusalCode::ServerFailed;
        if next == NextStep::GiveUp {
            let refusal = log.refusal(code, error.to_string());
            return Err(refusal.retry_after(FAILED_RETRY_AFTER_MS));
        }
        if !self.try_retry() {
            let message = format!("{error}; the retry budget is used up");
            let pool = request.pool();
            let retry_after_ms = self.health.retry_after_ms(pool, self.clock.now_ms());
            return Err(log.refusal(code, message).retry_after(retry_after_ms));
        }
        let wait = Duration::from_millis(backoff_ms(log.attempts(), rand::random()));
        if Instant::now() + wait >= deadline {
            let message = format!("{error}; the deadline of the class is too near to retry");
            return Err(log.refusal(RefusalCode::DeadlinePassed, message));
        }
        tokio::time::sleep(wait).await;
        Ok(())
    }

    /// Records a successful attempt.
    pub(crate) fn record_attempt_success(&self, slot: &Slot) {
        self.health
            .record_attempt(slot.server, true, self.clock.now_ms());
    }

    /// Records the time of a complete answer.
    pub(crate) fn record_completion(&self, request: &CallerRequest, took: Duration) {
        let labels = self
            .metrics
            .labels(&request.contract.customer, &request.class);
        self.metrics.record_answer(&labels, took.as_secs_f64());
        let took_ms = took.as_millis() as u64;
        self.health.record_answer(
            request.pool(),
            &request.policy,
            took_ms,
            self.clock.now_ms(),
        );
    }

    /// Records a request whose deadline passed while it ran, with its deadline as its time.
    pub(crate) fn record_deadline_exceeded(&self, request: &CallerRequest) {
        let deadline_ms = request.policy.deadline_ms;
        self.health.record_answer(
            request.pool(),
            &request.policy,
            deadline_ms,
            self.clock.now_ms(),
        );
    }

    fn record_attempt_failure(&self, slot: &Slot, error: &BackendError) {
        let name = format!("{:016x}", slot.server.0);
        Event::ATTEMPT_FAILED.log(&[("server", &name), ("reason", &error.to_string())]);
        if matches!(error, BackendError::WrongAttempt { .. }) {
            Event::CROSSED_REPLY.log(&[("server", &name)]);
            self.metrics.crossed_replies.inc();
        }
        // A server that refuses to start a request is healthy but full.
        if matches!(error, BackendError::NotStarted { .. }) {
            return;
        }
        if self
            .health
            .record_attempt(slot.server, false, self.clock.now_ms())
        {
            Event::SERVER_EJECTED.log(&[("server", &name)]);
        }
    }

    fn no_server_refusal(&self, snapshot: &Snapshot, pool: &str) -> Refusal {
        let has_live = snapshot
            .pools
            .get(pool)
            .is_some_and(|pool| pool.live_count() > 0);
        let refusal = if has_live {
            let message = format!("no backend server of {pool:?} has room");
            Refusal::not_run(RefusalCode::Overloaded, message)
        } else {
            let message = format!("no backend server of {pool:?} is live");
            Refusal::not_run(RefusalCode::NoServer, message)
        };
        refusal.retry_after(self.health.retry_after_ms(pool, self.clock.now_ms()))
    }
}
