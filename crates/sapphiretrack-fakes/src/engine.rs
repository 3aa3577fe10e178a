//! The stand-in model engine: batching slots, a queue by priority, a bounded prefix cache.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sapphiretrack_backend::wire::{
    ATTEMPT_HEADER, CHAT_HEADER, EXPORT_PATH, IMPORT_HEADER, LEAVING_HEADER, NOT_STARTED_HEADER,
    PRIORITY_HEADER, RESUME_HEADER,
};
use sapphiretrack_core::{
    Chunk, ChunkChoice, Delta, FencingCheck, Incarnation, LoadReport, STREAM_END, Usage,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use crate::answer::{answer_tag, messages_hash, token_text};
use crate::http_server::{
    FakeFuture, FakeResponse, RunCount, json, read_bytes, read_json, serve, take, with_status,
};
use crate::kv::{ExportedPrefix, import_prefix};
use crate::orders::{ArrivedOrder, OrderBook, answer_order};

/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer whose request names no limit.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

/// How the stand-in behaves without faults.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Requests in a batch.
    pub batch_slots: u32,
    /// Requests that may wait; more are refused before they start.
    pub queue_requests: u32,
    /// Time to compute one uncached prompt token.
    pub prefill_us_per_token: u64,
    /// Time between two tokens.
    pub decode_ms: u64,
    /// Chats whose prefix the cache holds.
    pub cached_chats: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing_check: FencingCheck,
    /// How long weights take to load.
    pub load_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            incarnation: 1,
            batch_slots: 16,
            queue_requests: 64,
            prefill_us_per_token: 50,
            decode_ms: 2,
            cached_chats: 1_000,
            fencing_check: FencingCheck::Checks,
            load_ms: 50,
        }
    }
}

/// The faults of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// So many of the next streams are cut.
    pub cut_streams: u32,
    /// After how many tokens they are cut.
    pub cut_after_tokens: u32,
    /// So many of the next streams carry another attempt's id.
    pub crossed: u32,
    /// So many of the next requests are refused before they start.
    pub refuse: u32,
    /// Streams and reports wait until this is taken back.
    pub frozen: bool,
    /// The engine says that it is leaving.
    pub leaving: bool,
    /// The engine refuses new requests because it is leaving, without its reports saying so.
    pub refuse_as_leaving: bool,
    /// So many of the next streams carry a piece of another attempt in their middle.
    pub crossed_pieces: u32,
    /// So many of the next streams stand still in their middle, and go on late.
    pub stalled_streams: u32,
    /// How long they stand still.
    pub stall_ms: u64,
}

/// The most different requests whose runs are counted.
const MAX_COUNTED_REQUESTS: usize = 100_000;

/// The stand-in engine; clones are the same one.
#[derive(Clone)]
pub struct FakeEngine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    settings: EngineSettings,
    state: Mutex<State>,
    orders: Mutex<OrderBook>,
    slot_freed: Notify,
}

#[derive(Default)]
struct State {
    faults: EngineFaults,
    running: u32,
    waiting: BTreeSet<(u8, u64)>,
    next_ticket: u64,
    queued_prompt_tokens: u64,
    cache: BTreeMap<String, u32>,
    cache_order: VecDeque<String>,
    started_requests: u64,
    /// The hashes of the messages of the requests that were started.
    started_chats: BTreeSet<u64>,
    runs: BTreeMap<String, u32>,
}

/// A request as the engine reads it.
struct ChatRequest {
    attempt: String,
    chat: String,
    priority: u8,
    resume_tokens: u32,
    model: String,
    prompt_tokens: u32,
    answer_tokens: u32,
    answer_tag: u16,
    import_from: Option<SocketAddr>,
    messages_hash: u64,
    messages: String,
}

/// What goes wrong with a stream, and after how many of its tokens.
#[derive(Default)]
struct StreamFaults {
    after_tokens: u32,
    cut: bool,
    crossed_piece: bool,
    stall: Option<Duration>,
}

impl FakeEngine {
    /// Starts the stand-in.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        let address = settings.address;
        let orders = OrderBook::new(
            settings.fencing_check,
            settings.incarnation,
            settings.load_ms,
        );
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::default(),
            orders: Mutex::new(orders),
            slot_freed: Notify::new(),
        });
        let mut engine = Self { address, shared };
        let handler = engine.clone();
        engine.address = serve(address, move |request| {
            let engine = handler.clone();
            Box::pin(async move { engine.answer(request).await }) as FakeFuture
        })
        .await?;
        Ok(engine)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Requests that were started.
    pub fn started_requests(&self) -> u64 {
        self.shared.lock().started_requests
    }

    /// The hashes of the messages of the requests that were started, in hex.
    pub fn started_chats(&self) -> Vec<String> {
        let state = self.shared.lock();
        let hashes = state.started_chats.iter();
        hashes.map(|hash| format!("{hash:016x}")).collect()
    }

    /// All orders as they arrived.
    pub fn arrived_orders(&self) -> Vec<ArrivedOrder> {
        self.shared.lock_orders().arrived().to_vec()
    }

    /// How often each request, by its messages, was started.
    pub fn runs(&self) -> Vec<RunCount> {
        let state = self.shared.lock();
        let runs = state.runs.iter();
        runs.map(|(order, runs)| RunCount {
            order: order.clone(),
            runs: *runs,
        })
        .collect()
    }

    /// The load as it stands.
    pub fn load(&self) -> LoadReport {
        let state = self.shared.lock();
        LoadReport {
            incarnation: self.shared.settings.incarnation,
            running: state.running,
            queued: state.waiting.len() as u32,
            queued_prompt_tokens: state.queued_prompt_tokens,
            leaving: state.faults.leaving,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> FakeResponse {
        match request.uri().path() {
            "/fake/faults" => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json(&())
                }
                Err(response) => response,
            },
            "/fake/orders" => json(&self.arrived_orders()),
            "/state" => {
                self.shared.wait_unfrozen().await;
                json(&self.shared.lock_orders().state())
            }
            "/orders" => {
                self.shared.wait_unfrozen().await;
                answer_order(request, |order| self.shared.lock_orders().take(order)).await
            }
            "/fake/started-chats" => json(&self.started_chats()),
            "/fake/runs" => json(&self.runs()),
            "/fake/started" => json(&self.started_requests()),
            "/load" => {
                self.shared.wait_unfrozen().await;
                json(&self.load())
            }
            "/v1/chat/completions" => match self.chat(request).await {
                Ok(response) | Err(response) => response,
            },
            path => match path.strip_prefix(EXPORT_PATH) {
                Some(chat) => self.export_prefix(chat),
                None => with_status(StatusCode::NOT_FOUND, "{}"),
            },
        }
    }

    fn export_prefix(&self, chat: &str) -> FakeResponse {
        match self.shared.lock().cache.get(chat) {
            Some(tokens) => json(&ExportedPrefix { tokens: *tokens }),
            None => with_status(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn chat(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let chat = read_chat(request).await?;
        if !self.shared.take_in(&chat) {
            let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, "{}");
            let yes = http::HeaderValue::from_static("true");
            if self.shared.lock().faults.refuse_as_leaving {
                response.headers_mut().insert(LEAVING_HEADER, yes.clone());
            }
            response.headers_mut().insert(NOT_STARTED_HEADER, yes);
            if let Ok(attempt) = http::HeaderValue::from_str(&chat.attempt) {
                response.headers_mut().insert(ATTEMPT_HEADER, attempt);
            }
            return Err(response);
        }
        let echoed = self.shared.echoed_attempt(&chat.attempt);
        let attempt_header = http::HeaderValue::from_str(&echoed)
            .map_err(|error| with_status(StatusCode::BAD_REQUEST, error.to_string()))?;
        let (frames, receiver) = mpsc::channel(4);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            // Nobody reads on when the router has cancelled.
            let gone = frames.clone();
            tokio::select! {
                () = shared.generate(&chat, &echoed, frames) => {}
                () = gone.closed() => {}
            }
        });
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(
            receiver,
        ))));
        let headers = response.headers_mut();
        headers.insert(ATTEMPT_HEADER, attempt_header);
        let events = http::HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, events);
        Ok(response)
    }
}

type Frames = mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>;

impl Shared {
    /// Whether a request is started, or waits for its start.
    fn take_in(&self, chat: &ChatRequest) -> bool {
        let mut state = self.lock();
        if state.faults.refuse_as_leaving {
            return false;
        }
        if state.faults.refuse > 0 {
            state.faults.refuse -= 1;
            return false;
        }
        if state.waiting.len() as u32 >= self.settings.queue_requests {
            return false;
        }
        state.started_requests += 1;
        state.started_chats.insert(chat.messages_hash);
        if state.runs.len() < MAX_COUNTED_REQUESTS {
            *state.runs.entry(chat.messages.clone()).or_default() += 1;
        }
        true
    }

    fn echoed_attempt(&self, attempt: &str) -> String {
        let mut state = self.lock();
        if state.faults.crossed > 0 {
            state.faults.crossed -= 1;
            return String::from("another-attempt");
        }
        attempt.to_owned()
    }

    async fn generate(self: &Arc<Self>, chat: &ChatRequest, attempt: &str, frames: Frames) {
        let _slot = self.take_slot(chat).await;
        self.import(chat).await;
        let cached_tokens = self.lock().cached_tokens(chat);
        let uncached = u64::from(chat.prompt_tokens - cached_tokens);
        let prefill_us = uncached * self.settings.prefill_us_per_token;
        tokio::time::sleep(Duration::from_micros(prefill_us)).await;
        let faults = self.take_stream_faults();
        for index in chat.resume_tokens..chat.answer_tokens {
            self.wait_unfrozen().await;
            if index - chat.resume_tokens == faults.after_tokens
                && !go_wrong(&faults, chat, &frames).await
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(self.settings.decode_ms)).await;
            let text = token_text(chat.answer_tag, index);
            let chunk = chunk(attempt, chat, Some(text), None);
            if !send_event(&frames, &chunk).await {
                return;
            }
        }
        self.lock().remember(chat, self.settings.cached_chats);
        let usage = Usage {
            prompt_tokens: chat.prompt_tokens,
            cached_tokens,
            completion_tokens: chat.answer_tokens,
        };
        if send_event(&frames, &chunk(attempt, chat, None, Some(usage))).await {
            let end = Bytes::from(format!("data: {STREAM_END}\n\n"));
            drop(frames.send(Ok(Frame::data(end))).await);
        }
    }

    /// Waits for a place in the batch; the most urgent waiter goes first.
    async fn take_slot(self: &Arc<Self>, chat: &ChatRequest) -> RunningSlot {
        let ticket = {
            let mut state = self.lock();
            let ticket = (chat.priority, state.next_ticket);
            state.next_ticket += 1;
            state.waiting.insert(ticket);
            state.queued_prompt_tokens += u64::from(chat.prompt_tokens);
            ticket
        };
        let waiting = WaitingTicket {
            shared: self.clone(),
            ticket,
            prompt_tokens: chat.prompt_tokens,
        };
        loop {
            let freed = self.slot_freed.notified();
            {
                let mut state = self.lock();
                let first = state.waiting.first() == Some(&ticket);
                if first && state.running < self.settings.batch_slots {
                    state.running += 1;
                    break;
                }
            }
            // The timeout covers a wake-up that went to a waiter that left.
            drop(tokio::time::timeout(Duration::from_millis(5), freed).await);
        }
        drop(waiting);
        RunningSlot {
            shared: self.clone(),
        }
    }

    /// Imports the chat's prefix, if the request names where it is and it is longer there.
    async fn import(&self, chat: &ChatRequest) {
        let Some(source) = chat.import_from else {
            return;
        };
        let Some(prefix) = import_prefix(source, &chat.chat).await else {
            return;
        };
        let capacity = self.settings.cached_chats;
        let mut state = self.lock();
        if state.cache.get(&chat.chat).copied().unwrap_or(0) < prefix.tokens {
            state.store(&chat.chat, prefix.tokens, capacity);
        }
    }

    fn take_stream_faults(&self) -> StreamFaults {
        let faults = &mut self.lock().faults;
        let stall = take(&mut faults.stalled_streams);
        StreamFaults {
            after_tokens: faults.cut_after_tokens,
            cut: take(&mut faults.cut_streams),
            crossed_piece: take(&mut faults.crossed_pieces),
            stall: stall.then(|| Duration::from_millis(faults.stall_ms)),
        }
    }

    async fn wait_unfrozen(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().faults.frozen {
            tokio::time::sleep(POLL).await;
        }
    }

    fn lock_orders(&self) -> MutexGuard<'_, OrderBook> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn cached_tokens(&self, chat: &ChatRequest) -> u32 {
        self.cache
            .get(&chat.chat)
            .copied()
            .unwrap_or(0)
            .min(chat.prompt_tokens)
    }

    fn remember(&mut self, chat: &ChatRequest, capacity: usize) {
        let tokens = chat.prompt_tokens + chat.answer_tokens;
        self.store(&chat.chat, tokens, capacity);
    }

    fn store(&mut self, chat: &str, tokens: u32, capacity: usize) {
        if self.cache.insert(chat.to_owned(), tokens).is_some() {
            self.cache_order.retain(|known| known != chat);
        }
        self.cache_order.push_back(chat.to_owned());
        if self.cache_order.len() > capacity
            && let Some(oldest) = self.cache_order.pop_front()
        {
            self.cache.remove(&oldest);
        }
    }
}

/// A request that waits for a place in the batch.
struct WaitingTicket {
    shared: Arc<Shared>,
    ticket: (u8, u64),
    prompt_tokens: u32,
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.waiting.remove(&self.ticket);
        state.queued_prompt_tokens -= u64::from(self.prompt_tokens);
        drop(state);
        self.shared.slot_freed.notify_waiters();
    }
}

/// A place in the batch.
struct RunningSlot {
    shared: Arc<Shared>,
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
        self.shared.slot_freed.notify_waiters();
    }
}

/// Does what goes wrong in the middle of a stream; false if the stream is over.
async fn go_wrong(faults: &StreamFaults, chat: &ChatRequest, frames: &Frames) -> bool {
    if let Some(stall) = faults.stall {
        tokio::time::sleep(stall).await;
    }
    if faults.crossed_piece {
        let piece = chunk(
            "another-attempt",
            chat,
            Some(String::from("foreign ")),
            None,
        );
        if !send_event(frames, &piece).await {
            return false;
        }
    }
    if faults.cut {
        let error = std::io::Error::other("cut by the stand-in");
        drop(frames.send(Err(error)).await);
    }
    !faults.cut
}

async fn read_chat(request: Request<Incoming>) -> Result<ChatRequest, FakeResponse> {
    let headers = request.headers().clone();
    let body = read_bytes(request).await?;
    let value: serde_json::Value = serde_json::from_slice(&body)
        .map_err(|error| with_status(StatusCode::BAD_REQUEST, error.to_string()))?;
    let text_bytes: usize = value["messages"].as_array().map_or(0, |messages| {
        messages
            .iter()
            .map(|m| m["content"].as_str().map_or(0, str::len))
            .sum()
    });
    let max_tokens = value["max_tokens"].as_u64().map(|tokens| tokens as u32);
    Ok(ChatRequest {
        attempt: text(&headers, ATTEMPT_HEADER),
        chat: text(&headers, CHAT_HEADER),
        priority: text(&headers, PRIORITY_HEADER).parse().unwrap_or(u8::MAX),
        resume_tokens: text(&headers, RESUME_HEADER).parse().unwrap_or(0),
        model: value["model"].as_str().unwrap_or_default().to_owned(),
        prompt_tokens: text_bytes.div_ceil(BYTES_PER_TOKEN) as u32,
        answer_tokens: max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
        answer_tag: answer_tag(&value["messages"]),
        import_from: text(&headers, IMPORT_HEADER).parse().ok(),
        messages_hash: messages_hash(&value["messages"]),
        messages: value["messages"].to_string(),
    })
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn chunk(attempt: &str, chat: &ChatRequest, text: Option<String>, usage: Option<Usage>) -> Chunk {
    Chunk {
        id: attempt.to_owned(),
        object: String::from("chat.completion.chunk"),
        model: chat.model.clone(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { content: text },
            finish_reason: usage.map(|_| String::from("stop")),
        }],
        usage,
    }
}

async fn send_event(frames: &Frames, chunk: &Chunk) -> bool {
    let Ok(text) = serde_json::to_string(chunk) else {
        return false;
    };
    frames
        .send(Ok(Frame::data(Bytes::from(format!("data: {text}\n\n")))))
        .await
        .is_ok()
}
