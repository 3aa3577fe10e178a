//! Injects faults while the requests run.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_fakes::{EngineFaults, PlatformFaults, ServiceFaults};
use sapphiretrack_tests::{Fleet, Member};

use crate::requests::Shared;
use crate::{ANSWER_TOKENS, REQUESTS, SEED};

/// Sets randomly chosen faults of one fake, and ends those of the platform after a moment.
pub(crate) async fn inject_fault(fleet: &Fleet, random: &mut ChaCha8Rng) {
    let count = random.random_range(1..4);
    let servers: Vec<(SocketAddr, bool)> = fleet
        .servers
        .iter()
        .map(|member| (member.vm.address, member.vm.name.starts_with("engine")))
        .collect();
    let (address, is_engine) = servers[random.random_range(0..servers.len())];
    if random.random_bool(0.3) {
        let faults = match random.random_range(0..4) {
            0 => PlatformFaults {
                lose_replies: count,
                ..Default::default()
            },
            1 => PlatformFaults {
                lose_requests: count,
                ..Default::default()
            },
            2 => PlatformFaults {
                delay_ms: 150,
                ..Default::default()
            },
            _ => PlatformFaults {
                down: true,
                ..Default::default()
            },
        };
        fleet.set_faults(fleet.platform_address, &faults).await;
    } else if is_engine {
        let base = EngineFaults {
            cut_after_tokens: random.random_range(0..ANSWER_TOKENS),
            stall_ms: 1_500,
            ..EngineFaults::default()
        };
        let faults = match random.random_range(0..5) {
            0 => EngineFaults {
                cut_streams: count,
                ..base
            },
            1 => EngineFaults {
                crossed: count,
                ..base
            },
            2 => EngineFaults {
                refuse: count,
                ..base
            },
            3 => EngineFaults {
                crossed_pieces: count,
                ..base
            },
            _ => EngineFaults {
                stalled_streams: count,
                ..base
            },
        };
        fleet.set_faults(address, &faults).await;
    } else {
        let faults = match random.random_range(0..4) {
            0 => ServiceFaults {
                refuse: count,
                ..Default::default()
            },
            1 => ServiceFaults {
                lose_replies: count,
                ..Default::default()
            },
            2 => ServiceFaults {
                crossed: count,
                ..Default::default()
            },
            _ => ServiceFaults {
                late_replies: count,
                late_ms: 500,
                ..Default::default()
            },
        };
        fleet.set_faults(address, &faults).await;
    }
    tokio::time::sleep(Duration::from_millis(random.random_range(20..120))).await;
    fleet
        .set_faults(fleet.platform_address, &PlatformFaults::default())
        .await;
}

/// Kills, pauses and replaces routers and injects faults into the fakes until the callers are done.
pub(crate) async fn inject_faults(fleet: &mut Fleet, shared: &Shared) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut rounds: u32 = 0;
    let mut stopping = None;
    while !shared.done.load(Ordering::Relaxed) {
        rounds += 1;
        inject_fault(fleet, &mut random).await;
        let router = random.random_range(1..fleet.routers.len());
        if rounds.is_multiple_of(7) {
            fleet.routers[router].process.signal("STOP").await;
            let pause = Duration::from_millis(random.next_u64() % 600);
            tokio::time::sleep(pause).await;
            fleet.routers[router].process.signal("CONT").await;
        }
        if rounds.is_multiple_of(25) && shared.next.load(Ordering::Relaxed) < REQUESTS {
            let url = fleet.caller_url(router);
            shared.killed.lock().expect("no thread panicked").push(url);
            fleet.routers[router].process.kill().await;
            drop(replace_router(fleet, shared, router, rounds).await);
        }
        if rounds == 30 {
            // The first router is never killed or paused before its planned stop.
            fleet.routers[0].process.signal("TERM").await;
            let mut member = replace_router(fleet, shared, 0, rounds).await;
            stopping = Some(tokio::spawn(async move { member.process.wait().await }));
        }
    }
    let code = stopping
        .expect("the run is long enough for a planned stop")
        .await;
    assert_eq!(
        code.expect("no thread panicked"),
        Some(0),
        "the planned stop is clean"
    );
}

/// Replaces a router that callers use by a new one and returns the old one.
pub(crate) async fn replace_router(
    fleet: &mut Fleet,
    shared: &Shared,
    index: usize,
    round: u32,
) -> Member {
    let replaced = fleet.routers.remove(index);
    let name = format!("router-new-{round}-{index}");
    fleet.add_router(&name, index).await;
    fleet.publish().await;
    let urls = (0..fleet.routers.len()).map(|router| fleet.caller_url(router));
    *shared.urls.lock().expect("no thread panicked") = urls.collect();
    replaced
}
