//! The callers' listener.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::connect::watch_silence;
use crate::dispatch::answer_request;
use crate::events::{Event, note};
use crate::ports::Interface;
use crate::shared::Shared;

/// The pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Read buffer beside the head of a request, so that most bodies come with one read.
const BODY_BUFFER_BYTES: usize = 32 * 1024;

/// Takes callers' connections until the process ends.
pub(crate) async fn serve_callers(
    shared: Arc<Shared>,
    interface: Interface,
    listener: TcpListener,
) {
    loop {
        let stream = accept_next(&listener).await;
        if let Err(error) = watch_silence(&stream) {
            // The caller is already gone.
            note!(Event::ACCEPT_FAILED, error = error);
            continue;
        }
        let limits = shared.configuration.load();
        let limits = limits.as_ref().map(|one| one.limits.clone());
        let limits = limits.unwrap_or_default();
        let shared = shared.clone();
        let answer = service_fn(move |request| {
            let answer = answer_request(shared.clone(), interface, request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        // The timeout of a head also runs while a connection idles, so it is the idle timeout.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(limits.header_bytes + BODY_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), answer);
        // Each request's own log line tells how it ended.
        tokio::spawn(async move { drop(connection.await) });
    }
}

/// The next connection; failures are logged and waited out.
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
