//! Tasks beside the control loop: they wait, and come back as commands.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_backend::BackendClient;
use sapphiretrack_core::{FleetConfig, ServerId};
use sapphiretrack_peer::PeerClient;
use sapphiretrack_platform::wire::VmList;
use sapphiretrack_platform::{ConfigurationStore, PlatformClient};
use tokio::sync::{Notify, watch};

use crate::control::handle::{Command, ControlHandle};

/// How often one router of the cell reads the platform's list of VMs.
const VM_LIST_PERIOD: Duration = Duration::from_millis(1_000);
/// How often one router of the cell reads the configuration version.
const CONFIG_PERIOD: Duration = Duration::from_millis(1_000);

/// Reads the list of VMs again and again.
///
/// The routers of a cell share one read a second. `now` asks for a read because a peer has
/// another list; even then a router reads once a period at most.
pub(crate) async fn poll_vm_list(
    platform: PlatformClient,
    control: ControlHandle,
    now: Arc<Notify>,
) {
    loop {
        let list = platform.vms().await;
        control.send(Command::Platform {
            reached: list.is_ok(),
        });
        if let Ok(list) = list {
            control.send(Command::VmList(list));
        }
        let routers = control.snapshot().live_routers().max(1) as u32;
        tokio::time::sleep(VM_LIST_PERIOD).await;
        tokio::select! {
            () = tokio::time::sleep(VM_LIST_PERIOD * (routers - 1)) => {}
            () = now.notified() => {}
        }
    }
}

/// Fetches the list of VMs from a peer, for a router that cannot reach the platform.
pub(crate) async fn fetch_vm_list(peers: PeerClient, address: SocketAddr, control: ControlHandle) {
    let Ok(reply) = peers.fetch_vm_list(address).await else {
        return;
    };
    if let Ok(vms) = serde_json::from_str(&reply.vms_json) {
        control.send(Command::VmList(VmList { vms }));
    }
}

/// Reads the configuration version again and again, and the configuration when it is newer.
///
/// The routers of a cell share one read a second: each waits as many periods as there are
/// routers. What one finds, the others learn by heartbeat. `now` asks for a read at once.
pub(crate) async fn poll_configuration(
    store: ConfigurationStore,
    control: ControlHandle,
    mut now: watch::Receiver<u64>,
) {
    loop {
        let version = store.head_version().await;
        control.send(Command::Platform {
            reached: version.is_ok(),
        });
        let snapshot = control.snapshot();
        if version.is_ok_and(|version| version > snapshot.config.version)
            && let Ok(config) = store.load().await
        {
            control.send(Command::OfferConfig(Arc::new(config)));
        }
        let routers = snapshot.live_routers().max(1) as u32;
        tokio::select! {
            () = tokio::time::sleep(CONFIG_PERIOD * routers) => {}
            changed = now.changed() => if changed.is_err() { return },
        }
    }
}

/// Fetches one load report.
pub(crate) async fn fetch_report(
    backend: BackendClient,
    server: ServerId,
    address: SocketAddr,
    control: ControlHandle,
) {
    let report = backend.load_report(address).await.ok();
    control.send(Command::Report { server, report });
}

/// Fetches a peer's configuration.
pub(crate) async fn fetch_config(peers: PeerClient, address: SocketAddr, control: ControlHandle) {
    let Ok(reply) = peers.fetch_config(address).await else {
        return;
    };
    if let Ok(config) = serde_json::from_str::<FleetConfig>(&reply.config_json) {
        control.send(Command::OfferConfig(Arc::new(config)));
    }
}
