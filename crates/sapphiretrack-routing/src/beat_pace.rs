//! How often a router sends beats, and to how many at once.

/// The pace of a router's beats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BeatPace {
    /// The longest time between two beats.
    pub beat_ms: u64,
    /// The shortest time between two beats, in a small fleet.
    pub min_beat_ms: u64,
    /// The most routers that a beat goes to: with more, each beat goes to the next of them in turn.
    pub at_once: usize,
}

impl BeatPace {
    /// The pause before the next beat. A router sends no more datagrams in a second than in a large
    /// fleet: the fewer hear its beats, the sooner they hear them, and the younger are the loads
    /// that they place requests by.
    pub fn pause_ms(&self, routers: usize) -> u64 {
        let share = routers.min(self.at_once) as f64 / self.at_once.max(1) as f64;
        let pause_ms = (self.beat_ms as f64 * share).ceil() as u64;
        pause_ms.max(self.min_beat_ms).min(self.beat_ms)
    }

    /// Beats until each router has had one.
    pub fn rounds(&self, routers: usize) -> usize {
        routers.div_ceil(self.at_once.max(1)).max(1)
    }
}
