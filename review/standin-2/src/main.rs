//! Runs one case of the review: `review-standin-2 CASE PROGRAM FOLDER TEMPORARY_FOLDER`. `TROUBLE=0` leaves the disruption out. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod blamed;
mod hang;
mod http;
mod names;
mod node;
mod ordinary;
mod prompts;
mod record;
mod rejoin;
mod server;
mod slow;
mod store;
mod unfinished;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use names::name;
use node::Node;
use record::Record;
use server::Answers;
use store::Store;

/// The host of all routes.
pub const HOST: &str = "hall.example";
/// The only key.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A router, its store and its servers.
pub struct Fleet {
    /// The router.
    pub node: Node,
    /// What happened.
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub is_troubled: bool,
    _store: Arc<Store>,
}

impl Fleet {
    /// Starts a router before `count` servers of a service.
    pub fn start(
        place: &Place,
        service: (&str, usize, u32),
        answers: Answers,
    ) -> std::io::Result<Self> {
        let record = Arc::new(Record::create(&place.folder.join("record.txt"))?);
        let number = std::process::id();
        let ip = format!(
            "127.{}.{}.{}",
            20 + number % 200,
            1 + number / 200 % 250,
            1 + number / 50_000 % 250
        );
        let store = Store::start(&ip)?;
        store.put("op", "config", include_bytes!("../config.json"));
        let (service, count, slots) = service;
        for index in 1..=count {
            let id = format!("i-{service}-{index}");
            let address = server::start(&ip, &id, answers.clone(), record.clone())?;
            store.put("servers", &id, &server::entry(service, address, slots));
        }
        let node = Node::start(&place.program, &place.temporary, &ip, store.address)?;
        record.note("the router is ready".to_owned());
        let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
        Ok(Self {
            node,
            record,
            is_troubled,
            _store: store,
        })
    }
}

/// Where a case runs.
pub struct Place {
    program: PathBuf,
    folder: PathBuf,
    temporary: PathBuf,
}

/// The head of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
    deadline_ms: u64,
    more: &str,
    body_bytes: usize,
) -> String {
    let key = key
        .map(|key| format!("{}: {key}\r\n", name("key")))
        .unwrap_or_default();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{key}{}: {deadline_ms}\r\n{more}Content-Length: {body_bytes}\r\n\r\n",
        name("id"),
        name("deadline"),
    )
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, temporary] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE PROGRAM FOLDER TEMPORARY_FOLDER");
        return ExitCode::from(2);
    };
    let place = Place {
        program: PathBuf::from(program),
        folder: PathBuf::from(folder),
        temporary: PathBuf::from(temporary),
    };
    let result = run(case, &place);
    // All routers have ended by now: their ids may belong to others.
    let _ = std::fs::remove_file(place.temporary.join("node.pid"));
    match result {
        Ok(true) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule was broken.
fn run(case: &str, place: &Place) -> std::io::Result<bool> {
    match case {
        "blamed" => blamed::run(place),
        "hang" => hang::run(place),
        "slow" => slow::run(place),
        "prompts" => prompts::run(place),
        "rejoin" => rejoin::run(place),
        "unfinished" => unfinished::run(place),
        _ => Err(std::io::Error::other("no such case")),
    }
}
