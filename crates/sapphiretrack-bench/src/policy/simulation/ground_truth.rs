//! The load bound, free capacity and skew computed from the exact state of all servers, which no
//! router knows.

use sapphiretrack_core::{PoolLoad, server_limit};

use crate::policy::engine::Engine;
use crate::policy::policies::Policy;

use super::event::Event;
use super::{START_US, Simulation};

/// Start of the skew samples; by then the servers have filled.
const SKEW_START_US: u64 = START_US + 10_000_000;
/// Interval between two skew samples.
const SKEW_INTERVAL_US: u64 = 100_000;

impl Simulation<'_> {
    /// Returns the load bound for the exact state of the pool; a server counts once a router can
    /// send requests to it.
    pub(super) fn true_limit(&self, share: f64) -> u32 {
        let mut in_flight = 0;
        let mut live_servers = 0;
        for (server, engine) in self.engines.iter().enumerate() {
            if engine.accepts_requests() && self.is_in_service(server) {
                in_flight += engine.in_flight();
                live_servers += 1;
            }
        }
        let load = PoolLoad {
            least_in_flight: in_flight,
            in_flight,
            live_servers,
            open_servers: live_servers,
        };
        server_limit(&self.scenario.placement.bound, &load, share)
    }

    /// Returns whether requests can reach a server: it has requests in flight, or a router sends
    /// requests to it (with stewards: its steward does). The oracle reaches all servers.
    pub(super) fn is_in_service(&self, server: usize) -> bool {
        if self.policy == Policy::Oracle || self.engines[server].in_flight() > 0 {
            return true;
        }
        self.routers.iter().any(|router| {
            let grants = self.policy != Policy::Sapphiretrack || router.is_steward(server);
            grants && router.sends_requests_to(server)
        })
    }

    pub(super) fn has_capacity(&self, request: u32) -> bool {
        let limit = self.true_limit(self.bound_share(request));
        let mut engines = self.engines.iter().enumerate();
        engines.any(|(server, engine)| {
            engine.accepts_requests() && engine.in_flight() < limit && self.is_in_service(server)
        })
    }

    pub(super) fn sample_skew(&mut self) {
        let open = self
            .engines
            .iter()
            .filter(|engine| engine.accepts_requests());
        let loads: Vec<u32> = open.map(Engine::in_flight).collect();
        let sum: u32 = loads.iter().sum();
        if self.now_us >= SKEW_START_US && sum as usize >= loads.len() {
            let mean = f64::from(sum) / loads.len() as f64;
            let busiest = loads.iter().copied().max().unwrap_or(0);
            self.samples
                .record_skew(self.now_us - START_US, f64::from(busiest) / mean);
        }
        self.schedule(self.now_us + SKEW_INTERVAL_US, Event::SampleSkew);
    }
}
