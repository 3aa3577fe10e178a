//! What comes over a raw socket and is refused: by the router, or by the HTTP library before it.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use common::CONTRACT;
use sapphiretrack_caller::{
    Answer, CallerHandlers, CallerServer, EntryReply, RequestToken, Settings, WholeAnswer,
};
use sapphiretrack_core::{Contract, Refusal, RefusalCode, parse_contract};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Who refuses, and with what.
#[derive(Clone, Copy)]
enum By {
    /// The router: outcome header, and the typed error with this code.
    Router(&'static str),
    /// The HTTP library, without the outcome header: what came is no HTTP request.
    Library,
}

use By::{Library, Router};

/// First line and further headers, body, status and who refuses.
const TABLE: &[(&str, &str, u16, By)] = &[
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

/// Serves callers; counts the runs.
fn start() -> (CallerServer, Arc<AtomicU32>) {
    let ran = Arc::new(AtomicU32::new(0));
    let runs = ran.clone();
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
        begin: Arc::new(|| RequestToken::new(())),
        run: Arc::new(move |_| {
            runs.fetch_add(1, Ordering::Relaxed);
            Box::pin(async {
                Answer::Whole(WholeAnswer {
                    status: 200,
                    content_type: String::from("text/plain"),
                    body: Bytes::from_static(b"ran"),
                    warm: None,
                })
            })
        }),
        is_stopping: Arc::new(|| false),
        refused: Arc::new(|_| {}),
    };
    let settings = Settings {
        max_body_bytes: 10_000,
        ..Settings::default()
    };
    let server = CallerServer::start(&settings, handlers).expect("it starts");
    (server, ran)
}

/// Sends bytes and no more, and reads to the end.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("is sent");
    stream.shutdown().await.expect("no more is sent");
    let mut answer = Vec::new();
    // A connection that is reset after the answer has given the answer.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

fn check(what: &str, answer: &str, status: u16, by: By) {
    let says = format!("{what:?} is answered {answer:?}");
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{says}");
    let has_outcome = answer.contains("\r\nsapphiretrack-outcome: not-run\r\n");
    match by {
        Router(code) => {
            assert!(has_outcome, "{says}");
            assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{says}");
        }
        Library => assert!(!has_outcome, "mended: {says}"),
    }
}

#[tokio::test]
async fn each_refusal_is_what_the_table_says_and_nothing_runs() {
    let (server, ran) = start();
    let address = server.local_address();
    for (head, body, status, by) in TABLE {
        let text = format!("{head}\r\nhost: x\r\nauthorization: Bearer good\r\n\r\n{body}");
        check(
            head,
            &exchange(address, text.as_bytes()).await,
            *status,
            *by,
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
    // The body of an answer to HEAD is left out, so there is only the outcome to see.
    let head = "HEAD /v1/services/plant/a HTTP/1.1\r\nhost: x\r\n\r\n";
    let answer = exchange(address, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer:?}");
    assert!(
        answer.contains("sapphiretrack-outcome: not-run"),
        "{answer:?}"
    );
    assert_eq!(ran.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn any_query_is_the_services_own() {
    let (server, ran) = start();
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
    assert_eq!(ran.load(Ordering::Relaxed), 5);
}
