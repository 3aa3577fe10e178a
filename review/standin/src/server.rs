//! Backend servers: they run some requests at a time, queue a few more and refuse the rest.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::node::{ZONES, own_ip};
use crate::record::Record;
use crate::store::Store;
use crate::words::{fill, head, word};

/// How a server is set up.
#[derive(Clone, Copy)]
pub struct Plan {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// The length of answers in bytes.
    pub answer: usize,
    /// The part of its answers that a faulty server sends twice: the second copy comes late, at the point
    /// where the next answer is expected on that connection.
    pub twice: f64,
    /// The part of its streams in which a faulty server spoils the number of the last event.
    pub spoilt: f64,
    /// Events of a stream, and the time between two; none for a plain service.
    pub stream: Option<(u64, Duration)>,
}

impl Plan {
    /// The service that it belongs to.
    fn service(&self) -> &'static str {
        match self.stream {
            Some(_) => "recon-model",
            None => "plant-app",
        }
    }
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    plan: Plan,
    load: Mutex<Load>,
    freed: Condvar,
    draws: AtomicU64,
    /// Whether the fault acts now.
    is_faulty: AtomicBool,
    record: Record,
    /// The requests that it began to work on.
    runs: Mutex<Vec<String>>,
}

impl Server {
    /// Starts a server, and writes its entry to the store now and then.
    pub fn start(store: &Arc<Store>, number: usize, plan: Plan, record: &Record) -> Arc<Self> {
        let listener =
            TcpListener::bind(format!("{}:0", own_ip(number as u32 + 100))).expect("a free port");
        let server = Arc::new(Self {
            id: format!("i-7f3a91c{number}"),
            address: listener.local_addr().expect("an address"),
            plan,
            load: Mutex::default(),
            freed: Condvar::new(),
            draws: AtomicU64::new(number as u64 * 7_919 + 1),
            is_faulty: AtomicBool::new(false),
            record: record.clone(),
            runs: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                let entry = [
                    ("service", beating.plan.service().to_owned()),
                    (
                        "engine",
                        beating
                            .plan
                            .stream
                            .map_or("", |_| word("engine-fields"))
                            .to_owned(),
                    ),
                    ("address", beating.address.to_string()),
                    ("zone", ZONES[number % ZONES.len()].to_owned()),
                    ("slots", beating.plan.slots.to_string()),
                    ("sequence", sequence.to_string()),
                ];
                let entry: Vec<(&str, &str)> = entry
                    .iter()
                    .map(|(name, value)| (*name, &**value))
                    .collect();
                store.put(
                    "servers",
                    &beating.id,
                    fill("server-entry", &entry).trim_end(),
                );
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    pub fn set_faulty(&self, is_faulty: bool) {
        self.is_faulty.store(is_faulty, Ordering::Relaxed);
    }

    /// The ids of the requests that it began to work on, in order.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("not poisoned").clone()
    }

    fn serve(&self, mut connection: Connection) {
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Some(request) = connection.read().filter(|request| request.is_complete) {
            let id = request.header(word("id-header")).unwrap_or("").to_owned();
            let id = id.as_str();
            if request.path() == "/health" {
                let load = self.load_text();
                let answer = head("health", &[("server", &self.id), ("load", &load)]);
                if connection.send(&answer).is_err() {
                    return;
                }
                continue;
            }
            if request.path().starts_with(word("kept-parts-path")) {
                let list = word("kept-parts");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
                if connection.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let is_meant = request
                .header(word("instance-header"))
                .is_none_or(|server| server == self.id);
            let has_begun = is_meant && self.begin(id);
            if let Some((first, copy)) = late.take() {
                self.record.note(format!(
                    "server {} sends once more its answer to {first}, where the one to {id} is expected",
                    self.id
                ));
                if connection.send(&copy).is_err() && !has_begun {
                    return;
                }
            }
            let answer = match (is_meant, has_begun) {
                (false, _) => head("misdirected", &[("id", id), ("server", &self.id)]),
                (true, false) => {
                    self.record
                        .note(format!("server {} refuses {id}: full", self.id));
                    head("refusal", &[("id", id), ("load", &self.load_text())])
                }
                (true, true) if self.plan.stream.is_some() => {
                    let is_whole = self.stream(&mut connection, &request, id);
                    self.end();
                    match is_whole {
                        Some(()) => continue,
                        None => return,
                    }
                }
                (true, true) => self.run(&request, id),
            };
            if connection.send(&answer).is_err() {
                return;
            }
            if self.is_faulty.load(Ordering::Relaxed) && self.draw() < self.plan.twice {
                late = Some((id.to_owned(), answer));
            }
        }
    }

    /// Takes a slot, after a wait in the queue if there is room; false if the server is full.
    fn begin(&self, id: &str) -> bool {
        let mut load = self.load.lock().expect("not poisoned");
        if load.running >= self.plan.slots {
            if load.waiting >= self.plan.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.plan.slots {
                load = self.freed.wait(load).expect("not poisoned");
            }
            load.waiting -= 1;
        }
        load.running += 1;
        drop(load);
        self.runs.lock().expect("not poisoned").push(id.to_owned());
        self.record.note(format!("server {} runs {id}", self.id));
        true
    }

    fn run(&self, request: &Message, id: &str) -> Vec<u8> {
        thread::sleep(self.plan.work);
        self.end();
        let text = format!("done {id}, {} bytes read; ", request.body.len());
        let body: Vec<u8> = text
            .bytes()
            .cycle()
            .take(self.plan.answer.max(text.len()))
            .collect();
        let (length, load) = (body.len().to_string(), self.load_text());
        let head = head(
            "success",
            &[("id", id), ("length", &length), ("load", &load)],
        );
        [head, body].concat()
    }

    /// Writes the events of a stream, from the one after the caller's last one on. Returns none if the connection
    /// closes before the end.
    fn stream(&self, connection: &mut Connection, request: &Message, id: &str) -> Option<()> {
        let (events, pause) = self.plan.stream?;
        let last = request
            .header(word("last-event-header"))
            .and_then(|last| last.parse().ok())
            .unwrap_or(0);
        connection
            .send(&head(
                "stream-answer",
                &[("id", id), ("load", &self.load_text())],
            ))
            .ok()?;
        let is_spoilt = self.is_faulty.load(Ordering::Relaxed) && self.draw() < self.plan.spoilt;
        let event_text = |event: u64| match is_spoilt && event == events {
            true => format!("id: {}\ndata: a piece of text\n\n", event + 4),
            false => format!("id: {event}\ndata: a piece of text\n\n"),
        };
        if is_spoilt {
            self.record.note(format!(
                "server {} spoils the number of the last event of {id}",
                self.id
            ));
        }
        let mut event = last + 1;
        while event <= events {
            let mut text = event_text(event);
            // The last two events are sent together.
            if event + 1 == events {
                event += 1;
                text += &event_text(event);
            }
            event += 1;
            connection
                .send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .ok()?;
            thread::sleep(pause);
        }
        connection.send(b"0\r\n\r\n").ok()
    }

    /// Gives the slot back.
    fn end(&self) {
        self.load.lock().expect("not poisoned").running -= 1;
        self.freed.notify_one();
    }

    fn load_text(&self) -> String {
        let load = self.load.lock().expect("not poisoned");
        format!("{},{},{}", load.running, load.waiting, self.plan.slots)
    }

    /// A number below 1 that looks random.
    fn draw(&self) -> f64 {
        let mut bits = self
            .draws
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
