//! Measures the latency of one placement decision by the number of servers.

use std::hint::black_box;
use std::time::Instant;

use sapphiretrack_routing::{
    Candidate, Distance, Incarnation, PlacementCosts, PrefixIndex, PromptPrefix, RequestFacts,
    choose_server, fetch_source, home_count, home_server, sample_candidates,
};

/// Pool sizes, up to the largest that the router is designed for.
const SERVERS: [u64; 4] = [12, 63, 600, 1_800];
/// Measured decisions for each pool size.
const DECISIONS_PER_SIZE: u64 = 20_000;
/// Distinct prompts of two shared prefixes each: the shared prefixes of a day of the larger fleet.
const PROMPTS: u64 = 2_000;

fn main() {
    println!("servers  p50 us  p99 us");
    for servers in SERVERS {
        let mut times_ns = measure_ns(servers);
        times_ns.sort_unstable();
        let quantile_us =
            |quantile: f64| times_ns[(times_ns.len() as f64 * quantile) as usize] as f64 / 1e3;
        println!(
            "{servers:>7} {:>7.1} {:>7.1}",
            quantile_us(0.5),
            quantile_us(0.99)
        );
    }
}

/// The latency of each decision in nanoseconds.
fn measure_ns(servers: u64) -> Vec<u64> {
    let mut prefix_index = PrefixIndex::default();
    let mut random = Lcg(1);
    let prefixes =
        |index: u64| [index, index + PROMPTS].map(|id| PromptPrefix { id, tokens: 1_000 });
    for index in 0..PROMPTS {
        for _ in 0..4 {
            let server = Incarnation(random.next() % servers);
            let private = PromptPrefix { id: 0, tokens: 0 };
            let facts = RequestFacts {
                prompt: prefixes(index).into_iter().chain([private]).collect(),
                ..RequestFacts::default()
            };
            prefix_index.record_sent(server, &facts, 0);
        }
    }
    let decisions = (0..DECISIONS_PER_SIZE).map(|_| {
        let prompt = prefixes(random.next() % PROMPTS);
        let start = Instant::now();
        black_box(decide(servers, &prefix_index, &prompt, &mut random));
        start.elapsed().as_nanos() as u64
    });
    decisions.collect()
}

/// Places one request as a router does, without recording it: the chosen server, and the server to
/// fetch a cached prefix from.
fn decide(
    servers: u64,
    prefix_index: &PrefixIndex,
    prompt: &[PromptPrefix],
    random: &mut Lcg,
) -> (Option<usize>, Option<usize>) {
    let costs = PlacementCosts::default();
    let last = prompt.last().expect("the prompt has two prefixes");
    let homes = home_count(
        &costs,
        prefix_index.share_of_sends(last.id, 1_000),
        1_000,
        servers as usize,
    );
    let home = home_server(last, (0..servers).map(Incarnation), homes, random.unit());
    let candidates = (0..servers).map(|index| Candidate {
        server: Incarnation(index),
        distance: Distance::SameRegion,
        is_home: home == Some(Incarnation(index)),
        is_hot: homes > 1,
        in_flight: (index % 7) as u32,
        capacity: 64,
        prefill_tokens: 1_000 * (index % 3),
        cached_tokens: prefix_index.cached_tokens(Incarnation(index), prompt, 1_000),
        failure_share: 0.0,
        suspect: false,
        average_in_flight: 0.0,
        slots: 8,
        is_cold: false,
        tried: false,
    });
    let candidates: Vec<Candidate> = candidates.collect();
    let compared_indices = sample_candidates(&candidates, || random.unit());
    let chosen = choose_server(&costs, true, 9_000, &candidates, &compared_indices);
    let source = chosen.and_then(|chosen| fetch_source(&costs, &candidates, chosen));
    (chosen, source)
}

/// A linear congruential generator, cheap enough not to distort the measurement.
struct Lcg(u64);

impl Lcg {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.0 >> 33
    }

    /// A number in [0, 1).
    fn unit(&mut self) -> f64 {
        (self.next() % 1_000) as f64 / 1_000.0
    }
}
