//! The listener for callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::client_limits::{Listener, connection_bytes};
use crate::connect::enable_dead_peer_detection;
use crate::dispatch::answer_request;
use crate::events::{Event, note};
use crate::ports::Interface;
use crate::shared::Shared;

/// The pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The read buffer beyond the limit of a request's head, so that most bodies take one read.
pub(crate) const BODY_BUFFER_BYTES: usize = 32 * 1024;

/// Accepts and serves callers' connections until the process ends.
pub(crate) async fn serve_callers(
    shared: Arc<Shared>,
    interface: Interface,
    listener: TcpListener,
) {
    loop {
        let stream = accept_next(&listener).await;
        if let Err(error) = enable_dead_peer_detection(&stream) {
            // The caller has already disconnected.
            note!(Event::ACCEPT_FAILED, error = error);
            continue;
        }
        let limits = shared.configuration.load();
        let limits = limits.as_ref().map(|one| one.limits.clone());
        let limits = limits.unwrap_or_default();
        let clients = &shared.activity.clients;
        let gate = clients.gate(Listener::Callers);
        let open = Arc::new(gate.admit(connection_bytes(&limits)).await);
        let (shared, requests) = (shared.clone(), open.clone());
        let answer = service_fn(move |request| {
            let (shared, mut progress) = (shared.clone(), requests.begin_request());
            async move {
                let answer = answer_request(shared, interface, request, None, &mut progress).await;
                Ok::<_, Infallible>(answer.map(|body| progress.with_body(body)))
            }
        });
        // The head timeout also runs on an idle connection, so it serves as the idle timeout.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(limits.header_bytes + BODY_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), answer);
        // The log line of each request says how it ended.
        tokio::spawn(async move { open.serve(connection, |one| one.graceful_shutdown()).await });
    }
}

/// Accepts the next connection. A failure is logged and retried after a pause.
pub(crate) async fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                note!(Event::ACCEPT_FAILED, error = error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
