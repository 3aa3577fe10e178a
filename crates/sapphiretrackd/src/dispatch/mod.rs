//! Runs the requests of callers: limits, placement, attempts and retries.

mod attempts;
mod chat;
mod claims;
mod completion;
mod health;
mod leaving_servers;
mod non_idempotent;
mod service;
mod slots;
mod warm_hint;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_caller::{Answer, CallerRequest, Target};
use sapphiretrack_core::{
    AttemptId, ChatKey, PlacementSettings, Refusal, RefusalCode, RetryBudget, WorkspaceKey,
    WorkspaceShares,
};
use sapphiretrack_peer::PeerClient;
use sapphiretrack_platform::ClaimStore;

use crate::clock::Clock;
use crate::control::ControlHandle;
pub(crate) use crate::dispatch::health::Health;
use crate::limits::{InFlightPermit, LimitTable};
use crate::metrics::Metrics;
use crate::warm_memory::WarmMemory;

/// Retry delay for callers of an isolated router.
const ISOLATED_RETRY_AFTER_MS: u64 = 1_000;
/// Allowed retries per request, averaged over all requests.
const RETRIES_PER_REQUEST: f64 = 0.08;

/// The state shared by all requests.
pub(crate) struct Dispatcher {
    pub(crate) clock: Clock,
    pub(crate) control: ControlHandle,
    pub(crate) peers: PeerClient,
    pub(crate) backend: BackendClient,
    pub(crate) claims: ClaimStore,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) limits: LimitTable,
    pub(crate) placement: PlacementSettings,
    pub(crate) memory: Arc<WarmMemory>,
    pub(crate) shares: Mutex<WorkspaceShares>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) health: Health,
}

impl Dispatcher {
    /// Creates a retry budget of [`RETRIES_PER_REQUEST`].
    pub(crate) fn retry_budget() -> RetryBudget {
        RetryBudget::new(RETRIES_PER_REQUEST)
    }

    /// Runs a request and counts a refusal in the metrics.
    pub(crate) fn run(self: &Arc<Self>, request: CallerRequest) -> BoxFuture<'static, Answer> {
        let dispatcher = self.clone();
        Box::pin(async move {
            let answer = dispatcher.clone().run_admitted(request).await;
            if let Answer::Refused(refusal) = &answer {
                dispatcher.metrics.count_refusal(refusal.code);
            }
            answer
        })
    }

    async fn run_admitted(self: Arc<Self>, mut request: CallerRequest) -> Answer {
        let started_at = Instant::now();
        let permit = match self.admit(&request).await {
            Ok(permit) => permit,
            Err(refusal) => return Answer::Refused(refusal),
        };
        // The time spent in admission counts toward the deadline.
        let waited_ms = started_at.elapsed().as_millis() as u64;
        request.policy.deadline_ms = request.policy.deadline_ms.saturating_sub(waited_ms);
        let pool = request.pool().to_owned();
        let answer = self.clone().run_with_permit(request, permit).await;
        if matches!(&answer, Answer::Refused(refusal) if refusal.code == RefusalCode::Overloaded) {
            self.limits.record_full_pool(&pool);
        }
        answer
    }

    async fn run_with_permit(
        self: Arc<Self>,
        request: CallerRequest,
        permit: InFlightPermit,
    ) -> Answer {
        let rule = request
            .contract
            .non_idempotent_rule(request.pool(), request.path())
            .cloned();
        if let Some(rule) = rule {
            return non_idempotent::run_at_most_once(self, request, &rule, permit).await;
        }
        match &request.target {
            Target::Chat(_) => chat::run_chat(self, request, permit, None).await,
            Target::Service(_) => service::run_service(&self, &request, permit).await,
        }
    }

    async fn admit(&self, request: &CallerRequest) -> Result<InFlightPermit, Refusal> {
        let snapshot = self.control.snapshot();
        if snapshot.isolated {
            let message = "the router sees neither the platform nor its peers";
            return Err(Refusal::not_run(RefusalCode::Isolated, message)
                .retry_after(ISOLATED_RETRY_AFTER_MS));
        }
        let tokens = match &request.target {
            Target::Chat(call) => call.prompt_tokens,
            Target::Service(_) => 0,
        };
        let permit = self
            .limits
            .admit(
                &request.contract,
                request.pool(),
                tokens,
                request.policy.deadline_ms,
            )
            .await?;
        self.lock_retries().note_request();
        Ok(permit)
    }

    fn try_retry(&self) -> bool {
        let allowed = self.lock_retries().try_retry();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    fn lock_retries(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request of a workspace and returns the workspace's share of the load.
    fn count_workspace_request(&self, workspace: WorkspaceKey) -> f64 {
        let shares = self.shares.lock();
        let mut shares = shares.unwrap_or_else(PoisonError::into_inner);
        shares.note_request(workspace, self.clock.now_ms())
    }
}

fn workspace_key(request: &CallerRequest) -> WorkspaceKey {
    WorkspaceKey::new(&request.contract.customer, &request.workspace)
}

fn chat_key(request: &CallerRequest) -> ChatKey {
    let workspace = workspace_key(request);
    match (&request.chat, &request.target) {
        (Some(chat), _) => ChatKey::new(workspace, chat),
        (None, Target::Chat(call)) => ChatKey::new(workspace, &call.opening),
        (None, Target::Service(call)) => ChatKey::new(workspace, &call.path),
    }
}

fn new_attempt() -> AttemptId {
    AttemptId(rand::random())
}
