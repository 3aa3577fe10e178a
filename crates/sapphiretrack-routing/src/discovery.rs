//! Selects the routers whose addresses the answer to a lookup contains.

use std::net::SocketAddr;

/// Returns a random sample of at most `max_count` addresses, so that the callers are spread over
/// all routers of a large availability zone. `draw` returns random numbers below 1.
pub fn sample_addresses<Draw>(
    mut addresses: Vec<SocketAddr>,
    max_count: usize,
    mut draw: Draw,
) -> Vec<SocketAddr>
where
    Draw: FnMut() -> f64,
{
    if addresses.len() <= max_count {
        return addresses;
    }
    for position in 0..max_count {
        let remaining = addresses.len() - position;
        let index = (draw().clamp(0.0, 1.0) * remaining as f64) as usize;
        addresses.swap(position, position + index.min(remaining - 1));
    }
    addresses.truncate(max_count);
    addresses
}
