//! Server joins, leaves and failures, and partitions between routers.

use rand::RngExt;
use sapphiretrack_core::VmState;

use crate::policy::router::state_version;
use crate::policy::trace::Change;

use super::event::Event;
use super::{CONNECTION_REFUSED_US, Simulation};

/// Time between the two failures of a flapping server.
const FLAP_INTERVAL_US: u64 = 12_000_000;
/// Maximum number of retries of a request after server failures.
const MAX_RETRIES: u32 = 3;

impl Simulation<'_> {
    pub(super) fn apply_change(&mut self, change: Change) {
        match change {
            Change::Join => {
                let spare = self.engines.iter().position(|engine| !engine.is_up);
                if let Some(server) = spare {
                    self.handle(Event::Restart(server));
                }
            }
            Change::Leave => {
                if let Some(server) = self.pick_accepting_server() {
                    self.engines[server].is_leaving = true;
                    self.announce_state(server, VmState::Leaving);
                }
            }
            Change::Fail => {
                if let Some(server) = self.pick_accepting_server() {
                    self.fail_server(server);
                }
            }
            Change::Flap => {
                if let Some(server) = self.pick_accepting_server() {
                    self.fail_server(server);
                    let again_us = self.now_us + FLAP_INTERVAL_US;
                    self.schedule(again_us, Event::Fail(server));
                }
            }
            Change::Partition {
                first,
                second,
                duration_us,
            } => self.partition(first, second, duration_us),
        }
    }

    pub(super) fn fail_server(&mut self, server: usize) {
        if !self.engines[server].is_up {
            return;
        }
        let lost = self.engines[server].fail();
        for request in lost {
            self.release_slot(request);
            // A first token that was sent before the failure still counts.
            let pending = &mut self.pending[request as usize];
            match pending.first_token_us > self.now_us {
                true => pending.first_token_us = u64::MAX,
                false => pending.interrupted_us = Some(self.now_us),
            }
            self.pending[request as usize].retries += 1;
            if self.pending[request as usize].retries > MAX_RETRIES {
                self.refuse(request);
            } else {
                self.schedule(self.now_us + CONNECTION_REFUSED_US, Event::Arrive(request));
            }
        }
        self.announce_state(server, VmState::Leaving);
        let down_us = self.fault_random.random_range(3_000_000..8_000_000);
        self.schedule(self.now_us + down_us, Event::Restart(server));
    }

    /// Picks a random server that accepts requests; `None` unless these number more than three
    /// quarters of the scenario's servers.
    pub(super) fn pick_accepting_server(&mut self) -> Option<usize> {
        let open: Vec<usize> = (0..self.server_ids.len())
            .filter(|server| self.engines[*server].accepts_requests())
            .collect();
        let drawn = self.fault_random.random_range(0..self.server_ids.len());
        (open.len() * 4 > self.scenario.servers * 3).then(|| open[drawn % open.len()])
    }

    /// Announces a server's state to all routers, to each after a random delay.
    pub(super) fn announce_state(&mut self, server: usize, state: VmState) {
        let version = state_version(self.engines[server].incarnation, state);
        let slowest_us = if self.scenario.partitions_per_min > 0.0 {
            5_000_000
        } else {
            1_000_000
        };
        for router in 0..self.scenario.routers {
            let lag_us = self.fault_random.random_range(100_000..slowest_us);
            self.schedule(
                self.now_us + lag_us,
                Event::ApplyState {
                    router,
                    server,
                    state,
                    version,
                },
            );
        }
    }

    pub(super) fn partition(&mut self, first: usize, second: usize, duration_us: u64) {
        let others: Vec<usize> = match first == second {
            true => (0..self.scenario.routers)
                .filter(|other| *other != first)
                .collect(),
            false => vec![second],
        };
        for other in others {
            self.partitions[first][other] += 1;
            self.partitions[other][first] += 1;
            self.schedule(
                self.now_us + duration_us,
                Event::HealPartition {
                    first,
                    second: other,
                },
            );
        }
    }
}
