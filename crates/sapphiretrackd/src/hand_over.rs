//! Sends this router's placement memory to its peers during a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use sapphiretrack_core::{ChatKey, VmState, WarmHint, WarmList};
use sapphiretrack_peer::{MAX_HAND_OVER_CHATS, PeerClient};

use crate::control::ControlHandle;
use crate::events::Event;
use crate::warm_memory::{MAX_SHARED_CHATS, MAX_WARM_AGE_MS, WarmMemory};
use crate::warm_snapshots::WarmSnapshots;

/// Peers that are sent the memory concurrently.
const MAX_CONCURRENT_PEERS: usize = 4;
/// The time limit for sending the memory to all peers.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);
/// The resolution of ages in the placement memory.
const AGE_ROUNDING_MS: u64 = 1_000;

/// Sends the placement memory to peers.
#[derive(Clone)]
pub(crate) struct HandOver {
    pub(crate) control: ControlHandle,
    pub(crate) memory: Arc<WarmMemory>,
    pub(crate) peers: PeerClient,
}

impl HandOver {
    /// Sends the chats of the last `max_age_ms` to every live peer, since a caller may connect to
    /// any router of the cell.
    pub(crate) async fn send_to_peers(self, max_age_ms: u64) {
        let chats = self
            .memory
            .newest(MAX_SHARED_CHATS, max_age_ms.min(MAX_WARM_AGE_MS));
        if chats.is_empty() {
            return;
        }
        let addresses = self.live_peers();
        let peer_count = addresses.len();
        let sending = futures::stream::iter(addresses)
            .map(|address| send_chats(&self.peers, address, &chats))
            .buffer_unordered(MAX_CONCURRENT_PEERS)
            .filter(|accepted| std::future::ready(*accepted))
            .count();
        // A peer of an older release rejects the list; its chats only lose their cached tokens.
        let accepted_by = tokio::time::timeout(HAND_OVER_LIMIT, sending).await;
        Event::MEMORY_HANDED_OVER.log(&[
            ("chats", &chats.len().to_string()),
            ("peers", &peer_count.to_string()),
            ("took_all", &accepted_by.unwrap_or_default().to_string()),
        ]);
    }

    fn live_peers(&self) -> Vec<SocketAddr> {
        let snapshot = self.control.snapshot();
        let routers = snapshot.routers.iter();
        routers
            .filter(|router| router.id != snapshot.me && router.state == VmState::Live)
            .map(|router| router.peer_address)
            .collect()
    }
}

/// Sends all chats to one peer. Returns false if the peer did not accept all of them.
async fn send_chats(
    peers: &PeerClient,
    address: SocketAddr,
    chats: &[(ChatKey, WarmHint)],
) -> bool {
    for part in chats.chunks(MAX_HAND_OVER_CHATS) {
        let list = WarmList::new(part.iter().copied());
        if peers.hand_over(address, list).await.is_err() {
            return false;
        }
    }
    true
}

/// Sends the placement memory to the peers twice and writes a last snapshot.
///
/// It is sent at once for chats that continue on other routers. What was added since is sent after
/// `entry_ttl_ms`, when callers no longer use a lookup made before the stop.
pub(crate) async fn hand_over_memory(
    hand_over: HandOver,
    snapshots: WarmSnapshots,
    entry_ttl_ms: u64,
) {
    let started_at = tokio::time::Instant::now();
    hand_over.clone().send_to_peers(MAX_WARM_AGE_MS).await;
    tokio::time::sleep_until(started_at + Duration::from_millis(entry_ttl_ms)).await;
    let since_ms = started_at.elapsed().as_millis() as u64 + AGE_ROUNDING_MS;
    tokio::join!(hand_over.send_to_peers(since_ms), snapshots.write_last());
}
