//! The control loop, which runs commands and periodic tasks on the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_core::{ConfigOffer, FleetConfig, RouterId};
use sapphiretrack_peer::{HeartbeatReply, PeerClient, PeerRequest};
use sapphiretrack_platform::{ConfigurationStore, PlatformClient};
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::control::handle::{Command, CommandReceiver, ControlHandle};
use crate::control::heartbeats::OutgoingHeartbeat;
use crate::control::{ControlState, EngineReconciler, polling};
use crate::metrics::Metrics;

/// How often state that changes with time alone is updated.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// The minimum time between two snapshots that changes cause.
const PUBLISH_PERIOD: Duration = Duration::from_millis(20);
/// The minimum time between two rounds of urgent heartbeats.
const URGENT_PERIOD: Duration = Duration::from_millis(20);
/// The maximum age of a snapshot. Estimates such as backlogs change with time alone.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(500);
/// How often load reports are fetched.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// The state, clients and settings of the control thread.
pub(crate) struct ControlLoop {
    pub(crate) clock: Clock,
    pub(crate) state: ControlState,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerClient,
    pub(crate) backend: BackendClient,
    pub(crate) metrics: Arc<Metrics>,
    /// The heartbeat period.
    pub(crate) heartbeat_ms: u64,
    /// Whether a peer's configuration is being fetched.
    pub(crate) fetching_config: Arc<AtomicBool>,
    /// Requests an early read of the list of VMs.
    pub(crate) vm_list_refresh: Arc<Notify>,
}

/// Returns the control loop as a future, to be run on the control thread.
pub(crate) fn run_control(
    control: ControlLoop,
    handle: ControlHandle,
    commands: CommandReceiver,
) -> BoxFuture<'static, ()> {
    Box::pin(run(control, handle, commands))
}

async fn run(mut control: ControlLoop, handle: ControlHandle, mut commands: CommandReceiver) {
    tokio::spawn(polling::poll_vm_list(
        control.platform.clone(),
        handle.clone(),
        control.vm_list_refresh.clone(),
    ));
    tokio::spawn(polling::poll_configuration(
        ConfigurationStore::new(control.platform.clone()),
        handle.clone(),
        control.state.name().to_owned(),
    ));
    let reconciler = EngineReconciler::new(
        control.clock,
        handle.clone(),
        &control.platform,
        control.state.id(),
        control.state.incarnation(),
    );
    tokio::spawn(reconciler.run());
    let mut tick = interval(TICK_PERIOD);
    let mut publish = interval(PUBLISH_PERIOD);
    let mut republish = interval(MAX_SNAPSHOT_AGE);
    let mut urgent = interval(URGENT_PERIOD);
    let mut heartbeat = interval(Duration::from_millis(control.heartbeat_ms));
    let mut reports = interval(REPORT_PERIOD);
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                control.state.detect_pause(control.clock.now_ms());
                control.run_command(command, &handle);
            }
            _ = tick.tick() => control.tick(),
            _ = publish.tick(), if control.state.is_changed() => control.publish(&handle),
            _ = republish.tick() => control.publish(&handle),
            _ = urgent.tick(), if control.state.is_urgent() => control.send_urgent(&handle),
            _ = heartbeat.tick() => control.send_heartbeats(&handle),
            _ = reports.tick() => control.fetch_reports(&handle),
        }
    }
}

fn interval(period: Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

impl ControlLoop {
    fn run_command(&mut self, command: Command, handle: &ControlHandle) {
        let now_ms = self.clock.now_ms();
        match command {
            Command::PeerRequest { request, reply } => {
                let is_heartbeat = matches!(request, PeerRequest::Heartbeat(_));
                drop(reply.send(self.state.handle_peer_request(request, now_ms)));
                if is_heartbeat {
                    self.fetch_newer_config(now_ms, handle);
                }
            }
            Command::BeginReservation { request, reply } => {
                let begun = self.state.begin_reservation(request, now_ms);
                let reservation = begun.reservation;
                if reply.send(begun).is_err() {
                    self.end_reservation(reservation);
                }
            }
            Command::SlotGranted { reservation } => self.state.mark_granted(reservation),
            Command::SlotRefused {
                reservation,
                refusal,
            } => self.state.record_slot_refusal(reservation, refusal, now_ms),
            Command::EndReservation { reservation } => self.end_reservation(reservation),
            Command::VmList(list) => self.state.apply_vm_list(list, now_ms),
            Command::PlatformCall { reached } => self.state.record_platform_call(reached, now_ms),
            Command::OfferConfig(config) => {
                // Announced at once instead of with the next periodic heartbeat.
                if self.offer_config(config) == ConfigOffer::Adopted {
                    self.send_heartbeats(handle);
                }
            }
            Command::PeerConfig(config) => {
                self.offer_config(config);
            }
            Command::LoadReport { server, report } => {
                self.state.apply_load_report(server, report, now_ms)
            }
            Command::HeartbeatAnswered {
                router,
                address,
                sequence,
                reply,
            } => self.handle_heartbeat_reply(router, address, sequence, &reply, handle),
            Command::LeaseBudget { request, reply } => {
                drop(reply.send(self.state.lease_budget(request, now_ms)));
            }
            Command::Stop => {
                self.state.stop();
                self.send_urgent(handle);
                self.publish(handle);
            }
            Command::PeerConnectionRefused {
                router,
                incarnation,
            } => {
                self.state.handle_peer_refusal(router, incarnation, now_ms);
                self.state.tick(now_ms);
            }
            Command::StewardConnectionRefused { address } => {
                self.state.handle_address_refusal(address)
            }
            Command::ServerLeaving {
                server,
                incarnation,
            } => self.state.mark_server_leaving(server, incarnation, now_ms),
        }
    }

    fn handle_heartbeat_reply(
        &mut self,
        router: Option<RouterId>,
        address: SocketAddr,
        sequence: u64,
        reply: &HeartbeatReply,
        handle: &ControlHandle,
    ) {
        let now_ms = self.clock.now_ms();
        match router {
            Some(router) => self
                .state
                .handle_heartbeat_reply(router, sequence, reply, now_ms),
            None => self.state.add_introduced_peers(reply),
        }
        self.fetch_newer_config(now_ms, handle);
        if self.state.lacks_vm_list() {
            let fetch = polling::fetch_vm_list(self.peers.clone(), address, handle.clone());
            tokio::spawn(fetch);
        }
    }

    fn offer_config(&mut self, config: Arc<FleetConfig>) -> ConfigOffer {
        let result = self.state.offer_config(config);
        let version = self.state.config_version();
        self.metrics.config_version.set(version as i64);
        result
    }

    /// Starts fetching a newer configuration from a peer, unless no peer has one or a fetch is in
    /// progress.
    fn fetch_newer_config(&self, now_ms: u64, handle: &ControlHandle) {
        let Some(address) = self.state.newer_config_source(now_ms) else {
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

    fn end_reservation(&mut self, reservation: sapphiretrack_core::ReservationId) {
        let Some((steward, release)) = self.state.end_reservation(reservation) else {
            return;
        };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            // If the release is lost, the held slots in the next heartbeat correct the steward.
            drop(peers.release(steward, &release).await);
        });
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.state.detect_pause(now_ms);
        self.state.tick(now_ms);
        if self.state.vm_lists_differ() {
            self.vm_list_refresh.notify_one();
        }
        self.metrics
            .set_control_bytes("peer_requests", self.peers.sent_bytes());
    }

    /// Publishes a snapshot, after everything that follows from the changes is updated.
    fn publish(&mut self, handle: &ControlHandle) {
        let now_ms = self.clock.now_ms();
        self.state.detect_pause(now_ms);
        self.state.tick(now_ms);
        self.state.clear_changed();
        let snapshot = self.state.snapshot(now_ms);
        handle.snapshot.store(Arc::new(snapshot));
    }

    /// Updates the state and sends a round of urgent heartbeats.
    fn send_urgent(&mut self, handle: &ControlHandle) {
        self.state.detect_pause(self.clock.now_ms());
        self.state.tick(self.clock.now_ms());
        self.state.finish_urgent_round();
        self.send_heartbeats(handle);
    }

    fn send_heartbeats(&mut self, handle: &ControlHandle) {
        self.state.detect_pause(self.clock.now_ms());
        for outgoing in self.state.next_heartbeats(self.clock.now_ms()) {
            tokio::spawn(send_heartbeat(self.peers.clone(), handle.clone(), outgoing));
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

async fn send_heartbeat(peers: PeerClient, handle: ControlHandle, outgoing: OutgoingHeartbeat) {
    let OutgoingHeartbeat {
        router,
        incarnation,
        address,
        heartbeat,
    } = outgoing;
    let sequence = heartbeat.sequence;
    match (peers.heartbeat(address, heartbeat).await, router) {
        (Ok(reply), _) => handle.send(Command::HeartbeatAnswered {
            router,
            address,
            sequence,
            reply,
        }),
        (Err(error), Some(router)) if error.is_connection_refused() => {
            handle.send(Command::PeerConnectionRefused {
                router,
                incarnation,
            });
        }
        (Err(_), _) => {}
    }
}
