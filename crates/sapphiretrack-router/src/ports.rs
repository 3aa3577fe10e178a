//! The functions that the program that embeds a router provides to it, in plain structs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, Uri};
use sapphiretrack_routing::{
    ColdReport, Configuration, CrashRecord, EvacuationOrder, Fingerprint, Incarnation,
    ListedRouter, PromptPrefix, ReadVersions, RequestFacts, ServerChange, ServerEntry,
    SoleVersions, StoredVersions,
};
use snafu::Snafu;
use tokio::net::TcpStream;

use crate::settings::RouterSettings;

/// The protocol of callers and backend servers.
#[derive(Clone, Copy)]
pub struct Interface {
    /// Reads the facts of a caller's request.
    pub read_request: fn(&RequestParts) -> Result<RequestFacts, BadRequest>,
    /// Changes a caller's headers into those of an attempt.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHeaders<'_>),
    /// Changes a caller's headers into those for another router that serves the request: how long the
    /// caller still waits, in milliseconds, and the id of the last event that it has.
    pub write_hop: fn(&mut HeaderMap, u64, Option<u64>),
    /// Reads the facts of a backend server's answer.
    pub read_answer: fn(&ResponseParts) -> AnswerFacts,
    /// Parses a caller's lookup of router addresses; none for any other path.
    pub read_lookup: fn(&Uri) -> Option<Lookup>,
    /// Formats the answer to a lookup, from the addresses and how many seconds they may be cached:
    /// content type and body.
    pub write_lookup: fn(&[SocketAddr], u64) -> (&'static str, Bytes),
    /// The path of the readiness check.
    pub ready_path: &'static str,
}

/// A request that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("{reason} (hint: see the page for callers)"))]
pub struct BadRequest {
    /// What is wrong with it.
    pub reason: &'static str,
}

/// What an attempt sends to its backend server in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// The intended server; another one at its address refuses the attempt.
    pub server_id: &'a str,
    /// The caller's tenant.
    pub tenant: Option<&'a str>,
    /// How long the caller still waits, in milliseconds.
    pub left_ms: u64,
    /// The request's priority; 0 is the highest.
    pub priority: u8,
    /// Whether its workspace asks for more than its share while the service refuses requests, so that it goes
    /// after others of its priority.
    pub is_over_share: bool,
    /// A server that holds more of the prompt in its cache, from which to fetch it instead of
    /// computing it.
    pub fetch_from: Option<SocketAddr>,
    /// The id of the last event that the caller has, if the stream resumes after it.
    pub resume_after: Option<u64>,
}

/// The facts of a backend server's answer that decide how it is handled.
#[derive(Clone, Debug, Default)]
pub struct AnswerFacts {
    /// The id of the attempt that it answers.
    pub request_id: Option<String>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer comes from another server that now has the address.
    pub wrong_server: bool,
    /// Whether it carries the server's signature.
    pub is_signed: bool,
    /// Whether its body was encoded on the way, so that it is not what the server sent.
    pub is_encoded: bool,
    /// The numbers of requests that run and that wait at the server, if it reports them.
    pub load: Option<(u32, u32)>,
    /// For how long the server says that it stays cold, in milliseconds, if it states that.
    pub cold_left_ms: Option<u32>,
    /// How long the server keeps an idle connection open, in seconds, if it reports that.
    pub keep_alive_s: Option<u64>,
    /// What the server states about its availability.
    pub availability: StatedAvailability,
}

impl AnswerFacts {
    /// Whether it is the answer to the attempt with this id, and not a late copy of another one's.
    pub(crate) fn answers(&self, id: &str) -> bool {
        self.request_id.as_deref() == Some(id)
    }
}

/// What a backend server states in an answer about its availability to this router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StatedAvailability {
    /// Whether it leaves: it finishes its requests, then ends.
    pub is_leaving: bool,
    /// For how long it wants no requests from this router, in milliseconds, if it states that.
    pub pause_ms: Option<u64>,
    /// How many refusals in a second it endures for want of room, if it states that; beyond that it falls
    /// over.
    pub max_refusals_per_s: Option<u32>,
}

/// A caller's lookup of the routers to connect to.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    /// The caller's availability zone, if it is given.
    pub zone: Option<String>,
}

/// What the store lists.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Listing {
    /// The configuration and the evacuation orders.
    Configuration,
    /// The backend servers.
    Servers,
    /// The routers.
    Routers,
}

impl Listing {
    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Routers => "routers",
        }
    }
}

/// One record of a listing.
#[derive(Clone, Debug)]
pub enum Record {
    /// A configuration.
    Configuration(Arc<Configuration>),
    /// An order to evacuate an availability zone, listed together with the configuration.
    Evacuation(EvacuationOrder),
    /// A change of the backend servers.
    Server(ServerChange),
    /// Another router's report of a cold server, listed together with the servers.
    Cold(ColdReport),
    /// A router.
    Router(ListedRouter),
    /// Crash records of a request that is refused; listed together with the routers.
    Crashes(Vec<CrashRecord>),
    /// The services whose servers run one version of their software only; listed together with the routers.
    SoleVersions(StoredVersions),
    /// A record of the configuration or of the routers' listing that is gone or cannot be read,
    /// so that it is only logged.
    Unusable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// An answer of the store.
#[derive(Clone, Debug)]
pub struct StoreAnswer {
    /// All records of a listing, or those that changed.
    pub records: Vec<Record>,
    /// The version of the store that they reflect; a watch continues from it.
    pub version: u64,
    /// The version of the last change among the records.
    pub changed_version: Option<u64>,
    /// The time of the store's monotonic clock when it answered, in milliseconds.
    pub store_now_ms: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Snafu)]
pub enum StoreError {
    /// The store no longer has all changes since the requested version.
    #[snafu(display(
        "the store no longer has the requested changes (hint: the whole listing is read again)"
    ))]
    HistoryLost,
    /// The store refused the call without executing it.
    #[snafu(display(
        "the store refused the call with status {status} (hint: the call is repeated)"
    ))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer arrived, or one that cannot be read.
    #[snafu(display("no valid answer from the store: {reason} (hint: the call is repeated)"))]
    NoAnswer {
        /// What happened.
        reason: String,
    },
}

/// Reads the settings again: none if they are unchanged, an error text if they are invalid.
pub type ReadSettings = Box<dyn Fn() -> Result<Option<RouterSettings>, String> + Send + Sync>;

/// Asks a backend server which prompt prefixes it holds.
pub type ListPrefixes = Box<dyn Fn(&ServerEntry) -> BoxFuture<'static, PrefixAnswer> + Send + Sync>;

/// A backend server's answer to the question which prompt prefixes it holds.
#[derive(Debug)]
pub struct PrefixAnswer {
    /// What the server states about its availability; nothing if it did not answer.
    pub availability: StatedAvailability,
    /// The prefixes, or why there are none.
    pub prefixes: Result<Vec<PromptPrefix>, String>,
}

/// Asks a backend server which incarnation it is.
pub type ReadIncarnation =
    Box<dyn Fn(&ServerEntry) -> BoxFuture<'static, IncarnationAnswer> + Send + Sync>;

/// A backend server's answer to the question which incarnation it is.
#[derive(Debug)]
pub struct IncarnationAnswer {
    /// What the server states about its availability; nothing if it did not answer.
    pub availability: StatedAvailability,
    /// The incarnation, or why it is not known.
    pub incarnation: Result<Incarnation, String>,
}

/// Opens a TCP connection to a backend server; without a time limit.
pub type ConnectServer =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync>;

/// Connects directly to the address.
pub fn connect_directly() -> ConnectServer {
    Arc::new(|address| Box::pin(TcpStream::connect(address)))
}

/// The functions by which a router reaches the store, its settings and the backend servers.
pub struct Ports {
    /// Calls to the store.
    pub store: StorePort,
    /// Reads the settings again.
    pub read_settings: ReadSettings,
    /// Opens a connection to a backend server.
    pub connect_server: ConnectServer,
    /// Asks a backend server for its cached prefixes.
    pub list_prefixes: ListPrefixes,
    /// Asks a backend server which incarnation it is.
    pub read_incarnation: ReadIncarnation,
}

/// Calls to the store.
pub struct StorePort {
    /// Reads all records of a listing.
    pub list:
        Box<dyn Fn(Listing) -> BoxFuture<'static, Result<StoreAnswer, StoreError>> + Send + Sync>,
    /// Reads the records that changed after a version; waits up to a number of milliseconds for
    /// one.
    pub watch: WatchCall,
    /// Saves a request's crash records beside the routers; an empty list removes them.
    pub save_crashes: SaveCrashes,
    /// Reads the services whose servers run one version of their software only.
    pub read_versions:
        Box<dyn Fn() -> BoxFuture<'static, Result<ReadVersions, StoreError>> + Send + Sync>,
    /// Replaces them if their row is still the one of a version (0: there is none).
    pub write_versions: WriteVersions,
    /// Registers this router (`true`), or removes its registration (`false`).
    pub register: Box<dyn Fn(bool) -> BoxFuture<'static, Result<(), StoreError>> + Send + Sync>,
}

/// A call that replaces the services whose servers run one version of their software only. Returns the version of the
/// new row; `None` if the row had changed.
pub type WriteVersions = Box<
    dyn Fn(SoleVersions, u64) -> BoxFuture<'static, Result<Option<u64>, StoreError>> + Send + Sync,
>;

/// A call that saves the crash records of a request.
pub type SaveCrashes = Box<
    dyn Fn(Fingerprint, Vec<CrashRecord>) -> BoxFuture<'static, Result<(), StoreError>>
        + Send
        + Sync,
>;

/// A call that waits for changes of a listing after a version, for up to a number of milliseconds.
pub type WatchCall = Box<
    dyn Fn(Listing, u64, u64) -> BoxFuture<'static, Result<StoreAnswer, StoreError>> + Send + Sync,
>;
