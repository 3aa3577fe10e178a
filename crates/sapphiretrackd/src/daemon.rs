//! Starts a router, and stops it as planned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::HttpServer;
use sapphiretrack_caller::CallerServer;
use sapphiretrack_core::{RouterId, RouterProfile};
use sapphiretrack_operator::OperatorHandlers;
use sapphiretrack_peer::SigningKey;
use sapphiretrack_platform::ClaimStore;
use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use crate::clock::wall_clock_ms;
use crate::control::{Command, ControlHandle, Identity};
use crate::error::{DaemonError, PeersSnafu, ThreadSnafu};
use crate::events::Event;
use crate::hand_over::{HandOver, pass_on};
use crate::metrics::Metrics;
use crate::parts::{Endpoints, Parts};
use crate::settings::Settings;
use crate::signals::stop_signals;
use crate::stopping::Stopping;
use crate::sweep::sweep_claims;
use crate::warm_snapshots::WarmSnapshots;

/// How long a planned stop waits for what is passed on, after the last request.
const PASS_ON_WAIT: Duration = Duration::from_secs(1);

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
    stopping: Arc<Stopping>,
    hand_over: HandOver,
    snapshots: WarmSnapshots,
    callers: CallerServer,
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
        let (hand_over, snapshots) = (parts.hand_over(), parts.warm_snapshots(&settings));
        traffic.spawn(snapshots.clone().run());
        let identity = Identity {
            id: RouterId::from_name(&settings.router_name),
            incarnation: wall_clock_ms(),
            profile: RouterProfile {
                name: settings.router_name.clone(),
                zone: settings.zone.clone(),
                caller_address: endpoints.callers.local_address(),
                operator_address: endpoints.operators.local_addr(),
                peer_address,
            },
        };
        let (control, stop, stopping, metrics) = (
            parts.control.clone(),
            parts.stop.clone(),
            parts.stopping.clone(),
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

    /// Where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_address()
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
            let told = tokio::spawn(pass_on(hand_over, snapshots, settings.entry_ttl_ms));
            stopping.serve_on(&settings, &metrics, limit).await;
            // What is not passed on by then costs warmth only.
            let told_by = limit.min(tokio::time::Instant::now() + PASS_ON_WAIT);
            drop(tokio::time::timeout_at(told_by, told).await);
            // Closing ends idle connections and waits for requests that came meanwhile.
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
