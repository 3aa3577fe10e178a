//! The operators' listener, which limits the connections that reach the HTTP library: that one binds and accepts by
//! itself, without a limit.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use dropshot::HttpServer;
use sapphiretrack_clients::ConnectionGate;
use snafu::ResultExt;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::server::{self, ListenSnafu, OperatorHandlers, StartError};

/// What a connection takes: the library's read buffer, a body of the greatest length and what is parsed from it.
const CONNECTION_BYTES: usize = 2 * 1024 * 1024;
/// The delay after a failed accept, such as one for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The running endpoint.
pub struct OperatorServer {
    server: HttpServer<OperatorHandlers>,
    local_address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl OperatorServer {
    /// Starts the endpoint on the current Tokio runtime, for as many connections as `gate` admits. It serves HTTPS if
    /// `tls` names the files of a certificate and its key.
    pub fn start(
        address: SocketAddr,
        tls: Option<(PathBuf, PathBuf)>,
        gate: Arc<ConnectionGate>,
        handlers: OperatorHandlers,
    ) -> Result<Self, StartError> {
        let (listener, local_address) = bind(address).context(ListenSnafu { address })?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = server::start(any_port, tls, handlers)?;
        let accept_task = tokio::spawn(accept(listener, gate, server.local_addr()));
        Ok(Self {
            server,
            local_address,
            accept_task,
        })
    }

    /// The address that the endpoint listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Stops listening and waits until every received request has its answer.
    pub async fn close(self) -> Result<(), String> {
        self.accept_task.abort();
        self.server.close().await
    }
}

fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let local_address = listener.local_addr()?;
    Ok((TcpListener::from_std(listener)?, local_address))
}

/// Passes connections on to the library's own listener on loopback.
async fn accept(listener: TcpListener, gate: Arc<ConnectionGate>, library: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let open = gate.admit(CONNECTION_BYTES).await;
        tokio::spawn(async move { open.serve(pass_on(stream, library), |_| {}).await });
    }
}

async fn pass_on(mut stream: TcpStream, library: SocketAddr) {
    if let Ok(mut inner) = TcpStream::connect(library).await {
        // A broken connection is not reported here: its client sees it.
        drop(copy_bidirectional(&mut stream, &mut inner).await);
    }
}
