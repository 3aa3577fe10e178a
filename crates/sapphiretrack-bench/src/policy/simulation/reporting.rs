//! Heartbeats of the routers and load reports of the servers.

use sapphiretrack_core::LoadReport;
use sapphiretrack_peer::PeerRequest;

use crate::policy::policies::Policy;

use super::Simulation;
use super::event::Event;

impl Simulation<'_> {
    pub(super) fn send_heartbeats(&mut self, router: usize) {
        let now_ms = self.now_ms();
        if self.policy == Policy::Sapphiretrack {
            self.routers[router].update_stewardship(now_ms);
        }
        for to in (0..self.scenario.routers).filter(|to| *to != router) {
            let heartbeat = Box::new(self.routers[router].heartbeat(to, now_ms));
            let message = PeerRequest::Heartbeat(heartbeat);
            self.control_traffic.count_request(&message);
            self.control_traffic.count_reply_to_heartbeat();
            let PeerRequest::Heartbeat(heartbeat) = message else {
                continue;
            };
            if self.partitions[router][to] == 0 {
                self.routers[router].record_heartbeat_reply(to);
                let at_us = self.now_us + self.scenario.peer_delay_us;
                self.schedule(
                    at_us,
                    Event::Receive {
                        from: router,
                        to,
                        heartbeat,
                    },
                );
            }
        }
        let period_us = self.scenario.heartbeat_ms * 1_000;
        self.schedule(self.now_us + period_us, Event::Heartbeat { router });
    }

    /// Gives all routers the servers' current load reports, which they use until the next ones.
    pub(super) fn publish_reports(&mut self) {
        for server in 0..self.server_ids.len() {
            let engine = &self.engines[server];
            if !engine.is_up {
                continue;
            }
            let report = LoadReport {
                incarnation: engine.incarnation,
                running: engine.in_flight(),
                queued_prompt_tokens: engine.backlog_tokens(self.now_us),
                leaving: engine.is_leaving,
                ..LoadReport::default()
            };
            for router in &mut self.routers {
                router.apply_report(server, report, self.now_us / 1_000);
            }
        }
        match self.policy {
            Policy::Sapphiretrack => {
                let probes: usize = self
                    .routers
                    .iter()
                    .map(|router| router.probed_servers().count())
                    .sum();
                self.control_traffic.count_probes(probes);
            }
            Policy::ExchangedVectors => self.control_traffic.count_probes(self.scenario.servers),
            Policy::LeastLoaded => self
                .control_traffic
                .count_probes(self.routers.len() * self.scenario.servers),
            _ => {}
        }
        self.schedule(
            self.now_us + self.scenario.report_lag_ms * 1_000,
            Event::PublishReports,
        );
    }
}
