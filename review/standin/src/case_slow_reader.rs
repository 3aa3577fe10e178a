//! Callers read their answers slowly but steadily, around a signal that the settings have changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::request_head;
use crate::http::Connection;
use crate::node::{Node, own_ip, wait_until_ready};
use crate::record::Record;
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::words::word;
use crate::{Setting, Verdict};

const ROUTERS: usize = 3;
const SERVERS: usize = 3;
const CALLERS: usize = 12;
const ANSWER: usize = 250_000;
/// How fast the callers read: a whole answer takes 8.3 s.
const BYTES_PER_S: usize = 30_000;
const STEP: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(15);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(&own_ip(1));
    store.put("op", "config", word("config"));
    let plan = Plan {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(30),
        answer: ANSWER,
        twice: 0.0,
        spoilt: 0.0,
        stream: None,
    };
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| Server::start(&store, number, plan, record))
        .collect();
    let nodes: Vec<Node> = (0..ROUTERS)
        .map(|number| Node::start(&setting.program, &setting.folder, store.address, number))
        .collect();
    if !wait_until_ready(&nodes, record) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let node = &nodes[0];
    node.change_settings("BudgetSlack = 58", "BudgetSlack = 60");
    node.signal("HUP");
    record.note(format!("the settings of {} change; SIGHUP", node.name));
    thread::sleep(Duration::from_millis(300));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            // All requests are sent within `ConfigMs` of the signal.
            thread::sleep(Duration::from_millis(100));
            let (front, record, is_slow) = (node.front(), record.clone(), setting.has_trouble);
            thread::spawn(move || call(front, number, is_slow, &record))
        })
        .collect();
    let ends: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().ok().flatten())
        .collect();
    let (whole, lost) = (
        ends.iter().filter(|end| **end == Some(true)),
        ends.iter().filter(|end| **end == Some(false)),
    );
    let (whole, lost) = (whole.count(), lost.count());
    let runs: usize = servers.iter().map(|server| server.runs().len()).sum();
    record.sum(format!(
        "requests that ran: {runs}; whole answers to the second requests: {whole}"
    ));
    record.sum(format!(
        "LOST: connections that ended without a complete answer: {lost}"
    ));
    // Around planned work one breaks the rule; at other times, more than three on kept connections do.
    match (whole + lost, lost) {
        (0..=3, _) => Verdict::CouldNotRun,
        (_, 0..=3) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends two requests over one connection, and reads the answer to the second one slowly if `is_slow`. Returns
/// whether that came whole; none if there was no success.
fn call(front: SocketAddr, number: usize, is_slow: bool, record: &Record) -> Option<bool> {
    let mut connection = Connection::open(front, Duration::from_secs(1)).ok()?;
    drop(connection.stream.set_read_timeout(Some(DEADLINE)));
    let id = format!("{number:04x}c3c3c3c1");
    connection
        .send(&request_head("GET", "/archive/6", &id, DEADLINE, 0))
        .ok()?;
    let first = connection
        .read()
        .filter(|answer| answer.is_complete && answer.status() == 200)?;
    record.note(format!(
        "caller has the whole answer to {id}, {} bytes, read at once",
        first.body.len()
    ));
    let id = format!("{number:04x}c3c3c3c2");
    let sent = Instant::now();
    connection
        .send(&request_head("GET", "/archive/7", &id, DEADLINE, 0))
        .ok()?;
    record.note(format!(
        "caller sends {id} to {front} on the same connection"
    ));
    let head = connection.read_head()?;
    let length: usize = head.header("content-length")?.parse().ok()?;
    record.note(format!(
        "caller gets the head of {id}: {}, {length} bytes",
        head.first
    ));
    if head.status() != 200 || head.header(word("seal-header")).is_none() || length != ANSWER {
        return None;
    }
    let mut got = connection.take_rest().len();
    let step = BYTES_PER_S * STEP.as_millis() as usize / 1_000;
    let mut buffer = vec![0; step];
    let mut noted = Instant::now();
    while got < length {
        if is_slow {
            thread::sleep(STEP);
        }
        let count = std::io::Read::read(&mut connection.stream, &mut buffer);
        let Ok(count @ 1..) = count else {
            let how = count.map_or_else(
                |error| error.to_string(),
                |_| "connection closed".to_owned(),
            );
            let after = sent.elapsed().as_secs_f64();
            record.note(format!(
                "LOST {id}: {got} of {length} bytes after {after:.2} s: {how}"
            ));
            return Some(false);
        };
        got += count;
        if noted.elapsed() >= Duration::from_secs(1) {
            noted = Instant::now();
            record.note(format!("caller has {got} bytes of {id}"));
        }
    }
    record.note(format!(
        "caller has the whole answer to {id} after {:.2} s",
        sent.elapsed().as_secs_f64()
    ));
    Some(true)
}
