//! Serves calls of peers.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

use crate::wire::{PeerReply, PeerRequest, Signed, SigningKey};

/// The one remote procedure; requests differ by their body.
#[tarpc::service]
pub(crate) trait CellRpc {
    /// Runs a signed request.
    async fn call(request: Signed) -> PeerReply;
}

/// What the daemon does with calls of peers.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Runs a request that carries the cell's key.
    pub handle: Arc<dyn Fn(PeerRequest) -> BoxFuture<'static, PeerReply> + Send + Sync>,
    /// Told of each call that was foreign or malformed.
    pub rejected: Arc<dyn Fn() + Send + Sync>,
}

/// Serves peers on this address until the task is dropped; returns the bound address.
pub async fn serve(
    address: SocketAddr,
    key: SigningKey,
    handlers: PeerHandlers,
) -> std::io::Result<(SocketAddr, BoxFuture<'static, ()>)> {
    let mut incoming = tcp::listen(&address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let bound = incoming.local_addr();
    let server = PeerServer { key, handlers };
    let accepting = async move {
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else { continue };
            let server = server.clone();
            tokio::spawn(async move {
                BaseChannel::with_defaults(transport)
                    .execute(server.serve())
                    .for_each(|response| async {
                        tokio::spawn(response);
                    })
                    .await;
            });
        }
    };
    Ok((bound, Box::pin(accepting)))
}

/// The largest message; a configuration of 24,000 workspaces fits.
pub(crate) const MAX_FRAME_BYTES: usize = 64 << 20;

#[derive(Clone)]
struct PeerServer {
    key: SigningKey,
    handlers: PeerHandlers,
}

impl CellRpc for PeerServer {
    async fn call(self, _: Context, request: Signed) -> PeerReply {
        let Some(request) = self.key.open(&request) else {
            (self.handlers.rejected)();
            return PeerReply::Rejected;
        };
        (self.handlers.handle)(request).await
    }
}
