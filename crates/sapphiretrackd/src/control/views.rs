//! Builds snapshots of the control state.

use std::collections::BTreeMap;

use sapphiretrack_core::{PoolView, RouterId, RouterProfile, RouterView, ServerView, VmState};

use crate::control::{ControlState, Snapshot};

impl ControlState {
    /// A snapshot for the traffic threads.
    pub(crate) fn snapshot(&self, now_ms: u64) -> Snapshot {
        let mut pools: BTreeMap<String, PoolView> = BTreeMap::new();
        let in_flight = self.in_flight_by_server();
        for server in self.pooled_servers() {
            let record = &server.entry.record;
            let view = ServerView {
                id: server.id,
                name: record.name.clone(),
                zone: record.zone.clone(),
                address: record.address,
                state: self.server_state(server.id, now_ms),
                in_flight: in_flight.get(&server.id).copied().unwrap_or(0),
                report: server.entry.report,
                steward: self.steward(server.id).unwrap_or(self.identity.id),
                is_joining: self.is_joining(server.id, now_ms),
                backlog_tokens: self.backlog_tokens(server.id, now_ms),
            };
            let pool = pools
                .entry(server.pool.to_owned())
                .or_insert_with(|| PoolView {
                    name: server.pool.to_owned(),
                    kind: server.kind,
                    servers: Vec::new(),
                });
            pool.servers.push(view);
        }
        Snapshot {
            me: self.identity.id,
            config: self.config.clone(),
            keys: self.keys.clone(),
            config_known: self.config_known,
            routers: self.router_views(),
            pools,
            isolated: self.isolated,
            stopping: self.stopping,
            platform_reached: self.platform_reached(now_ms),
            peers_seen: self.peers_seen(now_ms),
            listed_others: self.peers.listed_others().cloned().collect(),
        }
    }

    fn router_views(&self) -> Vec<RouterView> {
        let own = router_view(
            &self.identity.profile,
            self.own_state(),
            self.config.version,
        );
        let peers = self
            .peers
            .iter()
            .map(|(_, peer)| router_view(&peer.profile, peer.state(), peer.config_version));
        std::iter::once(own).chain(peers).collect()
    }
}

fn router_view(profile: &RouterProfile, state: VmState, config_version: u64) -> RouterView {
    RouterView {
        id: RouterId::from_name(&profile.name),
        name: profile.name.clone(),
        zone: profile.zone.clone(),
        caller_address: profile.caller_address,
        peer_address: profile.peer_address,
        operator_address: profile.operator_address,
        state,
        config_version,
    }
}
