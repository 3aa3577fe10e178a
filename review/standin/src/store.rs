//! The platform's store: rows, their changes, and transactions, all sound.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::Json;
use crate::words::word;

#[derive(Default)]
struct Rows {
    version: u64,
    /// Values (none if removed) and versions by table, partition and key.
    rows: BTreeMap<(String, String, String), (Option<String>, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            started: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert(key, (Some(base64(value.as_bytes())), version));
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(call) = connection.read().filter(|call| call.is_complete) {
            let (status, body) = self.answer(&call);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            );
            if connection
                .send(&[head.as_bytes(), body.as_bytes()].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| decode(value)).unwrap_or_default()
        };
        let table = field("Table");
        if path == word("read-path") {
            let (from, to) = (field("From"), field("To"));
            let rows = self.rows.lock().expect("not poisoned");
            return (
                "200 OK",
                self.listing(&rows, &table, |key, value, _| {
                    value.is_some() && *key >= from && (to.is_empty() || *key < to)
                }),
            );
        }
        if path == word("watch-path") {
            let after: u64 = field("AfterRev").parse().unwrap_or(0);
            let until =
                Instant::now() + Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
            let mut rows = self.rows.lock().expect("not poisoned");
            loop {
                let changed = rows
                    .rows
                    .iter()
                    .any(|(key, (_, version))| key.0 == table && *version > after);
                let left = until.saturating_duration_since(Instant::now());
                if changed || left.is_zero() {
                    return (
                        "200 OK",
                        self.listing(&rows, &table, |_, _, version| version > after),
                    );
                }
                rows = self
                    .changed
                    .wait_timeout(rows, left)
                    .expect("not poisoned")
                    .0;
            }
        }
        if path == word("write-path") {
            thread::sleep(Duration::from_millis(3));
            return self.transact(&Json::parse(&call.body));
        }
        ("404 Not Found", "{}".to_owned())
    }

    fn transact(&self, call: &Json) -> (&'static str, String) {
        let mut rows = self.rows.lock().expect("not poisoned");
        let key = |row: &Json| {
            let part = |name: &str| row.get(name).text().to_owned();
            (part("Table"), part("part"), part("Key"))
        };
        let is_met = call.get("Expected").items().iter().all(|row| {
            let found = rows
                .rows
                .get(&key(row))
                .filter(|(value, _)| value.is_some());
            found.map_or(0, |(_, version)| *version) == row.get("Ver").number() as u64
        });
        if !is_met {
            return (
                "412 Precondition Failed",
                self.listing(&rows, "", |_, _, _| false),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("Writes").items() {
            let value = Some(row.get("Value").text().to_owned());
            rows.rows.insert(key(row), (value, version));
        }
        for row in call.get("Remove").items() {
            rows.rows.insert(key(row), (None, version));
        }
        self.changed.notify_all();
        ("200 OK", self.listing(&rows, "", |_, _, _| false))
    }

    /// The rows of a table with an empty partition that are wanted, and the version and clock of the store.
    fn listing(
        &self,
        rows: &Rows,
        table: &str,
        is_wanted: impl Fn(&String, &Option<String>, u64) -> bool,
    ) -> String {
        let found = rows
            .rows
            .iter()
            .filter(|((of, part, key), (value, version))| {
                of == table && part.is_empty() && is_wanted(key, value, *version)
            });
        let found: Vec<String> = found
            .map(|((table, _, key), (value, version))| match value {
                Some(value) => format!(
                    "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{value}\",\"Ver\":{version}}}"
                ),
                None => format!(
                    "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Ver\":{version},\"Deleted\":true}}"
                ),
            })
            .collect();
        let now_ms = self.started.elapsed().as_millis() + 51_230;
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{},\"NowMs\":{now_ms}}}",
            found.join(","),
            rows.version
        )
    }
}

/// Decodes `%XX` in a query.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        bytes.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit > three.len() {
                '='
            } else {
                DIGITS[value as usize] as char
            });
        }
    }
    text
}
