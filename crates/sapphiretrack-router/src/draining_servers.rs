//! Backend servers that drain: they get no requests, but other servers may still fetch prompt
//! prefixes from their memory.

use std::sync::Arc;

use arc_swap::ArcSwap;
use sapphiretrack_routing::ServerEntry;

use crate::clock::Clock;

/// The servers that drain, by the store or by their own statement.
#[derive(Debug, Default)]
pub(crate) struct DrainingServers(ArcSwap<Vec<DrainingServer>>);

/// A server that drains.
#[derive(Clone, Debug)]
pub(crate) struct DrainingServer {
    pub(crate) entry: Arc<ServerEntry>,
    /// How long it keeps running at least, by the local clock.
    runs_until_ms: u64,
}

impl DrainingServers {
    /// Records that a server drains and keeps running for `runs_ms`; the first record of an
    /// incarnation counts. Drops those that may have ended.
    pub(crate) fn record(&self, entry: Arc<ServerEntry>, runs_ms: u64) {
        let now_ms = Clock.now_ms();
        self.0.rcu(|servers| {
            let mut running = running(servers, now_ms);
            let mut known = running.iter().map(|one| one.entry.incarnation);
            if !known.any(|incarnation| incarnation == entry.incarnation) {
                running.push(DrainingServer {
                    entry: entry.clone(),
                    runs_until_ms: now_ms + runs_ms,
                });
            }
            running
        });
    }

    /// The servers that drain and still run.
    pub(crate) fn running(&self, now_ms: u64) -> Vec<DrainingServer> {
        running(&self.0.load(), now_ms)
    }
}

fn running(servers: &[DrainingServer], now_ms: u64) -> Vec<DrainingServer> {
    let running = servers.iter().filter(|one| now_ms < one.runs_until_ms);
    running.cloned().collect()
}
