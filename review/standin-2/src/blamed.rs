//! Requests with one part in their prompts crash servers; sound requests that share one body run there at that moment.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::names::name;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::{KEY, Place, request, server};

const ROUTERS: usize = 3;
const ENGINES: usize = 3;
/// The servers of the plain service, which are sound throughout.
const PLAIN: usize = 3;
/// The part that crashes servers, and those of sound requests.
const CRASHING_PART: &str = "badc0de1";
const FIRST_PARTS: &str = "a1:2520";
const SOUND_PARTS: &str = "a1:2520,b2:6100,c3:580";
/// How long a server is away, and when its entry lapses.
const DOWN: Duration = Duration::from_secs(4);
const LAPSE: Duration = Duration::from_millis(3_600);
/// Sound requests a second, and the times at which parts of the run begin.
const SOUND_PER_S: u64 = 30;
const CRASHES_FROM: Duration = Duration::from_secs(8);
const MORE_FROM: Duration = Duration::from_secs(14);
const RUN: Duration = Duration::from_secs(36);
/// Twice `ContactMs`.
const AFTER_FIFTH: Duration = Duration::from_secs(6);
const MIN_REQUESTS: usize = 20;
/// The requests that crash servers and come at once.
const WAVE: usize = 18;

/// An engine that crashes and comes back at its address under a new id.
struct Engine {
    number: usize,
    address: SocketAddr,
    starts: AtomicU32,
    is_down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
    record: Arc<Record>,
    crashes: Arc<Mutex<Vec<Instant>>>,
}

impl Engine {
    fn id(&self) -> String {
        format!(
            "i-engine-{}-{}",
            self.number,
            self.starts.load(Ordering::Relaxed)
        )
    }

    /// Listens until it crashes; then comes back.
    fn run(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("its own address");
        listener.set_nonblocking(true).expect("a socket");
        self.is_down.store(false, Ordering::Relaxed);
        self.store.put(
            "servers",
            &self.id(),
            &server::entry("cacao-assist", self.address, 64),
        );
        while !self.is_down.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.open.lock().expect("no panic before").push(copy);
                    }
                    let engine = self.clone();
                    spawn(move || engine.serve(Connection::new(stream)));
                }
                Err(_) => sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        for stream in self.open.lock().expect("no panic before").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let gone = self.id();
        self.record.note(format!("{gone} has crashed"));
        sleep(LAPSE);
        self.store.remove("servers", &gone);
        sleep(DOWN - LAPSE);
        self.starts.fetch_add(1, Ordering::Relaxed);
        self.record.note(format!("{} is back", self.id()));
        self.run();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            if connection.read_bytes(head.length()).is_err()
                || self.answer(&mut connection, &head).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, head: &Message) -> std::io::Result<()> {
        let Some(id) = head.header(name("id")) else {
            let text = format!(
                "HTTP/1.1 200 OK\r\n{}: {}\r\nContent-Length: 2\r\n\r\n{{}}",
                name("instance"),
                self.id()
            );
            return connection.send(text.as_bytes());
        };
        let crashes = head
            .header(name("prompt"))
            .is_some_and(|parts| parts.contains(CRASHING_PART));
        sleep(Duration::from_millis(60));
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal.{id}\r\n{}: 1,0,64\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            name("id"),
            name("signature"),
            name("load"),
        );
        if crashes && !self.is_down.swap(true, Ordering::Relaxed) {
            self.record.note(format!(
                "{} begins to write the answer to {id} and crashes",
                self.id()
            ));
            self.crashes
                .lock()
                .expect("no panic before")
                .push(Instant::now());
        }
        if crashes {
            return Err(std::io::Error::other("crashed"));
        }
        connection.send(text.as_bytes())?;
        for event in 1..=17 {
            sleep(Duration::from_millis(50));
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")
    }
}

/// How many sound requests were sent and began, in a part of the run.
#[derive(Default)]
struct Share {
    sent: AtomicUsize,
    began: AtomicUsize,
}

pub fn run(place: &Place) -> std::io::Result<bool> {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&place.folder.join("record.txt"))?);
    let number = std::process::id();
    let ip = |last: usize| {
        format!(
            "127.{}.{}.{last}",
            20 + number % 200,
            1 + number / 200 % 250
        )
    };
    let store = Store::start(&ip(1))?;
    store.put("op", "config", include_bytes!("../config.json"));
    let crashes = Arc::new(Mutex::new(Vec::new()));
    for number in 1..=ENGINES {
        let engine = Arc::new(Engine {
            number,
            address: TcpListener::bind((ip(1).as_str(), 0))?.local_addr()?,
            starts: AtomicU32::new(1),
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            crashes: crashes.clone(),
        });
        spawn(move || engine.run());
    }
    for number in 1..=PLAIN {
        let id = format!("i-plain-{number}");
        let answers = server::Answers {
            work_ms: 30,
            body_bytes: |_| 800,
            is_stream: false,
            is_recorded: false,
        };
        let address = server::start(&ip(1), &id, answers, record.clone())?;
        store.put("servers", &id, &server::entry("plant-app", address, 6));
    }
    let mut nodes = Vec::new();
    for index in 1..=ROUTERS {
        let folder = place.temporary.join(format!("node-{index}"));
        std::fs::create_dir_all(&folder)?;
        nodes.push(Node::launch(
            &place.program,
            &folder,
            &ip(10 + index),
            store.address,
            index,
        )?);
    }
    let ids = nodes.iter().map(|node| node.id().to_string());
    std::fs::write(
        place.temporary.join("node.pid"),
        ids.collect::<Vec<_>>().join(" "),
    )?;
    nodes.iter().try_for_each(Node::wait_until_ready)?;
    sleep(Duration::from_secs(2));
    let routers: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let started = Instant::now();
    let (before, after) = (Arc::new(Share::default()), Arc::new(Share::default()));
    let crashing = {
        let (routers, record) = (routers.clone(), record.clone());
        spawn(move || {
            if !is_troubled {
                return;
            }
            sleep(CRASHES_FROM.saturating_sub(started.elapsed()));
            for turn in 0..WAVE {
                send_crashing(routers[turn % ROUTERS], turn, &record);
            }
            let mut turn = WAVE;
            sleep(MORE_FROM.saturating_sub(started.elapsed()));
            while started.elapsed() < RUN {
                send_crashing(routers[turn % ROUTERS], turn, &record);
                turn += 1;
                sleep(Duration::from_millis(3_000));
            }
        })
    };
    let mut sound = Vec::new();
    for turn in 0.. {
        let due = Duration::from_millis(turn * 1_000 / SOUND_PER_S);
        if due >= RUN {
            break;
        }
        sleep(due.saturating_sub(started.elapsed()));
        let (crashed, fifth) = {
            let crashes = crashes.lock().expect("no panic before");
            (
                crashes.first().copied(),
                crashes.get(4).or(crashes.last()).copied(),
            )
        };
        let is_before = crashed.is_none() && due < CRASHES_FROM;
        let is_after = match is_troubled {
            true => fifth.is_some_and(|at| due >= MORE_FROM && at.elapsed() > AFTER_FIFTH),
            false => due >= MORE_FROM,
        };
        let share = match (is_before, is_after) {
            (true, _) => Some(before.clone()),
            (_, true) => Some(after.clone()),
            _ => None,
        };
        let (router, record) = (routers[turn as usize % ROUTERS], record.clone());
        sound.push(spawn(move || {
            let id = format!("sound-{turn}");
            let outcome = begin(router, &id, SOUND_PARTS, b"what is the plan of the day?");
            record.note(format!("{id} gets {outcome:?}"));
            if let Some(share) = share {
                share.sent.fetch_add(1, Ordering::Relaxed);
                let began = outcome.is_ok_and(|text| text.contains(" 200"));
                share.began.fetch_add(usize::from(began), Ordering::Relaxed);
            }
        }));
    }
    sound.into_iter().for_each(|one| drop(one.join()));
    drop(crashing.join());
    let counts = |share: &Share| {
        (
            share.sent.load(Ordering::Relaxed),
            share.began.load(Ordering::Relaxed),
        )
    };
    let ((sent_before, began_before), (sent, began)) = (counts(&before), counts(&after));
    let ended = crashes.lock().expect("no panic before").len();
    let summary = format!(
        "{ended} crashes; of sound requests {began_before} of {sent_before} began before, {began} of {sent} from 6 s after the fifth"
    );
    record.note(summary.clone());
    println!("{summary}");
    if sent_before < MIN_REQUESTS || sent < MIN_REQUESTS {
        return Err(std::io::Error::other("too few sound requests"));
    }
    Ok(2 * began * sent_before < began_before * sent)
}

fn send_crashing(router: SocketAddr, turn: usize, record: &Arc<Record>) {
    let record = record.clone();
    spawn(move || {
        let id = format!("crashing-{turn}");
        let parts = format!(
            "{FIRST_PARTS},{CRASHING_PART}:900,{:x}:300",
            0x5_0000 + turn
        );
        record.note(format!("{id} is sent"));
        let outcome = begin(router, &id, &parts, format!("crash {turn}").as_bytes());
        record.note(format!("{id} gets {outcome:?}"));
    });
}

/// Sends a request and reads until the first event, then to the end. Returns the status line, and a refusal's reason.
fn begin(router: SocketAddr, id: &str, parts: &str, body: &[u8]) -> std::io::Result<String> {
    let more = format!(
        "{}: m\r\n{}: 9200,51\r\n{}: {parts}\r\n",
        name("model"),
        name("tokens"),
        name("prompt")
    );
    let stream = TcpStream::connect_timeout(&router, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let mut connection = Connection::new(stream);
    connection.send(
        request(
            "POST",
            "/recipe/brief",
            id,
            Some(KEY),
            6_000,
            &more,
            body.len(),
        )
        .as_bytes(),
    )?;
    connection.send(body)?;
    let head = connection.read_head()?;
    let head = head.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
    if !head.start.contains(" 200") {
        let reason = connection.read_bytes(head.length())?;
        return Ok(format!(
            "{} {}",
            head.start,
            String::from_utf8_lossy(&reason)
        ));
    }
    // Begun with its first event; the rest is read to its end.
    let mut text = connection.read_bytes(1)?;
    if text.is_empty() {
        return Err(std::io::Error::other("closed before the first event"));
    }
    while !text.ends_with(b"0\r\n\r\n") {
        let more = connection.read_bytes(1);
        match more {
            Ok(more) if !more.is_empty() => text.extend(more),
            _ => break,
        }
    }
    Ok(head.start.clone())
}
