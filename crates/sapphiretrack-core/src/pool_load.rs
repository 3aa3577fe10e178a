//! A lower estimate of a pool's requests in flight from counts that are a little old.

/// A router's requests in flight on a pool, as another router last heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeardLoad {
    /// Requests in flight then.
    pub in_flight: u32,
    /// How long ago that was.
    pub age_ms: u64,
}

/// How fast a router's requests in flight can end.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// The shortest time in which all requests in flight of a router are taken to end.
    pub drain_ms: u64,
    /// Requests that may have ended on top of that, in square roots of the pool's count.
    pub deviations: f64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            drain_ms: 4_000,
            deviations: 1.0,
        }
    }
}

/// At least so many requests are in flight on the pool, unless load ends faster than it may.
///
/// `own` is exact; what others hold may have ended since they said so.
pub fn least_in_flight<Heard>(settings: &DrainSettings, own: u32, heard: Heard) -> u32
where
    Heard: IntoIterator<Item = HeardLoad>,
{
    let drain_ms = settings.drain_ms.max(1) as f64;
    let mut kept = 0.0;
    let mut ended = 0.0;
    for load in heard {
        let in_flight = f64::from(load.in_flight);
        let part = (load.age_ms as f64 / drain_ms).min(1.0);
        kept += in_flight * (1.0 - part);
        ended += in_flight * part;
    }
    let least = (kept - settings.deviations * ended.sqrt()).max(0.0);
    own.saturating_add(least.floor() as u32)
}
