//! Which faults come when: a function of the seed alone.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::soak::faults::Fault;
use crate::soak::settings::SoakSettings;

/// Kinds of faults.
const KINDS: u32 = 18;
/// Sets the faults' choices apart from the load's.
const FAULT_STREAM: u64 = 0xfa01;

/// A fault and when it comes, from the start of the load.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlannedFault {
    /// When.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// All faults of a soak, in the order of their times.
pub fn plan(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed ^ FAULT_STREAM);
    let end_ms = settings.minutes * 60_000.0;
    let mut at_ms = 0.0;
    let mut planned = Vec::new();
    loop {
        let uniform: f64 = random.random();
        at_ms += -(1.0 - uniform).ln() * settings.fault_mean_ms;
        let enough = settings.max_faults > 0 && planned.len() >= settings.max_faults;
        if at_ms > end_ms || enough {
            return planned;
        }
        planned.push(PlannedFault {
            at_ms: at_ms as u64,
            fault: draw(&mut random),
        });
    }
}

fn draw(random: &mut ChaCha8Rng) -> Fault {
    let kind = random.random_range(0..KINDS);
    if kind < 9 {
        draw_of_routers_and_engines(kind, random)
    } else {
        draw_of_services_and_platform(kind, random)
    }
}

fn draw_of_routers_and_engines(kind: u32, random: &mut ChaCha8Rng) -> Fault {
    let which = index(random);
    match kind {
        0 => Fault::KillRouter {
            router: which,
            gone_ms: random.random_range(0..4_000),
        },
        1 => Fault::PauseRouter {
            router: which,
            pause_ms: random.random_range(500..6_000),
        },
        2 => Fault::StopRouter {
            router: which,
            by_operator: random.random(),
        },
        3 => Fault::CutStreams {
            engine: which,
            streams: random.random_range(1..8),
            after_tokens: random.random_range(0..20),
        },
        4 => Fault::CrossReplies {
            engine: which,
            replies: random.random_range(1..6),
        },
        5 => Fault::RefuseRequests {
            engine: which,
            requests: random.random_range(1..10),
        },
        6 => Fault::FreezeEngine {
            engine: which,
            frozen_ms: random.random_range(200..5_000),
        },
        7 => Fault::LeaveEngine {
            engine: which,
            leaving_ms: random.random_range(1_000..6_000),
        },
        _ => Fault::RestartEngine { engine: which },
    }
}

fn draw_of_services_and_platform(kind: u32, random: &mut ChaCha8Rng) -> Fault {
    let which = index(random);
    match kind {
        9 => Fault::LoseServiceReplies {
            service: which,
            replies: random.random_range(1..6),
        },
        10 => Fault::CrossServiceReplies {
            service: which,
            replies: random.random_range(1..6),
        },
        11 => Fault::RefuseCalls {
            service: which,
            calls: random.random_range(1..6),
        },
        12 => Fault::FreezeService {
            service: which,
            frozen_ms: random.random_range(200..4_000),
        },
        13 => Fault::PlatformDown {
            down_ms: random.random_range(500..15_000),
        },
        14 => Fault::PlatformSlow {
            slow_ms: random.random_range(500..8_000),
            delay_ms: random.random_range(100..1_500),
        },
        15 => Fault::LosePlatformReplies {
            replies: random.random_range(1..5),
        },
        16 => Fault::LosePlatformRequests {
            requests: random.random_range(1..5),
        },
        _ => Fault::RaceOperators {
            routers: [which, index(random)],
            deployment: index(random),
        },
    }
}

fn index(random: &mut ChaCha8Rng) -> usize {
    random.random_range(0..1_000)
}
