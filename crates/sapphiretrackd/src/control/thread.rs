//! The control loop on its own thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_core::{FleetConfig, Refreshed};
use sapphiretrack_peer::{PeerClient, PeerRequest};
use sapphiretrack_platform::{ConfigurationStore, PlatformClient};
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::control::handle::{Command, CommandReceiver, ControlHandle};
use crate::control::{ControlState, polling};
use crate::metrics::Metrics;

/// How often the state is settled and a changed snapshot published.
const TICK: Duration = Duration::from_millis(20);
/// How often load reports are fetched.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// What the control thread works with.
pub(crate) struct ControlParts {
    pub(crate) clock: Clock,
    pub(crate) state: ControlState,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerClient,
    pub(crate) backend: BackendClient,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) heartbeat_ms: u64,
    /// Whether a peer's configuration is being fetched.
    pub(crate) fetching_config: Arc<AtomicBool>,
}

/// The control loop: the future that has to run on the control thread.
pub(crate) fn run_control(
    parts: ControlParts,
    handle: ControlHandle,
    commands: CommandReceiver,
) -> BoxFuture<'static, ()> {
    Box::pin(run(parts, handle, commands))
}

async fn run(mut parts: ControlParts, handle: ControlHandle, mut commands: CommandReceiver) {
    tokio::spawn(polling::poll_vm_list(
        parts.platform.clone(),
        handle.clone(),
    ));
    tokio::spawn(polling::poll_configuration(
        ConfigurationStore::new(parts.platform.clone()),
        handle.clone(),
        parts.state.name().to_owned(),
    ));
    let mut tick = interval(TICK);
    let mut heartbeat = interval(Duration::from_millis(parts.heartbeat_ms));
    let mut reports = interval(REPORT_PERIOD);
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                parts.run_command(command, &handle);
            }
            _ = tick.tick() => parts.tick(&handle),
            _ = heartbeat.tick() => parts.send_heartbeats(&handle),
            _ = reports.tick() => parts.fetch_reports(&handle),
        }
    }
}

fn interval(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

impl ControlParts {
    fn run_command(&mut self, command: Command, handle: &ControlHandle) {
        let now_ms = self.clock.now_ms();
        match command {
            Command::Peer { request, reply } => {
                let is_heartbeat = matches!(request, PeerRequest::Heartbeat(_));
                drop(reply.send(self.state.handle_peer(request, now_ms)));
                if is_heartbeat {
                    self.fetch_newer_config(now_ms, handle);
                }
            }
            Command::Begin {
                server,
                bound_share,
                reply,
            } => {
                let begun = self.state.begin(server, bound_share);
                let reservation = begun.reservation;
                if reply.send(begun).is_err() {
                    self.end(reservation);
                }
            }
            Command::End { reservation } => self.end(reservation),
            Command::VmList(list) => self.state.take_vm_list(list),
            Command::Platform { reached } => self.state.note_platform(reached, now_ms),
            Command::OfferConfig(config) => {
                // Peers hear of it now and not with the next heartbeat.
                if self.offer_config(config) == Refreshed::InForce {
                    self.send_heartbeats(handle);
                }
            }
            Command::PeerConfig(config) => {
                self.offer_config(config);
            }
            Command::Report { server, report } => self.state.take_report(server, report, now_ms),
            Command::PeerAnswered {
                router,
                config_version,
            } => {
                self.state.note_peer_version(router, config_version);
                self.fetch_newer_config(now_ms, handle);
            }
            Command::LeaseBudget { ask, reply } => {
                drop(reply.send(self.state.lease_budget(ask, now_ms)));
            }
            Command::Stop => {
                self.state.stop();
                self.tick(handle);
                self.send_heartbeats(handle);
            }
        }
    }

    fn offer_config(&mut self, config: Arc<FleetConfig>) -> Refreshed {
        let refreshed = self.state.offer_config(config);
        let version = self.state.config_version();
        self.metrics.config_version.set(version as i64);
        refreshed
    }

    /// Fetches a peer's newer configuration, unless there is none or a fetch is under way.
    fn fetch_newer_config(&self, now_ms: u64, handle: &ControlHandle) {
        let Some(address) = self.state.newer_config_at(now_ms) else {
            return;
        };
        if self.fetching_config.swap(true, Ordering::AcqRel) {
            return;
        }
        let (peers, handle) = (self.peers.clone(), handle.clone());
        let (held, fetching) = (self.state.config().clone(), self.fetching_config.clone());
        tokio::spawn(async move {
            polling::fetch_config(peers, address, &held, handle).await;
            fetching.store(false, Ordering::Release);
        });
    }

    fn end(&mut self, reservation: sapphiretrack_core::ReservationId) {
        let Some((steward, server)) = self.state.end(reservation) else {
            return;
        };
        let peers = self.peers.clone();
        let me = self.state.id();
        tokio::spawn(async move {
            // A lost release is settled by the next heartbeat.
            drop(peers.release(steward, me, server, reservation).await);
        });
    }

    fn tick(&mut self, handle: &ControlHandle) {
        let now_ms = self.clock.now_ms();
        self.state.tick(now_ms);
        handle.snapshot.store(Arc::new(self.state.snapshot(now_ms)));
        self.metrics
            .control_bytes_total("peer_requests", self.peers.sent_bytes());
    }

    fn send_heartbeats(&mut self, handle: &ControlHandle) {
        for (router, address, heartbeat) in self.state.heartbeats(self.clock.now_ms()) {
            let peers = self.peers.clone();
            let handle = handle.clone();
            tokio::spawn(async move {
                if let Ok(reply) = peers.heartbeat(address, heartbeat).await {
                    let config_version = reply.config_version;
                    handle.send(Command::PeerAnswered {
                        router,
                        config_version,
                    });
                }
            });
        }
    }

    fn fetch_reports(&self, handle: &ControlHandle) {
        for (server, address) in self.state.watched_servers() {
            let backend = self.backend.clone();
            tokio::spawn(polling::fetch_report(
                backend,
                server,
                address,
                handle.clone(),
            ));
        }
    }
}
