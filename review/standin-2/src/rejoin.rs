//! All routers are killed once while servers of two software versions serve. Callers take their streams up again.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::names::name;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::{KEY, Place, request, server};

const ROUTERS: usize = 3;
const STREAMS: usize = 24;
/// The events of a stream, the time between two, and how many arrive before the kill.
const EVENTS: u64 = 42;
const EVENT_GAP: Duration = Duration::from_millis(100);
const BEFORE_KILL: Duration = Duration::from_millis(1_050);
/// How long the routers are away, and how long they have been ready when streams are taken up: `ContactMs`, and more.
const AWAY: Duration = Duration::from_secs(1);
const IN_TOUCH: Duration = Duration::from_millis(3_300);
const TRIES: usize = 3;
const DEADLINE_MS: u64 = 10_000;

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
    for (index, version) in ["1.4", "1.4", "1.5", "1.5"].iter().enumerate() {
        let id = format!("i-engine-{}", index + 1);
        let address = start_server(&ip(1), &id, record.clone())?;
        let entry = server::entry("cacao-assist", address, 64);
        let entry = String::from_utf8_lossy(&entry)
            .replace("\"Version\":\"1\"", &format!("\"Version\":\"{version}\""));
        store.put("servers", &id, entry.as_bytes());
        record.note(format!("{id} is listed with version {version}"));
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
    // Long enough that nothing about the versions is new any more.
    sleep(Duration::from_secs(18));
    record.note("streams begin".to_owned());
    let routers: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let ends = Instant::now() + BEFORE_KILL + Duration::from_millis(50);
    let readers: Vec<_> = (0..STREAMS)
        .map(|stream| {
            let (router, record) = (routers[stream % ROUTERS], record.clone());
            // Without the kill, callers leave at the same moment.
            let leaves = (!is_troubled).then_some(ends);
            spawn(move || {
                read_stream(
                    router,
                    &format!("stream-{stream}"),
                    None,
                    leaves,
                    u64::MAX,
                    &record,
                )
            })
        })
        .collect();
    sleep(BEFORE_KILL);
    if is_troubled {
        nodes.iter_mut().try_for_each(Node::kill)?;
        record.note("all routers are killed".to_owned());
    }
    let got: Vec<u64> = readers
        .into_iter()
        .map(|one| one.join().unwrap_or(0))
        .collect();
    if is_troubled {
        sleep(AWAY);
        nodes.iter_mut().try_for_each(Node::restart)?;
        let ids = nodes.iter().map(|node| node.id().to_string());
        std::fs::write(
            place.temporary.join("node.pid"),
            ids.collect::<Vec<_>>().join(" "),
        )?;
        nodes.iter().try_for_each(Node::wait_until_ready)?;
        record.note("all routers are ready again".to_owned());
    }
    sleep(IN_TOUCH);
    let taken_up: Vec<_> = (0..STREAMS)
        .map(|stream| {
            let (router, record, last) =
                (routers[(stream + 1) % ROUTERS], record.clone(), got[stream]);
            spawn(move || {
                last > 0
                    && (0..TRIES).any(|attempt| {
                        let begun = format!("stream-{stream}");
                        let id = format!("{begun}-again-{attempt}");
                        let goes_on =
                            read_stream(router, &id, Some((&begun, last)), None, last + 1, &record)
                                == last + 1;
                        if !goes_on {
                            sleep(Duration::from_secs(1));
                        }
                        goes_on
                    })
            })
        })
        .collect();
    let new: Vec<_> = (0..STREAMS)
        .map(|stream| {
            let (router, record) = (routers[stream % ROUTERS], record.clone());
            spawn(move || {
                read_stream(router, &format!("new-{stream}"), None, None, 1, &record) == 1
            })
        })
        .collect();
    let count = |threads: Vec<std::thread::JoinHandle<bool>>| {
        let ended = threads.into_iter().map(|one| one.join().unwrap_or(false));
        ended.filter(|is_served| *is_served).count()
    };
    let broken_off = got.iter().filter(|last| **last > 0).count();
    let (went_on, began) = (count(taken_up), count(new));
    let summary = format!(
        "{went_on} of {broken_off} streams that were taken up went on, {began} of {STREAMS} new ones began"
    );
    record.note(summary.clone());
    println!("{summary}");
    if broken_off < 12 {
        return Err(std::io::Error::other("too few streams to take up"));
    }
    Ok(2 * went_on * STREAMS < began * broken_off)
}

/// Reads a stream until it breaks off, until a time, or until an event. Returns the number of the last event.
fn read_stream(
    router: SocketAddr,
    id: &str,
    begun: Option<(&str, u64)>,
    leaves: Option<Instant>,
    until: u64,
    record: &Record,
) -> u64 {
    let more =
        begun.map(|(attempt, last)| format!("Last-Event-Id: {last}\r\nResumes: {attempt}\r\n"));
    let text = request(
        "POST",
        "/line/explain",
        id,
        Some(KEY),
        DEADLINE_MS,
        &more.unwrap_or_default(),
        0,
    );
    let mut last = begun.map_or(0, |(_, last)| last);
    let mut status = "no answer".to_owned();
    let mut exchange = || -> std::io::Result<()> {
        let stream = std::net::TcpStream::connect_timeout(&router, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut connection = Connection::new(stream);
        connection.send(text.as_bytes())?;
        let Some(head) = connection.read_head()? else {
            return Ok(());
        };
        status = head.start.clone();
        if !head.start.contains(" 200") {
            let reason = connection.read_bytes(head.length())?;
            status += &format!(" {}", String::from_utf8_lossy(&reason));
            return Ok(());
        }
        let mut text = Vec::new();
        while last < until && leaves.is_none_or(|leaves| Instant::now() < leaves) {
            let byte = connection.read_bytes(1)?;
            if byte.is_empty() {
                break;
            }
            text.extend(byte);
            if text.ends_with(b"\n\n") {
                let line = String::from_utf8_lossy(&text).into_owned();
                let number = line
                    .lines()
                    .find_map(|line| line.strip_prefix("id: ")?.parse().ok());
                last = number.unwrap_or(last);
                text.clear();
            }
        }
        Ok(())
    };
    let outcome = exchange();
    record.note(format!(
        "{id} gets {status:?} and events up to {last} ({outcome:?})"
    ));
    match status.contains(" 200") {
        true => last,
        false => 0,
    }
}

/// Starts a server of streams. Returns its address.
fn start_server(ip: &str, id: &str, record: Arc<Record>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let id = id.to_owned();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            spawn(move || serve(Connection::new(stream), &id, &record));
        }
    });
    Ok(address)
}

fn serve(mut connection: Connection, server: &str, record: &Record) {
    while let Ok(Some(head)) = connection.read_head() {
        if connection.read_bytes(head.length()).is_err()
            || answer(&mut connection, &head, server, record).is_err()
        {
            return;
        }
    }
}

fn answer(
    connection: &mut Connection,
    head: &Message,
    server: &str,
    record: &Record,
) -> std::io::Result<()> {
    let Some(id) = head.header(name("id")) else {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}: {server}\r\nContent-Length: 2\r\n\r\n{{}}",
            name("instance")
        );
        return connection.send(text.as_bytes());
    };
    let last = head
        .header("Last-Event-Id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    record.note(format!("{server} runs {id} after event {last}"));
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal.{id}\r\n{}: 1,0,64\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        name("id"),
        name("signature"),
        name("load"),
    );
    connection.send(text.as_bytes())?;
    for event in last + 1..=EVENTS {
        sleep(EVENT_GAP);
        let text = format!("id: {event}\ndata: piece {event} by {server}\n\n");
        connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    connection.send(b"0\r\n\r\n")
}
