//! Fake plain service that counts the executions of each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use sapphiretrack_backend::wire::{ATTEMPT_HEADER, NOT_STARTED_HEADER};
use sapphiretrack_core::{Incarnation, LoadReport};
use serde::{Deserialize, Serialize};

use crate::http_server::{
    FakeFuture, FakeResponse, RunCount, aborted_response, json_response, read_bytes, read_json,
    serve, status_response, take_one,
};

/// Behaviour of the fake without faults.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Name that its answers contain.
    pub name: String,
    /// Incarnation that it reports.
    pub incarnation: Incarnation,
    /// Duration of a call in milliseconds.
    pub work_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: String::from("plant-1"),
            incarnation: 1,
            work_ms: 2,
        }
    }
}

/// Injected faults of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of next calls that are rejected before they are executed.
    pub refuse: u32,
    /// Number of next calls that are executed but whose replies are lost.
    pub lose_replies: u32,
    /// Number of next replies that carry the id of another attempt.
    pub crossed: u32,
    /// Calls and load reports wait until this is cleared.
    pub frozen: bool,
    /// The service reports that it is about to stop.
    pub leaving: bool,
    /// Number of next calls that are executed and answered late.
    pub late_replies: u32,
    /// Delay of late answers in milliseconds.
    pub late_ms: u64,
    /// HTTP status of the answers to calls that are executed; 0 for 200.
    pub answer_status: u16,
}

/// Handle of a fake plain service; clones share its state.
#[derive(Clone)]
pub struct FakeService {
    address: SocketAddr,
    settings: ServiceSettings,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    runs: BTreeMap<String, u32>,
    running: u32,
}

impl FakeService {
    /// Starts the fake.
    pub async fn start(settings: ServiceSettings) -> std::io::Result<Self> {
        let mut service = Self {
            address: settings.address,
            settings,
            state: Arc::default(),
        };
        let handler = service.clone();
        service.address = serve(service.address, move |request| {
            let service = handler.clone();
            Box::pin(async move { service.handle(request).await }) as FakeFuture
        })
        .await?;
        Ok(service)
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// Number of executions of each request.
    pub fn runs(&self) -> Vec<RunCount> {
        let state = self.lock();
        state
            .runs
            .iter()
            .map(|(order, runs)| RunCount {
                order: order.clone(),
                runs: *runs,
            })
            .collect()
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
            "/fake/runs" => json_response(&self.runs()),
            "/load" => {
                self.wait_while_frozen().await;
                let state = self.lock();
                json_response(&LoadReport {
                    incarnation: self.settings.incarnation,
                    running: state.running,
                    leaving: state.faults.leaving,
                    ..LoadReport::default()
                })
            }
            _ => self
                .execute(request)
                .await
                .unwrap_or_else(|response| response),
        }
    }

    async fn execute(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
        let request_line = format!("{} {}", request.method(), request.uri());
        let body = read_bytes(request).await?;
        let order = format!("{request_line} {}", String::from_utf8_lossy(&body));
        self.wait_while_frozen().await;
        if take_one(&mut self.lock().faults.refuse) {
            let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE, "{}");
            let header_true = http::HeaderValue::from_static("true");
            response
                .headers_mut()
                .insert(NOT_STARTED_HEADER, header_true);
            if let Some(attempt) = self.reply_attempt(attempt) {
                response.headers_mut().insert(ATTEMPT_HEADER, attempt);
            }
            return Ok(response);
        }
        let runs = {
            let mut state = self.lock();
            state.running += 1;
            let runs = state.runs.entry(order.clone()).or_default();
            *runs += 1;
            *runs
        };
        tokio::time::sleep(Duration::from_millis(self.settings.work_ms)).await;
        let reply_delay_ms = self.take_reply_delay_ms();
        tokio::time::sleep(Duration::from_millis(reply_delay_ms)).await;
        self.lock().running -= 1;
        if take_one(&mut self.lock().faults.lose_replies) {
            return Ok(aborted_response());
        }
        let answer = serde_json::json!({
            "server": self.settings.name,
            "order": order,
            "run": runs,
        });
        let mut response = json_response(&answer);
        if let Ok(status) = StatusCode::from_u16(self.lock().faults.answer_status) {
            *response.status_mut() = status;
        }
        if let Some(attempt) = self.reply_attempt(attempt) {
            response.headers_mut().insert(ATTEMPT_HEADER, attempt);
        }
        Ok(response)
    }

    /// The attempt id that a reply carries: that of the request, unless a fault replaces it.
    fn reply_attempt(&self, attempt: Option<http::HeaderValue>) -> Option<http::HeaderValue> {
        if take_one(&mut self.lock().faults.crossed) {
            return Some(http::HeaderValue::from_static("another-attempt"));
        }
        attempt
    }

    fn take_reply_delay_ms(&self) -> u64 {
        let faults = &mut self.lock().faults;
        if take_one(&mut faults.late_replies) {
            faults.late_ms
        } else {
            0
        }
    }

    async fn wait_while_frozen(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().faults.frozen {
            tokio::time::sleep(POLL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
