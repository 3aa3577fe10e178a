//! Determines how often a router sends heartbeats and to how many routers at once.

/// Rate and fan-out of a router's heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatPace {
    /// Maximum time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum time between two heartbeats, in milliseconds; reached in a small fleet.
    pub min_heartbeat_ms: u64,
    /// Maximum number of recipients of one heartbeat. In a larger fleet heartbeats go to the
    /// routers in turn.
    pub fan_out: usize,
}

impl HeartbeatPace {
    /// Returns the time between two heartbeats in milliseconds. With fewer routers than the fan-out
    /// it is shorter: that takes no more datagrams per second than a large fleet, and placement
    /// gets more recent loads.
    pub fn send_interval_ms(&self, routers: usize) -> u64 {
        let share = routers.min(self.fan_out) as f64 / self.fan_out.max(1) as f64;
        let send_interval_ms = (self.heartbeat_ms as f64 * share).ceil() as u64;
        send_interval_ms
            .max(self.min_heartbeat_ms)
            .min(self.heartbeat_ms)
    }

    /// Returns the number of heartbeats until every router has received one.
    pub fn rounds(&self, routers: usize) -> usize {
        routers.div_ceil(self.fan_out.max(1)).max(1)
    }
}
