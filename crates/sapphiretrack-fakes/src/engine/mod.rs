//! The stand-in model engine: batching slots, a queue by priority, a bounded prefix cache.

mod generation;
mod request;
mod settings;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use sapphiretrack_backend::wire::{
    ATTEMPT_HEADER, EXPORT_PATH, LEAVING_HEADER, NOT_STARTED_HEADER,
};
use sapphiretrack_core::LoadReport;
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;

pub use settings::{EngineFaults, EngineSettings};

use request::read_chat;
use state::Shared;

use crate::http_server::{FakeFuture, FakeResponse, RunCount, json, read_json, serve, with_status};
use crate::kv::ExportedPrefix;
use crate::orders::{ArrivedOrder, OrderBook, answer_order};

/// The stand-in engine; clones are the same one.
#[derive(Clone)]
pub struct FakeEngine {
    address: SocketAddr,
    shared: Arc<Shared>,
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
