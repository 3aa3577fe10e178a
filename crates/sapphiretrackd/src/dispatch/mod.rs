//! Runs callers' requests: limits, placement, attempts, retries.

mod chat;
mod once;
mod service;
mod slots;
mod warm;

use std::sync::{Arc, Mutex, PoisonError};

use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_caller::{Answer, CallerRequest, Target};
use sapphiretrack_core::{
    AttemptId, ChatKey, PlacementMemory, PlacementSettings, Refusal, RefusalCode, RetryBudget,
    WorkspaceKey, WorkspaceShares,
};
use sapphiretrack_peer::PeerClient;
use sapphiretrack_platform::ClaimStore;

use crate::clock::Clock;
use crate::control::{ControlHandle, Snapshot};
use crate::limits::{InFlightPlace, LimitTable};
use crate::metrics::Metrics;

/// When to come back after a refusal for want of room.
const OVERLOAD_RETRY_MS: u64 = 1_000;
/// Retries that are allowed for each request, over all requests.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// What the dispatch of requests works with.
pub(crate) struct Dispatcher {
    pub(crate) clock: Clock,
    pub(crate) control: ControlHandle,
    pub(crate) peers: PeerClient,
    pub(crate) backend: BackendClient,
    pub(crate) claims: ClaimStore,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) limits: LimitTable,
    pub(crate) placement: PlacementSettings,
    pub(crate) memory: Mutex<PlacementMemory>,
    pub(crate) shares: Mutex<WorkspaceShares>,
    pub(crate) retries: Mutex<RetryBudget>,
}

impl Dispatcher {
    /// A retry budget of the usual size.
    pub(crate) fn retry_budget() -> RetryBudget {
        RetryBudget::new(RETRIES_PER_REQUEST)
    }

    /// Runs a request to its answer.
    pub(crate) fn run(self: &Arc<Self>, request: CallerRequest) -> BoxFuture<'static, Answer> {
        let dispatcher = self.clone();
        Box::pin(async move {
            let answer = dispatcher.clone().run_admitted(request).await;
            if let Answer::Refused(refusal) = &answer {
                dispatcher.metrics.refused(refusal.code);
            }
            answer
        })
    }

    async fn run_admitted(self: Arc<Self>, request: CallerRequest) -> Answer {
        let place = match self.admit(&request) {
            Ok(place) => place,
            Err(refusal) => return Answer::Refused(refusal),
        };
        let rule = request
            .contract
            .non_idempotent_rule(request.pool(), request.path())
            .cloned();
        if let Some(rule) = rule {
            return once::run_once(self, request, &rule, place).await;
        }
        match &request.target {
            Target::Chat(_) => chat::run_chat(self, request, place).await,
            Target::Service(_) => service::run_service(&self, &request, place).await,
        }
    }

    fn admit(&self, request: &CallerRequest) -> Result<InFlightPlace, Refusal> {
        let snapshot = self.control.snapshot();
        if snapshot.isolated {
            let message = "the router hears of neither the platform nor its peers";
            return Err(
                Refusal::not_run(RefusalCode::Isolated, message).retry_after(OVERLOAD_RETRY_MS)
            );
        }
        let tokens = match &request.target {
            Target::Chat(call) => call.prompt_tokens,
            Target::Service(_) => 0,
        };
        let now_ms = self.clock.now_ms();
        let place =
            self.limits
                .enter(&request.contract, tokens, snapshot.live_routers(), now_ms)?;
        self.lock_retries().note_request();
        Ok(place)
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

    /// Counts a request of a workspace; returns the workspace's share of the load.
    fn note_workspace(&self, workspace: WorkspaceKey) -> f64 {
        let shares = self.shares.lock();
        let mut shares = shares.unwrap_or_else(PoisonError::into_inner);
        shares.note(workspace, self.clock.now_ms())
    }

    fn lock_memory(&self) -> std::sync::MutexGuard<'_, PlacementMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
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

fn no_server(snapshot: &Snapshot, pool: &str) -> Refusal {
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
    refusal.retry_after(OVERLOAD_RETRY_MS)
}
