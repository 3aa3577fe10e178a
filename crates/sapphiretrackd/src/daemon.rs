//! Starts a router and runs its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_caller::CallerServer;
use sapphiretrack_core::{RouterId, RouterProfile};
use sapphiretrack_operator::OperatorServer;
use sapphiretrack_peer::SigningKey;
use sapphiretrack_platform::ClaimStore;
use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use crate::clock::wall_clock_ms;
use crate::components::{Components, Endpoints};
use crate::control::{Command, ControlHandle, Identity};
use crate::error::{DaemonError, PeersSnafu, ThreadSnafu};
use crate::events::Event;
use crate::hand_over::{HandOver, hand_over_memory};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::signals::stop_signals;
use crate::stopping::Stopping;
use crate::sweep::sweep_claims;
use crate::warm_snapshots::WarmSnapshots;

/// How long a planned stop waits for the hand-over of the placement memory after the last request.
const HAND_OVER_WAIT: Duration = Duration::from_secs(1);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were still in flight at the stop limit; 0 for a clean stop.
    pub cut_requests: u64,
}

/// A running router.
pub struct Daemon {
    settings: Settings,
    traffic: Runtime,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    stop: Arc<Notify>,
    stopping: Arc<Stopping>,
    hand_over: HandOver,
    snapshots: WarmSnapshots,
    callers: CallerServer,
    operators: OperatorServer,
    peer_address: SocketAddr,
}

impl Daemon {
    /// Starts all threads and endpoints.
    ///
    /// Fails if a thread cannot be started or an address cannot be bound.
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
        let components = Components::new(&settings);
        let key = SigningKey::new(&settings.cell_key);
        let starting = sapphiretrack_peer::serve_within(
            settings.peer_address,
            key,
            components.clients.memory.clone(),
            components.clients.peer_gate(),
            components.peer_handlers(),
        );
        let (peer_address, accepting) = control_runtime.block_on(starting).context(PeersSnafu {
            address: settings.peer_address,
        })?;
        let endpoints = components.start_endpoints(&settings, &traffic)?;
        let claims = ClaimStore::new(components.platform.clone());
        traffic.spawn(sweep_claims(claims, components.control.clone()));
        let (hand_over, snapshots) = (components.hand_over(), components.warm_snapshots(&settings));
        traffic.spawn(snapshots.clone().run());
        let identity = Identity {
            id: RouterId::from_name(&settings.router_name),
            incarnation: wall_clock_ms(),
            profile: RouterProfile {
                name: settings.router_name.clone(),
                zone: settings.zone.clone(),
                caller_address: endpoints.callers.local_address(),
                operator_address: endpoints.operators.local_address(),
                peer_address,
            },
        };
        let (control, stop, stopping, metrics) = (
            components.control.clone(),
            components.stop.clone(),
            components.stopping.clone(),
            components.metrics.clone(),
        );
        let control_loop = components.control_loop(&settings, identity);
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
            stopping,
            hand_over,
            snapshots,
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

    /// Returns the address that serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Returns the address that serves operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.local_address()
    }

    /// Returns the address that serves peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Requests the planned stop, as a signal does.
    pub fn request_stop(&self) {
        self.stop.notify_one();
    }

    /// Serves until a signal or an operator requests the planned stop, and until that stop ends.
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn run(self) -> Result<StopReport, DaemonError> {
        let Self {
            settings,
            traffic,
            control,
            metrics,
            stop,
            stopping,
            hand_over,
            snapshots,
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
            let handed_over = tokio::spawn(hand_over_memory(
                hand_over,
                snapshots,
                settings.entry_ttl_ms,
            ));
            stopping.drain_requests(&metrics, limit).await;
            // Chats that are not handed over by then only lose their cached tokens.
            let hand_over_limit = limit.min(tokio::time::Instant::now() + HAND_OVER_WAIT);
            drop(tokio::time::timeout_at(hand_over_limit, handed_over).await);
            // Closes idle connections and waits for requests that arrived in the meantime.
            let close = async {
                callers.close().await;
                drop(operators.close().await);
            };
            drop(tokio::time::timeout_at(limit, close).await);
            Ok(StopReport {
                cut_requests: metrics.requests_in_flight(),
            })
        })?;
        match report.cut_requests {
            0 => Event::STOPPED.log(&[("router", &settings.router_name)]),
            cut => Event::STOP_LIMIT_REACHED.log(&[("in_flight", &cut.to_string())]),
        }
        traffic.shutdown_background();
        Ok(report)
    }
}
