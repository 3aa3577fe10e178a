//! The bound and the room as they truly stand, which no router sees.

use sapphiretrack_core::{PoolLoad, server_limit};

use crate::policy::engine::Engine;
use crate::policy::policies::Policy;

use super::event::Event;
use super::{START_US, World};

/// Skew counts from here on, when the servers have filled.
const SETTLED_US: u64 = START_US + 10_000_000;
const SAMPLE_US: u64 = 100_000;

impl World<'_> {
    /// The bound as the pool truly stands; a server counts once a router sends requests to it.
    pub(super) fn true_limit(&self, share: f64) -> u32 {
        let mut in_flight = 0;
        let mut live_servers = 0;
        for (server, engine) in self.engines.iter().enumerate() {
            if engine.is_open() && self.is_in_service(server) {
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

    /// Whether a request can reach a server: its steward grants, or a router knows it.
    pub(super) fn is_in_service(&self, server: usize) -> bool {
        if self.policy == Policy::Oracle || self.engines[server].in_flight() > 0 {
            return true;
        }
        self.routers.iter().any(|router| {
            let grants = self.policy != Policy::Sapphiretrack || router.is_steward(server);
            grants && router.is_open(server)
        })
    }

    pub(super) fn has_room(&self, request: u32) -> bool {
        let limit = self.true_limit(self.share(request));
        let mut engines = self.engines.iter().enumerate();
        engines.any(|(server, engine)| {
            engine.is_open() && engine.in_flight() < limit && self.is_in_service(server)
        })
    }

    pub(super) fn sample(&mut self) {
        let open = self.engines.iter().filter(|engine| engine.is_open());
        let loads: Vec<u32> = open.map(Engine::in_flight).collect();
        let sum: u32 = loads.iter().sum();
        if self.now_us >= SETTLED_US && sum as usize >= loads.len() {
            let mean = f64::from(sum) / loads.len() as f64;
            let busiest = loads.iter().copied().max().unwrap_or(0);
            self.gathered
                .note_skew(self.now_us - START_US, f64::from(busiest) / mean);
        }
        self.schedule(self.now_us + SAMPLE_US, Event::Sample);
    }
}
