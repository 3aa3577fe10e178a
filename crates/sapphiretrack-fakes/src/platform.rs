//! Fake platform: a transactional table, an object store, and a list of VMs that is delivered with
//! a delay.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use sapphiretrack_core::VmRecord;
use sapphiretrack_platform::wire::{
    Condition, GetReply, GetRequest, Row, ScanReply, ScanRequest, TransactReply, TransactRequest,
    VmList, Write,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http_server::{
    FakeFuture, FakeResponse, aborted_response, full_body, json_response, read_bytes, read_json,
    serve, status_response, take_one,
};

/// Behaviour of the fake without faults.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Delay in milliseconds until readers see a new list of VMs.
    pub list_lag_ms: u64,
    /// Limit of writes per second; more are rejected with status 429.
    pub writes_per_s: u32,
    /// Limit of reads of the table and of objects per second; more are rejected with status 429.
    pub reads_per_s: u32,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            list_lag_ms: 0,
            writes_per_s: 500,
            reads_per_s: 2_000,
        }
    }
}

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes the connection of every call, which has no effect.
    pub down: bool,
    /// Delay of every call in milliseconds.
    pub delay_ms: u64,
    /// Number of next transactions that take effect but whose replies are lost.
    pub lose_replies: u32,
    /// Number of next transactions whose connections are closed before they take effect.
    pub lose_requests: u32,
    /// Delay in milliseconds between a transaction's effect and its reply.
    pub delay_replies_ms: u64,
    /// Reads of the table return its content at the time this was set.
    pub older_reads: bool,
    /// Reads of the table return values of an unknown format.
    pub wrong_reads: bool,
    /// Transactions that write or delete a row whose key has this prefix wait, without effect,
    /// until this is cleared; empty for none.
    pub hold_writes_to: String,
}

/// Numbers of calls that the platform received, rejected and aborted ones included.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlatformCalls {
    /// Reads of the table and of objects, and calls of unknown paths.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Transactions that waited because of [`PlatformFaults::hold_writes_to`].
    pub held: u64,
}

/// Handle of a fake platform; clones share its state.
#[derive(Clone)]
pub struct FakePlatform {
    address: SocketAddr,
    settings: PlatformSettings,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: PlatformFaults,
    calls: PlatformCalls,
    rows: BTreeMap<String, Row>,
    /// Rows that reads return while [`PlatformFaults::older_reads`] is set.
    stale_rows: Option<BTreeMap<String, Row>>,
    /// Rows that [`FakePlatform::restore`] returns to.
    saved_rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    last_row_version: u64,
    /// Lists of VMs with the times at which they were set, oldest first.
    vms: VecDeque<(Instant, Vec<VmRecord>)>,
    second_started_at: Option<Instant>,
    writes_in_second: u32,
    reads_in_second: u32,
}

impl FakePlatform {
    /// Starts the fake.
    pub async fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let mut platform = Self {
            address: settings.address,
            settings,
            state: Arc::default(),
        };
        let handler = platform.clone();
        platform.address = serve(platform.address, move |request| {
            let platform = handler.clone();
            Box::pin(async move { platform.handle(request).await }) as FakeFuture
        })
        .await?;
        Ok(platform)
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL, as routers need it.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.lock();
        if !faults.older_reads {
            state.stale_rows = None;
        } else if state.stale_rows.is_none() {
            state.stale_rows = Some(state.rows.clone());
        }
        state.faults = faults;
    }

    /// Numbers of calls received so far.
    pub fn calls(&self) -> PlatformCalls {
        self.lock().calls
    }

    /// Saves the current table for [`FakePlatform::restore`].
    pub fn save(&self) {
        let mut state = self.lock();
        state.saved_rows = state.rows.clone();
    }

    /// Resets the table to the saved one. Row versions are not reset: the next transaction gets a
    /// higher one than all before.
    pub fn restore(&self) {
        let mut state = self.lock();
        state.rows = state.saved_rows.clone();
    }

    /// Sets the list of VMs; readers see it after [`PlatformSettings::list_lag_ms`].
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.lock().vms.push_back((Instant::now(), vms));
    }

    /// All current rows, regardless of faults.
    pub fn rows(&self) -> Vec<Row> {
        self.lock().rows.values().cloned().collect()
    }

    /// Replaces the table by rows that were read earlier. Row versions are not reset.
    pub fn restore_rows(&self, rows: Vec<Row>) {
        self.lock().rows = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    }

    async fn handle(&self, request: Request<Incoming>) -> FakeResponse {
        let path = request.uri().path().to_owned();
        if let Some(command) = path.strip_prefix("/fake/") {
            return self.handle_control(command, request).await;
        }
        let faults = {
            let mut state = self.lock();
            state.calls.count(request.method().as_str(), &path);
            state.faults.clone()
        };
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return aborted_response();
        }
        let result = match (request.method().as_str(), path.as_str()) {
            ("POST", "/table/get") => self.get(request).await,
            ("POST", "/table/scan") => self.scan(request).await,
            ("POST", "/table/transact") => self.transact(request).await,
            ("GET", "/vms") => Ok(json_response(&VmList {
                vms: self.delivered_vms(),
            })),
            (method @ ("GET" | "PUT"), path) => match path.strip_prefix("/objects/") {
                Some(name) if method == "GET" => Ok(self.get_object(name)),
                Some(name) => {
                    let name = name.to_owned();
                    self.put_object(name, request).await
                }
                None => Ok(status_response(StatusCode::NOT_FOUND, "{}")),
            },
            _ => Ok(status_response(StatusCode::NOT_FOUND, "{}")),
        };
        result.unwrap_or_else(|response| response)
    }

    async fn handle_control(&self, command: &str, request: Request<Incoming>) -> FakeResponse {
        match command {
            "faults" => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json_response(&())
                }
                Err(response) => response,
            },
            "vms" => match read_json::<VmList>(request).await {
                Ok(list) => {
                    self.set_vms(list.vms);
                    json_response(&())
                }
                Err(response) => response,
            },
            "save" => {
                self.save();
                json_response(&())
            }
            "restore" => {
                self.restore();
                json_response(&())
            }
            "calls" => json_response(&self.calls()),
            "rows" => json_response(&ScanReply { rows: self.rows() }),
            _ => status_response(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn get(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let get: GetRequest = read_json(request).await?;
        let mut state = self.lock();
        if !state.admit_read(self.settings.reads_per_s) {
            return Err(status_response(StatusCode::TOO_MANY_REQUESTS, "{}"));
        }
        let row = state.readable_rows().get(&get.key).cloned();
        let row = row.map(|row| state.with_read_faults(row));
        Ok(json_response(&GetReply { row }))
    }

    async fn scan(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let scan: ScanRequest = read_json(request).await?;
        let mut state = self.lock();
        if !state.admit_read(self.settings.reads_per_s) {
            return Err(status_response(StatusCode::TOO_MANY_REQUESTS, "{}"));
        }
        let rows = state
            .readable_rows()
            .range(scan.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&scan.prefix))
            .filter(|(key, _)| scan.after.as_ref().is_none_or(|after| *key > after))
            .take(scan.limit as usize)
            .map(|(_, row)| state.with_read_faults(row.clone()))
            .collect();
        Ok(json_response(&ScanReply { rows }))
    }

    async fn transact(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let transaction: TransactRequest = read_json(request).await?;
        self.wait_while_held(&transaction).await;
        let (reply, delay_ms) = {
            let mut state = self.lock();
            if !state.admit_write(self.settings.writes_per_s) {
                return Err(status_response(StatusCode::TOO_MANY_REQUESTS, "{}"));
            }
            if take_one(&mut state.faults.lose_requests) {
                return Err(aborted_response());
            }
            let reply = state.transact(&transaction);
            if take_one(&mut state.faults.lose_replies) {
                return Err(aborted_response());
            }
            (reply, state.faults.delay_replies_ms)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        Ok(json_response(&reply))
    }

    /// Waits while writes to a row of the transaction are held. If the caller disconnects, the
    /// server drops this future and the transaction never takes effect.
    async fn wait_while_held(&self, transaction: &TransactRequest) {
        const POLL: Duration = Duration::from_millis(5);
        if !self.lock().faults.must_hold(transaction) {
            return;
        }
        self.lock().calls.held += 1;
        while self.lock().faults.must_hold(transaction) {
            tokio::time::sleep(POLL).await;
        }
    }

    fn get_object(&self, name: &str) -> FakeResponse {
        let mut state = self.lock();
        if !state.admit_read(self.settings.reads_per_s) {
            return status_response(StatusCode::TOO_MANY_REQUESTS, "{}");
        }
        match state.objects.get(name) {
            Some(body) => http::Response::new(full_body(body.clone())),
            None => status_response(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn put_object(
        &self,
        name: String,
        request: Request<Incoming>,
    ) -> Result<FakeResponse, FakeResponse> {
        let body = read_bytes(request).await?;
        let mut state = self.lock();
        if !state.admit_write(self.settings.writes_per_s) {
            return Err(status_response(StatusCode::TOO_MANY_REQUESTS, "{}"));
        }
        state.objects.insert(name, body);
        Ok(json_response(&()))
    }

    fn delivered_vms(&self) -> Vec<VmRecord> {
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        let mut state = self.lock();
        while state.vms.len() > 1 && state.vms[1].0.elapsed() >= lag {
            state.vms.pop_front();
        }
        match state.vms.front() {
            Some((set_at, vms)) if set_at.elapsed() >= lag => vms.clone(),
            _ => Vec::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PlatformFaults {
    fn must_hold(&self, transaction: &TransactRequest) -> bool {
        let prefix = self.hold_writes_to.as_str();
        let is_held = |write: &Write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.starts_with(prefix),
        };
        !prefix.is_empty() && transaction.writes.iter().any(is_held)
    }
}

impl PlatformCalls {
    fn count(&mut self, method: &str, path: &str) {
        match (method, path) {
            (_, "/vms") => self.lists += 1,
            (_, "/table/transact") | ("PUT", _) => self.writes += 1,
            _ => self.reads += 1,
        }
    }
}

impl State {
    /// Resets the counters of the rate limits if the current second is over.
    fn start_second_if_over(&mut self) {
        let is_over = self
            .second_started_at
            .is_none_or(|started| started.elapsed() >= Duration::from_secs(1));
        if is_over {
            self.second_started_at = Some(Instant::now());
            self.writes_in_second = 0;
            self.reads_in_second = 0;
        }
    }

    fn admit_read(&mut self, reads_per_s: u32) -> bool {
        self.start_second_if_over();
        self.reads_in_second += 1;
        self.reads_in_second <= reads_per_s
    }

    fn readable_rows(&self) -> &BTreeMap<String, Row> {
        self.stale_rows.as_ref().unwrap_or(&self.rows)
    }

    fn with_read_faults(&self, row: Row) -> Row {
        if !self.faults.wrong_reads {
            return row;
        }
        let value = String::from("{\"something\":\"else\"}");
        Row { value, ..row }
    }

    fn admit_write(&mut self, writes_per_s: u32) -> bool {
        self.start_second_if_over();
        self.writes_in_second += 1;
        self.writes_in_second <= writes_per_s
    }

    fn transact(&mut self, transaction: &TransactRequest) -> TransactReply {
        for condition in &transaction.conditions {
            let (key, is_met) = match condition {
                Condition::Absent { key } => (key, !self.rows.contains_key(key)),
                Condition::Version { key, row_version } => {
                    let row = self.rows.get(key);
                    (key, row.is_some_and(|row| row.row_version == *row_version))
                }
            };
            if !is_met {
                return TransactReply::Conflict { key: key.clone() };
            }
        }
        self.last_row_version += 1;
        let row_version = self.last_row_version;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        value: value.clone(),
                        row_version,
                    };
                    self.rows.insert(key.clone(), row);
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        TransactReply::Committed { row_version }
    }
}
