//! Server for calls from peers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use sapphiretrack_clients::{ClientMemory, ConnectionGate, MeteredFrames, OpenConnection};
use sapphiretrack_routing::MachineLimits;
use tarpc::ChannelError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::signing::{Signed, SigningKey, Verification};
use crate::wire::{MAX_FRAME_BYTES, PeerReply, PeerRequest};

/// A connection without a call for this long is closed, since its other end may have disappeared
/// without closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay after a failed accept, such as one for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// What a connection takes beside the frame that is being read.
const CONNECTION_BYTES: usize = 16 * 1024;

/// The only remote procedure. The signed body determines the kind of request.
#[tarpc::service]
pub(crate) trait PeerRpc {
    /// Runs a signed request.
    async fn call(request: Signed) -> Signed;
}

/// Callbacks of the daemon for calls from peers.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Handles a request that is signed with the cell's key.
    pub handle: Arc<dyn Fn(PeerRequest) -> BoxFuture<'static, PeerReply> + Send + Sync>,
    /// Called for each message that is not signed with the cell's key or is malformed.
    pub rejected: Arc<dyn Fn() + Send + Sync>,
}

/// Listens for peers on `address`. Returns the bound address and the future that serves them until
/// it is dropped.
pub async fn serve(
    address: SocketAddr,
    key: SigningKey,
    handlers: PeerHandlers,
) -> std::io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let machine = MachineLimits::default();
    let memory = ClientMemory::new(machine.client_bytes(), || 0, Box::new(|_| {}));
    let max_connections = machine.max_connections(CONNECTION_BYTES);
    let memory = Arc::new(memory);
    let gate = ConnectionGate::new("peers", memory.clone(), max_connections);
    serve_within(address, key, memory, gate, handlers).await
}

/// Listens like [`serve`], for as many connections as `gate` admits, whose incomplete frames take no more than `memory`.
pub async fn serve_within(
    address: SocketAddr,
    key: SigningKey,
    memory: Arc<ClientMemory>,
    gate: Arc<ConnectionGate>,
    handlers: PeerHandlers,
) -> std::io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let listener = TcpListener::bind(address).await?;
    let bound_address = listener.local_addr()?;
    let server = PeerServer { key, handlers };
    let accept_loop = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let open = Arc::new(gate.admit(CONNECTION_BYTES).await);
            let stream = MeteredFrames::new(stream, memory.clone());
            let serving = serve_connection(stream, server.clone(), open.clone());
            tokio::spawn(async move { open.serve(serving, |_| {}).await });
        }
    };
    Ok((bound_address, Box::pin(accept_loop)))
}

async fn serve_connection(
    stream: MeteredFrames<TcpStream>,
    server: PeerServer,
    open: Arc<OpenConnection>,
) {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = Framed::new(stream, codec);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let mut requests = pin!(BaseChannel::with_defaults(transport).requests());
    while let Ok(Some(request)) = timeout(IDLE_TIMEOUT, requests.next()).await {
        open.record_request();
        match request {
            Ok(request) => {
                tokio::spawn(request.execute(server.clone().serve()));
            }
            Err(error) => {
                if is_malformed(&error) {
                    (server.handlers.rejected)();
                }
                return;
            }
        }
    }
}

#[derive(Clone)]
struct PeerServer {
    key: SigningKey,
    handlers: PeerHandlers,
}

impl PeerRpc for PeerServer {
    async fn call(self, _: Context, request: Signed) -> Signed {
        let reply = match self.key.verify(&request) {
            Verification::Valid(call) => (self.handlers.handle)(call).await,
            Verification::UnsupportedVersion => PeerReply::Unsupported,
            Verification::Invalid => {
                (self.handlers.rejected)();
                PeerReply::Rejected
            }
        };
        // If the reply cannot be encoded, the request is sent back: the caller rejects it because
        // its signature is not that of a reply.
        self.key.sign_reply(&request, &reply).unwrap_or(request)
    }
}

/// Whether a connection ended because of malformed data and not because of a transport error.
fn is_malformed(error: &ChannelError<std::io::Error>) -> bool {
    let ChannelError::Read(error) = error else {
        return false;
    };
    // The transport wraps the codec's error.
    let inner = error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<std::io::Error>());
    inner.unwrap_or(error).kind() == ErrorKind::InvalidData
}
