//! Determines how a starting router learns which servers hold which prompt prefixes.

use std::net::SocketAddr;

/// The next step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefixStep {
    /// Do nothing: the prefixes are known, or another router is finding out.
    Wait,
    /// Ask this router for its prefixes.
    AskRouter(SocketAddr),
    /// Ask the backend servers, since no router knows.
    AskServers,
}

/// Whether a router knows the prefixes, and how it can learn them.
///
/// A starting router knows no holder and would have every shared prefix computed once more at its
/// home. Getting the prefixes from another router costs only a few datagrams. If all routers
/// started at the same time, one lists the caches of the servers and sends them to the others.
#[derive(Clone, Debug)]
pub struct PrefixRecovery {
    started_ms: u64,
    knows: bool,
}

impl PrefixRecovery {
    /// Time for which a router waits for others that know before it concludes that none does, in
    /// milliseconds. Every live router sends a heartbeat in that time.
    const LISTEN_MS: u64 = 400;
    /// Time after which a router has learned the prefixes by itself, in milliseconds. Older ones
    /// are assumed to have left the caches.
    const SELF_LEARN_MS: u64 = 30_000;

    /// Creates the state of a router that starts now. In the first start of a fleet there is
    /// nothing to learn.
    pub fn new(is_first_start: bool, now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            knows: is_first_start,
        }
    }

    /// Records that the prefixes were received.
    pub fn record_advertised(&mut self) {
        self.knows = true;
    }

    /// Returns whether other routers may ask this one.
    pub fn knows(&self, now_ms: u64) -> bool {
        self.knows || now_ms >= self.started_ms + Self::SELF_LEARN_MS
    }

    /// Returns the next step. `sources` are routers that advertise that they know, `rank` is this
    /// router's rank among the live ones, `draw` a random number below 1.
    pub fn next_step(
        &self,
        sources: &[SocketAddr],
        rank: usize,
        draw: f64,
        now_ms: u64,
    ) -> PrefixStep {
        if self.knows(now_ms) {
            return PrefixStep::Wait;
        }
        let index = (draw.clamp(0.0, 1.0) * sources.len() as f64) as usize;
        if let Some(router) = sources.get(index).or(sources.last()) {
            return PrefixStep::AskRouter(*router);
        }
        let listened = now_ms >= self.started_ms + Self::LISTEN_MS;
        match listened && rank == 0 {
            true => PrefixStep::AskServers,
            false => PrefixStep::Wait,
        }
    }
}

/// Limits the number of routers to which prefixes are sent in a time window. The others ask again
/// when more routers know, so the prefixes spread exponentially instead of over one link.
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
