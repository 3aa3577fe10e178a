//! The control loop on its own thread.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_peer::{PeerClient, PeerRequest};
use sapphiretrack_platform::{ConfigurationStore, PlatformClient};
use tokio::sync::watch;
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
    /// Bumped when the configuration shall be read at once.
    pub(crate) read_config: watch::Receiver<u64>,
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
        parts.read_config.clone(),
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
                drop(reply.send(self.state.handle_peer(request, now_ms)));
            }
            Command::Begin { wish, reply } => {
                let begun = self.state.begin(wish, now_ms);
                let reservation = begun.reservation;
                if reply.send(begun).is_err() {
                    self.end(reservation);
                }
            }
            Command::End { reservation } => self.end(reservation),
            Command::VmList(list) => self.state.take_vm_list(list),
            Command::Platform { reached } => self.state.note_platform(reached, now_ms),
            Command::OfferConfig(config) => {
                self.state.offer_config(config);
                self.metrics
                    .config_version
                    .set(self.state.config_version() as i64);
            }
            Command::Report { server, report } => self.state.take_report(server, report, now_ms),
            Command::PeerAnswered {
                router,
                config_version,
            } => {
                if config_version > self.state.config_version()
                    && let Some(address) = self.state.peer_address(router)
                {
                    let fetch = polling::fetch_config(self.peers.clone(), address, handle.clone());
                    tokio::spawn(fetch);
                }
            }
            Command::Stop => {
                self.state.stop();
                self.tick(handle);
                self.send_heartbeats(handle);
            }
        }
    }

    fn end(&mut self, reservation: sapphiretrack_core::ReservationId) {
        let Some(release) = self.state.end(reservation) else {
            return;
        };
        let peers = self.peers.clone();
        let me = self.state.id();
        tokio::spawn(async move {
            // A lost release is settled by the next heartbeat.
            let request = PeerRequest::Release {
                router: me,
                server: release.server,
                reservation,
                in_flight: release.in_flight,
            };
            drop(peers.release(release.steward, request).await);
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
