//! Callers on kept connections read a part of a long answer, pause, and read on long before their deadline.

use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::server::Answers;
use crate::{Fleet, KEY, Place, request};

const CALLERS: usize = 8;
/// The length of a long answer, and how much of it is read before the pause.
const ANSWER_BYTES: usize = 600_000;
const FIRST_BYTES: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(4_000);
const DEADLINE_MS: u64 = 15_000;
/// More requests than this on kept connections may not end without a whole answer.
const ALLOWED: usize = 3;

pub fn run(place: &Place) -> std::io::Result<bool> {
    let body_bytes = |path: &str| {
        if path.ends_with("/list") {
            ANSWER_BYTES
        } else {
            800
        }
    };
    let answers = Answers {
        work_ms: 30,
        body_bytes,
        is_stream: false,
        is_recorded: true,
    };
    let fleet = Arc::new(Fleet::start(place, ("plant-app", 3, 6), answers)?);
    let mut connections = Vec::new();
    for caller in 0..CALLERS {
        let mut connection = fleet.node.connect(Duration::from_secs(20))?;
        let text = request(
            "POST",
            "/label/first",
            &format!("first-{caller}"),
            Some(KEY),
            DEADLINE_MS,
            "",
            0,
        );
        connection.send(text.as_bytes())?;
        let head = connection.read_head()?;
        let head = head.ok_or_else(|| std::io::Error::other("no answer to a first request"))?;
        if !head.start.contains(" 200")
            || connection.read_bytes(head.length())?.len() != head.length()
        {
            return Err(std::io::Error::other("a first request was not served"));
        }
        connections.push(connection);
    }
    // The settings file has changed, as it may at any time: the same words in it here.
    fleet.node.hang_up()?;
    fleet.record.note("the router gets SIGHUP".to_owned());
    sleep(Duration::from_millis(300));
    let callers = connections.into_iter().enumerate().map(|(caller, mut connection)| {
        let fleet = fleet.clone();
        spawn(move || {
            let id = format!("second-{caller}");
            let text = request("POST", "/label/list", &id, Some(KEY), DEADLINE_MS, "", 0);
            let since = Instant::now();
            fleet.record.note(format!("{id} is sent on a kept connection"));
            let mut got = 0;
            let mut exchange = || -> std::io::Result<()> {
                connection.send(text.as_bytes())?;
                let head = connection.read_head()?;
                let head = head.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
                got += connection.read_bytes(FIRST_BYTES.min(head.length()))?.len();
                if fleet.is_troubled {
                    sleep(PAUSE);
                }
                while got < head.length() {
                    let part = connection.read_bytes((16 * 1024).min(head.length() - got))?.len();
                    if part == 0 {
                        return Err(std::io::Error::other("ended early"));
                    }
                    got += part;
                }
                Ok(())
            };
            let outcome = exchange();
            let took_ms = since.elapsed().as_millis();
            fleet.record.note(format!("{id} ends after {took_ms} ms of {DEADLINE_MS}, {got} bytes of {ANSWER_BYTES}: {outcome:?}"));
            outcome.is_err() && took_ms < u128::from(DEADLINE_MS)
        })
    });
    let callers: Vec<_> = callers.collect();
    let lost = callers
        .into_iter()
        .filter_map(|one| one.join().ok())
        .filter(|is_lost| *is_lost)
        .count();
    fleet.record.note(format!(
        "{lost} of {CALLERS} requests ended without a whole answer"
    ));
    println!("ended without a whole answer: {lost} of {CALLERS}");
    Ok(lost > ALLOWED)
}
