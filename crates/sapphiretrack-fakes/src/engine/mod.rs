//! Fake model engine with batch slots, a priority queue and a bounded prefix cache.

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
    ATTEMPT_HEADER, EXPORT_PATH, LEAVING_HEADER, NOT_STARTED_HEADER, SOFTWARE_HEADER,
};
use sapphiretrack_core::LoadReport;
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;

pub use settings::{EngineFaults, EngineSettings};

use request::read_chat;
use state::Shared;

use crate::http_server::{
    FakeFuture, FakeResponse, RunCount, json_response, read_json, serve, status_response,
};
use crate::kv::ExportedPrefix;
use crate::orders::{OrderHandler, ReceivedOrder, answer_order};

/// Handle of a fake engine; clones share its state.
#[derive(Clone)]
pub struct FakeEngine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEngine {
    /// Starts the fake.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        let address = settings.address;
        let orders = OrderHandler::new(
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
            Box::pin(async move { engine.handle(request).await }) as FakeFuture
        })
        .await?;
        Ok(engine)
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Number of accepted requests, queued ones included.
    pub fn started_requests(&self) -> u64 {
        self.shared.lock().started_requests
    }

    /// Hashes of the messages of all accepted requests, as 16 hexadecimal digits.
    pub fn started_chats(&self) -> Vec<String> {
        let state = self.shared.lock();
        let hashes = state.started_chats.iter();
        hashes.map(|hash| format!("{hash:016x}")).collect()
    }

    /// All orders in the sequence in which they were received, rejected ones included.
    pub fn received_orders(&self) -> Vec<ReceivedOrder> {
        self.shared.lock_orders().received().to_vec()
    }

    /// Number of executions of each accepted request, identified by its messages. Counting stops
    /// at 100 000 different requests.
    pub fn runs(&self) -> Vec<RunCount> {
        let state = self.shared.lock();
        let runs = state.runs.iter();
        runs.map(|(order, runs)| RunCount {
            order: order.clone(),
            runs: *runs,
        })
        .collect()
    }

    /// Current load.
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

    async fn handle(&self, request: Request<Incoming>) -> FakeResponse {
        match request.uri().path() {
            "/fake/faults" => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json_response(&())
                }
                Err(response) => response,
            },
            "/fake/orders" => json_response(&self.received_orders()),
            "/state" => {
                self.shared.wait_while_frozen().await;
                json_response(&self.shared.lock_orders().state())
            }
            "/orders" => {
                self.shared.wait_while_frozen().await;
                answer_order(request, |order| self.shared.lock_orders().handle(order)).await
            }
            "/fake/started-chats" => json_response(&self.started_chats()),
            "/fake/runs" => json_response(&self.runs()),
            "/fake/started" => json_response(&self.started_requests()),
            "/load" => {
                self.shared.wait_while_frozen().await;
                json_response(&self.load())
            }
            "/v1/chat/completions" => match self.handle_chat(request).await {
                Ok(response) | Err(response) => response,
            },
            path => match path.strip_prefix(EXPORT_PATH) {
                Some(chat) => self.export_cached_prefix(chat),
                None => status_response(StatusCode::NOT_FOUND, "{}"),
            },
        }
    }

    fn export_cached_prefix(&self, chat: &str) -> FakeResponse {
        match self.shared.lock().cache.get(chat) {
            Some(tokens) => json_response(&ExportedPrefix { tokens: *tokens }),
            None => status_response(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn handle_chat(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let chat = read_chat(request).await?;
        let software = self.shared.lock().faults.software_version.clone();
        let runs_required = chat.required_software.is_empty() || chat.required_software == software;
        if !runs_required || !self.shared.admit(&chat) {
            let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE, "{}");
            let header_true = http::HeaderValue::from_static("true");
            if self.shared.lock().faults.refuse_as_leaving {
                response
                    .headers_mut()
                    .insert(LEAVING_HEADER, header_true.clone());
            }
            response
                .headers_mut()
                .insert(NOT_STARTED_HEADER, header_true);
            if let Ok(attempt) = http::HeaderValue::from_str(&chat.attempt) {
                response.headers_mut().insert(ATTEMPT_HEADER, attempt);
            }
            return Err(response);
        }
        let reply_attempt = self.shared.reply_attempt(&chat.attempt);
        let attempt_header = http::HeaderValue::from_str(&reply_attempt)
            .map_err(|error| status_response(StatusCode::BAD_REQUEST, error.to_string()))?;
        let (frames, receiver) = mpsc::channel(4);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            // The receiver is dropped when the router cancels the request, which ends generation.
            let cancelled = frames.clone();
            tokio::select! {
                () = shared.generate(&chat, &reply_attempt, frames) => {}
                () = cancelled.closed() => {}
            }
        });
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(
            receiver,
        ))));
        let headers = response.headers_mut();
        headers.insert(ATTEMPT_HEADER, attempt_header);
        if let Ok(software) = http::HeaderValue::from_str(&software)
            && !software.is_empty()
        {
            headers.insert(SOFTWARE_HEADER, software);
        }
        let content_type = http::HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, content_type);
        Ok(response)
    }
}
