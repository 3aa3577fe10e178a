//! Callers send prompts of many parts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::names::name;
use crate::server::Answers;
use crate::{Fleet, KEY, Place, request};

const CALLERS: usize = 16;
const LASTS: Duration = Duration::from_secs(75);
/// The parts of a prompt: its head stays under the 16,384 bytes of the configuration.
const PARTS: usize = 1_570;
/// The share of a core that the machine has.
const SHARE: f64 = 0.25;
/// The memory of the machine, in kilobytes.
const MEMORY_KB: u64 = 260_000_000 / 1_024;

pub fn run(place: &Place) -> std::io::Result<bool> {
    let answers = Answers {
        work_ms: 0,
        body_bytes: |_| 0,
        is_stream: true,
        is_recorded: false,
    };
    let mut fleet = Fleet::start(place, ("cacao-assist", 1, 64), answers)?;
    fleet.node.limit_processor(SHARE);
    let parts = if fleet.is_troubled { PARTS } else { 3 };
    fleet
        .record
        .note(format!("{CALLERS} callers send prompts of {parts} parts"));
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, sent, served) = (is_over.clone(), sent.clone(), served.clone());
            let connection = fleet.node.connect(Duration::from_secs(10));
            spawn(move || -> std::io::Result<()> {
                let mut connection = connection?;
                let mut draw = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(caller as u64 + 1);
                let mut turn = 0;
                while !is_over.load(Ordering::Relaxed) {
                    turn += 1;
                    let list: Vec<String> = (0..parts)
                        .map(|_| {
                            draw = draw
                                .wrapping_mul(6_364_136_223_846_793_005)
                                .wrapping_add(1_442_695_040_888_963_407);
                            format!("{:07x}:1", draw >> 36)
                        })
                        .collect();
                    let more = format!(
                        "{}: m\r\n{}: {parts},10\r\n{}: {}\r\n",
                        name("model"),
                        name("tokens"),
                        name("prompt"),
                        list.join(","),
                    );
                    let id = format!("prompt-{caller}-{turn}");
                    let text = request("POST", "/recipe/brief", &id, Some(KEY), 6_000, &more, 0);
                    connection.send(text.as_bytes())?;
                    sent.fetch_add(1, Ordering::Relaxed);
                    let Some(head) = connection.read_head()? else {
                        return Ok(());
                    };
                    if head.start.contains(" 200") {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    match head.header("content-length") {
                        Some(_) => drop(connection.read_bytes(head.length())?),
                        None => {
                            while connection.read_bytes(1)?[..] != *b"0"
                                || connection.read_bytes(4)? != b"\r\n\r\n"
                            {
                            }
                        }
                    }
                }
                Ok(())
            })
        })
        .collect();
    let (started, mut peak_kb) = (Instant::now(), 0);
    let (mut noted, before_us) = (0, fleet.node.processor_us());
    // The platform would end the process then.
    while started.elapsed() < LASTS && peak_kb <= MEMORY_KB && fleet.node.is_running() {
        peak_kb = peak_kb.max(fleet.node.resident_kb().unwrap_or(0));
        if started.elapsed().as_secs() > noted {
            noted = started.elapsed().as_secs();
            let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
            fleet.record.note(format!(
                "{sent} requests sent, {served} served, the router held {peak_kb} kB at most"
            ));
        }
        sleep(Duration::from_millis(50));
    }
    let used_us = fleet.node.processor_us() - before_us;
    let used = used_us as f64 / started.elapsed().as_micros() as f64;
    fleet
        .record
        .note(format!("the router ran on {used:.3} of a core"));
    is_over.store(true, Ordering::Relaxed);
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    fleet.record.note(format!(
        "the router held {peak_kb} kB at most; its machine has {MEMORY_KB} kB"
    ));
    drop(fleet);
    callers.into_iter().for_each(|one| drop(one.join()));
    println!(
        "sent {sent}, served {served}, ran on {used:.3} of a core, held at most {peak_kb} kB of {MEMORY_KB} kB"
    );
    Ok(peak_kb > MEMORY_KB)
}
