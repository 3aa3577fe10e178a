//! Servers that join, leave and fail, and routers that lose each other.

use rand::RngExt;
use sapphiretrack_core::VmState;

use crate::policy::router::news_version;
use crate::policy::trace::Change;

use super::event::Event;
use super::{CONNECT_US, World};

/// Time between the two failures of a flapping server.
const FLAP_US: u64 = 12_000_000;
/// How often a request is tried again after its server failed.
const MAX_RETRIES: u32 = 3;

impl World<'_> {
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::Join => {
                let spare = self.engines.iter().position(|engine| !engine.is_up);
                if let Some(server) = spare {
                    self.handle(Event::Restart(server));
                }
            }
            Change::Leave => {
                if let Some(server) = self.any_open() {
                    self.engines[server].is_leaving = true;
                    self.spread(server, VmState::Leaving);
                }
            }
            Change::Fail => {
                if let Some(server) = self.any_open() {
                    self.fail(server);
                }
            }
            Change::Flap => {
                if let Some(server) = self.any_open() {
                    self.fail(server);
                    let again_us = self.now_us + FLAP_US;
                    self.schedule(again_us, Event::Fail(server));
                }
            }
            Change::Split {
                first,
                second,
                for_us,
            } => self.split(first, second, for_us),
        }
    }

    pub(super) fn fail(&mut self, server: usize) {
        if !self.engines[server].is_up {
            return;
        }
        let lost = self.engines[server].fail();
        for request in lost {
            self.give_back(request);
            // A first token that went out before the failure stays out.
            let pending = &mut self.pending[request as usize];
            match pending.first_token_us > self.now_us {
                true => pending.first_token_us = u64::MAX,
                false => pending.resumed_us = Some(self.now_us),
            }
            self.pending[request as usize].retries += 1;
            if self.pending[request as usize].retries > MAX_RETRIES {
                self.refuse(request);
            } else {
                self.schedule(self.now_us + CONNECT_US, Event::Arrive(request));
            }
        }
        self.spread(server, VmState::Leaving);
        let down_us = self.faults.random_range(3_000_000..8_000_000);
        self.schedule(self.now_us + down_us, Event::Restart(server));
    }

    /// An open server, if not too many are gone already.
    pub(super) fn any_open(&mut self) -> Option<usize> {
        let open: Vec<usize> = (0..self.ids.len())
            .filter(|server| self.engines[*server].is_open())
            .collect();
        let drawn = self.faults.random_range(0..self.ids.len());
        (open.len() * 4 > self.scenario.servers * 3).then(|| open[drawn % open.len()])
    }

    /// Each router learns of a server's state in its own time.
    pub(super) fn spread(&mut self, server: usize, state: VmState) {
        let version = news_version(self.engines[server].incarnation, state);
        let slowest_us = if self.scenario.splits_per_min > 0.0 {
            5_000_000
        } else {
            1_000_000
        };
        for router in 0..self.scenario.routers {
            let lag_us = self.faults.random_range(100_000..slowest_us);
            self.schedule(
                self.now_us + lag_us,
                Event::Learn {
                    router,
                    server,
                    state,
                    version,
                },
            );
        }
    }

    pub(super) fn split(&mut self, first: usize, second: usize, for_us: u64) {
        let others: Vec<usize> = match first == second {
            true => (0..self.scenario.routers)
                .filter(|other| *other != first)
                .collect(),
            false => vec![second],
        };
        for other in others {
            self.cut[first][other] += 1;
            self.cut[other][first] += 1;
            self.schedule(
                self.now_us + for_us,
                Event::Heal {
                    first,
                    second: other,
                },
            );
        }
    }
}
