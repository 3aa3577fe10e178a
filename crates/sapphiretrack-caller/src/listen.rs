//! The callers' listener: connections, and how they end at a planned stop.
//!
//! It is on `hyper-util` and not on dropshot, which gives no hold on its sockets: without
//! `TCP_NODELAY` the tokens of a stream wait for the caller's delayed acknowledgements.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use sapphiretrack_tls::Identity;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::server::{CallerHandlers, Service};

/// How long a TLS handshake may take.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(10);
/// The wait after an accept that failed, as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// After the last connection was accepted, requests on their way still have so long to arrive.
const LATE_REQUESTS: Duration = Duration::from_millis(200);

/// Where and how callers are served.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address; port 0 takes a free one.
    pub address: SocketAddr,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The files of the certificate and of its key; without them there is no TLS.
    pub tls: Option<(PathBuf, PathBuf)>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_body_bytes: 4 << 20,
            tls: None,
        }
    }
}

/// Why the endpoint did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address cannot be used.
    #[snafu(display("the callers' endpoint cannot start on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The certificate or its key cannot be used.
    #[snafu(display("the callers' endpoint cannot start: {source}"))]
    Certificate {
        /// Why.
        source: sapphiretrack_tls::IdentityError,
    },
}

/// The running endpoint.
pub struct CallerServer {
    local_address: SocketAddr,
    close: oneshot::Sender<()>,
    accepting: JoinHandle<()>,
}

impl CallerServer {
    /// Starts the endpoint on the present runtime.
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
        let (close, closing) = oneshot::channel();
        let connections = Connections {
            identity,
            service: Arc::new(Service {
                handlers,
                max_body_bytes: settings.max_body_bytes,
            }),
            graceful: GracefulShutdown::new(),
        };
        Ok(Self {
            local_address,
            close,
            accepting: tokio::spawn(accept(listener, connections, closing)),
        })
    }

    /// Where callers are served.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Accepts no more, and waits until every request that came has its whole answer.
    ///
    /// What is in the accept queue is still served: its sender was told of this address.
    pub async fn close(self) {
        self.close.send(()).ok();
        drop(self.accepting.await);
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
    connections: Connections,
    mut closing: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.serve(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            },
            _ = &mut closing => break,
        }
    }
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            if let Ok(stream) = adopt(stream) {
                connections.serve(stream);
            }
        }
    }
    // A connection that is told to close before its first byte was read cuts its request.
    tokio::time::sleep(LATE_REQUESTS).await;
    connections.graceful.shutdown().await;
}

/// A stream of the standard library as one of this runtime.
fn adopt(stream: std::net::TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// What all connections share.
struct Connections {
    identity: Option<Identity>,
    service: Arc<Service>,
    graceful: GracefulShutdown,
}

impl Connections {
    /// Serves one connection in a task of its own.
    fn serve(&self, stream: TcpStream) {
        // Without it a stream still works, in bunches.
        drop(stream.set_nodelay(true));
        let watcher = self.graceful.watcher();
        let service = self.service.clone();
        let Some(identity) = self.identity.clone() else {
            tokio::spawn(serve_http(stream, service, watcher));
            return;
        };
        tokio::spawn(async move {
            let handshake = tokio::time::timeout(HANDSHAKE_LIMIT, identity.accept(stream));
            if let Ok(Ok(stream)) = handshake.await {
                serve_http(stream, service, watcher).await;
            }
        });
    }
}

async fn serve_http<Stream>(stream: Stream, service: Arc<Service>, watcher: Watcher)
where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    let service = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A connection that breaks is its caller's to notice.
    drop(watcher.watch(connection.into_owned()).await);
}
