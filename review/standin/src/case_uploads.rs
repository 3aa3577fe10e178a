//! Many callers send bodies within the limits at once; the platform kills a router that exceeds its memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
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
/// As `BodyBytes` in the configuration.
const BODY: usize = 4_194_304;
/// As `MemoryMb` in the settings.
const MEMORY_KIB: u64 = 260 * 1_024;
/// Callers that send at a time to each router: usually, and while many users come at once (1.7 times as many).
const USUAL: usize = 26;
const BURST: usize = 44;
/// The callers send a body in this many pieces, with a pause after each: about 1.25 MB/s, so that those of a burst
/// fill less than half of a router's link of 1,000 Mbit/s.
const PIECES: usize = 64;
const PAUSE: Duration = Duration::from_millis(52);
const DEADLINE: Duration = Duration::from_secs(10);
const ROUNDS: usize = 9;
/// Each third round is a burst.
const BURST_EVERY: usize = 3;
const BETWEEN: Duration = Duration::from_millis(5_500);
/// How often a process ends for the rule, and at how many machines.
const ENDS: u64 = 3;
const MACHINES: usize = 2;

/// What the callers got.
#[derive(Default)]
struct Counts {
    served: AtomicUsize,
    refused: AtomicUsize,
    cut: AtomicUsize,
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(&own_ip(1));
    store.put("op", "config", word("config"));
    let plan = Plan {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(30),
        answer: 800,
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
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = nodes.iter().map(Node::front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let peaks: Vec<Arc<AtomicU64>> = nodes.iter().map(|_| Arc::default()).collect();
    let watches: Vec<_> = nodes
        .into_iter()
        .zip(&peaks)
        .map(|(node, peak)| {
            let (is_over, peak, record) = (is_over.clone(), peak.clone(), record.clone());
            thread::spawn(move || limit_memory(node, &is_over, &peak, &record))
        })
        .collect();
    let counts: Arc<Counts> = Arc::default();
    for round in 1..=ROUNDS {
        let is_burst = setting.has_trouble && round % BURST_EVERY == 0;
        let callers = if is_burst { BURST } else { USUAL };
        let begins = Instant::now();
        record.note(format!("{callers} callers begin to send to each router"));
        let threads: Vec<_> = (0..callers * ROUTERS)
            .map(|number| {
                let (front, counts, record) =
                    (fronts[number % ROUTERS], counts.clone(), record.clone());
                thread::spawn(move || upload(front, round << 12 | number, &counts, &record))
            })
            .collect();
        threads.into_iter().for_each(|thread| drop(thread.join()));
        thread::sleep((begins + BETWEEN).saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::Relaxed);
    let kills: Vec<u64> = watches
        .into_iter()
        .map(|watch| watch.join().unwrap_or(0))
        .collect();
    let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let peaks: Vec<u64> = peaks
        .iter()
        .map(|peak| peak.load(Ordering::Relaxed) / 1_024)
        .collect();
    record.sum(format!(
        "requests served: {}, refused as not run: {}, cut off: {}",
        load(&counts.served),
        load(&counts.refused),
        load(&counts.cut)
    ));
    record.sum(format!(
        "requests that ran: {}",
        servers
            .iter()
            .map(|server| server.runs().len())
            .sum::<usize>()
    ));
    record.sum(format!(
        "most memory of each router, MiB (limit {}): {peaks:?}",
        MEMORY_KIB / 1_024
    ));
    record.sum(format!(
        "Fault: how often each router was killed for its memory: {kills:?}"
    ));
    if load(&counts.served) == 0 {
        return Verdict::CouldNotRun;
    }
    match kills.iter().filter(|kills| **kills >= ENDS).count() >= MACHINES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Kills a router that exceeds its memory, as the platform does, and starts it again after a second. Returns how
/// often that happened.
fn limit_memory(mut node: Node, is_over: &AtomicBool, peak: &AtomicU64, record: &Record) -> u64 {
    let mut kills = 0;
    while !is_over.load(Ordering::Relaxed) {
        let memory_kib = node.memory_kib();
        peak.fetch_max(memory_kib, Ordering::Relaxed);
        if memory_kib > MEMORY_KIB {
            node.kill();
            kills += 1;
            record.note(format!(
                "{} takes {} MiB and is killed",
                node.name,
                memory_kib / 1_024
            ));
            thread::sleep(Duration::from_secs(1));
            node.restart();
        }
        thread::sleep(Duration::from_millis(10));
    }
    kills
}

/// Sends a request with the longest body that the limits allow.
fn upload(front: SocketAddr, number: usize, counts: &Counts, record: &Record) {
    let id = format!("{number:04x}d4d4d4d4");
    let status = try_upload(front, &id);
    let count = match status {
        Some(200) => &counts.served,
        Some(408 | 421 | 429 | 503) => &counts.refused,
        _ => &counts.cut,
    };
    count.fetch_add(1, Ordering::Relaxed);
    match status {
        Some(status) => record.note(format!("caller gets {status} for {id}")),
        None => record.note(format!("caller gets no answer for {id}: connection lost")),
    }
}

fn try_upload(front: SocketAddr, id: &str) -> Option<u16> {
    let mut connection = Connection::open(front, Duration::from_secs(1)).ok()?;
    connection.stream.set_read_timeout(Some(DEADLINE)).ok()?;
    connection
        .send(&request_head("POST", "/upload/1", id, DEADLINE, BODY))
        .ok()?;
    let piece = vec![b'x'; BODY / PIECES];
    for _ in 0..PIECES {
        connection.send(&piece).ok()?;
        thread::sleep(PAUSE);
    }
    Some(connection.read()?.status())
}
