//! Client for calls to peers, with one open connection for each peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphiretrack_core::{
    BudgetReply, BudgetRequest, FullServer, Grant, RequesterLoad, ReserveRequest, WarmList,
};
use snafu::{IntoError, ResultExt};
use tarpc::client::{Config, RpcError};
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;

use crate::error::{
    ConnectionLostSnafu, EncodeSnafu, NoReplySnafu, PeerError, RejectedSnafu, UnreachableSnafu,
};
use crate::server::PeerRpcClient;
use crate::signing::SigningKey;
use crate::wire::{
    ConfigUpdate, Heartbeat, HeartbeatReply, MAX_FRAME_BYTES, PeerReply, PeerRequest, VmListReply,
};

/// Timeouts of calls to peers.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout of calls without a timeout of their own, in milliseconds.
    pub call_timeout_ms: u64,
    /// Timeout for fetching a configuration or a list of VMs, in milliseconds.
    pub fetch_timeout_ms: u64,
    /// Timeout for one part of a hand-over, in milliseconds.
    pub hand_over_timeout_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            call_timeout_ms: 400,
            fetch_timeout_ms: 5_000,
            hand_over_timeout_ms: 1_000,
        }
    }
}

/// A steward's reply to a slot request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotReply {
    /// The steward's decision.
    Decided(Grant),
    /// The server is full; contains the counts behind the refusal.
    Full(FullServer),
}

/// Client for calls to peers. Clones share connections.
#[derive(Clone)]
pub struct PeerClient {
    settings: Settings,
    key: SigningKey,
    connections: Arc<Mutex<BTreeMap<SocketAddr, PeerRpcClient>>>,
    sent_bytes: Arc<AtomicU64>,
}

impl PeerClient {
    /// Creates a client. Connections are opened on first use.
    pub fn new(settings: Settings, key: SigningKey) -> Self {
        Self {
            settings,
            key,
            connections: Arc::default(),
            sent_bytes: Arc::default(),
        }
    }

    /// Returns the encoded size of all requests sent so far, in bytes, without the transport's
    /// framing.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Sends this router's state to a peer.
    pub async fn heartbeat(
        &self,
        peer: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatReply, PeerError> {
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let mut reply = self.call(peer, &request).await;
        if matches!(reply, Err(PeerError::ConnectionLost { .. })) {
            // Reconnecting shows at once whether the peer's process has ended.
            reply = self.call(peer, &request).await;
        }
        match reply? {
            PeerReply::Heartbeat(reply) => Ok(reply),
            _ => RejectedSnafu.fail(),
        }
    }

    /// Requests a slot from its steward. `known_load` is set on a repeated request and contains
    /// what the requester knows about the pool's load.
    pub async fn reserve(
        &self,
        peer: SocketAddr,
        request: ReserveRequest,
        known_load: Option<RequesterLoad>,
    ) -> Result<SlotReply, PeerError> {
        let call = match known_load {
            None => PeerRequest::Reserve(request),
            Some(known_load) => PeerRequest::ReserveAgain {
                request,
                known_load,
            },
        };
        match self.call(peer, &call).await? {
            PeerReply::Reserve(grant) => Ok(SlotReply::Decided(grant)),
            PeerReply::Full(full) => Ok(SlotReply::Full(full)),
            _ => RejectedSnafu.fail(),
        }
    }

    /// Returns a slot to its steward. The request is a [`PeerRequest::Release`].
    pub async fn release(&self, peer: SocketAddr, request: &PeerRequest) -> Result<(), PeerError> {
        self.call(peer, request).await.map(drop)
    }

    /// Requests a part of a customer's budget from the customer's steward.
    pub async fn lease_budget(
        &self,
        peer: SocketAddr,
        ask: BudgetRequest,
    ) -> Result<BudgetReply, PeerError> {
        match self.call(peer, &PeerRequest::LeaseBudget(ask)).await? {
            PeerReply::Budget(reply) => Ok(reply),
            _ => RejectedSnafu.fail(),
        }
    }

    /// Fetches a peer's changes to the configuration since `version`, or its whole configuration.
    ///
    /// `change_id` is the id of the change that created `version`.
    pub async fn fetch_config_since(
        &self,
        peer: SocketAddr,
        version: u64,
        change_id: &str,
    ) -> Result<ConfigUpdate, PeerError> {
        let timeout_ms = self.settings.fetch_timeout_ms;
        let request = PeerRequest::FetchConfigSince {
            version,
            change_id: change_id.to_owned(),
        };
        match self.call_with_timeout(peer, &request, timeout_ms).await? {
            PeerReply::Config(reply) => Ok(ConfigUpdate::Whole(reply.config_json)),
            PeerReply::ConfigChanges(changes_json) => Ok(ConfigUpdate::Changes(changes_json)),
            _ => RejectedSnafu.fail(),
        }
    }

    /// Fetches a peer's list of VMs.
    pub async fn fetch_vm_list(&self, peer: SocketAddr) -> Result<VmListReply, PeerError> {
        let timeout_ms = self.settings.fetch_timeout_ms;
        match self
            .call_with_timeout(peer, &PeerRequest::FetchVmList, timeout_ms)
            .await?
        {
            PeerReply::VmList(reply) => Ok(reply),
            _ => RejectedSnafu.fail(),
        }
    }

    /// Hands over on which servers chats are warm. Returns for how many of them the peer had no
    /// information as recent.
    pub async fn hand_over(&self, peer: SocketAddr, list: WarmList) -> Result<u32, PeerError> {
        let timeout_ms = self.settings.hand_over_timeout_ms;
        let request = PeerRequest::HandOver(list);
        match self.call_with_timeout(peer, &request, timeout_ms).await? {
            PeerReply::HandedOver { chats } => Ok(chats),
            _ => RejectedSnafu.fail(),
        }
    }

    async fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<PeerReply, PeerError> {
        self.call_with_timeout(peer, request, self.settings.call_timeout_ms)
            .await
    }

    async fn call_with_timeout(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerReply, PeerError> {
        let signed = self.key.sign(request).context(EncodeSnafu)?;
        self.sent_bytes
            .fetch_add(signed.body.len() as u64, Ordering::Relaxed);
        let timeout = Duration::from_millis(timeout_ms);
        let call_result = tokio::time::timeout(timeout, async {
            let rpc = self.connection(peer).await?;
            let mut context = context::current();
            context.deadline = Instant::now() + timeout;
            match rpc.call(context, signed.clone()).await {
                Ok(reply) => Ok(reply),
                Err(RpcError::DeadlineExceeded) => no_reply(timeout_ms),
                Err(error) => ConnectionLostSnafu {
                    reason: error.to_string(),
                }
                .fail(),
            }
        });
        let result = match call_result.await {
            Ok(result) => result,
            Err(_) => no_reply(timeout_ms),
        };
        if result.is_err() {
            self.drop_connection(peer);
        }
        match self.key.verify_reply(&signed, &result?) {
            None | Some(PeerReply::Rejected | PeerReply::Unsupported) => RejectedSnafu.fail(),
            Some(reply) => Ok(reply),
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Result<PeerRpcClient, PeerError> {
        if let Some(rpc) = self.lock_connections().get(&peer) {
            return Ok(rpc.clone());
        }
        let mut connect = tcp::connect(peer, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect
            .await
            .map_err(|source| UnreachableSnafu.into_error(source))?;
        let rpc = PeerRpcClient::new(Config::default(), transport).spawn();
        self.lock_connections().insert(peer, rpc.clone());
        Ok(rpc)
    }

    fn drop_connection(&self, peer: SocketAddr) {
        self.lock_connections().remove(&peer);
    }

    fn lock_connections(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, PeerRpcClient>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn no_reply<Reply>(timeout_ms: u64) -> Result<Reply, PeerError> {
    NoReplySnafu {
        reason: format!("timed out after {timeout_ms} ms"),
    }
    .fail()
}
