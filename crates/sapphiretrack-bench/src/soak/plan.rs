//! The plan of the faults and their times. It depends only on the settings and the seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::soak::faults::Fault;
use crate::soak::settings::SoakSettings;

/// Number of kinds of faults.
const FAULT_KINDS: u32 = 18;
/// XORed into the seed, so that the faults use other random numbers than the load.
const FAULT_SEED_MASK: u64 = 0xfa01;

/// A fault and its time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlannedFault {
    /// Time of the fault, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// Returns all faults of a soak in the order of their times.
pub fn plan(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed ^ FAULT_SEED_MASK);
    let end_ms = settings.minutes * 60_000.0;
    let mut at_ms = 0.0;
    let mut planned = Vec::new();
    loop {
        let uniform: f64 = random.random();
        at_ms += -(1.0 - uniform).ln() * settings.fault_mean_ms;
        let is_at_limit = settings.max_faults > 0 && planned.len() >= settings.max_faults;
        if at_ms > end_ms || is_at_limit {
            return planned;
        }
        planned.push(PlannedFault {
            at_ms: at_ms as u64,
            fault: draw_fault(&mut random),
        });
    }
}

fn draw_fault(random: &mut ChaCha8Rng) -> Fault {
    let kind = random.random_range(0..FAULT_KINDS);
    if kind < 9 {
        draw_router_or_engine_fault(kind, random)
    } else {
        draw_other_fault(kind, random)
    }
}

fn draw_router_or_engine_fault(kind: u32, random: &mut ChaCha8Rng) -> Fault {
    let target = draw_index(random);
    match kind {
        0 => Fault::KillRouter {
            router: target,
            gone_ms: random.random_range(0..4_000),
        },
        1 => Fault::PauseRouter {
            router: target,
            pause_ms: random.random_range(500..6_000),
        },
        2 => Fault::StopRouter {
            router: target,
            by_operator: random.random(),
        },
        3 => Fault::CutStreams {
            engine: target,
            streams: random.random_range(1..8),
            after_tokens: random.random_range(0..20),
        },
        4 => Fault::CrossReplies {
            engine: target,
            replies: random.random_range(1..6),
        },
        5 => Fault::RefuseRequests {
            engine: target,
            requests: random.random_range(1..10),
        },
        6 => Fault::FreezeEngine {
            engine: target,
            frozen_ms: random.random_range(200..5_000),
        },
        7 => Fault::LeaveEngine {
            engine: target,
            leaving_ms: random.random_range(1_000..6_000),
        },
        _ => Fault::RestartEngine { engine: target },
    }
}

fn draw_other_fault(kind: u32, random: &mut ChaCha8Rng) -> Fault {
    let target = draw_index(random);
    match kind {
        9 => Fault::LoseServiceReplies {
            service: target,
            replies: random.random_range(1..6),
        },
        10 => Fault::CrossServiceReplies {
            service: target,
            replies: random.random_range(1..6),
        },
        11 => Fault::RefuseCalls {
            service: target,
            calls: random.random_range(1..6),
        },
        12 => Fault::FreezeService {
            service: target,
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
            routers: [target, draw_index(random)],
            deployment: draw_index(random),
        },
    }
}

fn draw_index(random: &mut ChaCha8Rng) -> usize {
    random.random_range(0..1_000)
}
