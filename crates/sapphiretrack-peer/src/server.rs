//! Server for calls from peers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use tarpc::ChannelError;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

use crate::signing::{Signed, SigningKey, Verification};
use crate::wire::{MAX_FRAME_BYTES, PeerReply, PeerRequest};

/// A connection without a call for this long is closed, since its other end may have disappeared
/// without closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

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
    let mut incoming = tcp::listen(&address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let bound_address = incoming.local_addr();
    let server = PeerServer { key, handlers };
    let accept_loop = async move {
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else { continue };
            let server = server.clone();
            tokio::spawn(async move {
                let mut requests = pin!(BaseChannel::with_defaults(transport).requests());
                while let Ok(Some(request)) = timeout(IDLE_TIMEOUT, requests.next()).await {
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
            });
        }
    };
    Ok((bound_address, Box::pin(accept_loop)))
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
