//! A stand-in for a backend server that serves every request at once, up to its slots.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::http::Connection;
use crate::names::name;
use crate::record::Record;

/// How a server answers.
#[derive(Clone)]
pub struct Answers {
    /// How long it works on a request, in milliseconds.
    pub work_ms: u64,
    /// The length of an answer, by the path of the request.
    pub body_bytes: fn(&str) -> usize,
    /// Whether it answers with a stream of one event.
    pub is_stream: bool,
    /// Whether each run is recorded.
    pub is_recorded: bool,
}

/// Starts a server on a free port. Returns its address.
pub fn start(
    ip: &str,
    id: &str,
    answers: Answers,
    record: Arc<Record>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let id = id.to_owned();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, answers, record) = (id.clone(), answers.clone(), record.clone());
            spawn(move || serve(Connection::new(stream), &id, &answers, &record));
        }
    });
    Ok(address)
}

/// The entry of a server in the store.
pub fn entry(service: &str, address: SocketAddr, slots: u32) -> Vec<u8> {
    let entry = serde_json::json!({
        "Service": service, "Address": address.to_string(), "Zone": "rufisque", "Version": "1", "Slots": slots,
        "State": "ready", "Sequence": 1,
    });
    entry.to_string().into_bytes()
}

fn serve(mut connection: Connection, server: &str, answers: &Answers, record: &Record) {
    while let Ok(Some(head)) = connection.read_head() {
        let Ok(body) = connection.read_bytes(head.length()) else {
            return;
        };
        let path = head.path().to_owned();
        if path == "/health" || path == name("report") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{}: {server}\r\nContent-Length: 2\r\n\r\n{{}}",
                name("instance")
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = head.header(name("id")).unwrap_or("-").to_owned();
        if answers.is_recorded {
            record.note(format!("server {server} runs {id} body={}", body.len()));
        }
        sleep(Duration::from_millis(answers.work_ms));
        let (kind, body) = match answers.is_stream {
            true => ("text/event-stream", b"id: 1\ndata: x\n\n".to_vec()),
            false => ("text/plain", vec![b'x'; (answers.body_bytes)(&path)]),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal.{id}\r\n{}: 1,0,6\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
            name("id"),
            name("signature"),
            name("load"),
            body.len(),
        );
        let sent = connection
            .send(head.as_bytes())
            .and_then(|()| connection.send(&body));
        if answers.is_recorded {
            let end = if sent.is_ok() {
                "has written the whole answer to"
            } else {
                "was cut off while it wrote the answer to"
            };
            record.note(format!("server {server} {end} {id}"));
        }
        if sent.is_err() {
            return;
        }
    }
}
