//! The endpoint answers all requests that were sent to it before it closes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sapphiretrack_caller::{
    Answer, CallerHandlers, CallerServer, EntryReply, RequestGuard, Settings,
};
use sapphiretrack_core::{Refusal, RefusalCode};
use tokio::runtime::{Builder, Runtime};

const HEALTH_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: router\r\n\r\n";

/// A single-threaded runtime, which makes progress only inside `block_on`.
fn runtime() -> Runtime {
    let built = Builder::new_current_thread().enable_all().build();
    built.expect("a runtime")
}

fn start(runtime: &Runtime, stopping: &Arc<AtomicBool>) -> CallerServer {
    let stopping = stopping.clone();
    let handlers = CallerHandlers {
        authenticate: Arc::new(|_| Err(Refusal::not_run(RefusalCode::BadKey, "no such key"))),
        entry: Arc::new(|_| EntryReply {
            addresses: Vec::new(),
            ttl_ms: 1,
        }),
        is_stopping: Arc::new(move || stopping.load(Ordering::Relaxed)),
        track_request: Arc::new(|| RequestGuard::new(())),
        run: Arc::new(|_| {
            let refusal = Refusal::not_run(RefusalCode::NoServer, "no server is configured");
            Box::pin(async { Answer::Refused(refusal) })
        }),
        on_refusal: Arc::new(|_| {}),
    };
    let _guard = runtime.enter();
    CallerServer::start(&Settings::default(), handlers).expect("the endpoint starts")
}

fn send(address: SocketAddr, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(request).expect("the request is sent");
    stream
}

/// Reads until the connection is closed; a reset is an error.
fn read_to_close(mut stream: TcpStream) -> std::io::Result<String> {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map(|_| answer)
}

#[test]
fn unread_requests_are_answered_when_the_endpoint_closes() {
    let runtime = runtime();
    let server = start(&runtime, &Arc::default());
    // The runtime is not running, so the connections and their requests exist only in the kernel.
    let streams: Vec<TcpStream> = (0..16)
        .map(|_| send(server.local_address(), HEALTH_REQUEST))
        .collect();
    runtime.block_on(server.close());
    for stream in streams {
        let answer = read_to_close(stream).expect("no reset");
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer:?}");
        assert!(answer.ends_with("{\"ok\":true}"), "{answer:?}");
    }
}

#[test]
fn a_stopping_router_tells_callers_to_close_their_connections() {
    let runtime = runtime();
    let stopping = Arc::new(AtomicBool::new(false));
    let server = start(&runtime, &stopping);
    let address = server.local_address();
    let first = std::thread::spawn(move || {
        let mut stream = send(address, HEALTH_REQUEST);
        let mut answer = [0; 1_024];
        let length = stream.read(&mut answer).expect("an answer");
        (
            String::from_utf8_lossy(&answer[..length]).into_owned(),
            stream,
        )
    });
    let wait_for_first = || async {
        while !first.is_finished() {
            tokio::task::yield_now().await;
        }
    };
    runtime.block_on(wait_for_first());
    let (answer, mut stream) = first.join().expect("no panic");
    assert!(!answer.contains("connection: close"), "{answer:?}");
    stopping.store(true, Ordering::Relaxed);
    stream
        .write_all(HEALTH_REQUEST)
        .expect("the request is sent");
    runtime.block_on(server.close());
    let answer = read_to_close(stream).expect("no reset");
    assert!(answer.contains("connection: close\r\n"), "{answer:?}");
}
