//! Cached prefixes that the stand-in engines pass to each other.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sapphiretrack_backend::wire::EXPORT_PATH;
use serde::{Deserialize, Serialize};

/// How long an import may take before the prompt is computed instead.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest export that is read.
const MAX_EXPORT_BYTES: usize = 1 << 16;

/// A chat's cached prefix, as one engine exports it; the stand-in's cache has only its length.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct ExportedPrefix {
    /// Its length.
    pub(crate) tokens: u32,
}

/// Fetches a chat's prefix from another engine; none if it has none or cannot be reached.
pub(crate) async fn import_prefix(source: SocketAddr, chat: &str) -> Option<ExportedPrefix> {
    let uri = format!("http://{source}{EXPORT_PATH}{chat}").parse().ok()?;
    let fetched = tokio::time::timeout(IMPORT_TIMEOUT, async {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let response = client.get(uri).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_EXPORT_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    });
    fetched.await.ok().flatten()
}
