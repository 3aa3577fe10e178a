//! Chat requests: one stream to the caller, produced by one or more attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphiretrack_backend::{AnswerStream, BackendError, ChatAttempt, Piece};
use sapphiretrack_caller::{Answer, BufferedAnswer, CallerRequest, ChatCall, StreamEvent, Target};
use sapphiretrack_core::{
    AttemptLog, Candidate, ChatKey, Chunk, ChunkChoice, Delta, Outcome, PlacementRequest,
    RecordedAnswer, Refusal, RefusalCode, Repeatable, Usage, WarmHint, first_token_timeout_ms,
    idle_timeout_ms, rank_servers,
};
use tokio::sync::{mpsc, oneshot};

use crate::control::Snapshot;
use crate::dispatch::claims::{AtMostOnce, ClaimOutcome, HeldClaim};
use crate::dispatch::completion::{ChatCompletion, collect_completion, replay_completion};
use crate::dispatch::slots::Slot;
use crate::dispatch::warm_hint::{encode_warm_hint, parse_warm_hint};
use crate::dispatch::{Dispatcher, chat_key, new_attempt, workspace_key};
use crate::limits::InFlightPermit;

/// Events buffered for a slow caller; if the buffer is full, reading from the engine pauses.
const BUFFERED_EVENTS: usize = 32;
/// How long to wait for a caller to take the last event.
const LAST_EVENT_WAIT: Duration = Duration::from_secs(5);

/// Runs a chat request, at most once if it is non-idempotent.
pub(crate) async fn run_chat(
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    permit: InFlightPermit,
    at_most_once: Option<AtMostOnce>,
) -> Answer {
    let Target::Chat(call) = &request.target else {
        let message = "the request is no chat";
        return Answer::Refused(Refusal::not_run(RefusalCode::MalformedBody, message));
    };
    let wants_stream = call.stream;
    let model = call.model.clone();
    let (events, receiver) = mpsc::channel(BUFFERED_EVENTS);
    let (started, first) = oneshot::channel();
    let run = ChatRun::new(dispatcher, request, events, at_most_once);
    tokio::spawn(async move {
        run.run(started).await;
        drop(permit);
    });
    let warm = match first.await {
        Ok(Start::Stream { warm }) => warm,
        Ok(Start::Recorded(answer)) => return replay_completion(answer, wants_stream),
        Ok(Start::Refused(refusal)) => return Answer::Refused(refusal),
        Err(_) => {
            let message = "the request's task ended early";
            return Answer::Refused(Refusal::unknown(RefusalCode::ServerFailed, message));
        }
    };
    if wants_stream {
        return Answer::Stream {
            warm,
            events: receiver,
        };
    }
    collect_completion(receiver, warm, &model).await
}

/// A chat request in progress.
struct ChatRun {
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    events: mpsc::Sender<StreamEvent>,
    chat: ChatKey,
    answer_id: String,
    started_at: Instant,
    deadline: Instant,
    log: AttemptLog,
    at_most_once: Option<AtMostOnce>,
    held_claim: Option<HeldClaim>,
    completion: Option<ChatCompletion>,
    /// Version of the software that began the answer, once a token was forwarded, if the engine stated one.
    software: Option<String>,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The answer is complete; its last chunk has not been sent yet.
    Complete { reason: String, usage: Usage },
    /// The caller disconnected.
    CallerDisconnected,
    /// The attempt failed.
    Failed(BackendError),
    /// The deadline passed.
    DeadlinePassed,
}

/// How an answer starts.
enum Start {
    /// The answer is streamed.
    Stream {
        /// The warm hint for the caller.
        warm: String,
    },
    /// The request ran before; this is its recorded answer.
    Recorded(BufferedAnswer),
    /// The request is refused.
    Refused(Refusal),
}

/// Sends how the answer starts; empty once that is sent.
type StartSender = Option<oneshot::Sender<Start>>;

impl ChatRun {
    fn new(
        dispatcher: Arc<Dispatcher>,
        request: CallerRequest,
        events: mpsc::Sender<StreamEvent>,
        at_most_once: Option<AtMostOnce>,
    ) -> Self {
        let started_at = Instant::now();
        let answer_id = new_attempt().to_string();
        let repeatable = match at_most_once {
            Some(_) => Repeatable::OnlyIfNotRun,
            None => Repeatable::Always,
        };
        Self {
            chat: chat_key(&request),
            started_at,
            deadline: started_at + Duration::from_millis(request.policy.deadline_ms),
            log: AttemptLog::new(repeatable),
            completion: at_most_once
                .is_some()
                .then(|| ChatCompletion::new(&answer_id, request.pool())),
            answer_id,
            at_most_once,
            held_claim: None,
            software: None,
            dispatcher,
            request,
            events,
        }
    }

    async fn run(mut self, started: oneshot::Sender<Start>) {
        let mut started = Some(started);
        let Err(refusal) = self.run_attempts(&mut started).await else {
            return;
        };
        if refusal.outcome == Outcome::NotRun
            && let Some(held) = &self.held_claim
        {
            self.dispatcher.withdraw(held);
        }
        self.send_refusal(started, refusal).await;
    }

    async fn run_attempts(&mut self, started: &mut StartSender) -> Result<(), Refusal> {
        loop {
            let snapshot = self.dispatcher.control.snapshot();
            let candidates = self.candidates(&snapshot);
            let slot = self
                .dispatcher
                .reserve_slot(
                    &snapshot,
                    &self.request,
                    candidates,
                    &self.log,
                    self.deadline,
                )
                .await?;
            if let Some(recorded) = self.claim().await? {
                if let Some(sender) = started.take() {
                    drop(sender.send(Start::Recorded(recorded)));
                }
                return Ok(());
            }
            match self.attempt(&slot, started).await {
                AttemptEnd::Complete { reason, usage } => {
                    self.dispatcher.record_attempt_success(&slot);
                    drop(slot);
                    self.finish(reason, usage).await;
                    return Ok(());
                }
                AttemptEnd::CallerDisconnected => {
                    if let (Some(held), Outcome::NotRun) = (&self.held_claim, self.log.outcome()) {
                        self.dispatcher.withdraw(held);
                    }
                    return Ok(());
                }
                AttemptEnd::DeadlinePassed => {
                    self.dispatcher.record_deadline_exceeded(&self.request);
                    let message = "the deadline of the class passed";
                    return Err(self.log.refusal(RefusalCode::DeadlinePassed, message));
                }
                AttemptEnd::Failed(error) => {
                    if matches!(error, BackendError::TimedOut) && self.log.delivered_tokens() == 0 {
                        self.dispatcher.record_deadline_exceeded(&self.request);
                    }
                    let deadline = self.deadline;
                    self.dispatcher
                        .prepare_retry(&self.request, &mut self.log, &slot, &error, deadline)
                        .await?;
                }
            }
        }
    }

    /// Claims a non-idempotent request before its first attempt.
    ///
    /// Returns the recorded answer if the request ran before.
    async fn claim(&mut self) -> Result<Option<BufferedAnswer>, Refusal> {
        let (Some(at_most_once), None) = (&self.at_most_once, &self.held_claim) else {
            return Ok(None);
        };
        match self
            .dispatcher
            .acquire_claim(&self.request, at_most_once)
            .await?
        {
            ClaimOutcome::Recorded(answer) => Ok(Some(answer)),
            ClaimOutcome::Held(held) => {
                self.held_claim = Some(held);
                if Instant::now() < self.deadline {
                    return Ok(None);
                }
                let message = "the deadline of the class passed before the request was sent";
                Err(self.log.refusal(RefusalCode::DeadlinePassed, message))
            }
        }
    }

    fn candidates(&self, snapshot: &Snapshot) -> Vec<Candidate> {
        let Some(pool) = snapshot.pools.get(self.request.pool()) else {
            return Vec::new();
        };
        let from_caller = self.request.warm.as_deref().and_then(parse_warm_hint);
        let from_memory = self.dispatcher.memory.get(self.chat);
        let warm: Vec<WarmHint> = from_caller.into_iter().chain(from_memory).collect();
        let workspace = workspace_key(&self.request);
        let placement = PlacementRequest {
            workspace,
            workspace_share: self.dispatcher.count_workspace_request(workspace),
            chat: self.chat,
            prompt_tokens: self.call().map_or(0, |call| call.prompt_tokens),
            warm: &warm,
            bound_share: self.request.policy.bound_share,
            zone: "",
        };
        rank_servers(&self.dispatcher.placement, pool, &placement)
    }

    async fn attempt(&mut self, slot: &Slot, started: &mut StartSender) -> AttemptEnd {
        let deadline = tokio::time::Instant::from_std(self.deadline);
        let events = self.events.clone();
        // A non-idempotent request continues without its caller so that its answer is recorded.
        let ignores_disconnect = self.at_most_once.is_some();
        let disconnected = async move {
            match ignores_disconnect {
                true => std::future::pending().await,
                false => events.closed().await,
            }
        };
        tokio::select! {
            biased;
            () = disconnected => AttemptEnd::CallerDisconnected,
            () = tokio::time::sleep_until(deadline) => AttemptEnd::DeadlinePassed,
            end = self.attempt_without_deadline(slot, started) => end,
        }
    }

    async fn attempt_without_deadline(
        &mut self,
        slot: &Slot,
        started: &mut StartSender,
    ) -> AttemptEnd {
        self.log.begin(slot.server);
        match self.forward(slot, started).await {
            Ok(end) => end,
            Err(error) => AttemptEnd::Failed(error),
        }
    }

    /// Starts an attempt and forwards its pieces to the caller.
    async fn forward(
        &mut self,
        slot: &Slot,
        started: &mut StartSender,
    ) -> Result<AttemptEnd, BackendError> {
        let idle = Duration::from_millis(idle_timeout_ms(self.request.policy.deadline_ms));
        let (mut answer, mut piece) = self.first_piece(slot).await?;
        let mut finish = None;
        loop {
            self.send_start(slot, started);
            match piece {
                Piece::Token(text) => {
                    if self.log.delivered_tokens() == 0 {
                        self.software = answer.software().map(str::to_owned);
                    }
                    self.log.deliver();
                    if !self.send(Some(text), None, None).await {
                        return Ok(AttemptEnd::CallerDisconnected);
                    }
                }
                // Sent only after the end: if the stream breaks in between, the next attempt
                // would otherwise send a second last chunk.
                Piece::Finish { reason, usage } => finish = Some((reason, usage)),
                Piece::End => break,
            }
            piece = with_timeout(idle, answer.next()).await?;
        }
        let (reason, usage) = finish.unwrap_or_default();
        Ok(AttemptEnd::Complete { reason, usage })
    }

    async fn first_piece(&self, slot: &Slot) -> Result<(AnswerStream, Piece), BackendError> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = left.as_millis() as u64;
        let attempt = ChatAttempt {
            id: new_attempt(),
            body: self
                .call()
                .map(|call| call.body.clone())
                .unwrap_or_default(),
            chat: self.chat,
            priority: self.request.policy.priority,
            deadline_ms: left_ms,
            resume_tokens: self.log.delivered_tokens(),
            required_software: self.software.clone(),
            import_from: slot.import_from,
        };
        // A non-idempotent request reserves no time for another attempt.
        let wait_ms = match self.at_most_once {
            Some(_) => left_ms,
            None => first_token_timeout_ms(left_ms),
        };
        with_timeout(Duration::from_millis(wait_ms), async {
            let mut answer = self.dispatcher.backend.chat(slot.address, &attempt).await?;
            let piece = answer.next().await?;
            Ok((answer, piece))
        })
        .await
    }

    /// Reports the start of the answer in the first call, and records the server that holds the
    /// chat's tokens.
    fn send_start(&mut self, slot: &Slot, started: &mut StartSender) {
        let Some(sender) = started.take() else { return };
        let hint = WarmHint {
            server: slot.server,
            incarnation: slot.incarnation,
            tokens: self.call().map_or(0, |call| call.prompt_tokens),
            age_ms: 0,
        };
        self.dispatcher.memory.insert(self.chat, hint);
        let metrics = &self.dispatcher.metrics;
        let labels = metrics.labels(&self.request.contract.customer, &self.request.class);
        metrics.record_first_token(&labels, self.started_at.elapsed().as_secs_f64());
        let warm = encode_warm_hint(hint);
        drop(sender.send(Start::Stream { warm }));
    }

    /// Sends a chunk. Returns false if the caller disconnected and the request can be abandoned.
    async fn send(
        &mut self,
        text: Option<String>,
        finish_reason: Option<String>,
        usage: Option<Usage>,
    ) -> bool {
        let chunk = Chunk {
            id: self.answer_id.clone(),
            object: String::from("chat.completion.chunk"),
            model: self.request.pool().to_owned(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta { content: text },
                finish_reason,
            }],
            usage,
        };
        if let Some(completion) = &mut self.completion {
            completion.append(chunk.clone());
        }
        let event = StreamEvent::Chunk(Box::new(chunk));
        self.events.send(event).await.is_ok() || self.at_most_once.is_some()
    }

    /// Sends the last chunk, then the end. The answer of a claimed request is recorded in between.
    async fn finish(&mut self, reason: String, usage: Usage) {
        // After a resumed attempt, the last engine may count only its own tokens.
        let usage = Usage {
            completion_tokens: self.log.delivered_tokens(),
            ..usage
        };
        let sent = self.send(None, Some(reason), Some(usage));
        let was_sent = tokio::time::timeout(LAST_EVENT_WAIT, sent).await.is_ok();
        if let (Some(held), Some(completion)) = (&self.held_claim, &self.completion) {
            let answer = RecordedAnswer {
                status: 200,
                content_type: String::from("application/json"),
                body: completion.to_json().into(),
            };
            self.dispatcher.record_answer(held, answer).await;
        }
        self.record_completion(usage);
        if was_sent {
            self.send_final_event(StreamEvent::End).await;
        }
    }

    fn record_completion(&self, usage: Usage) {
        let metrics = &self.dispatcher.metrics;
        self.dispatcher
            .record_completion(&self.request, self.started_at.elapsed());
        metrics.prompt_tokens.inc_by(u64::from(usage.prompt_tokens));
        metrics.cached_tokens.inc_by(u64::from(usage.cached_tokens));
        self.dispatcher.limits.charge_tokens(
            &self.request.contract.customer,
            usage.completion_tokens,
            self.dispatcher.clock.now_ms(),
        );
    }

    async fn send_refusal(&self, started: StartSender, refusal: Refusal) {
        if let Some(sender) = started {
            drop(sender.send(Start::Refused(refusal)));
            return;
        }
        self.dispatcher.metrics.count_refusal(refusal.code);
        self.send_final_event(StreamEvent::Error(refusal)).await;
    }

    /// Sends the last event. If the caller does not take it in time, the stream breaks off without
    /// an end.
    async fn send_final_event(&self, event: StreamEvent) {
        drop(tokio::time::timeout(LAST_EVENT_WAIT, self.events.send(event)).await);
    }

    fn call(&self) -> Option<&ChatCall> {
        match &self.request.target {
            Target::Chat(call) => Some(call),
            Target::Service(_) => None,
        }
    }
}

/// Returns the result of `work`, or [`BackendError::TimedOut`] after `limit`.
async fn with_timeout<Value, Work>(limit: Duration, work: Work) -> Result<Value, BackendError>
where
    Work: Future<Output = Result<Value, BackendError>>,
{
    match tokio::time::timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(BackendError::TimedOut),
    }
}
