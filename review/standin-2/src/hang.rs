//! Callers ask for long paths; others ask for a pallet meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::ordinary::ask_all;
use crate::server::Answers;
use crate::{Fleet, KEY, Place, request};

/// The callers that ask for long paths, and how often each asks.
const CROWD: usize = 120;
const INTERVAL: Duration = Duration::from_secs(2);
/// The length of a path: with the other lines, its head stays under the 16,384 bytes of the configuration.
const PATH_BYTES: usize = 15_900;
pub fn run(place: &Place) -> std::io::Result<bool> {
    let answers = Answers {
        work_ms: 30,
        body_bytes: |_| 800,
        is_stream: false,
        is_recorded: false,
    };
    let fleet = Arc::new(Fleet::start(place, ("plant-app", 3, 6), answers)?);
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let filler = if fleet.is_troubled { "/" } else { "a" };
    fleet.record.note(format!(
        "{CROWD} callers ask every two seconds for a path of {PATH_BYTES} bytes of {filler:?}"
    ));
    let crowd: Vec<_> = (0..CROWD)
        .map(|caller| {
            let (fleet, is_over, answered) = (fleet.clone(), is_over.clone(), answered.clone());
            spawn(move || press(&fleet, caller, filler, &is_over, &answered))
        })
        .collect();
    sleep(Duration::from_secs(4));
    let is_broken = ask_all(&fleet);
    is_over.store(true, Ordering::Relaxed);
    let served = answered.load(Ordering::Relaxed);
    fleet.record.note(format!("the crowd got {served} answers"));
    drop(fleet);
    crowd.into_iter().for_each(|one| drop(one.join()));
    Ok(is_broken)
}

/// Asks every two seconds, and no more than one request at a time. Every second caller has no key, and a path of no route.
fn press(fleet: &Fleet, caller: usize, filler: &str, is_over: &AtomicBool, answered: &AtomicUsize) {
    let (prefix, key) = match caller % 2 {
        0 => ("/pallet/", Some(KEY)),
        _ => ("/archive/", None),
    };
    let path = format!("{prefix}{}", filler.repeat(PATH_BYTES - prefix.len()));
    sleep(INTERVAL * caller as u32 / CROWD as u32);
    let mut open = None;
    let mut turn = 0;
    while !is_over.load(Ordering::Relaxed) {
        let since = Instant::now();
        turn += 1;
        let text = request(
            "GET",
            &path,
            &format!("crowd-{caller}-{turn}"),
            key,
            5_000,
            "",
            0,
        );
        let mut connection = match open.take() {
            Some(connection) => connection,
            None => match fleet.node.connect(Duration::from_secs(20)) {
                Ok(connection) => connection,
                Err(_) => return,
            },
        };
        if connection.send(text.as_bytes()).is_ok()
            && let Ok(Some(head)) = connection.read_head()
            && connection.read_bytes(head.length()).is_ok()
        {
            answered.fetch_add(1, Ordering::Relaxed);
            open = Some(connection);
        }
        sleep(INTERVAL.saturating_sub(since.elapsed()));
    }
}
