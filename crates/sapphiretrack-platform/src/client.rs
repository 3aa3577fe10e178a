//! Calls to the platform over HTTP, each with a timeout.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{
    PlatformError, RefusedSnafu, ReplyLostSnafu, UnreachableSnafu, UnreadableSnafu,
};
use crate::unusable::UnusableRowReporter;
use crate::wire::{
    GetReply, GetRequest, Row, ScanReply, ScanRequest, TransactReply, TransactRequest, VmList,
    VmName, VmRecords,
};

/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Address of the platform and timeout of calls to it.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URL: `http://IP:PORT`, without a trailing slash.
    pub url: String,
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            url: String::from("http://127.0.0.1:7000"),
            timeout_ms: 2_000,
        }
    }
}

/// Client of the platform. Clones share connections and counts.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    settings: Arc<Settings>,
    http: Client<HttpConnector, Full<Bytes>>,
    counts: Arc<Counts>,
    unusable: UnusableRowReporter,
}

/// Number of calls, to check the load on the platform against its budget.
#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl PlatformClient {
    /// Creates a client. Connections are opened on first use.
    pub fn new(settings: Settings) -> Self {
        // An automatic retry by the connection pool could make a request take effect twice.
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            settings: Arc::new(settings),
            http,
            counts: Arc::default(),
            unusable: UnusableRowReporter::default(),
        }
    }

    /// Sets what receives rows that cannot be used.
    pub fn with_reporter(self, unusable: UnusableRowReporter) -> Self {
        Self { unusable, ..self }
    }

    /// Returns what receives rows that cannot be used.
    pub(crate) fn unusable(&self) -> &UnusableRowReporter {
        &self.unusable
    }

    /// Returns the number of read and write calls so far.
    pub fn calls(&self) -> (u64, u64) {
        (
            self.counts.reads.load(Ordering::Relaxed),
            self.counts.writes.load(Ordering::Relaxed),
        )
    }

    /// Reads one row.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let request = GetRequest {
            key: key.to_owned(),
        };
        let reply: GetReply = self.post("/table/get", &request).await?;
        Ok(reply.row)
    }

    /// Reads all rows whose keys start with `prefix`.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.scan_pages(prefix, None).await
    }

    /// Reads all rows whose keys start with `prefix` and are greater than `after`.
    pub async fn scan_after(&self, prefix: &str, after: &str) -> Result<Vec<Row>, PlatformError> {
        self.scan_pages(prefix, Some(after)).await
    }

    async fn scan_pages(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<Vec<Row>, PlatformError> {
        const PAGE_ROWS: u32 = 1_000;
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.as_str()).or(after);
            let after = after.map(str::to_owned);
            let page = self.scan_page(prefix, after, PAGE_ROWS).await?;
            let last_page = page.len() < PAGE_ROWS as usize;
            rows.extend(page);
            if last_page {
                return Ok(rows);
            }
        }
    }

    /// Reads the first `limit` rows whose keys start with `prefix` and are greater than `after`.
    pub async fn scan_page(
        &self,
        prefix: &str,
        after: Option<String>,
        limit: u32,
    ) -> Result<Vec<Row>, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let request = ScanRequest {
            prefix: prefix.to_owned(),
            after,
            limit,
        };
        let reply: ScanReply = self.post("/table/scan", &request).await?;
        Ok(reply.rows)
    }

    /// Runs a transaction: applies all writes if all conditions hold.
    pub async fn transact(
        &self,
        request: &TransactRequest,
    ) -> Result<TransactReply, PlatformError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.post("/table/transact", request).await
    }

    /// Stores an object.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        self.call("PUT", &format!("/objects/{name}"), body)
            .await
            .map(drop)
    }

    /// Reads an object. Returns `None` if it does not exist.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        match self
            .call("GET", &format!("/objects/{name}"), Bytes::new())
            .await
        {
            Ok(body) => Ok(Some(body)),
            Err(PlatformError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the list of VMs.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = self.call("GET", "/vms", Bytes::new()).await?;
        let records: VmRecords<'_> = serde_json::from_slice(&body).context(UnreadableSnafu {
            what: "the list of VMs",
        })?;
        let vms = records.vms.into_iter();
        let vms = vms.filter_map(|record| match serde_json::from_str(record.get()) {
            Ok(vm) => Some(vm),
            Err(error) => {
                let named: Option<VmName> = serde_json::from_str(record.get()).ok();
                let name = named.map_or_else(|| "?".to_owned(), |named| named.name);
                self.unusable
                    .report(&format!("vms/{name}"), &error.to_string());
                None
            }
        });
        Ok(VmList { vms: vms.collect() })
    }

    async fn post<Request, Reply>(
        &self,
        path: &str,
        request: &Request,
    ) -> Result<Reply, PlatformError>
    where
        Request: Serialize,
        Reply: DeserializeOwned,
    {
        let body = serde_json::to_vec(request).context(UnreadableSnafu { what: "a request" })?;
        let reply = self.call("POST", path, Bytes::from(body)).await?;
        serde_json::from_slice(&reply).context(UnreadableSnafu {
            what: format!("reply to {path}"),
        })
    }

    async fn call(&self, method: &str, path: &str, body: Bytes) -> Result<Bytes, PlatformError> {
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        match tokio::time::timeout(timeout, self.call_without_timeout(method, path, body)).await {
            Ok(result) => result,
            Err(_) => ReplyLostSnafu {
                call: path,
                reason: format!("none within {} ms", self.settings.timeout_ms),
            }
            .fail(),
        }
    }

    async fn call_without_timeout(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PlatformError> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.settings.url))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .or_else(|error| {
                UnreachableSnafu {
                    reason: error.to_string(),
                }
                .fail()
            })?;
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return UnreachableSnafu {
                    reason: error.to_string(),
                }
                .fail();
            }
            Err(error) => {
                return ReplyLostSnafu {
                    call: path,
                    reason: error.to_string(),
                }
                .fail();
            }
        };
        let status = response.status();
        if status.is_client_error() {
            return RefusedSnafu {
                call: path,
                status: status.as_u16(),
            }
            .fail();
        }
        if !status.is_success() {
            // A server error may occur after the write has taken effect.
            return ReplyLostSnafu {
                call: path,
                reason: format!("status {status}"),
            }
            .fail();
        }
        match Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
        {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => ReplyLostSnafu {
                call: path,
                reason: error.to_string(),
            }
            .fail(),
        }
    }
}
