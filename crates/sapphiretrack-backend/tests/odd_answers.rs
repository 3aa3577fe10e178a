//! Answers of backend servers that are none in the protocol fail the attempt, on new and on kept connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::Method;
use sapphiretrack_backend::{BackendClient, ServiceAttempt, Settings};
use sapphiretrack_core::AttemptId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SOUND: &str = "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 5\r\n\r\nsound";

/// Odd answers; `ID` stands for the line with the attempt's id.
const ODD: [&str; 11] = [
    "HTTP/1.1 000 X\r\nID\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 099 X\r\nID\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 600 X\r\nID\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 999 X\r\nID\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 200 OK\r\nID\r\n\nX-Odd: v\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 3\r\n\nX-Odd: v\r\n\r\nodd",
    "HTTP/1.1 200 OK\r\nID\r\nX Odd: v\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 200 OK\r\nID\r\nX-Odd\x01: v\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 200 HTTP/1.1 200 OK\r\nID\r\nContent-Length: 3\r\n\r\nodd",
    "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 4\r\n\r\nodd",
    "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n",
];

/// The answer to the next requests.
type Next = Arc<Mutex<&'static str>>;

async fn serve(mut stream: TcpStream, next: Next) {
    let mut seen = Vec::new();
    let mut chunk = [0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut chunk).await {
        seen.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&seen).into_owned();
        if !text.ends_with("the body") {
            continue;
        }
        seen.clear();
        let mut lines = text.lines();
        let id = lines.find(|line| line.to_ascii_lowercase().starts_with("x-attempt"));
        let answer = *next.lock().expect("not poisoned");
        let answer = answer.replace("ID", id.expect("a line with the id"));
        let is_sound = answer.ends_with("sound");
        if stream.write_all(answer.as_bytes()).await.is_err() || !is_sound {
            return;
        }
    }
}

async fn start() -> (SocketAddr, Next) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let next: Next = Arc::new(Mutex::new(SOUND));
    let served = next.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, served.clone()));
        }
    });
    (address, next)
}

/// Guards against callers that get the answers of servers in trouble.
#[tokio::test]
async fn odd_answers_fail_the_attempt() {
    let (address, next) = start().await;
    let client = BackendClient::new(Settings::default());
    let ask = async |number: u64| {
        let attempt = ServiceAttempt {
            id: AttemptId(u128::from(number)),
            method: Method::POST,
            path: "/a",
            content_type: None,
            body: Bytes::from_static(b"the body"),
            deadline_ms: 1_000,
        };
        client.service(address, &attempt).await
    };
    for (number, odd) in (1_u64..).zip(ODD) {
        *next.lock().expect("not poisoned") = SOUND;
        for _ in 0..2 {
            let reply = ask(number).await.expect("a sound answer");
            assert_eq!((reply.status, &reply.body[..]), (200, &b"sound"[..]));
        }
        *next.lock().expect("not poisoned") = odd;
        let reply = ask(number).await;
        assert!(reply.is_err(), "{odd:?}: {reply:?}");
    }
}
