//! Callers are spread over all routers of a zone, even if one lookup answer cannot list them all.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_routing::sample_addresses;

fn zone(routers: u8) -> Vec<SocketAddr> {
    let addresses = (0..routers).map(|index| ([10, 0, 0, index], 80).into());
    addresses.collect()
}

#[test]
fn the_routers_of_a_large_zone_are_listed_equally_often() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
    for _ in 0..3_000 {
        let sample = sample_addresses(zone(75), 64, || random.random());
        let distinct: BTreeSet<_> = sample.iter().collect();
        assert_eq!(distinct.len(), 64);
        for address in sample {
            *counts.entry(address).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 75);
    // A router is expected in 3,000 * 64 / 75 = 2,560 answers; five standard deviations are 97.
    assert!(counts.values().all(|count| (2_463..=2_657).contains(count)));
}

#[test]
fn all_routers_of_a_small_zone_are_listed() {
    assert_eq!(sample_addresses(zone(64), 64, || 0.999), zone(64));
    assert_eq!(sample_addresses(zone(65), 64, || 1.0).len(), 64);
}
