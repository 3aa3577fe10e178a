//! The endpoint answers arbitrary input either by running the request or by a typed refusal.

mod common;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use common::CONTRACT;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sapphiretrack_caller::{
    Answer, BufferedAnswer, CallerHandlers, CallerRequest, CallerServer, EntryReply, RequestGuard,
    Settings,
};
use sapphiretrack_core::{Contract, Refusal, RefusalCode, parse_contract};
use tokio::runtime::Runtime;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Endpoint {
    runtime: Runtime,
    url: String,
    http: HttpClient,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
    _server: CallerServer,
}

impl Endpoint {
    fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let requests: Arc<Mutex<Vec<CallerRequest>>> = Arc::default();
        let contract: Arc<Contract> = Arc::new(parse_contract(CONTRACT).expect("a contract"));
        let recorded = requests.clone();
        let handlers = CallerHandlers {
            authenticate: Arc::new(move |key| {
                let known = (key == "good").then(|| contract.clone());
                known.ok_or_else(|| Refusal::not_run(RefusalCode::BadKey, "no such key"))
            }),
            entry: Arc::new(|_| EntryReply {
                addresses: Vec::new(),
                ttl_ms: 1,
            }),
            is_stopping: Arc::new(|| false),
            track_request: Arc::new(|| RequestGuard::new(())),
            run: Arc::new(move |request| {
                recorded.lock().expect("no panic").push(request);
                Box::pin(async {
                    Answer::Buffered(BufferedAnswer {
                        status: 200,
                        content_type: String::from("text/plain"),
                        body: Bytes::from_static(b"ran"),
                        warm: None,
                    })
                })
            }),
            on_refusal: Arc::new(|_| {}),
        };
        let _guard = runtime.enter();
        let settings = Settings {
            max_body_bytes: 10_000,
            ..Settings::default()
        };
        let server = CallerServer::start(&settings, handlers).expect("the endpoint starts");
        Self {
            url: format!("http://{}", server.local_address()),
            http: Client::builder(TokioExecutor::new()).build_http(),
            requests,
            _server: server,
            runtime: {
                drop(_guard);
                runtime
            },
        }
    }

    /// Sends a request; returns the status, the outcome and the body.
    fn send(&self, request: http::Request<Full<Bytes>>) -> (u16, String, Bytes) {
        self.runtime.block_on(async {
            let response = self.http.request(request).await.expect("an answer");
            let status = response.status().as_u16();
            let outcome = response.headers().get("sapphiretrack-outcome");
            let outcome = outcome.and_then(|value| value.to_str().ok());
            let outcome = outcome.unwrap_or_default().to_owned();
            let body = response
                .into_body()
                .collect()
                .await
                .expect("a complete body");
            (status, outcome, body.to_bytes())
        })
    }

    fn take_requests(&self) -> Vec<CallerRequest> {
        std::mem::take(&mut *self.requests.lock().expect("no panic"))
    }

    /// Sends a request and checks that it either ran or got a typed refusal, and not both.
    fn check(&self, request: http::Request<Full<Bytes>>) -> Result<(), TestCaseError> {
        let (status, outcome, body) = self.send(request);
        let ran = self.take_requests().len();
        match ran {
            1 => prop_assert_eq!((status, outcome.as_str()), (200, "complete")),
            _ => {
                prop_assert_eq!((ran, outcome.as_str()), (0, "not-run"));
                let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
                prop_assert!(body["error"]["code"].is_string(), "{body}");
                prop_assert!((400..500).contains(&status));
            }
        }
        Ok(())
    }
}

fn chat_request(endpoint: &Endpoint) -> http::request::Builder {
    http::Request::post(format!("{}/v1/chat/completions", endpoint.url))
        .header("authorization", "Bearer good")
}

#[test]
fn arbitrary_bodies_headers_and_paths_run_or_get_a_typed_refusal() {
    let endpoint = Endpoint::start();
    let config = ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::with_cases(300)
    };
    let valid = br#"{"model":"assistant","messages":[{"role":"user","content":"x"}]}"#;
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    let changed_byte = (0..valid.len(), any::<u8>());
    runner
        .run(&changed_byte, |(at, byte)| {
            let mut body = valid.to_vec();
            body[at] = byte;
            let body = Full::new(Bytes::from(body));
            endpoint.check(chat_request(&endpoint).body(body).expect("a request"))
        })
        .expect("bodies with a changed byte");
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    let any_bytes = prop::collection::vec(any::<u8>(), 0..300);
    runner
        .run(&any_bytes, |body| {
            let body = Full::new(Bytes::from(body));
            endpoint.check(chat_request(&endpoint).body(body).expect("a request"))
        })
        .expect("any bodies");
    let names = prop::sample::select(vec![
        "authorization",
        "sapphiretrack-workspace",
        "sapphiretrack-chat",
        "sapphiretrack-class",
        "sapphiretrack-warm",
        "idempotency-key",
    ]);
    let value = prop::collection::vec(0x20..=0xff_u8, 0..300);
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    runner
        .run(&(names, value), |(name, value)| {
            let Ok(value) = http::HeaderValue::from_bytes(&value) else {
                return Ok(());
            };
            let body = Full::new(Bytes::from_static(valid));
            let mut request = chat_request(&endpoint).body(body).expect("a request");
            request.headers_mut().insert(name, value);
            endpoint.check(request)
        })
        .expect("any headers");
    let mut runner = proptest::test_runner::TestRunner::new(config);
    runner
        .run(&"[!-~]{0,40}|([.%2eE/]|%2[eE]){1,12}", |rest| {
            let url = format!("{}/v1/services/plant/a{rest}", endpoint.url);
            let request = http::Request::get(url).header("authorization", "Bearer good");
            let Ok(request) = request.body(Full::default()) else {
                return Ok(());
            };
            endpoint.check(request)
        })
        .expect("any paths");
}
