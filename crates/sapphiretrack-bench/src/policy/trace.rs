//! The requests and faults of a run, generated in advance so that all policies get the same ones.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::hash_parts;

use super::scenario::Scenario;

/// Length of the prompt prefix that all chats of a workspace share.
const PREFIX_TOKENS: u32 = 600;
/// Mean number of tokens that a caller adds with each request.
const QUESTION_TOKENS: f64 = 120.0;
/// Mean number of tokens of an answer.
const ANSWER_TOKENS: f64 = 140.0;
/// Time for which a caller keeps using the address of an entry router.
const ADDRESS_TTL_US: u64 = 30_000_000;
/// Fraction of the chats that are assigned to large workspaces only; the others are spread over all
/// workspaces.
const LARGE_WORKSPACES_FRACTION: f64 = 0.6;
/// Number of large workspaces.
const LARGE_WORKSPACES: usize = 3;
/// Number of large workspaces that send more requests during the surge.
const SURGING_WORKSPACES: usize = 2;

/// One request of a chat and the router that receives it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    pub(crate) at_us: u64,
    pub(crate) chat: u64,
    pub(crate) workspace: u64,
    pub(crate) prefix_tokens: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) is_urgent: bool,
    pub(crate) sends_value: bool,
    pub(crate) router: usize,
}

/// A change of the servers or of the connections between routers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    /// A server that is down starts and joins.
    Join,
    /// A server begins to leave; it stops when its requests have ended.
    Leave,
    /// A server fails.
    Fail,
    /// A server fails, restarts and fails again 12 s after the first failure.
    Flap,
    /// Two routers cannot reach each other; if both are the same, it cannot reach any other router.
    Partition {
        first: usize,
        second: usize,
        duration_us: u64,
    },
}

/// The requests and changes of a run, each sorted by time.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) turns: Vec<Turn>,
    pub(crate) changes: Vec<(u64, Change)>,
}

/// The state of a chat while its requests are generated.
struct Chat {
    key: u64,
    workspace: usize,
    history_tokens: u32,
    next_us: u64,
}

impl Trace {
    pub(crate) fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut turns = draw_turns(scenario, &mut random);
        turns.sort_by_key(|turn| (turn.at_us, turn.chat));
        let mut changes = Vec::new();
        let joins = scenario.joins_per_min;
        draw_changes(
            scenario,
            &mut random,
            joins,
            &mut changes,
            |random| match random.random_bool(0.5) {
                true => Change::Join,
                false => Change::Leave,
            },
        );
        let fails = scenario.fails_per_min;
        draw_changes(
            scenario,
            &mut random,
            fails,
            &mut changes,
            |random| match random.random_bool(0.3) {
                true => Change::Flap,
                false => Change::Fail,
            },
        );
        let partitions = scenario.partitions_per_min;
        let routers = scenario.routers;
        draw_changes(scenario, &mut random, partitions, &mut changes, |random| {
            Change::Partition {
                first: random.random_range(0..routers),
                second: random.random_range(0..routers),
                duration_us: random.random_range(1_000_000..9_000_000),
            }
        });
        changes.sort_by_key(|(at_us, _)| *at_us);
        Self { turns, changes }
    }
}

fn draw_turns(scenario: &Scenario, random: &mut ChaCha8Rng) -> Vec<Turn> {
    // The mean pause at which all chats together send `rate_per_s` requests per second.
    let cycle_s = scenario.chats as f64 / scenario.rate_per_s;
    let surge = (scenario.end_us() / 3)..(scenario.end_us() * 2 / 3);
    let mut turns = Vec::new();
    let mut next_key = 0;
    for _ in 0..scenario.chats {
        let first_us = (random.random::<f64>() * cycle_s * 1e6) as u64;
        let mut chat = new_chat(scenario, random, &mut next_key, first_us);
        while chat.next_us < scenario.end_us() {
            turns.push(draw_turn(scenario, random, &mut chat));
            let is_surging = chat.workspace < SURGING_WORKSPACES && surge.contains(&chat.next_us);
            let rate_multiple = if is_surging {
                scenario.surge_multiple
            } else {
                1.0
            };
            let pause_s =
                MIN_PAUSE_S + exponential(random, (cycle_s / rate_multiple - MIN_PAUSE_S).max(0.5));
            chat.next_us += (pause_s * 1e6) as u64;
            if random.random_bool(1.0 / scenario.turns.max(1.0)) {
                chat = new_chat(scenario, random, &mut next_key, chat.next_us);
            }
        }
    }
    turns
}

/// Minimum pause between two requests of a chat.
const MIN_PAUSE_S: f64 = 6.0;

fn new_chat(
    scenario: &Scenario,
    random: &mut ChaCha8Rng,
    next_key: &mut u64,
    next_us: u64,
) -> Chat {
    *next_key += 1;
    let large = LARGE_WORKSPACES.min(scenario.workspaces);
    let workspace = match random.random_bool(LARGE_WORKSPACES_FRACTION) {
        true => random.random_range(0..large),
        false => random.random_range(0..scenario.workspaces),
    };
    Chat {
        key: hash_parts(&[b"chat", &next_key.to_le_bytes()]),
        workspace,
        history_tokens: PREFIX_TOKENS,
        next_us,
    }
}

fn draw_turn(scenario: &Scenario, random: &mut ChaCha8Rng, chat: &mut Chat) -> Turn {
    let question = 20 + exponential(random, QUESTION_TOKENS - 20.0) as u32;
    let answer = 20 + exponential(random, ANSWER_TOKENS - 20.0) as u32;
    let prompt_tokens = chat.history_tokens + question;
    chat.history_tokens = prompt_tokens + answer;
    let period = chat.next_us / ADDRESS_TTL_US;
    let router = hash_parts(&[&chat.key.to_le_bytes(), &period.to_le_bytes()]);
    Turn {
        at_us: chat.next_us,
        chat: chat.key,
        workspace: hash_parts(&[b"workspace", &(chat.workspace as u64).to_le_bytes()]),
        prefix_tokens: PREFIX_TOKENS,
        prompt_tokens,
        answer_tokens: answer,
        is_urgent: random.random_bool(scenario.urgent_fraction),
        sends_value: random.random_bool(scenario.caller_value_chance),
        router: (router % scenario.routers as u64) as usize,
    }
}

fn draw_changes<Draw>(
    scenario: &Scenario,
    random: &mut ChaCha8Rng,
    per_min: f64,
    changes: &mut Vec<(u64, Change)>,
    draw: Draw,
) where
    Draw: Fn(&mut ChaCha8Rng) -> Change,
{
    if per_min <= 0.0 {
        return;
    }
    let mut at_us = exponential(random, 60e6 / per_min) as u64;
    while at_us < scenario.end_us() {
        changes.push((at_us, draw(random)));
        at_us += 1 + exponential(random, 60e6 / per_min) as u64;
    }
}

fn exponential(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random();
    -mean * (1.0 - uniform).ln()
}
