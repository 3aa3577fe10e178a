//! Determines from where a starting router gets the list of prompt prefixes that servers hold.

use std::net::SocketAddr;

/// The next step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefixStep {
    /// Do nothing: the prefixes are known, or another router is reading them from the servers.
    Wait,
    /// Ask this router for its prefixes.
    AskRouter(SocketAddr),
    /// Ask the backend servers, since no router has the prefixes.
    AskServers,
}

/// The state of a router's recovery of the prefixes that servers hold.
///
/// A starting router has no record of holders and would have every shared prefix computed once more
/// at its home. Getting the prefixes from another router costs only a few datagrams. If all routers
/// started at the same time, one lists the caches of the servers and sends them to the others.
#[derive(Clone, Debug)]
pub struct PrefixRecovery {
    started_ms: u64,
    has_prefixes: bool,
}

impl PrefixRecovery {
    /// Time for which a router waits for heartbeats of routers that have the prefixes before it
    /// assumes that there are none, in milliseconds. Every live router sends a heartbeat in that
    /// time.
    const WAIT_MS: u64 = 400;
    /// Time after which a router has recorded the prefixes from its own requests and from
    /// heartbeats, in milliseconds. Older ones are assumed to have left the caches.
    const WARM_UP_MS: u64 = 30_000;

    /// Creates the state of a router that starts now. In the first start of a fleet there are no
    /// prefixes to recover.
    pub fn new(is_first_start: bool, now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            has_prefixes: is_first_start,
        }
    }

    /// Records that the prefixes were received.
    pub fn record_received(&mut self) {
        self.has_prefixes = true;
    }

    /// Returns whether other routers may ask this one.
    pub fn has_prefixes(&self, now_ms: u64) -> bool {
        self.has_prefixes || now_ms >= self.started_ms + Self::WARM_UP_MS
    }

    /// Returns the next step. `sources` are routers that advertise that they have the prefixes,
    /// `rank` is this router's rank among the live ones, `draw` a random number below 1.
    pub fn next_step(
        &self,
        sources: &[SocketAddr],
        rank: usize,
        draw: f64,
        now_ms: u64,
    ) -> PrefixStep {
        if self.has_prefixes(now_ms) {
            return PrefixStep::Wait;
        }
        let index = (draw.clamp(0.0, 1.0) * sources.len() as f64) as usize;
        if let Some(router) = sources.get(index).or(sources.last()) {
            return PrefixStep::AskRouter(*router);
        }
        let has_waited = now_ms >= self.started_ms + Self::WAIT_MS;
        match has_waited && rank == 0 {
            true => PrefixStep::AskServers,
            false => PrefixStep::Wait,
        }
    }
}

/// Limits the number of routers to which prefixes are sent in a time window. The others ask again
/// when more routers have them, so the prefixes spread exponentially instead of over one link.
#[derive(Clone, Debug, Default)]
pub struct PrefixReplyLimiter {
    since_ms: u64,
    served: u32,
}

impl PrefixReplyLimiter {
    const WINDOW_MS: u64 = 250;
    const SERVED_IN_WINDOW: u32 = 8;

    /// Returns whether one more router may be served now, and counts it.
    pub fn try_serve(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.since_ms + Self::WINDOW_MS {
            self.since_ms = now_ms;
            self.served = 0;
        }
        self.served += 1;
        self.served <= Self::SERVED_IN_WINDOW
    }
}
