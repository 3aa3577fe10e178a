//! Transfer of cached prefixes between fake engines.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sapphiretrack_backend::wire::EXPORT_PATH;
use serde::{Deserialize, Serialize};

/// Time limit for an import; after it, the engine computes the prompt itself.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size limit for the body of an exported prefix.
const MAX_EXPORT_BYTES: usize = 1 << 16;

/// Cached prefix of a chat, as an engine exports it. The fake engine stores only its length.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct ExportedPrefix {
    /// Length of the prefix in tokens.
    pub(crate) tokens: u32,
}

/// Fetches a chat's cached prefix from another engine. Returns `None` if that engine has none,
/// cannot be reached, or does not answer within [`IMPORT_TIMEOUT`].
pub(crate) async fn import_prefix(source: SocketAddr, chat: &str) -> Option<ExportedPrefix> {
    let uri = format!("http://{source}{EXPORT_PATH}{chat}").parse().ok()?;
    let fetch = tokio::time::timeout(IMPORT_TIMEOUT, async {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let response = client.get(uri).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_EXPORT_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    });
    fetch.await.ok().flatten()
}
