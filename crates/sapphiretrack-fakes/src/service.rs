//! The stand-in plain service: it counts the runs of each order.

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
    FakeFuture, FakeResponse, RunCount, cut, json, read_bytes, read_json, serve, take, with_status,
};

/// How the stand-in behaves without faults.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name, which answers carry.
    pub name: String,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// How long a call takes.
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

/// The faults of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// So many of the next calls are refused before they start.
    pub refuse: u32,
    /// So many of the next calls run and their replies are lost.
    pub lose_replies: u32,
    /// So many of the next replies carry another attempt's id.
    pub crossed: u32,
    /// Calls, and reports, wait until this is taken back.
    pub frozen: bool,
    /// The service says that it is leaving.
    pub leaving: bool,
    /// So many of the next calls run and are answered late.
    pub late_replies: u32,
    /// How late.
    pub late_ms: u64,
}

/// The stand-in plain service; clones are the same one.
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
    /// Starts the stand-in.
    pub async fn start(settings: ServiceSettings) -> std::io::Result<Self> {
        let mut service = Self {
            address: settings.address,
            settings,
            state: Arc::default(),
        };
        let handler = service.clone();
        service.address = serve(service.address, move |request| {
            let service = handler.clone();
            Box::pin(async move { service.answer(request).await }) as FakeFuture
        })
        .await?;
        Ok(service)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// How often each order ran.
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

    async fn answer(&self, request: Request<Incoming>) -> FakeResponse {
        match request.uri().path() {
            "/fake/faults" => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json(&())
                }
                Err(response) => response,
            },
            "/fake/runs" => json(&self.runs()),
            "/load" => {
                self.wait_unfrozen().await;
                let state = self.lock();
                json(&LoadReport {
                    incarnation: self.settings.incarnation,
                    running: state.running,
                    leaving: state.faults.leaving,
                    ..LoadReport::default()
                })
            }
            _ => self.run(request).await.unwrap_or_else(|response| response),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
        let line = format!("{} {}", request.method(), request.uri());
        let body = read_bytes(request).await?;
        let order = format!("{line} {}", String::from_utf8_lossy(&body));
        self.wait_unfrozen().await;
        if take(&mut self.lock().faults.refuse) {
            let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, "{}");
            let yes = http::HeaderValue::from_static("true");
            response.headers_mut().insert(NOT_STARTED_HEADER, yes);
            if let Some(echoed) = self.echoed(attempt) {
                response.headers_mut().insert(ATTEMPT_HEADER, echoed);
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
        let late_ms = self.take_late_ms();
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        self.lock().running -= 1;
        if take(&mut self.lock().faults.lose_replies) {
            return Ok(cut());
        }
        let answer = serde_json::json!({
            "server": self.settings.name,
            "order": order,
            "run": runs,
        });
        let mut response = json(&answer);
        if let Some(echoed) = self.echoed(attempt) {
            response.headers_mut().insert(ATTEMPT_HEADER, echoed);
        }
        Ok(response)
    }

    /// The attempt id that a reply carries.
    fn echoed(&self, attempt: Option<http::HeaderValue>) -> Option<http::HeaderValue> {
        if take(&mut self.lock().faults.crossed) {
            return Some(http::HeaderValue::from_static("another-attempt"));
        }
        attempt
    }

    fn take_late_ms(&self) -> u64 {
        let faults = &mut self.lock().faults;
        if take(&mut faults.late_replies) {
            faults.late_ms
        } else {
            0
        }
    }

    async fn wait_unfrozen(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().faults.frozen {
            tokio::time::sleep(POLL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
