//! Servers spoil the number of the last event of some streams; the events before are sound.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::case_take_up::read_stream;
use crate::node::{Node, own_ip, wait_until_ready};
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::words::word;
use crate::{Setting, Verdict};

const ROUTERS: usize = 3;
const SERVERS: usize = 6;
/// Two of six servers: a share of 0.33.
const FAULTY: usize = 2;
const SPOILT: f64 = 0.02;
/// The fault lasts 5 s, and comes again after as long a pause.
const FAULT: Duration = Duration::from_secs(5);
const FAULTS: u32 = 3;
const CALLERS: usize = 24;
const EVENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(10);

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
        spoilt: SPOILT,
        stream: Some((EVENTS, PAUSE)),
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
    let directories: Vec<_> = nodes.iter().map(Node::directory).collect();
    let started = Instant::now();
    let until = started + FAULT * 2 * FAULTS + FAULT;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (directories, record) = (directories.clone(), record.clone());
            thread::spawn(move || {
                let (mut whole, mut short) = (0, 0);
                for count in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let id = format!("{number:04x}f{count:07x}");
                    let (last, is_ended) =
                        read_stream(&directories, number, &id, None, DEADLINE, None, &record);
                    match last {
                        Some(EVENTS) => whole += 1,
                        Some(last) if is_ended => {
                            short += 1;
                            record.note(format!(
                                "ORDER {id} ends as complete after event {last} of {EVENTS}"
                            ));
                        }
                        _ => {}
                    }
                    thread::sleep(Duration::from_millis(30));
                }
                (whole, short)
            })
        })
        .collect();
    for round in 0..FAULTS {
        thread::sleep(
            (started + FAULT * (2 * round + 1)).saturating_duration_since(Instant::now()),
        );
        if setting.has_trouble {
            servers
                .iter()
                .take(FAULTY)
                .for_each(|server| server.set_faulty(true));
        }
        thread::sleep(FAULT);
        servers.iter().for_each(|server| server.set_faulty(false));
    }
    let counts: Vec<(u32, u32)> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let whole: u32 = counts.iter().map(|(whole, _)| whole).sum();
    let short: u32 = counts.iter().map(|(_, short)| short).sum();
    record.sum(format!("whole streams: {whole}"));
    record.sum(format!(
        "ORDER: streams that ended as complete before their last event: {short}"
    ));
    match (whole, short) {
        (0..500, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
