//! Tasks that poll the platform, peers and servers, and send the results as commands.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_backend::BackendClient;
use sapphiretrack_core::{FleetConfig, HistoryEntry, ServerId};
use sapphiretrack_peer::{ConfigUpdate, PeerClient};
use sapphiretrack_platform::wire::VmList;
use sapphiretrack_platform::{ConfigurationStore, PlatformClient};
use tokio::sync::Notify;

use crate::clock::wall_clock_ms;
use crate::control::handle::{Command, ControlHandle};
use crate::events::Event;

/// How often the list of VMs is read from the platform, by one router of the cell at a time.
const VM_LIST_PERIOD: Duration = Duration::from_millis(1_000);
/// How often the configuration version is read, by one router of the cell at a time.
const CONFIG_PERIOD: Duration = Duration::from_millis(1_000);
/// How often a starting router checks whether it has seen its peers.
const PEERS_SEEN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// How many reads in a row have to show an older configuration on the platform before this router
/// writes its own back. In the meantime, heartbeats show whether a peer holds a newer one.
const REPUBLISH_AFTER_READS: u32 = 2;

/// Polls the platform's list of VMs.
///
/// The routers of a cell together make one read per second. `refresh` requests an earlier read
/// because a peer has a different list; a router still reads at most once per period.
pub(crate) async fn poll_vm_list(
    platform: PlatformClient,
    control: ControlHandle,
    refresh: Arc<Notify>,
) {
    loop {
        let list = platform.vms().await;
        control.send(Command::PlatformCall {
            reached: list.is_ok(),
        });
        if let Ok(list) = list {
            control.send(Command::VmList(list));
        }
        let routers = control.snapshot().live_routers().max(1) as u32;
        tokio::time::sleep(VM_LIST_PERIOD).await;
        tokio::select! {
            () = tokio::time::sleep(VM_LIST_PERIOD * (routers - 1)) => {}
            () = refresh.notified() => {}
        }
    }
}

/// Fetches the list of VMs from a peer, for a router that has none yet, as when it cannot
/// reach the platform.
pub(crate) async fn fetch_vm_list(peers: PeerClient, address: SocketAddr, control: ControlHandle) {
    let Ok(reply) = peers.fetch_vm_list(address).await else {
        return;
    };
    if let Ok(vms) = serde_json::from_str(&reply.vms_json) {
        control.send(Command::VmList(VmList { vms }));
    }
}

/// Polls the configuration version, and reads the configuration when there is a newer one.
///
/// The routers of a cell together make one read per second: each waits as many periods as there are
/// live routers. Heartbeats announce a newer version to the other routers.
pub(crate) async fn poll_configuration(
    store: ConfigurationStore,
    control: ControlHandle,
    router_name: String,
) {
    wait_for_peers(&control).await;
    let mut behind_reads = 0;
    loop {
        let version = store.head_version().await;
        control.send(Command::PlatformCall {
            reached: version.is_ok(),
        });
        let snapshot = control.snapshot();
        if let Ok(version) = version {
            let held = snapshot.config.as_ref();
            let newer = match version.cmp(&held.version) {
                // The platform was restored to an older state than a peer's: that peer's
                // configuration is being fetched.
                std::cmp::Ordering::Greater if version < snapshot.newest_version() => None,
                std::cmp::Ordering::Greater => store.load_since(held).await.ok(),
                // Confirms the empty configuration while the platform has none.
                std::cmp::Ordering::Equal => (version == 0).then(FleetConfig::default),
                std::cmp::Ordering::Less => {
                    behind_reads += 1;
                    let newest = held.version == snapshot.newest_version();
                    let is_confirmed = newest && behind_reads >= REPUBLISH_AFTER_READS;
                    republish(&store, held, is_confirmed, &router_name).await
                }
            };
            if version >= held.version {
                behind_reads = 0;
            }
            if let Some(config) = newer {
                control.send(Command::OfferConfig(Arc::new(config)));
            }
        }
        // After a read of an older state this router polls the platform again after one period.
        let routers = match behind_reads {
            0 => snapshot.live_routers().max(1) as u32,
            _ => 1,
        };
        tokio::time::sleep(CONFIG_PERIOD * routers).await;
    }
}

/// Waits until peers had time to announce their configuration versions. Otherwise a platform that
/// was restored to an older state could put an older configuration in force on a starting router.
async fn wait_for_peers(control: &ControlHandle) {
    while !control.snapshot().peers_seen {
        tokio::time::sleep(PEERS_SEEN_POLL_PERIOD).await;
    }
}

/// Writes the configuration of this router back to the platform, once it is confirmed that no
/// router holds a newer one. Returns it under its new version.
async fn republish(
    store: &ConfigurationStore,
    held: &FleetConfig,
    is_confirmed: bool,
    router_name: &str,
) -> Option<FleetConfig> {
    if !is_confirmed {
        return None;
    }
    let written = store
        .republish(held, router_name, wall_clock_ms())
        .await
        .ok()??;
    Event::CONFIG_REPUBLISHED.log(&[("version", &written.version.to_string())]);
    Some(written)
}

/// Fetches the load report of a server.
pub(crate) async fn fetch_report(
    backend: BackendClient,
    server: ServerId,
    address: SocketAddr,
    control: ControlHandle,
) {
    let report = backend.load_report(address).await.ok();
    control.send(Command::LoadReport { server, report });
}

/// Fetches a peer's configuration, as changes since `held` if the peer still holds them.
pub(crate) async fn fetch_config(
    peers: PeerClient,
    address: SocketAddr,
    held: &FleetConfig,
    control: ControlHandle,
) {
    let fetched = peers
        .fetch_config_since(address, held.version, held.last_change_id())
        .await;
    let config = match fetched {
        Ok(ConfigUpdate::Whole(json)) => serde_json::from_str::<FleetConfig>(&json).ok(),
        Ok(ConfigUpdate::Changes(json)) => serde_json::from_str::<Vec<Arc<HistoryEntry>>>(&json)
            .ok()
            .and_then(|changes| held.with_changes(&changes)),
        Err(_) => None,
    };
    if let Some(config) = config {
        control.send(Command::PeerConfig(Arc::new(config)));
    }
}
