//! The order in which routers schedule the slots of a service.

use std::cmp::Reverse;
use std::net::SocketAddr;

use sapphiretrack_core::{RouterId, rendezvous_score};

use super::{PeerTable, RouterState};

/// A router as a possible scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerCandidate<'a> {
    /// Name.
    pub name: &'a str,
    /// Address for messages.
    pub address: SocketAddr,
    /// State that it advertises.
    pub state: RouterState,
    /// Processor time that its VM provides, in thousandths of a core.
    pub cpu_millicores: u32,
}

impl PeerTable {
    /// Returns the first live routers, including `own`, in the order in which they schedule a
    /// service: routers that are not ready may lack the list of servers and come last, and those on
    /// larger VMs come first. Routers of one size class are ranked by rendezvous hashing, so that
    /// services have different schedulers. Leaving routers are left out.
    pub fn schedulers(
        &self,
        service: &str,
        own: SchedulerCandidate<'_>,
        count: usize,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let key = RouterId::from_name(service).0;
        let live = self.peers.iter();
        let live = live.filter(|(_, peer)| self.is_live(peer, now_ms));
        let live = live.map(|(name, peer)| SchedulerCandidate {
            name,
            address: peer.heartbeat.peer_address,
            state: peer.heartbeat.state,
            cpu_millicores: peer.heartbeat.cpu_millicores,
        });
        let candidates = live.chain([own]);
        let candidates = candidates.filter(|one| one.state != RouterState::Leaving);
        let mut ranked: Vec<_> = candidates
            .map(|one| {
                let score = rendezvous_score(key, RouterId::from_name(one.name).0, 1.0);
                let class = (
                    one.state != RouterState::Ready,
                    Reverse(one.cpu_millicores.max(1).ilog2()),
                );
                (class, score, one)
            })
            .collect();
        ranked.sort_by(|a, b| {
            let by_score = b.1.total_cmp(&a.1);
            a.0.cmp(&b.0)
                .then(by_score)
                .then_with(|| a.2.name.cmp(b.2.name))
        });
        ranked.truncate(count);
        ranked.into_iter().map(|(_, _, one)| one.address).collect()
    }
}
