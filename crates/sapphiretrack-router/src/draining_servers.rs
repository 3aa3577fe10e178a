//! Backend servers that drain: they get no requests, but other servers may still fetch prompt
//! prefixes from their memory.

use std::sync::Arc;

use arc_swap::ArcSwap;
use sapphiretrack_routing::ServerEntry;

use crate::clock::Clock;

/// The servers that drain; only the watch on the servers changes them.
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
    /// Records that a server drains and keeps running for `runs_ms`. Drops those that may have
    /// ended.
    pub(crate) fn record(&self, entry: ServerEntry, runs_ms: u64) {
        let now_ms = Clock.now_ms();
        let mut servers: Vec<DrainingServer> = self.running(now_ms);
        servers.push(DrainingServer {
            entry: Arc::new(entry),
            runs_until_ms: now_ms + runs_ms,
        });
        self.0.store(Arc::new(servers));
    }

    /// The servers that drain and still run.
    pub(crate) fn running(&self, now_ms: u64) -> Vec<DrainingServer> {
        let servers = self.0.load();
        let running = servers.iter().filter(|one| now_ms < one.runs_until_ms);
        running.cloned().collect()
    }
}
