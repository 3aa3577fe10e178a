//! The callers' listener: accepts connections, and closes them gracefully at a planned stop.
//!
//! It uses `hyper-util` because dropshot gives no access to its sockets: without `TCP_NODELAY` the
//! tokens of a stream wait for the caller's delayed acknowledgements.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use sapphiretrack_clients::{ClientMemory, ConnectionGate, OpenConnection};
use sapphiretrack_routing::MachineLimits;
use sapphiretrack_tls::Identity;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::server::{CallerHandlers, CallerService};

/// The longest time of a TLS handshake.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long requests may still arrive after the last connection was accepted.
const LATE_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// The read buffer of an HTTP/1 connection, and so the longest head there.
const HTTP1_BUFFER_BYTES: usize = 128 * 1024;
/// The most requests at a time on an HTTP/2 connection.
const HTTP2_STREAMS: u32 = 32;
/// The longest head of an HTTP/2 request.
const HTTP2_HEAD_BYTES: u32 = 8 * 1024;
/// The bytes that an HTTP/2 client may send before they are read, on one stream and on the connection.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 64 * 1024;
/// The bytes of an answer that wait to be sent on an HTTP/2 stream.
const HTTP2_SEND_BUFFER_BYTES: usize = 16 * 1024;
/// What a connection takes at most: the heads of all its streams, its window, and the buffers of TLS.
pub const CONNECTION_BYTES: usize =
    (HTTP2_STREAMS * HTTP2_HEAD_BYTES + HTTP2_CONNECTION_WINDOW_BYTES) as usize + 64 * 1024;

/// Settings of the endpoint.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The files of the certificate and its private key (PEM); `None` disables TLS.
    pub tls: Option<(PathBuf, PathBuf)>,
    /// The memory that clients may make the process hold.
    pub memory: Arc<ClientMemory>,
    /// The most open connections.
    pub max_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let machine = MachineLimits::default();
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_body_bytes: 4 << 20,
            tls: None,
            memory: Arc::new(ClientMemory::new(
                machine.client_bytes(),
                || 0,
                Box::new(|_| {}),
            )),
            max_connections: machine.max_connections(CONNECTION_BYTES),
        }
    }
}

/// Why the endpoint failed to start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address cannot be bound.
    #[snafu(display("the callers' endpoint cannot start on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The certificate or its key cannot be used.
    #[snafu(display("the callers' endpoint cannot start: {source}"))]
    Certificate {
        /// The cause.
        source: sapphiretrack_tls::IdentityError,
    },
}

/// A running endpoint.
pub struct CallerServer {
    local_address: SocketAddr,
    close: oneshot::Sender<()>,
    accept_task: JoinHandle<()>,
}

impl CallerServer {
    /// Starts the endpoint on the current Tokio runtime.
    pub fn start(settings: &Settings, handlers: CallerHandlers) -> Result<Self, StartError> {
        let address = settings.address;
        let identity = settings
            .tls
            .as_ref()
            .map(|(cert, key)| Identity::from_pem_files(cert, key))
            .transpose()
            .context(CertificateSnafu)?;
        let bound = bind(address).context(BindSnafu { address })?;
        let (listener, local_address) = bound;
        let (close, close_requested) = oneshot::channel();
        let connections = ConnectionContext {
            identity,
            service: Arc::new(CallerService {
                handlers,
                max_body_bytes: settings.max_body_bytes,
                memory: settings.memory.clone(),
            }),
            gate: ConnectionGate::new("callers", settings.memory.clone(), settings.max_connections),
            graceful: GracefulShutdown::new(),
        };
        Ok(Self {
            local_address,
            close,
            accept_task: tokio::spawn(accept(listener, connections, close_requested)),
        })
    }

    /// The address that the endpoint listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Stops listening and waits until every received request has its complete answer.
    ///
    /// Connections in the accept queue are still served, because their callers were told to use
    /// this address.
    pub async fn close(self) {
        self.close.send(()).ok();
        drop(self.accept_task.await);
    }
}

fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let local_address = listener.local_addr()?;
    Ok((TcpListener::from_std(listener)?, local_address))
}

async fn accept(
    listener: TcpListener,
    connections: ConnectionContext,
    mut close_requested: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // While there is no room, a requested close is not held up.
                    tokio::select! {
                        open = connections.gate.admit(CONNECTION_BYTES) => {
                            connections.serve(stream, open);
                        }
                        _ = &mut close_requested => break,
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            _ = &mut close_requested => break,
        }
    }
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            if let Ok(stream) = into_tokio_stream(stream) {
                let open = connections.gate.admit(CONNECTION_BYTES).await;
                connections.serve(stream, open);
            }
        }
    }
    // A graceful shutdown closes a connection whose first byte has not been read, and the request
    // on it would be lost.
    tokio::time::sleep(LATE_REQUEST_GRACE).await;
    connections.graceful.shutdown().await;
}

/// Registers a stream of the standard library with the current runtime.
fn into_tokio_stream(stream: std::net::TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// The state that all connections share.
struct ConnectionContext {
    identity: Option<Identity>,
    service: Arc<CallerService>,
    gate: Arc<ConnectionGate>,
    graceful: GracefulShutdown,
}

impl ConnectionContext {
    /// Serves a connection in a new task.
    fn serve(&self, stream: TcpStream, open: OpenConnection) {
        // If this fails, the connection still works, but tokens arrive in batches.
        drop(stream.set_nodelay(true));
        let watcher = self.graceful.watcher();
        let (service, open) = (self.service.clone(), Arc::new(open));
        let Some(identity) = self.identity.clone() else {
            let serving = serve_http(stream, service, watcher, open.clone());
            tokio::spawn(async move { open.serve(serving, |_| {}).await });
            return;
        };
        let requests = open.clone();
        let serving = async move {
            let handshake = tokio::time::timeout(TLS_HANDSHAKE_TIMEOUT, identity.accept(stream));
            if let Ok(Ok(stream)) = handshake.await {
                serve_http(stream, service, watcher, requests).await;
            }
        };
        tokio::spawn(async move { open.serve(serving, |_| {}).await });
    }
}

async fn serve_http<Stream>(
    stream: Stream,
    service: Arc<CallerService>,
    watcher: Watcher,
    open: Arc<OpenConnection>,
) where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(HTTP1_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(HTTP2_STREAMS)
        .max_header_list_size(HTTP2_HEAD_BYTES)
        .initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES);
    let service = service_fn(move |request| {
        let (service, mut progress) = (service.clone(), open.begin_request());
        async move {
            let response = service.answer(request, &mut progress).await;
            Ok::<_, Infallible>(response.map(|body| progress.with_body(body)))
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection is not reported here: its caller sees it.
    drop(watcher.watch(connection.into_owned()).await);
}
