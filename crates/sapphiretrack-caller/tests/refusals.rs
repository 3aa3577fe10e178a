//! Invalid requests over a raw socket are refused by the router, or before it by the HTTP library.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use common::CONTRACT;
use sapphiretrack_caller::{
    Answer, BufferedAnswer, CallerHandlers, CallerServer, EntryReply, RequestGuard, Settings,
};
use sapphiretrack_core::{Contract, Refusal, RefusalCode, parse_contract};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Which layer refuses a request, and how.
#[derive(Clone, Copy)]
enum Refuser {
    /// The router: with the outcome header and a typed error with this code.
    Router(&'static str),
    /// The HTTP library, without the outcome header: the input is not a valid HTTP request.
    Library,
}

use Refuser::{Library, Router};

/// Request line and extra headers, body, expected status, and the layer that refuses.
const REFUSALS: &[(&str, &str, u16, Refuser)] = &[
    ("GET /nowhere HTTP/1.1", "", 404, Router("unknown_path")),
    ("DELETE /v1/entry HTTP/1.1", "", 404, Router("unknown_path")),
    (
        "GET /v1/services/plant/a//b HTTP/1.1",
        "",
        400,
        Router("bad_path"),
    ),
    (
        "GET /v1/services/plant/a%2fb HTTP/1.1",
        "",
        400,
        Router("bad_path"),
    ),
    (
        "GET /v1/services/plant/a;b HTTP/1.1",
        "",
        400,
        Router("bad_path"),
    ),
    (
        "GET /v1/services/other/a HTTP/1.1",
        "",
        404,
        Router("unknown_model"),
    ),
    (
        "GET /v1/services/plant/a HTTP/1.1\r\nsapphiretrack-class: x",
        "",
        404,
        Router("unknown_class"),
    ),
    (
        "GET /v1/services/plant/a HTTP/1.1\r\nsapphiretrack-workspace: \u{e9}",
        "",
        400,
        Router("bad_header"),
    ),
    (
        "POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 1",
        "x",
        400,
        Router("malformed_body"),
    ),
    (
        "POST /v1/chat/completions HTTP/1.1\r\ntransfer-encoding: chunked",
        "zz\r\n",
        400,
        Router("malformed_body"),
    ),
    (
        "GET /v1/services/plant/./a HTTP/1.1",
        "",
        400,
        Router("bad_path"),
    ),
    (
        "GET /v1/services/plant/../a HTTP/1.1",
        "",
        400,
        Router("bad_path"),
    ),
    ("GET /../v1/entry HTTP/1.1", "", 404, Router("unknown_path")),
    ("OPTIONS * HTTP/1.1", "", 404, Router("unknown_path")),
    (
        "GET /v1/services/plant/%2e%2e/a HTTP/1.1",
        "",
        400,
        Router("bad_path"),
    ),
    (
        "OPTIONS /v1/services/plant/a HTTP/1.1",
        "",
        404,
        Router("unknown_path"),
    ),
    (
        "BREW /v1/services/plant/a HTTP/1.1",
        "",
        404,
        Router("unknown_path"),
    ),
    ("GET /v1/services/plant/a b HTTP/1.1", "", 400, Library),
    ("GET /v1/services/plant/a HTTP/9.9", "", 400, Library),
    (
        "GET /v1/services/plant/a HTTP/1.1\r\nno colon",
        "",
        400,
        Library,
    ),
    (
        "GET /v1/services/plant/a HTTP/1.1\r\ncontent-length: x",
        "",
        400,
        Library,
    ),
];

/// Starts an endpoint; returns it with a counter of the requests that ran.
fn start() -> (CallerServer, Arc<AtomicU32>) {
    let run_count = Arc::new(AtomicU32::new(0));
    let counter = run_count.clone();
    let contract: Arc<Contract> = Arc::new(parse_contract(CONTRACT).expect("a contract"));
    let handlers = CallerHandlers {
        authenticate: Arc::new(move |key| {
            let known = (key == "good").then(|| contract.clone());
            known.ok_or_else(|| Refusal::not_run(RefusalCode::BadKey, "no such key"))
        }),
        entry: Arc::new(|_| EntryReply {
            addresses: Vec::new(),
            ttl_ms: 1,
        }),
        track_request: Arc::new(|| RequestGuard::new(())),
        run: Arc::new(move |_| {
            counter.fetch_add(1, Ordering::Relaxed);
            Box::pin(async {
                Answer::Buffered(BufferedAnswer {
                    status: 200,
                    content_type: String::from("text/plain"),
                    body: Bytes::from_static(b"ran"),
                    warm: None,
                })
            })
        }),
        is_stopping: Arc::new(|| false),
        on_refusal: Arc::new(|_| {}),
    };
    let settings = Settings {
        max_body_bytes: 10_000,
        ..Settings::default()
    };
    let server = CallerServer::start(&settings, handlers).expect("the endpoint starts");
    (server, run_count)
}

/// Sends `bytes`, closes the sending side and reads the answer to its end.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("the request is sent");
    stream.shutdown().await.expect("the sending side is closed");
    let mut answer = Vec::new();
    // The connection may be reset after the answer was received.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

fn check(case: &str, answer: &str, status: u16, refuser: Refuser) {
    let context = format!("{case:?} is answered {answer:?}");
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{context}"
    );
    let has_outcome = answer.contains("\r\nsapphiretrack-outcome: not-run\r\n");
    match refuser {
        Router(code) => {
            assert!(has_outcome, "{context}");
            assert!(
                answer.contains(&format!("\"code\":\"{code}\"")),
                "{context}"
            );
        }
        Library => assert!(!has_outcome, "the router refused it: {context}"),
    }
}

#[tokio::test]
async fn invalid_requests_get_the_expected_refusal_and_do_not_run() {
    let (server, run_count) = start();
    let address = server.local_address();
    for (head, body, status, refuser) in REFUSALS {
        let text = format!("{head}\r\nhost: x\r\nauthorization: Bearer good\r\n\r\n{body}");
        check(
            head,
            &exchange(address, text.as_bytes()).await,
            *status,
            *refuser,
        );
    }
    let no_key = "GET /v1/services/plant/a HTTP/1.1\r\nhost: x\r\n\r\n";
    check(
        "no key",
        &exchange(address, no_key.as_bytes()).await,
        401,
        Router("bad_key"),
    );
    let body = "x".repeat(20_000);
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer good\r\n\
         content-length: 20000\r\n\r\n{body}"
    );
    let answer = exchange(address, text.as_bytes()).await;
    check("a long body", &answer, 413, Router("body_too_large"));
    let long = "x".repeat(70_000);
    let line = format!("GET /v1/services/plant/{long} HTTP/1.1\r\nhost: x\r\n\r\n");
    check(
        "a long path",
        &exchange(address, line.as_bytes()).await,
        414,
        Library,
    );
    let many: String = (0..200).map(|index| format!("h{index}: x\r\n")).collect();
    let head = format!("GET /v1/services/plant/a HTTP/1.1\r\nhost: x\r\n{many}\r\n");
    check(
        "many headers",
        &exchange(address, head.as_bytes()).await,
        431,
        Library,
    );
    // An answer to HEAD has no body, so that only the outcome header can be checked.
    let head = "HEAD /v1/services/plant/a HTTP/1.1\r\nhost: x\r\n\r\n";
    let answer = exchange(address, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer:?}");
    assert!(
        answer.contains("sapphiretrack-outcome: not-run"),
        "{answer:?}"
    );
    assert_eq!(run_count.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn any_query_is_passed_to_the_service() {
    let (server, run_count) = start();
    for query in ["", "?", "?x=%zz", "?a=../b", "?x=%ff&&="] {
        let text = format!(
            "GET /v1/services/plant/a{query} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer good\r\n\r\n"
        );
        let answer = exchange(server.local_address(), text.as_bytes()).await;
        assert!(
            answer.contains("sapphiretrack-outcome: complete"),
            "{query}: {answer}"
        );
    }
    assert_eq!(run_count.load(Ordering::Relaxed), 5);
}
