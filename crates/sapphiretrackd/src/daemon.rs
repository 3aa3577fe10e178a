//! Starts a router, and stops it as planned.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dropshot::HttpServer;
use futures::future::BoxFuture;
use sapphiretrack_backend::BackendClient;
use sapphiretrack_caller::{CallerHandlers, RequestToken};
use sapphiretrack_core::{
    Contract, PlacementMemory, PlacementSettings, Refusal, RefusalCode, RouterId, RouterProfile,
    sha256_hex,
};
use sapphiretrack_operator::OperatorHandlers;
use sapphiretrack_operator::wire::StopReply;
use sapphiretrack_peer::{PeerClient, PeerHandlers, SigningKey};
use sapphiretrack_platform::{ClaimStore, ConfigurationStore, GoalStore, PlatformClient};
use snafu::{ResultExt, Snafu};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use crate::clock::{Clock, wall_clock_ms};
use crate::control::{
    Command, CommandReceiver, ControlHandle, ControlParts, ControlState, Identity, Snapshot,
    Timing, control_channel, run_control,
};
use crate::dispatch::{Dispatcher, Health};
use crate::entry::entry_reply;
use crate::events::Event;
use crate::goals::GoalOperations;
use crate::limits::LimitTable;
use crate::metrics::{InFlight, Metrics};
use crate::operations::Operations;
use crate::settings::Settings;
use crate::signals::stop_signals;
use crate::sweep::sweep_claims;

/// How often a planned stop looks whether the last request has ended.
const STOP_POLL: Duration = Duration::from_millis(20);
/// When to come back to a router that has not got the contracts yet.
const NO_CONFIG_RETRY_MS: u64 = 1_000;
/// How long a load report is passed on.
const REPORT_STALE_AFTER_MS: u64 = 2_000;

/// Why a router did not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A thread or runtime cannot be had.
    #[snafu(display("the {what} cannot start: {source}"))]
    Thread {
        /// Which.
        what: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The peers' address cannot be used.
    #[snafu(display("peers cannot be served on {address}: {source}; hint: --peer-address"))]
    Peers {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The callers' endpoint did not start.
    #[snafu(display("{source}; hint: --caller-address"))]
    Callers {
        /// Why.
        source: sapphiretrack_caller::StartError,
    },
    /// The operators' endpoint did not start.
    #[snafu(display("{source}; hint: --operator-address"))]
    Operators {
        /// Why.
        source: sapphiretrack_operator::StartError,
    },
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were still in flight when the stop limit came; 0 for a clean stop.
    pub cut_requests: u64,
}

/// A running router.
pub struct Daemon {
    settings: Settings,
    traffic: Runtime,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    stop: Arc<Notify>,
    callers: HttpServer<CallerHandlers>,
    operators: HttpServer<OperatorHandlers>,
    peer_address: SocketAddr,
}

impl Daemon {
    /// Starts all threads and endpoints.
    pub fn start(settings: Settings) -> Result<Self, DaemonError> {
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .context(ThreadSnafu {
                what: "traffic runtime",
            })?;
        let control_runtime =
            Builder::new_current_thread()
                .enable_all()
                .build()
                .context(ThreadSnafu {
                    what: "control runtime",
                })?;
        let parts = Parts::new(&settings);
        let key = SigningKey::new(&settings.cell_key);
        let serving = sapphiretrack_peer::serve(settings.peer_address, key, parts.peer_handlers());
        let (peer_address, accepting) = control_runtime.block_on(serving).context(PeersSnafu {
            address: settings.peer_address,
        })?;
        let endpoints = parts.start_endpoints(&settings, &traffic)?;
        let claims = ClaimStore::new(parts.platform.clone());
        traffic.spawn(sweep_claims(claims, parts.control.clone()));
        let identity = Identity {
            id: RouterId::from_name(&settings.router_name),
            incarnation: wall_clock_ms(),
            profile: RouterProfile {
                name: settings.router_name.clone(),
                zone: settings.zone.clone(),
                caller_address: endpoints.callers.local_addr(),
                operator_address: endpoints.operators.local_addr(),
                peer_address,
            },
        };
        let (control, stop, metrics) = (
            parts.control.clone(),
            parts.stop.clone(),
            parts.metrics.clone(),
        );
        let control_loop = parts.control_loop(&settings, identity);
        std::thread::Builder::new()
            .name(String::from("control"))
            .spawn(move || {
                control_runtime.block_on(async {
                    tokio::spawn(accepting);
                    control_loop.await;
                });
            })
            .context(ThreadSnafu {
                what: "control thread",
            })?;
        let Endpoints { callers, operators } = endpoints;
        let daemon = Self {
            settings,
            traffic,
            control,
            metrics,
            stop,
            callers,
            operators,
            peer_address,
        };
        Event::STARTED.log(&[
            ("router", &daemon.settings.router_name),
            ("callers", &daemon.caller_address().to_string()),
            ("operators", &daemon.operator_address().to_string()),
            ("peers", &daemon.peer_address.to_string()),
        ]);
        Ok(daemon)
    }

    /// Where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Where operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Where peers are served.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Asks for the planned stop, as a signal does.
    pub fn request_stop(&self) {
        self.stop.notify_one();
    }

    /// Serves until a signal or an operator asks for the planned stop, and until that ended.
    pub fn run(self) -> Result<StopReport, DaemonError> {
        let Self {
            settings,
            traffic,
            control,
            metrics,
            stop,
            callers,
            operators,
            ..
        } = self;
        let report = traffic.block_on(async {
            let mut signals = stop_signals().context(ThreadSnafu { what: "signals" })?;
            tokio::select! {
                () = stop.notified() => {}
                _ = signals.recv() => {}
            }
            tokio::spawn(async move {
                while signals.recv().await.is_some() {
                    Event::SIGNAL_IGNORED.log(&[]);
                }
            });
            Event::STOPPING.log(&[("router", &settings.router_name)]);
            control.send(Command::Stop);
            let limit = tokio::time::Instant::now() + Duration::from_millis(settings.stop_limit_ms);
            finish_requests(&settings, &metrics, limit).await;
            // Closing ends idle connections and waits for requests that came meanwhile.
            let close = async {
                drop(callers.close().await);
                drop(operators.close().await);
            };
            drop(tokio::time::timeout_at(limit, close).await);
            Ok(StopReport {
                cut_requests: in_flight(&metrics),
            })
        })?;
        match report.cut_requests {
            0 => Event::STOPPED.log(&[("router", &settings.router_name)]),
            cut => Event::STOP_LIMIT.log(&[("in_flight", &cut.to_string())]),
        }
        traffic.shutdown_background();
        Ok(report)
    }
}

/// Serves through the lookups' time to live and to the last request's end, up to the limit.
async fn finish_requests(settings: &Settings, metrics: &Metrics, limit: tokio::time::Instant) {
    let ttl = Duration::from_millis(settings.entry_ttl_ms);
    tokio::time::sleep_until(limit.min(tokio::time::Instant::now() + ttl)).await;
    while in_flight(metrics) > 0 && tokio::time::Instant::now() < limit {
        tokio::time::sleep(STOP_POLL).await;
    }
}

/// Requests whose answers are not whole on their way.
fn in_flight(metrics: &Metrics) -> u64 {
    metrics.in_flight.get().max(0) as u64
}

/// The endpoints on the traffic threads.
struct Endpoints {
    callers: HttpServer<CallerHandlers>,
    operators: HttpServer<OperatorHandlers>,
}

/// What the threads of a router share while it starts.
struct Parts {
    clock: Clock,
    control: ControlHandle,
    commands: CommandReceiver,
    platform: PlatformClient,
    peers: PeerClient,
    backend: BackendClient,
    metrics: Arc<Metrics>,
    stop: Arc<Notify>,
}

impl Parts {
    fn new(settings: &Settings) -> Self {
        let (control, commands) = control_channel(RouterId::from_name(&settings.router_name));
        let key = SigningKey::new(&settings.cell_key);
        Self {
            clock: Clock::start(),
            control,
            commands,
            platform: PlatformClient::new(sapphiretrack_platform::Settings {
                url: settings.platform_url.clone(),
                timeout_ms: settings.platform_timeout_ms,
            }),
            peers: PeerClient::new(sapphiretrack_peer::Settings::default(), key),
            backend: BackendClient::new(sapphiretrack_backend::Settings::default()),
            metrics: Arc::new(Metrics::new()),
            stop: Arc::new(Notify::new()),
        }
    }

    fn peer_handlers(&self) -> PeerHandlers {
        let control = self.control.clone();
        let metrics = self.metrics.clone();
        PeerHandlers {
            handle: Arc::new(move |request| {
                let control = control.clone();
                Box::pin(async move { control.peer(request).await })
            }),
            rejected: Arc::new(move || {
                metrics.rejected_peer_messages.inc();
                Event::PEER_REJECTED.log(&[]);
            }),
        }
    }

    fn start_endpoints(
        &self,
        settings: &Settings,
        traffic: &Runtime,
    ) -> Result<Endpoints, DaemonError> {
        let _guard = traffic.enter();
        let callers = sapphiretrack_caller::start(
            settings.caller_address,
            settings.max_body_bytes,
            tls_files(settings),
            self.caller_handlers(settings),
        )
        .context(CallersSnafu)?;
        let operators = sapphiretrack_operator::start(
            settings.operator_address,
            tls_files(settings),
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
        tokio::spawn(limits.clone().renew());
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
            memory: Mutex::new(PlacementMemory::new(settings.placement_memory_chats)),
            shares: Mutex::default(),
            retries: Mutex::new(Dispatcher::retry_budget()),
            health: Health::default(),
        });
        let for_keys = self.control.clone();
        let for_entry = self.control.clone();
        let entry_ttl_ms = settings.entry_ttl_ms;
        let metrics = self.metrics.clone();
        let counted = self.metrics.clone();
        CallerHandlers {
            authenticate: Arc::new(move |key| contract_of_key(&for_keys.snapshot(), key)),
            entry: Arc::new(move |zone| {
                entry_reply(&for_entry.snapshot(), zone, entry_ttl_ms, rand::random())
            }),
            begin: Arc::new(move || RequestToken::new(InFlight::begin(&counted))),
            run: Arc::new(move |request| dispatcher.run(request)),
            refused: Arc::new(move |refusal| metrics.refused(refusal.code)),
        }
    }

    fn operator_handlers(&self, settings: &Settings) -> OperatorHandlers {
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
            show: Arc::new(move |asked| {
                let operations = show.clone();
                Box::pin(async move { operations.show(&asked).await })
            }),
            history: Arc::new(move |()| {
                let operations = history.clone();
                Box::pin(async move { operations.history().await })
            }),
            status: Arc::new(move || operations.status()),
            stop: Arc::new(move || {
                stop.notify_one();
                StopReply {
                    in_flight: in_flight(&stop_metrics),
                }
            }),
            metrics: Arc::new(move || metrics.encode()),
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

    fn control_loop(self, settings: &Settings, identity: Identity) -> BoxFuture<'static, ()> {
        let timing = Timing {
            dead_after_ms: settings.dead_after_ms,
            isolated_after_ms: settings.isolated_after_ms,
            report_stale_after_ms: REPORT_STALE_AFTER_MS,
        };
        let parts = ControlParts {
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
            read_list: Arc::new(Notify::new()),
        };
        run_control(parts, self.control, self.commands)
    }
}

/// The contract that lists a key; a router that knows of no configuration cannot say.
fn contract_of_key(snapshot: &Snapshot, key: &str) -> Result<Arc<Contract>, Refusal> {
    if let Some(contract) = snapshot.keys.contract_of_key(key) {
        return Ok(contract.clone());
    }
    if !snapshot.config_known {
        let message = "the router has not got the contracts yet";
        return Err(
            Refusal::not_run(RefusalCode::Isolated, message).retry_after(NO_CONFIG_RETRY_MS)
        );
    }
    let message = "no contract lists the key";
    Err(Refusal::not_run(RefusalCode::BadKey, message))
}

fn tls_files(settings: &Settings) -> Option<(PathBuf, PathBuf)> {
    settings.tls_cert.clone().zip(settings.tls_key.clone())
}
