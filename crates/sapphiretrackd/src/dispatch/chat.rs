//! Chat requests: one stream to the caller, over as many attempts as it takes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphiretrack_backend::{BackendError, ChatAttempt, Piece};
use sapphiretrack_caller::{Answer, CallerRequest, ChatCall, StreamEvent, Target, WholeAnswer};
use sapphiretrack_core::{
    Candidate, ChatKey, Chunk, ChunkChoice, Delta, PlacementRequest, Refusal, RefusalCode,
    ServerId, Usage, WarmHint, rank_servers,
};
use tokio::sync::{mpsc, oneshot};

use crate::control::Snapshot;
use crate::dispatch::slots::Slot;
use crate::dispatch::warm::{read_warm, write_warm};
use crate::dispatch::{Dispatcher, chat_key, new_attempt, no_server, workspace_key};
use crate::events::Event;
use crate::limits::InFlightPlace;

/// Events that wait for a slow caller; beyond them the engine's stream waits.
const BUFFERED_EVENTS: usize = 32;

/// Runs a chat request.
pub(crate) async fn run_chat(
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    place: InFlightPlace,
) -> Answer {
    let Target::Chat(call) = &request.target else {
        let message = "the request is no chat";
        return Answer::Refused(Refusal::not_run(RefusalCode::MalformedBody, message));
    };
    let wants_stream = call.stream;
    let model = call.model.clone();
    let (events, receiver) = mpsc::channel(BUFFERED_EVENTS);
    let (started, first) = oneshot::channel();
    let run = ChatRun::new(dispatcher, request, events);
    tokio::spawn(async move {
        run.run(started).await;
        drop(place);
    });
    let warm = match first.await {
        Ok(Ok(warm)) => warm,
        Ok(Err(refusal)) => return Answer::Refused(refusal),
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
    collect_whole(receiver, warm, &model).await
}

/// One chat request on its way.
struct ChatRun {
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    events: mpsc::Sender<StreamEvent>,
    chat: ChatKey,
    answer_id: String,
    started_at: Instant,
    deadline: Instant,
    sent_tokens: u32,
    tried: Vec<ServerId>,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The whole answer went out.
    Whole(Usage),
    /// The caller left.
    CallerLeft,
    /// The attempt failed.
    Failed(BackendError),
    /// The deadline passed.
    Late,
}

/// Tells once that the answer begins, or that there is none.
type Started = Option<oneshot::Sender<Result<String, Refusal>>>;

impl ChatRun {
    fn new(
        dispatcher: Arc<Dispatcher>,
        request: CallerRequest,
        events: mpsc::Sender<StreamEvent>,
    ) -> Self {
        let started_at = Instant::now();
        Self {
            chat: chat_key(&request),
            answer_id: new_attempt().to_string(),
            started_at,
            deadline: started_at + Duration::from_millis(request.policy.deadline_ms),
            sent_tokens: 0,
            tried: Vec::new(),
            dispatcher,
            request,
            events,
        }
    }

    async fn run(mut self, started: oneshot::Sender<Result<String, Refusal>>) {
        self.dispatcher.metrics.in_flight.inc();
        let mut started = Some(started);
        let refusal = self.run_attempts(&mut started).await.err();
        if let Some(refusal) = refusal {
            self.give_up(started, refusal).await;
        }
        self.dispatcher.metrics.in_flight.dec();
    }

    async fn run_attempts(&mut self, started: &mut Started) -> Result<(), Refusal> {
        loop {
            let snapshot = self.dispatcher.control.snapshot();
            let candidates = self.candidates(&snapshot);
            let share = self.request.policy.bound_share;
            let pool = self.request.pool();
            let reserved = self
                .dispatcher
                .reserve(&snapshot, pool, &candidates, share, &self.tried)
                .await;
            let Some(slot) = reserved else {
                return Err(match self.sent_tokens {
                    0 => no_server(&snapshot, pool),
                    _ => Refusal::unknown(
                        RefusalCode::ServerFailed,
                        "the answer broke and no other backend server has room",
                    ),
                });
            };
            match self.attempt(&slot, started).await {
                AttemptEnd::Whole(usage) => {
                    self.note_whole(usage);
                    drop(self.events.send(StreamEvent::End).await);
                    return Ok(());
                }
                AttemptEnd::CallerLeft => return Ok(()),
                AttemptEnd::Late => {
                    let message = "the deadline of the class passed";
                    return Err(Refusal::unknown(RefusalCode::DeadlinePassed, message));
                }
                AttemptEnd::Failed(error) => self.after_failure(&slot, &error)?,
            }
        }
    }

    /// Decides whether another attempt follows.
    fn after_failure(&mut self, slot: &Slot, error: &BackendError) -> Result<(), Refusal> {
        let name = format!("{:016x}", slot.server.0);
        Event::ATTEMPT_FAILED.log(&[("server", &name), ("reason", &error.to_string())]);
        if matches!(error, BackendError::Crossed { .. }) {
            Event::CROSSED_REPLY.log(&[("server", &name)]);
            self.dispatcher.metrics.crossed_replies.inc();
        }
        self.tried.push(slot.server);
        if self.dispatcher.try_retry() {
            return Ok(());
        }
        let code = RefusalCode::ServerFailed;
        let message = format!("{error}; the retry budget is used up");
        if error.is_not_run() && self.sent_tokens == 0 && self.tried.len() == 1 {
            return Err(Refusal::not_run(code, message));
        }
        Err(Refusal::unknown(code, message))
    }

    fn candidates(&self, snapshot: &Snapshot) -> Vec<Candidate> {
        let Some(pool) = snapshot.pools.get(self.request.pool()) else {
            return Vec::new();
        };
        let told = self.request.warm.as_deref().and_then(read_warm);
        let now_ms = self.dispatcher.clock.now_ms();
        let remembered = self.dispatcher.lock_memory().recall(self.chat, now_ms);
        let warm: Vec<WarmHint> = told.into_iter().chain(remembered).collect();
        let workspace = workspace_key(&self.request);
        let placement = PlacementRequest {
            workspace,
            workspace_share: self.dispatcher.note_workspace(workspace),
            chat: self.chat,
            prompt_tokens: self.call().map_or(0, |call| call.prompt_tokens),
            warm: &warm,
            bound_share: self.request.policy.bound_share,
            zone: "",
        };
        rank_servers(&self.dispatcher.placement, pool, &placement)
    }

    async fn attempt(&mut self, slot: &Slot, started: &mut Started) -> AttemptEnd {
        let deadline = tokio::time::Instant::from_std(self.deadline);
        let events = self.events.clone();
        tokio::select! {
            end = self.attempt_untimed(slot, started) => end,
            () = tokio::time::sleep_until(deadline) => AttemptEnd::Late,
            () = events.closed() => AttemptEnd::CallerLeft,
        }
    }

    async fn attempt_untimed(&mut self, slot: &Slot, started: &mut Started) -> AttemptEnd {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let attempt = ChatAttempt {
            id: new_attempt(),
            body: self
                .call()
                .map(|call| call.body.clone())
                .unwrap_or_default(),
            chat: self.chat,
            priority: self.request.policy.priority,
            deadline_ms: left.as_millis() as u64,
            resume_tokens: self.sent_tokens,
            import_from: slot.import_from,
        };
        let mut answer = match self.dispatcher.backend.chat(slot.address, &attempt).await {
            Ok(answer) => answer,
            Err(error) => return AttemptEnd::Failed(error),
        };
        let mut counts = Usage::default();
        loop {
            let piece = match answer.next().await {
                Ok(piece) => piece,
                Err(error) => return AttemptEnd::Failed(error),
            };
            self.note_start(slot, started);
            let sent = match piece {
                Piece::Token(text) => {
                    self.sent_tokens += 1;
                    self.send(Some(text), None, None).await
                }
                Piece::Finish { reason, usage } => {
                    counts = usage;
                    self.send(None, Some(reason), Some(usage)).await
                }
                Piece::End => return AttemptEnd::Whole(counts),
            };
            if !sent {
                return AttemptEnd::CallerLeft;
            }
        }
    }

    /// Tells the caller that the answer begins, and where the chat is warm from now on.
    fn note_start(&mut self, slot: &Slot, started: &mut Started) {
        let Some(sender) = started.take() else { return };
        let hint = WarmHint {
            server: slot.server,
            incarnation: slot.incarnation,
            tokens: self.call().map_or(0, |call| call.prompt_tokens),
            age_ms: 0,
        };
        let now_ms = self.dispatcher.clock.now_ms();
        self.dispatcher
            .lock_memory()
            .remember(self.chat, hint, now_ms);
        let metrics = &self.dispatcher.metrics;
        let labels = metrics.labels(&self.request.contract.customer, &self.request.class);
        metrics.first_token(&labels, self.started_at.elapsed().as_secs_f64());
        drop(sender.send(Ok(write_warm(hint))));
    }

    async fn send(
        &self,
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
        self.events
            .send(StreamEvent::Chunk(Box::new(chunk)))
            .await
            .is_ok()
    }

    fn note_whole(&self, usage: Usage) {
        let metrics = &self.dispatcher.metrics;
        let customer = &self.request.contract.customer;
        let labels = metrics.labels(customer, &self.request.class);
        metrics.whole_answer(&labels, self.started_at.elapsed().as_secs_f64());
        metrics.prompt_tokens.inc_by(u64::from(usage.prompt_tokens));
        metrics.cached_tokens.inc_by(u64::from(usage.cached_tokens));
        let now_ms = self.dispatcher.clock.now_ms();
        self.dispatcher
            .limits
            .charge_tokens(customer, usage.completion_tokens, now_ms);
    }

    async fn give_up(&self, started: Started, refusal: Refusal) {
        if let Some(sender) = started {
            drop(sender.send(Err(refusal)));
            return;
        }
        self.dispatcher.metrics.refused(refusal.code);
        drop(self.events.send(StreamEvent::Error(refusal)).await);
    }

    fn call(&self) -> Option<&ChatCall> {
        match &self.request.target {
            Target::Chat(call) => Some(call),
            Target::Service(_) => None,
        }
    }
}

/// Puts a stream together for a caller that wants the answer whole.
async fn collect_whole(
    mut events: mpsc::Receiver<StreamEvent>,
    warm: String,
    model: &str,
) -> Answer {
    let mut text = String::new();
    let mut finish_reason = None;
    let mut usage = Usage::default();
    let mut id = String::new();
    loop {
        match events.recv().await {
            Some(StreamEvent::Chunk(chunk)) => {
                id = chunk.id;
                usage = chunk.usage.unwrap_or(usage);
                for choice in chunk.choices {
                    text.push_str(choice.delta.content.as_deref().unwrap_or_default());
                    finish_reason = choice.finish_reason.or(finish_reason);
                }
            }
            Some(StreamEvent::End) => break,
            Some(StreamEvent::Error(refusal)) => return Answer::Refused(refusal),
            None => {
                let message = "the answer ended without its end";
                return Answer::Refused(Refusal::unknown(RefusalCode::ServerFailed, message));
            }
        }
    }
    let body = serde_json::json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason,
        }],
        "usage": usage,
    });
    Answer::Whole(WholeAnswer {
        status: 200,
        content_type: String::from("application/json"),
        body: body.to_string().into(),
        warm: Some(warm),
    })
}
