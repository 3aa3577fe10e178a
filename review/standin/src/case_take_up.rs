//! All routers are killed at the same moment while streams are under way. Callers take their streams up again once
//! the routers have been back for longer than `ContactMs`, while all servers run one version of their software.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::look_up;
use crate::http::Connection;
use crate::node::{Node, ZONES, own_ip, wait_until_ready};
use crate::record::Record;
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::words::{fill, head, word};
use crate::{Setting, Verdict};

const ROUTERS: usize = 3;
const SERVERS: usize = 3;
/// Callers whose streams are under way at the kill, and callers that begin new ones later.
const CALLERS: usize = 24;
/// A whole stream takes 2.9 s.
const EVENTS: u64 = 42;
const PAUSE: Duration = Duration::from_millis(70);
const DEADLINE: Duration = Duration::from_secs(10);
/// When the streams are cut, since they began, and how long the routers are down.
const CUT: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(1_000);
/// When the callers take their streams up, since the last router was ready again: later than `ContactMs`.
const RETURN: Duration = Duration::from_millis(3_300);
const TRIES: usize = 3;
const BETWEEN_TRIES: Duration = Duration::from_secs(1);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(&own_ip(1));
    store.put("op", "config", word("config"));
    let plan = Plan {
        slots: 48,
        queue: 8,
        work: Duration::ZERO,
        answer: 0,
        twice: 0.0,
        spoilt: 0.0,
        stream: Some((EVENTS, PAUSE)),
    };
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| Server::start(&store, number, plan, record))
        .collect();
    let mut nodes: Vec<Node> = (0..ROUTERS)
        .map(|number| Node::start(&setting.program, &setting.folder, store.address, number))
        .collect();
    if !wait_until_ready(&nodes, record) {
        return Verdict::CouldNotRun;
    }
    // Longer than streams may be taken up, so that the routers know all versions of that time.
    thread::sleep(Duration::from_secs(25));
    let directories: Vec<_> = nodes.iter().map(Node::directory).collect();
    let began = Instant::now();
    let begun: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (directories, record) = (directories.clone(), record.clone());
            thread::spawn(move || begin(&directories, number, began + CUT, &record))
        })
        .collect();
    thread::sleep((began + CUT).saturating_duration_since(Instant::now()));
    if setting.has_trouble {
        record.note("all routers are killed".to_owned());
        nodes.iter_mut().for_each(Node::kill);
    }
    let begun: Vec<Option<(String, u64)>> = begun
        .into_iter()
        .map(|caller| caller.join().ok().flatten())
        .collect();
    thread::sleep((began + CUT + DOWN).saturating_duration_since(Instant::now()));
    if setting.has_trouble {
        nodes.iter_mut().for_each(Node::restart);
        record.note("they are started again".to_owned());
    }
    if !wait_until_ready(&nodes, record) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(RETURN);
    let left = DEADLINE.saturating_sub(began.elapsed());
    let taken_up: Vec<_> = begun
        .into_iter()
        .flatten()
        .enumerate()
        .map(|(number, (id, last))| {
            let (directories, record) = (directories.clone(), record.clone());
            thread::spawn(move || take_up(&directories, number, &id, last, left, &record))
        })
        .collect();
    let new: Vec<_> = (CALLERS..2 * CALLERS)
        .map(|number| {
            let (directories, record) = (directories.clone(), record.clone());
            let id = format!("{number:04x}e5e5e5e5");
            thread::spawn(move || {
                read_stream(&directories, number, &id, None, DEADLINE, None, &record)
                    .0
                    .is_some_and(|last| last > 0)
            })
        })
        .collect();
    let asked = taken_up.len();
    let went_on = taken_up
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .filter(|went_on| *went_on)
        .count();
    let new_began = new
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .filter(|began| *began)
        .count();
    record.sum(format!(
        "streams that callers took up again: {asked}, of them went on: {went_on}"
    ));
    record.sum(format!(
        "new streams at the same time: {CALLERS}, of them began: {new_began}"
    ));
    record.sum(format!(
        "servers of the one software version that served: {}",
        servers.len()
    ));
    if asked < 12 || new_began < 12 {
        return Verdict::CouldNotRun;
    }
    // Less than half of the share of new streams that begin.
    match 2 * went_on * CALLERS < new_began * asked {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Begins a stream and reads it until the connection ends, or until `until`. Returns the id of the attempt and the
/// last event; none if no event came.
fn begin(
    directories: &[SocketAddr],
    number: usize,
    until: Instant,
    record: &Record,
) -> Option<(String, u64)> {
    let id = format!("{number:04x}a1a1a1a1");
    let last = read_stream(
        directories,
        number,
        &id,
        None,
        DEADLINE,
        Some(until),
        record,
    )
    .0?;
    (last > 0 && last < EVENTS).then_some((id, last))
}

/// Takes a stream up again, up to three times. Returns whether it went on to its end.
fn take_up(
    directories: &[SocketAddr],
    number: usize,
    begun: &str,
    last: u64,
    left: Duration,
    record: &Record,
) -> bool {
    let started = Instant::now();
    (0..TRIES).any(|attempt| {
        let at = started + BETWEEN_TRIES * attempt as u32;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let id = format!("{number:04x}b{attempt}b2b2b2");
        let left = left.saturating_sub(started.elapsed());
        let taken_up = Some((begun, last));
        read_stream(directories, number, &id, taken_up, left, None, record).0 == Some(EVENTS)
    })
}

/// Sends a request for a stream and reads its events, in order. Returns the last event's number (none if there was
/// no success), and whether the stream ended as complete.
pub fn read_stream(
    directories: &[SocketAddr],
    number: usize,
    id: &str,
    taken_up: Option<(&str, u64)>,
    deadline: Duration,
    until: Option<Instant>,
    record: &Record,
) -> (Option<u64>, bool) {
    let mut is_ended = false;
    let last = try_read_stream(
        directories,
        number,
        id,
        taken_up,
        deadline,
        until,
        record,
        &mut is_ended,
    );
    (last, is_ended)
}

#[expect(clippy::too_many_arguments, reason = "only called above")]
fn try_read_stream(
    directories: &[SocketAddr],
    number: usize,
    id: &str,
    taken_up: Option<(&str, u64)>,
    deadline: Duration,
    until: Option<Instant>,
    record: &Record,
    is_ended: &mut bool,
) -> Option<u64> {
    let zone = ZONES[number % ZONES.len()];
    let mut nearest_first = directories.to_vec();
    nearest_first.rotate_left(number % ZONES.len());
    let addresses = look_up(&nearest_first, zone)?;
    let front = addresses[number / ZONES.len() % addresses.len()];
    let mut connection = Connection::open(front, Duration::from_secs(1)).ok()?;
    connection.stream.set_read_timeout(Some(deadline)).ok()?;
    let (part, millis) = (format!("e44{number:05x}"), deadline.as_millis().to_string());
    let lines = taken_up
        .map(|(begun, last)| fill("taken-up", &[("begun", begun), ("last", &last.to_string())]));
    let lines = lines.unwrap_or_default();
    let request = [
        ("id", id),
        ("part", &*part),
        ("deadline", &*millis),
        ("taken-up", &*lines),
    ];
    connection
        .send(&[&head("stream-request", &request)[..], b"{}"].concat())
        .ok()?;
    let what = taken_up.map_or(String::new(), |(begun, last)| {
        format!(", takes up {begun} after event {last}")
    });
    record.note(format!("caller sends {id} to {front}{what}"));
    let answer = connection.read_head()?;
    if answer.status() != 200 {
        let reason = connection.read_body(&answer);
        record.note(format!(
            "caller gets {} for {id}: {reason}",
            answer.status()
        ));
        return None;
    }
    let first = taken_up.map_or(0, |(_, last)| last);
    let mut last = first;
    loop {
        if until.is_some_and(|until| Instant::now() >= until) {
            record.note(format!(
                "caller has events to {last} of {id} and reads no more"
            ));
            return Some(last);
        }
        match connection.read_chunk() {
            Some(chunk) if chunk.is_empty() => {
                *is_ended = true;
                record.note(format!(
                    "caller has the end of {id}, events {} to {last}",
                    first + 1
                ));
                return Some(last);
            }
            Some(chunk) => {
                let text = String::from_utf8_lossy(&chunk).into_owned();
                let mut events = text
                    .lines()
                    .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
                last = events.next_back().unwrap_or(last);
            }
            None => {
                record.note(format!("the connection of {id} ends after event {last}"));
                return Some(last);
            }
        }
    }
}
