//! A stand-in for the platform's store: rows, their feed and transactions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::Connection;
use crate::names::name;

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

/// The store.
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts it on a free port.
    pub fn start(ip: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            rows: Mutex::new(Rows {
                version: 10,
                ..Rows::default()
            }),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = store.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row as its writer would.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().expect("no panic before");
        rows.version += 1;
        let version = rows.version;
        let at = (table.to_owned(), key.to_owned());
        rows.rows.insert(at, (Some(base64(value)), version));
        self.changed.notify_all();
    }

    /// Removes a row as its writer, or the platform, would.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("no panic before");
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert((table.to_owned(), key.to_owned()), (None, version));
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_bytes(head.length()) else {
                return;
            };
            std::thread::sleep(Duration::from_millis(3));
            let (status, answer) = self.answer(head.path(), &body);
            let text = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if connection.send(format!("{head}{text}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> f64 {
        1_000.0 + self.started.elapsed().as_secs_f64() * 1_000.0
    }

    fn answer(&self, path: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |wanted: &str| {
            let mut fields = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = fields.find(|(key, _)| *key == wanted);
            found.map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
        };
        let table = field("Table").unwrap_or_default();
        if path == name("get") {
            let (from, to) = (field("From"), field("To"));
            let rows = self.rows.lock().expect("no panic before");
            let found = rows.rows.iter().filter(|((one, key), (value, _))| {
                *one == table
                    && value.is_some()
                    && from.as_ref().is_none_or(|from| key >= from)
                    && to.as_ref().is_none_or(|to| key < to)
            });
            let found: Vec<Value> = found.map(|(at, row)| row_json(at, row)).collect();
            let answer = json!({"Rows": found, "HasMore": false, "Ver": rows.version, "NowMs": self.now_ms()});
            return (200, answer);
        }
        if path == name("feed") {
            let number = |wanted| {
                field(wanted)
                    .and_then(|text| text.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let (after, wait_ms) = (number("AfterRev"), number("WaitMs"));
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let mut rows = self.rows.lock().expect("no panic before");
            loop {
                let found = rows.rows.iter();
                let found =
                    found.filter(|((one, _), (_, version))| *one == table && *version > after);
                let mut found: Vec<_> = found.collect();
                found.sort_by_key(|(_, (_, version))| *version);
                let left = until.saturating_duration_since(Instant::now());
                if !found.is_empty() || left.is_zero() {
                    let found: Vec<Value> = found
                        .into_iter()
                        .map(|(at, row)| row_json(at, row))
                        .collect();
                    let answer =
                        json!({"Rows": found, "Ver": rows.version, "NowMs": self.now_ms()});
                    return (200, answer);
                }
                rows = self
                    .changed
                    .wait_timeout(rows, left)
                    .expect("no panic before")
                    .0;
            }
        }
        if path == name("change") {
            let Ok(change) = serde_json::from_slice::<Value>(body) else {
                return (400, json!({}));
            };
            return self.change(&change);
        }
        (404, json!({}))
    }

    fn change(&self, change: &Value) -> (u16, Value) {
        let entries = |kind: &str| change[kind].as_array().cloned().unwrap_or_default();
        let at = |entry: &Value| {
            let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
            (text("Table"), text("Key"))
        };
        let mut rows = self.rows.lock().expect("no panic before");
        for expected in entries("Expected") {
            let known = rows
                .rows
                .get(&at(&expected))
                .filter(|(value, _)| value.is_some());
            let version = known.map_or(0, |(_, version)| *version);
            if expected["Ver"].as_u64() != Some(version) {
                return (
                    412,
                    json!({"Rows": [], "Ver": rows.version, "NowMs": self.now_ms()}),
                );
            }
        }
        rows.version += 1;
        let version = rows.version;
        for written in entries("Writes") {
            let value = written["Value"].as_str().map(str::to_owned);
            rows.rows.insert(at(&written), (value, version));
        }
        for removed in entries("Remove") {
            rows.rows.insert(at(&removed), (None, version));
        }
        self.changed.notify_all();
        (200, json!({"Ver": version, "NowMs": self.now_ms()}))
    }
}

fn row_json((table, key): &(String, String), (value, version): &(Option<String>, u64)) -> Value {
    match value {
        Some(value) => {
            json!({"Table": table, "part": "", "Key": key, "Value": value, "Ver": version})
        }
        None => json!({"Table": table, "part": "", "Key": key, "Deleted": true, "Ver": version}),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    text
}
