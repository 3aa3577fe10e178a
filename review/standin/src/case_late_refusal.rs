//! Servers send some of their answers twice; the second copy comes late, where the next answer on that connection
//! is expected. Requests that must not run twice go on meanwhile.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Caller, Outcome};
use crate::node::{Node, wait_until_ready};
use crate::server::{Plan, Server};
use crate::store::Store;
use crate::words::word;
use crate::{Setting, Verdict};

const ROUTERS: usize = 3;
const SERVERS: usize = 5;
/// Three of five servers: a share of 0.6.
const FAULTY: usize = 3;
const TWICE: f64 = 0.03;
/// The fault lasts 5 s, and comes again after as long a pause.
const FAULT: Duration = Duration::from_secs(5);
const FAULTS: u32 = 4;
const CALLERS: usize = 48;
const DEADLINE: Duration = Duration::from_millis(1_500);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start(&crate::node::own_ip(1));
    store.put("op", "config", word("config"));
    let plan = Plan {
        slots: 6,
        queue: 2,
        work: Duration::from_millis(60),
        answer: 800,
        twice: TWICE,
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
    let directories: Vec<_> = nodes.iter().map(Node::directory).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller::new(&directories, number);
            let (is_over, answers, record) = (is_over.clone(), answers.clone(), record.clone());
            thread::spawn(move || call(caller, &is_over, &answers, &record))
        })
        .collect();
    let started = Instant::now();
    for round in 0..FAULTS {
        let begins = started + FAULT * (2 * round + 1);
        thread::sleep(begins.saturating_duration_since(Instant::now()));
        if setting.has_trouble {
            record.note(format!(
                "{FAULTY} of {SERVERS} servers begin to send some answers twice"
            ));
            servers
                .iter()
                .take(FAULTY)
                .for_each(|server| server.set_faulty(true));
        }
        thread::sleep(FAULT);
        if setting.has_trouble {
            record.note("they end that".to_owned());
            servers.iter().for_each(|server| server.set_faulty(false));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        drop(caller.join());
    }
    // What was sent may run a little later.
    thread::sleep(Duration::from_secs(1));
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for server in &servers {
        for id in server.runs() {
            runs.entry(id).or_default().push(server.id.clone());
        }
    }
    let answers = answers.lock().expect("not poisoned");
    let mut twice: Vec<_> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    twice.sort();
    for (id, servers) in &twice {
        record.note(format!("TWICE {id} ran at {}", servers.join(" and ")));
    }
    let promised = answers
        .iter()
        .filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503));
    let mut refused: Vec<_> = promised
        .clone()
        .filter(|(id, _)| runs.contains_key(*id))
        .collect();
    refused.sort();
    for (id, status) in &refused {
        record.note(format!(
            "REFUSED {id} was answered {status} and ran at {}",
            runs[*id].join(" and ")
        ));
    }
    record.sum(format!(
        "requests answered: {}, of them with a promise not to run: {}",
        answers.len(),
        promised.count()
    ));
    record.sum(format!("requests that ran: {}", runs.len()));
    record.sum(format!("TWICE: ran more than once: {}", twice.len()));
    record.sum(format!(
        "REFUSED: answered with a promise not to run, and ran: {}",
        refused.len()
    ));
    if answers.values().filter(|status| **status == 200).count() < 1_000 {
        return Verdict::CouldNotRun;
    }
    match twice.is_empty() && refused.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Sends orders one after the other. After a promise that an order has not run, the caller waits as told and goes
/// on with the next order.
fn call(
    mut caller: Caller,
    is_over: &AtomicBool,
    answers: &Mutex<HashMap<String, u16>>,
    record: &crate::record::Record,
) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{:04x}{count:08x}", caller.number());
        let path = format!("/order/{count}");
        let mut wait = Duration::from_millis(15);
        match caller.attempt("POST", &path, &id, &[b'x'; 600], DEADLINE) {
            Some(Outcome::Answered(status, is_signed, retry_after)) => {
                if status != 200 {
                    record.note(format!(
                        "caller gets {status} for {id}, signed: {is_signed}"
                    ));
                    wait = retry_after.unwrap_or(wait).min(DEADLINE / 3);
                }
                answers.lock().expect("not poisoned").insert(id, status);
            }
            Some(Outcome::Closed) => record.note(format!("caller gets no answer for {id}: closed")),
            Some(Outcome::GaveUp) => record.note(format!("caller gives up on {id}")),
            None => record.note(format!("caller cannot connect for {id}")),
        }
        thread::sleep(wait);
    }
}
