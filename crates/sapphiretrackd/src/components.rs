//! Builds the components that the threads of a router share.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_caller::{Answer, CallerHandlers, CallerServer, RequestGuard};
use sapphiretrack_core::{Contract, PlacementSettings, Refusal, RefusalCode, RouterId, sha256_hex};
use sapphiretrack_operator::wire::StopReply;
use sapphiretrack_operator::{OperatorHandlers, OperatorServer};
use sapphiretrack_peer::{
    MAX_HAND_OVER_CHATS, PeerClient, PeerHandlers, PeerReply, PeerRequest, SigningKey,
};
use sapphiretrack_platform::{
    ClaimStore, ConfigurationStore, GoalStore, PlatformClient, WarmStore,
};
use snafu::ResultExt;
use tokio::runtime::Runtime;
use tokio::sync::Notify;

use crate::client_limits::ClientResources;
use crate::clock::Clock;
use crate::control::{
    CommandReceiver, ControlHandle, ControlLoop, ControlState, Identity, Snapshot, Timing,
    control_channel, run_control,
};
use crate::dispatch::{Dispatcher, Health};
use crate::entry::entry_reply;
use crate::error::{CallersSnafu, DaemonError, OperatorsSnafu};
use crate::events::Event;
use crate::goals::GoalOperations;
use crate::hand_over::HandOver;
use crate::limits::LimitTable;
use crate::metrics::{InFlightGuard, Metrics};
use crate::operations::Operations;
use crate::settings::Settings;
use crate::stopping::Stopping;
use crate::unusable_rows::row_reporter;
use crate::warm_memory::WarmMemory;
use crate::warm_snapshots::WarmSnapshots;

/// Retry delay of a router that has not received the contracts yet.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 1_000;
/// The age above which a load report counts as stale.
const REPORT_STALE_AFTER_MS: u64 = 2_000;

/// The endpoints that run on the traffic threads.
pub(crate) struct Endpoints {
    pub(crate) callers: CallerServer,
    pub(crate) operators: OperatorServer,
}

/// The components that the threads of a router share.
pub(crate) struct Components {
    pub(crate) clock: Clock,
    pub(crate) control: ControlHandle,
    pub(crate) commands: CommandReceiver,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerClient,
    pub(crate) backend: BackendClient,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: Arc<Notify>,
    pub(crate) stopping: Arc<Stopping>,
    pub(crate) memory: Arc<WarmMemory>,
    pub(crate) clients: ClientResources,
}

impl Components {
    pub(crate) fn new(settings: &Settings) -> Self {
        let (control, commands) = control_channel(RouterId::from_name(&settings.router_name));
        let key = SigningKey::new(&settings.cell_key);
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new());
        let platform = PlatformClient::new(sapphiretrack_platform::Settings {
            url: settings.platform_url.clone(),
            timeout_ms: settings.platform_timeout_ms,
        });
        Self {
            clock,
            memory: Arc::new(WarmMemory::new(clock, settings.placement_memory_chats)),
            control,
            commands,
            platform: platform.with_reporter(row_reporter(&metrics, clock)),
            peers: PeerClient::new(sapphiretrack_peer::Settings::default(), key),
            backend: BackendClient::new(sapphiretrack_backend::Settings::default()),
            metrics,
            clients: ClientResources::new(settings),
            stop: Arc::new(Notify::new()),
            stopping: Arc::new(Stopping::new(clock, settings)),
        }
    }

    pub(crate) fn peer_handlers(&self) -> PeerHandlers {
        let control = self.control.clone();
        let metrics = self.metrics.clone();
        let memory = self.memory.clone();
        PeerHandlers {
            handle: Arc::new(move |request| {
                let (control, memory) = (control.clone(), memory.clone());
                Box::pin(async move {
                    match request {
                        PeerRequest::HandOver(mut list) => {
                            list.chats.truncate(MAX_HAND_OVER_CHATS);
                            let chats = memory.merge(&list, 0) as u32;
                            PeerReply::HandedOver { chats }
                        }
                        request => control.handle_peer_request(request).await,
                    }
                })
            }),
            rejected: Arc::new(move || {
                metrics.rejected_peer_messages.inc();
                Event::PEER_REJECTED.log(&[]);
            }),
        }
    }

    pub(crate) fn hand_over(&self) -> HandOver {
        HandOver {
            control: self.control.clone(),
            memory: self.memory.clone(),
            peers: self.peers.clone(),
        }
    }

    pub(crate) fn warm_snapshots(&self, settings: &Settings) -> WarmSnapshots {
        WarmSnapshots {
            me: RouterId::from_name(&settings.router_name),
            name: settings.router_name.clone(),
            clock: self.clock,
            control: self.control.clone(),
            memory: self.memory.clone(),
            store: WarmStore::new(self.platform.clone()),
            period_ms: settings.memory_snapshot_ms,
        }
    }

    pub(crate) fn start_endpoints(
        &self,
        settings: &Settings,
        traffic: &Runtime,
    ) -> Result<Endpoints, DaemonError> {
        let _guard = traffic.enter();
        let caller_settings = sapphiretrack_caller::Settings {
            address: settings.caller_address,
            max_body_bytes: settings.max_body_bytes,
            tls: tls_files(settings),
            memory: self.clients.memory.clone(),
            max_connections: self.clients.max_connections,
        };
        let callers = CallerServer::start(&caller_settings, self.caller_handlers(settings))
            .context(CallersSnafu)?;
        let operators = OperatorServer::start(
            settings.operator_address,
            tls_files(settings),
            self.clients.operator_gate(),
            self.operator_handlers(settings),
        )
        .context(OperatorsSnafu)?;
        Ok(Endpoints { callers, operators })
    }

    fn caller_handlers(&self, settings: &Settings) -> CallerHandlers {
        let limits = LimitTable::new(
            self.clock,
            self.control.clone(),
            self.peers.clone(),
            RouterId::from_name(&settings.router_name),
        );
        tokio::spawn(limits.clone().renew_leases());
        let dispatcher = Arc::new(Dispatcher {
            clock: self.clock,
            control: self.control.clone(),
            peers: self.peers.clone(),
            backend: self.backend.clone(),
            claims: ClaimStore::new(self.platform.clone()),
            metrics: self.metrics.clone(),
            limits,
            placement: PlacementSettings {
                bound: settings.load_bound,
                ..PlacementSettings::default()
            },
            memory: self.memory.clone(),
            shares: Mutex::default(),
            retries: Mutex::new(Dispatcher::retry_budget()),
            health: Health::default(),
        });
        let keys_control = self.control.clone();
        let entry_control = self.control.clone();
        let entry_ttl_ms = settings.entry_ttl_ms;
        let metrics = self.metrics.clone();
        let in_flight_metrics = self.metrics.clone();
        let (arrivals, stopping) = (self.stopping.clone(), self.stopping.clone());
        CallerHandlers {
            authenticate: Arc::new(move |key| contract_of_key(&keys_control.snapshot(), key)),
            entry: Arc::new(move |zone| {
                entry_reply(
                    &entry_control.snapshot(),
                    zone,
                    entry_ttl_ms,
                    rand::random(),
                )
            }),
            is_stopping: Arc::new(move || stopping.has_begun()),
            track_request: Arc::new(move || {
                RequestGuard::new(InFlightGuard::new(&in_flight_metrics))
            }),
            run: Arc::new(move |request| {
                arrivals.record_arrival();
                if let Some(refusal) = arrivals.refusal(request.policy.deadline_ms) {
                    dispatcher.metrics.count_refusal(refusal.code);
                    return Box::pin(std::future::ready(Answer::Refused(refusal)));
                }
                dispatcher.run(request)
            }),
            on_refusal: Arc::new(move |refusal| metrics.count_refusal(refusal.code)),
        }
    }

    fn operator_handlers(&self, settings: &Settings) -> OperatorHandlers {
        let clients = self.clients.clone();
        let operations = Operations {
            router_name: settings.router_name.clone(),
            store: ConfigurationStore::new(self.platform.clone()),
            control: self.control.clone(),
            metrics: self.metrics.clone(),
        };
        let goals = GoalOperations {
            store: GoalStore::new(self.platform.clone()),
            control: self.control.clone(),
        };
        let goals_for_fencing = goals.clone();
        let digest = settings.operator_key_sha256.to_lowercase();
        let stop = self.stop.clone();
        let metrics = self.metrics.clone();
        let stop_metrics = self.metrics.clone();
        let [apply, drain, outcome_of, show, history] = std::array::from_fn(|_| operations.clone());
        OperatorHandlers {
            authenticate: Arc::new(move |key| !digest.is_empty() && sha256_hex(key) == digest),
            apply: Arc::new(move |request| {
                let operations = apply.clone();
                Box::pin(async move { operations.apply(request).await })
            }),
            drain: Arc::new(move |request| {
                let operations = drain.clone();
                Box::pin(async move { operations.drain(request).await })
            }),
            outcome_of: Arc::new(move |change_id| {
                let operations = outcome_of.clone();
                Box::pin(async move { operations.outcome_of(change_id).await })
            }),
            show: Arc::new(move |query| {
                let operations = show.clone();
                Box::pin(async move { operations.show(&query).await })
            }),
            history: Arc::new(move |()| {
                let operations = history.clone();
                Box::pin(async move { operations.history().await })
            }),
            status: Arc::new(move || operations.status()),
            stop: Arc::new(move || {
                stop.notify_one();
                StopReply {
                    in_flight: stop_metrics.requests_in_flight(),
                }
            }),
            metrics: Arc::new(move || {
                metrics.set_client_usage(&clients);
                metrics.encode()
            }),
            set_goal: Arc::new(move |request| {
                let goals = goals.clone();
                Box::pin(async move { goals.set_goal(request).await })
            }),
            set_fencing: Arc::new(move |request| {
                let goals = goals_for_fencing.clone();
                Box::pin(async move { goals.set_fencing(request).await })
            }),
        }
    }

    pub(crate) fn control_loop(
        self,
        settings: &Settings,
        identity: Identity,
    ) -> BoxFuture<'static, ()> {
        let timing = Timing {
            dead_after_ms: settings.dead_after_ms,
            isolated_after_ms: settings.isolated_after_ms,
            report_stale_after_ms: REPORT_STALE_AFTER_MS,
        };
        let control_loop = ControlLoop {
            clock: self.clock,
            state: ControlState::new(
                identity,
                timing,
                settings.load_bound,
                settings.peer_seeds.0.clone(),
            ),
            platform: self.platform,
            peers: self.peers,
            backend: self.backend,
            metrics: self.metrics,
            heartbeat_ms: settings.heartbeat_ms,
            fetching_config: Arc::default(),
            vm_list_refresh: Arc::new(Notify::new()),
        };
        run_control(control_loop, self.control, self.commands)
    }
}

/// Returns the contract that lists a key. Without a configuration the refusal is temporary, since
/// the key may be valid.
fn contract_of_key(snapshot: &Snapshot, key: &str) -> Result<Arc<Contract>, Refusal> {
    if let Some(contract) = snapshot.keys.contract_of_key(key) {
        return Ok(contract.clone());
    }
    if !snapshot.config_known {
        let message = "the router has not got the contracts yet";
        return Err(
            Refusal::not_run(RefusalCode::Isolated, message).retry_after(NO_CONFIG_RETRY_AFTER_MS)
        );
    }
    let message = "no contract lists the key";
    Err(Refusal::not_run(RefusalCode::BadKey, message))
}

fn tls_files(settings: &Settings) -> Option<(PathBuf, PathBuf)> {
    settings.tls_cert.clone().zip(settings.tls_key.clone())
}
