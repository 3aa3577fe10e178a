//! The duration of one placement decision, by the number of servers.

use sapphiretrack_bench::policy::{DECISION_SERVERS, decide, decision_pool};

fn main() {
    divan::main();
}

#[divan::bench(args = DECISION_SERVERS)]
fn decision(bencher: divan::Bencher, servers: usize) {
    let pool = decision_pool(servers);
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        decide(&pool, number)
    });
}
