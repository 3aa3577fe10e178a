//! Serves requests that other routers pass to this one, as they do not reach the backend servers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sapphiretrack_clients::{GatedBody, OpenConnection, RequestInProgress, discard_body};
use sapphiretrack_routing::RouterState;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::answer::{AnswerBody, generated_answer, text_answer};
use crate::caller_listener::{BODY_BUFFER_BYTES, accept_next};
use crate::client_limits::{Listener, connection_bytes};
use crate::connect::enable_dead_peer_detection;
use crate::dispatch::answer_request;
use crate::events::{Event, note};
use crate::origin_lookup::{ORIGIN_PATH, answer_origin};
use crate::peer_hop::{HOP, HopAnswer, HopOutcome, HopRequest};
use crate::peer_hops::REACHED_PATH;
use crate::ports::Interface;
use crate::refusal::{Refusal, refuse};
use crate::server_paths::{check_other_paths, probe_server_path};
use crate::shared::Shared;
use crate::sole_versions_text::{RowText, SOLE_VERSIONS_PATH};

/// The most requests of other routers that are served at a time, so that they leave room for this
/// router's own callers while most routers of an availability zone have no path.
const MAX_IN_FLIGHT: u32 = 256;
/// The most connections from addresses without a router that wait to be served.
const MAX_WAITING_STRANGERS: usize = 8;
/// How long a connection may idle: longer than the other routers keep them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves the requests of other routers until the process ends. Requests from addresses that are not known
/// as a router's are declined: a router that has just started may not know the sender yet.
pub(crate) async fn serve_routers(
    shared: Arc<Shared>,
    interface: Interface,
    listener: TcpListener,
) {
    let in_flight = Arc::new(AtomicU32::new(0));
    let waiting = Arc::new(Semaphore::new(MAX_WAITING_STRANGERS));
    loop {
        let stream = accept_next(&listener).await;
        let is_router = stream
            .peer_addr()
            .is_ok_and(|from| shared.peers().is_known_ip(from.ip()));
        if let Err(error) = enable_dead_peer_detection(&stream) {
            note!(Event::ACCEPT_FAILED, error = error);
            continue;
        }
        let limits = shared.configuration.load();
        let limits = limits.as_ref().map(|one| one.limits.clone());
        let limits = limits.unwrap_or_default();
        let clients = &shared.activity.clients;
        let serving = Serving {
            shared: shared.clone(),
            interface,
            max_buffer_bytes: limits.header_bytes + BODY_BUFFER_BYTES,
            is_router,
            in_flight: in_flight.clone(),
        };
        let connection_bytes = connection_bytes(&limits);
        if is_router {
            let gate = clients.gate(Listener::Routers);
            let open = gate.admit(connection_bytes).await;
            tokio::spawn(serving.run(stream, open));
        } else if let Ok(permit) = waiting.clone().try_acquire_owned() {
            // Routers do not wait for other addresses.
            let gate = clients.gate(Listener::Strangers).clone();
            tokio::spawn(async move {
                let open = gate.admit(connection_bytes).await;
                drop(permit);
                serving.run(stream, open).await;
            });
        }
    }
}

/// What serves a connection.
struct Serving {
    shared: Arc<Shared>,
    interface: Interface,
    max_buffer_bytes: usize,
    is_router: bool,
    in_flight: Arc<AtomicU32>,
}

impl Serving {
    /// Serves a connection until it ends. The log line of each request says how that ended.
    async fn run(self, stream: TcpStream, open: OpenConnection) {
        let open = Arc::new(open);
        let requests = open.clone();
        let answer = service_fn(move |request| {
            let (shared, in_flight) = (self.shared.clone(), self.in_flight.clone());
            let progress = requests.begin_request();
            let (interface, is_router) = (self.interface, self.is_router);
            serve(shared, interface, request, is_router, in_flight, progress)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(self.max_buffer_bytes)
            .serve_connection(TokioIo::new(stream), answer);
        open.serve(connection, |one| one.graceful_shutdown()).await;
    }
}

/// Counts a request of another router until the head of its answer is sent.
struct Counted(Arc<AtomicU32>);

impl Counted {
    fn new(in_flight: &Arc<AtomicU32>) -> (Self, u32) {
        let before = in_flight.fetch_add(1, Ordering::Relaxed);
        (Self(in_flight.clone()), before)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    shared: Arc<Shared>,
    interface: Interface,
    request: Request<Incoming>,
    is_router: bool,
    in_flight: Arc<AtomicU32>,
    mut progress: RequestInProgress,
) -> Result<Response<GatedBody<AnswerBody>>, Infallible> {
    let answer = answer(
        shared,
        interface,
        request,
        is_router,
        in_flight,
        &mut progress,
    )
    .await;
    Ok(answer.map(|body| progress.with_body(body)))
}

async fn answer(
    shared: Arc<Shared>,
    interface: Interface,
    mut request: Request<Incoming>,
    is_router: bool,
    in_flight: Arc<AtomicU32>,
    progress: &mut RequestInProgress,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    if is_router && let Some(server) = path.strip_prefix(REACHED_PATH) {
        let status = answer_reached(&shared, server.parse().ok()).await;
        return generated_answer(status, "", None);
    }
    if is_router && let Some(question) = path.strip_prefix(ORIGIN_PATH) {
        return match answer_origin(&shared, question) {
            Some(evidence) => text_answer(StatusCode::OK, evidence),
            None => text_answer(StatusCode::NOT_FOUND, String::new()),
        };
    }
    if is_router && path == SOLE_VERSIONS_PATH {
        let row = shared.stream_origins.stored.row();
        return match row.filter(|row| !row.stored.is_unreadable) {
            Some(row) => text_answer(StatusCode::OK, RowText(&row).to_string()),
            None => text_answer(StatusCode::NOT_FOUND, String::new()),
        };
    }
    let (_counted, others) = Counted::new(&in_flight);
    let stated = request.headers_mut().remove(HOP);
    let Some(hop) = stated.as_ref().and_then(HopRequest::parse) else {
        return generated_answer(StatusCode::BAD_REQUEST, "not-passed-on", None);
    };
    let reason = match is_router {
        true => decline_reason(&shared, &hop, others),
        false => Some("not-a-router"),
    };
    let mut answer = match reason {
        Some(reason) => {
            let leaving = shared.activity.leaving_for_ms().is_some();
            let (head, body) = request.into_parts();
            if is_router {
                // A reset in place of the answer would count as a request that may have run.
                discard_body(body, false);
            }
            let id = (interface.read_request)(&head);
            let id = id.map(|facts| facts.id).unwrap_or_default();
            refuse(&shared, &id, Refusal::retryable(reason), leaving)
        }
        None => answer_request(shared, interface, request, Some(hop), progress).await,
    };
    // An answer without a statement is one of this router's own that says nothing of its request.
    let stated = answer.extensions_mut().remove::<HopAnswer>();
    let stated = stated.unwrap_or(HopAnswer {
        outcome: HopOutcome::Failed,
        offers: hop.offers,
        possible_runs: hop.possible_runs,
        server: None,
        origin: None,
    });
    answer.headers_mut().insert(HOP, stated.to_header());
    answer
}

/// Answers whether this router reaches a server: yes, no, or that it does not know.
async fn answer_reached(shared: &Shared, server: Option<u64>) -> StatusCode {
    let listed = shared.servers.load_full();
    let mut listed = listed.values().flatten();
    let server = listed.find(|one| Some(one.incarnation.0) == server);
    let Some(server) = server.filter(|_| !shared.server_paths.is_lost()) else {
        return StatusCode::SERVICE_UNAVAILABLE;
    };
    let limit_ms = shared.settings().times.connect_ms;
    match probe_server_path(shared, server, limit_ms).await {
        Ok(()) => StatusCode::OK,
        Err(_) if check_other_paths(shared, server).await => StatusCode::SERVICE_UNAVAILABLE,
        Err(_) => StatusCode::NOT_FOUND,
    }
}

/// Why this router does not take another one's request; none if it does.
fn decline_reason(shared: &Shared, hop: &HopRequest, others: u32) -> Option<&'static str> {
    if shared.server_paths.is_lost() {
        return Some("no-path");
    }
    // A planned stop declines requests itself once it no longer serves callers either.
    if shared.state() == RouterState::NotReady {
        return Some("router-not-ready");
    }
    if others >= MAX_IN_FLIGHT {
        return Some("router-busy");
    }
    let configuration = shared.configuration.load();
    let version = configuration.as_ref().map_or(0, |one| one.version);
    (version < hop.configuration).then_some("configuration-older")
}
