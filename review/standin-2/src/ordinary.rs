//! Ordinary callers that ask for a pallet while others press.

use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{Fleet, KEY, request};

/// The ordinary callers, and the time between two of them.
const CALLERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(200);
/// The route's longest time, and the half second of the rule after it.
const TIMEOUT_MS: u128 = 1_000;
const LATE_MS: u128 = TIMEOUT_MS + 500;
/// How long a caller waits here, so that the record shows when an answer comes at all.
const LIMIT: Duration = Duration::from_secs(12);

/// Lets them ask. Returns whether the rule was broken: of the requests that are still unanswered at their route's
/// timeout, eight or more, more than half have no answer half a second later.
pub fn ask_all(fleet: &Arc<Fleet>) -> bool {
    let started = Instant::now();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let asked = fleet.clone();
        callers.push(spawn(move || ask(&asked, number)));
        let is_ready = fleet.node.is_ready();
        fleet
            .record
            .note(format!("the router says that it is ready: {is_ready}"));
        sleep((PAUSE * (number as u32 + 1)).saturating_sub(started.elapsed()));
    }
    let ended = callers.into_iter().map(|one| one.join().ok().flatten());
    let ended: Vec<Option<u128>> = ended.collect();
    let took: Vec<u128> = ended.iter().flatten().copied().collect();
    let unconnected = ended.len() - took.len();
    let over = |limit_ms: u128| took.iter().filter(|took_ms| **took_ms > limit_ms).count();
    let (over_timeout, over_late) = (over(TIMEOUT_MS), over(LATE_MS));
    let never = over(LIMIT.as_millis());
    let summary = format!(
        "of {CALLERS} ordinary callers {unconnected} got no connection within a second; of {} requests {over_timeout} had \
         no answer after {TIMEOUT_MS} ms, {over_late} none after {LATE_MS} ms, {never} none at all",
        took.len()
    );
    fleet.record.note(summary.clone());
    println!("{summary}");
    over_timeout >= 8 && 2 * over_late > over_timeout
}

/// Asks for a pallet on a new connection. Returns how long the whole answer took, in milliseconds; `None` if there was
/// no connection within the second that callers allow for it.
fn ask(fleet: &Fleet, number: usize) -> Option<u128> {
    let id = format!("ordinary-{number}");
    let text = request("GET", "/pallet/7", &id, Some(KEY), 10_000, "", 0);
    let opened = fleet.node.connect(LIMIT);
    let Ok(mut connection) = opened else {
        fleet
            .record
            .note(format!("{id} gets no connection within a second"));
        return None;
    };
    let since = Instant::now();
    fleet.record.note(format!("{id} is sent"));
    let mut exchange = || -> std::io::Result<Option<String>> {
        connection.send(text.as_bytes())?;
        let Some(head) = connection.read_head()? else {
            return Ok(None);
        };
        let whole = connection.read_bytes(head.length())?.len() == head.length();
        Ok(whole.then(|| head.start.clone()))
    };
    let outcome = exchange();
    let took_ms = since.elapsed().as_millis();
    fleet
        .record
        .note(format!("{id} ends after {took_ms} ms: {outcome:?}"));
    Some(match outcome {
        Ok(Some(_)) => took_ms,
        _ => u128::MAX,
    })
}
