//! The stand-in platform: table, objects, and a list of VMs that lags.

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
    FakeFuture, FakeResponse, cut, full, json, read_bytes, read_json, serve, take, with_status,
};

/// How the stand-in behaves without faults.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// How old the list of VMs is.
    pub list_lag_ms: u64,
    /// Writes that it takes a second; more are refused with status 429.
    pub writes_per_s: u32,
    /// Reads that it takes a second; more are refused with status 429.
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

/// The faults of the platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is cut without effect.
    pub down: bool,
    /// Every call takes so much longer.
    pub delay_ms: u64,
    /// The replies of so many of the next transactions are lost after they took effect.
    pub lose_replies: u32,
    /// So many of the next transactions are cut before they take effect.
    pub lose_requests: u32,
    /// The replies of transactions come so much later than their effect.
    pub delay_replies_ms: u64,
    /// Reads of the table answer as it stood when this was set.
    pub older_reads: bool,
    /// Reads of the table give values that are no values of the fleet.
    pub wrong_reads: bool,
    /// Transactions that write a row with this prefix wait, without effect, until this is taken
    /// back; empty for none.
    pub hold_writes_to: String,
}

/// Calls that the platform answered or cut.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlatformCalls {
    /// Reads of the table and of objects.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Transactions that were held before their effect.
    pub held: u64,
}

/// The stand-in platform; clones are the same one.
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
    /// What reads answer from while they are older.
    older_rows: Option<BTreeMap<String, Row>>,
    /// What a restore goes back to.
    saved_rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    last_row_version: u64,
    vms: VecDeque<(Instant, Vec<VmRecord>)>,
    second_started: Option<Instant>,
    writes_in_second: u32,
    reads_in_second: u32,
}

impl FakePlatform {
    /// Starts the stand-in.
    pub async fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let mut platform = Self {
            address: settings.address,
            settings,
            state: Arc::default(),
        };
        let handler = platform.clone();
        platform.address = serve(platform.address, move |request| {
            let platform = handler.clone();
            Box::pin(async move { platform.answer(request).await }) as FakeFuture
        })
        .await?;
        Ok(platform)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its URL, as routers need it.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.lock();
        if !faults.older_reads {
            state.older_rows = None;
        } else if state.older_rows.is_none() {
            state.older_rows = Some(state.rows.clone());
        }
        state.faults = faults;
    }

    /// Reads and writes of table and objects that were taken so far.
    pub fn calls(&self) -> PlatformCalls {
        self.lock().calls
    }

    /// Remembers the table as it stands, for a later restore.
    pub fn save(&self) {
        let mut state = self.lock();
        state.saved_rows = state.rows.clone();
    }

    /// Puts the table back to what was saved; row versions go on rising.
    pub fn restore(&self) {
        let mut state = self.lock();
        state.rows = state.saved_rows.clone();
    }

    /// Sets the list of VMs; routers see it after the lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.lock().vms.push_back((Instant::now(), vms));
    }

    /// The rows as they stand, for checks.
    pub fn rows(&self) -> Vec<Row> {
        self.lock().rows.values().cloned().collect()
    }

    /// Puts the table back to rows that were read before.
    pub fn restore_rows(&self, rows: Vec<Row>) {
        self.lock().rows = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    }

    async fn answer(&self, request: Request<Incoming>) -> FakeResponse {
        let path = request.uri().path().to_owned();
        if let Some(admin) = path.strip_prefix("/fake/") {
            return self.administer(admin, request).await;
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
            return cut();
        }
        let answered = match (request.method().as_str(), path.as_str()) {
            ("POST", "/table/get") => self.get(request).await,
            ("POST", "/table/scan") => self.scan(request).await,
            ("POST", "/table/transact") => self.transact(request).await,
            ("GET", "/vms") => Ok(json(&VmList {
                vms: self.visible_vms(),
            })),
            (method @ ("GET" | "PUT"), path) => match path.strip_prefix("/objects/") {
                Some(name) if method == "GET" => Ok(self.get_object(name)),
                Some(name) => {
                    let name = name.to_owned();
                    self.put_object(name, request).await
                }
                None => Ok(with_status(StatusCode::NOT_FOUND, "{}")),
            },
            _ => Ok(with_status(StatusCode::NOT_FOUND, "{}")),
        };
        answered.unwrap_or_else(|response| response)
    }

    async fn administer(&self, path: &str, request: Request<Incoming>) -> FakeResponse {
        match path {
            "faults" => match read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    json(&())
                }
                Err(response) => response,
            },
            "vms" => match read_json::<VmList>(request).await {
                Ok(list) => {
                    self.set_vms(list.vms);
                    json(&())
                }
                Err(response) => response,
            },
            "save" => {
                self.save();
                json(&())
            }
            "restore" => {
                self.restore();
                json(&())
            }
            "calls" => json(&self.calls()),
            "rows" => json(&ScanReply { rows: self.rows() }),
            _ => with_status(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn get(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let get: GetRequest = read_json(request).await?;
        let mut state = self.lock();
        if !state.take_read(self.settings.reads_per_s) {
            return Err(with_status(StatusCode::TOO_MANY_REQUESTS, "{}"));
        }
        let row = state.readable_rows().get(&get.key).cloned();
        let row = row.map(|row| state.as_read(row));
        Ok(json(&GetReply { row }))
    }

    async fn scan(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let scan: ScanRequest = read_json(request).await?;
        let mut state = self.lock();
        if !state.take_read(self.settings.reads_per_s) {
            return Err(with_status(StatusCode::TOO_MANY_REQUESTS, "{}"));
        }
        let rows = state
            .readable_rows()
            .range(scan.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&scan.prefix))
            .filter(|(key, _)| scan.after.as_ref().is_none_or(|after| *key > after))
            .take(scan.limit as usize)
            .map(|(_, row)| state.as_read(row.clone()))
            .collect();
        Ok(json(&ScanReply { rows }))
    }

    async fn transact(&self, request: Request<Incoming>) -> Result<FakeResponse, FakeResponse> {
        let transaction: TransactRequest = read_json(request).await?;
        self.wait_unheld(&transaction).await;
        let (reply, delay_ms) = {
            let mut state = self.lock();
            if !state.take_write(self.settings.writes_per_s) {
                return Err(with_status(StatusCode::TOO_MANY_REQUESTS, "{}"));
            }
            if take(&mut state.faults.lose_requests) {
                return Err(cut());
            }
            let reply = state.transact(&transaction);
            if take(&mut state.faults.lose_replies) {
                return Err(cut());
            }
            (reply, state.faults.delay_replies_ms)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        Ok(json(&reply))
    }

    /// Waits while writes to a row of the transaction are held. A caller that leaves ends the
    /// wait, and the transaction never takes effect.
    async fn wait_unheld(&self, transaction: &TransactRequest) {
        const POLL: Duration = Duration::from_millis(5);
        if !self.lock().faults.holds(transaction) {
            return;
        }
        self.lock().calls.held += 1;
        while self.lock().faults.holds(transaction) {
            tokio::time::sleep(POLL).await;
        }
    }

    fn get_object(&self, name: &str) -> FakeResponse {
        let mut state = self.lock();
        if !state.take_read(self.settings.reads_per_s) {
            return with_status(StatusCode::TOO_MANY_REQUESTS, "{}");
        }
        match state.objects.get(name) {
            Some(body) => http::Response::new(full(body.clone())),
            None => with_status(StatusCode::NOT_FOUND, "{}"),
        }
    }

    async fn put_object(
        &self,
        name: String,
        request: Request<Incoming>,
    ) -> Result<FakeResponse, FakeResponse> {
        let body = read_bytes(request).await?;
        let mut state = self.lock();
        if !state.take_write(self.settings.writes_per_s) {
            return Err(with_status(StatusCode::TOO_MANY_REQUESTS, "{}"));
        }
        state.objects.insert(name, body);
        Ok(json(&()))
    }

    fn visible_vms(&self) -> Vec<VmRecord> {
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
    fn holds(&self, transaction: &TransactRequest) -> bool {
        let prefix = self.hold_writes_to.as_str();
        let held = |write: &Write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.starts_with(prefix),
        };
        !prefix.is_empty() && transaction.writes.iter().any(held)
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
    fn begin_second(&mut self) {
        let fresh = self
            .second_started
            .is_none_or(|at| at.elapsed() >= Duration::from_secs(1));
        if fresh {
            self.second_started = Some(Instant::now());
            self.writes_in_second = 0;
            self.reads_in_second = 0;
        }
    }

    fn take_read(&mut self, reads_per_s: u32) -> bool {
        self.begin_second();
        self.reads_in_second += 1;
        self.reads_in_second <= reads_per_s
    }

    fn readable_rows(&self) -> &BTreeMap<String, Row> {
        self.older_rows.as_ref().unwrap_or(&self.rows)
    }

    fn as_read(&self, row: Row) -> Row {
        if !self.faults.wrong_reads {
            return row;
        }
        let value = String::from("{\"something\":\"else\"}");
        Row { value, ..row }
    }

    fn take_write(&mut self, writes_per_s: u32) -> bool {
        self.begin_second();
        self.writes_in_second += 1;
        self.writes_in_second <= writes_per_s
    }

    fn transact(&mut self, transaction: &TransactRequest) -> TransactReply {
        for condition in &transaction.conditions {
            let (key, holds) = match condition {
                Condition::Absent { key } => (key, !self.rows.contains_key(key)),
                Condition::Version { key, row_version } => {
                    let row = self.rows.get(key);
                    (key, row.is_some_and(|row| row.row_version == *row_version))
                }
            };
            if !holds {
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
