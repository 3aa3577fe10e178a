//! Starts a router, and stops it as planned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::HttpServer;
use sapphiretrack_caller::CallerHandlers;
use sapphiretrack_core::{RouterId, RouterProfile};
use sapphiretrack_operator::OperatorHandlers;
use sapphiretrack_peer::SigningKey;
use sapphiretrack_platform::ClaimStore;
use snafu::{ResultExt, Snafu};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use crate::clock::wall_clock_ms;
use crate::control::{Command, ControlHandle, Identity};
use crate::events::Event;
use crate::hand_over::HandOver;
use crate::metrics::Metrics;
use crate::parts::{Endpoints, Parts};
use crate::settings::Settings;
use crate::signals::stop_signals;
use crate::sweep::sweep_claims;
use crate::warm_memory::WARM_FOR_MS;
use crate::warm_snapshots::WarmSnapshots;

/// How often a planned stop looks whether the last request has ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// How long a planned stop waits for what is passed on, after the last request.
const PASS_ON_WAIT: Duration = Duration::from_secs(1);
/// Ages are kept in whole seconds.
const AGE_ROUNDING_MS: u64 = 1_000;

/// Why a router did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
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
    hand_over: HandOver,
    snapshots: WarmSnapshots,
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
        let (hand_over, snapshots) = (parts.hand_over(), parts.warm_snapshots(&settings));
        traffic.spawn(snapshots.clone().run());
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
            finish_requests(&settings, &metrics, limit).await;
            // What is not passed on by then costs warmth only.
            let told_by = limit.min(tokio::time::Instant::now() + PASS_ON_WAIT);
            drop(tokio::time::timeout_at(told_by, told).await);
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

/// Passes on where chats are warm: at once for chats that come back elsewhere, and what came
/// meanwhile when callers have left.
async fn pass_on(hand_over: HandOver, snapshots: WarmSnapshots, entry_ttl_ms: u64) {
    let began = tokio::time::Instant::now();
    hand_over.clone().tell_peers(WARM_FOR_MS).await;
    tokio::time::sleep_until(began + Duration::from_millis(entry_ttl_ms)).await;
    let since_ms = began.elapsed().as_millis() as u64 + AGE_ROUNDING_MS;
    tokio::join!(hand_over.tell_peers(since_ms), snapshots.write_last());
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
pub(crate) fn in_flight(metrics: &Metrics) -> u64 {
    metrics.in_flight.get().max(0) as u64
}
