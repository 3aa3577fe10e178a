//! Starts a router, and ends it after a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_routing::StopPhase;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::caller_listener::serve_callers;
use crate::client_limits::{Listener, apply_client_limits};
use crate::clock::Clock;
use crate::crashes::{compare_crashes, send_crash_records, store_blocked_requests};
use crate::discovery::find_routers;
use crate::ended_servers::report_ended_servers;
use crate::endpoints::serve_endpoints;
use crate::events::{Event, note};
use crate::incarnation_checks::check_incarnations;
use crate::listing_updates::{watch_configuration, watch_servers};
use crate::load_exchange::{collect_loads, report_loads};
use crate::peer_hop::hop_address;
use crate::peer_messages::{advertise_listings, receive_messages, send_heartbeats};
use crate::planned_stop::stop_phase;
use crate::ports::{Interface, Ports, ReadSettings};
use crate::prefix_recovery::recover_prefixes;
use crate::relayed_requests::serve_routers;
use crate::server_paths::{probe_lost_servers, watch_silent_servers};
use crate::settings::RouterSettings;
use crate::shared::Shared;
use crate::slot_task::schedule_slots;
use crate::snapshots::serve_snapshots;
use crate::stored_versions::{keep_stored_versions, read_demanded_versions};
use crate::stream_origins::send_stream_origins;
use crate::stream_versions::verify_listed_versions;

/// Connections that may wait to be accepted, for the burst after another router fails.
const LISTEN_BACKLOG: u32 = 1_024;
/// The interval at which a stopping router checks whether it may end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which the settings are read without a signal: one small file each time.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long deregistration at the store may take; a stale row does its readers no harm.
const DEREGISTRATION_LIMIT: Duration = Duration::from_millis(200);

/// Why a router cannot start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The runtime of a thread cannot be set up.
    #[snafu(display("cannot set up the runtime of a thread: {source}"))]
    Threads {
        /// The underlying error.
        source: std::io::Error,
    },
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source} (hint: is another router running?)"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// The underlying error.
        source: std::io::Error,
    },
}

/// Runs a router until its planned stop ends: a new thread runs the control tasks, the calling
/// thread serves traffic.
pub fn run(settings: RouterSettings, interface: Interface, ports: Ports) -> Result<(), RunError> {
    let shared = Arc::new(Shared::new(settings, ports.connect_server.clone()));
    let control = runtime()?;
    let traffic = runtime()?;
    // The router listens before the control thread can report it as ready.
    let (callers, routers) = {
        let _guard = traffic.enter();
        let settings = shared.settings();
        let hop_address = hop_address(settings.peer_address);
        (listen(settings.caller_address)?, listen(hop_address)?)
    };
    {
        let shared = shared.clone();
        std::thread::spawn(move || {
            if let Err(error) = control.block_on(run_control(shared, interface, ports)) {
                eprintln!("{error}");
                std::process::exit(1);
            }
        });
    }
    traffic.block_on(run_traffic(shared, interface, callers, routers))
}

async fn run_control(
    shared: Arc<Shared>,
    interface: Interface,
    ports: Ports,
) -> Result<(), RunError> {
    let store = Arc::new(ports.store);
    let settings = shared.settings();
    let peer_address = settings.peer_address;
    let socket = UdpSocket::bind(peer_address).await;
    let socket = Arc::new(socket.context(ListenSnafu {
        address: peer_address,
    })?);
    let endpoints = [
        (Some(settings.ready_address), Listener::Readiness),
        (settings.lookup_address, Listener::Lookups),
        (settings.metrics_address, Listener::Metrics),
    ];
    for (address, kind) in endpoints {
        let Some(address) = address else {
            continue;
        };
        let listener = listen(address)?;
        tokio::spawn(serve_endpoints(shared.clone(), interface, listener, kind));
    }
    let snapshots = listen(peer_address)?;
    tokio::spawn(serve_snapshots(shared.clone(), snapshots));
    tokio::spawn(watch_configuration(shared.clone(), store.clone()));
    tokio::spawn(watch_servers(shared.clone(), store.clone()));
    tokio::spawn(find_routers(shared.clone(), store.clone()));
    tokio::spawn(receive_messages(shared.clone(), socket.clone()));
    tokio::spawn(advertise_listings(shared.clone(), socket.clone()));
    tokio::spawn(report_loads(shared.clone(), socket.clone()));
    tokio::spawn(collect_loads(shared.clone(), socket.clone()));
    tokio::spawn(schedule_slots(shared.clone(), socket.clone()));
    tokio::spawn(send_heartbeats(shared.clone(), socket.clone()));
    tokio::spawn(send_stream_origins(shared.clone(), socket.clone()));
    tokio::spawn(send_crash_records(shared.clone(), socket.clone()));
    tokio::spawn(report_ended_servers(shared.clone(), socket.clone()));
    tokio::spawn(compare_crashes(shared.clone(), socket.clone()));
    tokio::spawn(store_blocked_requests(shared.clone(), store.clone()));
    tokio::spawn(keep_stored_versions(shared.clone(), store.clone()));
    tokio::spawn(read_demanded_versions(shared.clone(), store.clone()));
    tokio::spawn(verify_listed_versions(shared.clone()));
    tokio::spawn(check_incarnations(shared.clone(), ports.read_incarnation));
    tokio::spawn(recover_prefixes(
        shared.clone(),
        socket,
        ports.list_prefixes,
    ));
    note!(
        Event::STARTED,
        router = settings.name,
        zone = settings.zone,
        callers = settings.caller_address,
        version = env!("CARGO_PKG_VERSION"),
    );
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    tokio::spawn(watch_settings(shared.clone(), hangup, ports.read_settings));
    let mut stop = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    stop.recv().await;
    note!(Event::STOPPING, in_flight = shared.activity.in_flight());
    shared.begin_stop();
    shared.stream_origins.announce_all();
    // A heartbeat announces the stop to the other routers at once; the row only lists this router
    // as a recipient of heartbeats.
    drop(timeout(DEREGISTRATION_LIMIT, (store.register)(false)).await);
    std::future::pending().await
}

/// Reads the settings again at each hangup signal, and every `SETTINGS_CHECK_INTERVAL` without one.
/// An error that repeats is logged once.
async fn watch_settings(shared: Arc<Shared>, mut hangup: Signal, read: ReadSettings) {
    let mut last_error = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(SETTINGS_CHECK_INTERVAL) => {}
        }
        match read() {
            Ok(None) => last_error = None,
            Ok(Some(settings)) => {
                shared.apply_settings(settings);
                apply_client_limits(&shared);
                note!(Event::SETTINGS_READ, router = shared.settings().name);
            }
            Err(error) if last_error.as_ref() != Some(&error) => {
                note!(Event::SETTINGS_INVALID, error = error);
                last_error = Some(error);
            }
            Err(_) => {}
        }
    }
}

async fn run_traffic(
    shared: Arc<Shared>,
    interface: Interface,
    callers: TcpListener,
    routers: TcpListener,
) -> Result<(), RunError> {
    tokio::spawn(serve_callers(shared.clone(), interface, callers));
    tokio::spawn(serve_routers(shared.clone(), interface, routers));
    tokio::spawn(probe_lost_servers(shared.clone()));
    tokio::spawn(watch_silent_servers(shared.clone()));
    loop {
        sleep(STOP_CHECK_INTERVAL).await;
        let Some(since_ms) = shared.activity.leaving_for_ms() else {
            sleep(STOP_CHECK_INTERVAL * 4).await;
            continue;
        };
        if stop_phase(&shared) == Some(StopPhase::Finished) {
            note!(
                Event::STOPPED,
                in_flight = shared.activity.in_flight(),
                since_ms = since_ms,
                uptime_ms = Clock.now_ms(),
            );
            log::logger().flush();
            return Ok(());
        }
    }
}

fn runtime() -> Result<Runtime, RunError> {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().build().context(ThreadsSnafu)
}

fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().context(ListenSnafu { address })
}
