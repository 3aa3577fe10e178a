//! Listings between routers: one that lacks a change reads the listing, or its changes, from one
//! that has it.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bincode::Options;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sapphiretrack_routing::{
    ColdReport, Configuration, ConfigurationChange, EvacuationOrder, ListingAdvert, ListingReader,
    ListingReaders, ServerChange, ServerChanges, ServerEntry,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::caller_listener::accept_next;
use crate::client_limits::{ENDPOINT_BUFFER_BYTES, ENDPOINT_CONNECTION_BYTES, Listener};
use crate::clock::Clock;
use crate::endpoints::status_answer;
use crate::http_call::{CallError, CallLimits, HttpCaller};
use crate::ports::{Listing, Record};
use crate::shared::Shared;

/// How long reading a listing may take: links may be slow, and a listing grows with its records.
const FETCH_MS: u64 = 3_000;
/// How long a read may pause without a byte.
const FETCH_IDLE_MS: u64 = 300;
/// How long the head of the answer may take: a router that many ask at once may answer none of them
/// in time, while others have the listing by then.
const FETCH_HEAD_MS: u64 = 150;
/// How long connecting may take: the other router is in the same region.
const CONNECT_MS: u64 = 200;
/// How long serving one reader may take.
const SERVE_LIMIT: Duration = Duration::from_millis(CONNECT_MS + FETCH_MS);
/// Kibibytes that are served at a time. Readers beyond that ask another router, so that the number
/// of routers with a large listing doubles step by step instead of all reading it through one link.
const MAX_SERVED_KIB: usize = 64;
/// The start of the path of a listing, before its name. The number increases with each change of
/// the encoding, so that routers of different releases read from the store instead.
const PATH_PREFIX: &str = "/listing/3/";

/// Why another router's listing could not be read; another router is asked.
#[derive(Debug, Snafu)]
pub(crate) enum FetchError {
    /// The request could not be built.
    #[snafu(display("request cannot be built: {source}"))]
    Request {
        /// The underlying error.
        source: http::Error,
    },
    /// The call failed.
    #[snafu(display("{source} (hint: another router is tried)"))]
    Call {
        /// The underlying error.
        source: CallError,
    },
    /// The router serves others, or has not read the listing yet.
    #[snafu(display("the router is busy (hint: another one is tried; it named {})", served.len()))]
    Busy {
        /// Routers that it served lately, which therefore may have the listing.
        served: Vec<SocketAddr>,
    },
    /// The router has nothing newer, or does not serve such a listing.
    #[snafu(display("the router refused with status {status} (hint: another router is tried)"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The answer cannot be decoded.
    #[snafu(display(
        "listing cannot be decoded: {source} (hint: does the router run another release?)"
    ))]
    Unreadable {
        /// The underlying error.
        source: bincode::Error,
    },
}

/// A listing as one router has it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    /// The version up to which it holds all changes.
    pub(crate) version: u64,
    /// How current the router's listing is.
    pub(crate) advert: ListingAdvert,
    content: Content,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
enum Content {
    Configuration {
        /// The changes from the reader's configuration, or from the empty one, to the newest.
        changes: Vec<Arc<ConfigurationChange>>,
        /// All evacuation orders.
        evacuations: Vec<EvacuationOrder>,
    },
    Servers {
        /// All servers.
        servers: Vec<Arc<ServerEntry>>,
        /// Those that may be cold.
        cold: Vec<ColdReport>,
    },
    /// The server changes that the reader lacks.
    Changes(ServerChanges),
}

/// The query of a read: what the reader already has, and which router it is.
#[derive(Clone, Debug, Default, PartialEq)]
struct Query {
    /// The store's version that the reader has.
    after: Option<u64>,
    /// The version of the configuration that is in force at the reader.
    in_force: Option<u64>,
    reader: Option<ListingReader>,
}

impl Query {
    /// Formats the query string of a request. A zone with characters outside `[A-Za-z0-9_.-]` is
    /// left empty; it only affects which routers are suggested.
    fn to_query_string(&self) -> String {
        let mut text = String::new();
        if let Some(after) = self.after {
            text += &format!("after={after}&");
        }
        if let Some(in_force) = self.in_force {
            text += &format!("in_force={in_force}&");
        }
        if let Some(reader) = &self.reader {
            let is_plain = |one: char| one.is_ascii_alphanumeric() || "-_.".contains(one);
            let zone = Some(&reader.zone).filter(|zone| zone.chars().all(is_plain));
            let zone = zone.map_or("", |zone| zone.as_str());
            text += &format!("zone={zone}&address={}", reader.address);
        }
        text
    }

    /// Parses a query string; unknown and malformed parameters are ignored.
    fn parse(text: &str) -> Self {
        let (mut after, mut in_force) = (None, None);
        let (mut zone, mut address) = (None, None);
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "after" => after = value.parse().ok(),
                "in_force" => in_force = value.parse().ok(),
                "zone" => zone = Some(value.to_owned()),
                "address" => address = value.parse().ok(),
                _ => {}
            }
        }
        let reader = zone
            .zip(address)
            .map(|(zone, address)| ListingReader { zone, address });
        Self {
            after,
            in_force,
            reader,
        }
    }
}

impl Snapshot {
    /// Builds a snapshot of this router's listing, or of the changes after version `base` if its
    /// log still holds them. None if the router has not read the listing yet.
    fn capture(shared: &Shared, listing: Listing, base: Option<u64>) -> Option<Self> {
        let changes = base
            .filter(|_| listing == Listing::Servers)
            .and_then(|after| shared.change_log().since(after));
        if let Some(changes) = changes {
            return Some(Self {
                version: changes.version,
                advert: shared.servers_watch().state().advert(),
                content: Content::Changes(changes),
            });
        }
        let (watch, content) = match listing {
            Listing::Configuration => {
                let configuration = shared.configuration.load_full()?;
                let known = base.and_then(|base| shared.configuration_log().since(base));
                let changes = known.unwrap_or_else(|| {
                    let empty = Configuration::default();
                    let from_empty = ConfigurationChange::between(&empty, &configuration);
                    vec![Arc::new(from_empty)]
                });
                let watch = shared.configuration_watch();
                let evacuations = shared.evacuations.zones().orders();
                let content = Content::Configuration {
                    changes,
                    evacuations,
                };
                (watch, content)
            }
            Listing::Servers => {
                let servers = shared.present_servers.load().to_vec();
                let cold = shared.cold_servers.reports(shared);
                (shared.servers_watch(), Content::Servers { servers, cold })
            }
            Listing::Routers => return None,
        };
        let state = watch.state();
        Some(Self {
            version: state.version()?,
            advert: state.advert(),
            content,
        })
    }

    /// Returns the number of records that it holds.
    pub(crate) fn record_count(&self) -> usize {
        match &self.content {
            Content::Configuration {
                changes,
                evacuations,
            } => {
                let entries: usize = changes.iter().map(|one| one.entries()).sum();
                entries + evacuations.len()
            }
            Content::Servers { servers, .. } => servers.len(),
            Content::Changes(batch) => batch.changes.len(),
        }
    }

    /// Returns its server changes; none if it is another kind of snapshot.
    pub(crate) fn changes(&self) -> Option<&ServerChanges> {
        match &self.content {
            Content::Changes(changes) => Some(changes),
            Content::Configuration { .. } | Content::Servers { .. } => None,
        }
    }

    /// Returns its records as the store would list them, at a router with the configuration
    /// `in_force`. None if the changes start from another configuration.
    pub(crate) fn into_records(self, in_force: Option<&Arc<Configuration>>) -> Option<Vec<Record>> {
        let records = match self.content {
            Content::Configuration {
                changes,
                evacuations,
            } => {
                let mut newest = in_force.cloned().unwrap_or_default();
                for change in changes {
                    newest = match change.before {
                        0 => Arc::new(change.apply(&Configuration::default())?),
                        _ => Arc::new(change.apply(&newest)?),
                    };
                }
                let orders = evacuations.into_iter().map(Record::Evacuation);
                [Record::Configuration(newest)]
                    .into_iter()
                    .chain(orders)
                    .collect()
            }
            Content::Servers { servers, cold } => {
                let entries = servers.into_iter().map(|entry| (*entry).clone());
                let changes = entries.map(|entry| Record::Server(ServerChange::Entry(entry)));
                changes.chain(cold.into_iter().map(Record::Cold)).collect()
            }
            Content::Changes(batch) => batch.changes.into_iter().map(Record::Server).collect(),
        };
        Some(records)
    }
}

/// The encoding of listings, with numbers of variable length.
fn encoding() -> impl bincode::Options {
    bincode::DefaultOptions::new()
}

/// The result of a read from another router.
#[derive(Clone, Debug)]
pub(crate) struct Fetched {
    /// The listing, or changes of it.
    pub(crate) snapshot: Snapshot,
    /// The length of the encoded snapshot.
    pub(crate) bytes: usize,
}

/// Reads a listing from another router, or its changes after a version if that router still has
/// them.
pub(crate) async fn fetch(
    shared: &Shared,
    peer: SocketAddr,
    listing: Listing,
    after: Option<u64>,
) -> Result<Fetched, FetchError> {
    let query = {
        let settings = shared.settings();
        let reader = Some(ListingReader {
            zone: settings.zone.clone(),
            address: settings.peer_address,
        });
        let in_force = shared.configuration.load();
        Query {
            after,
            in_force: in_force.as_ref().map(|one| one.version),
            reader,
        }
        .to_query_string()
    };
    let request = Request::builder()
        .uri(format!("{PATH_PREFIX}{}?{query}", listing.as_str()))
        .header(header::HOST, peer.to_string())
        .body(Full::default())
        .context(RequestSnafu)?;
    let caller = HttpCaller::new(peer, CONNECT_MS);
    let limits = CallLimits {
        head_ms: FETCH_HEAD_MS,
        idle_ms: FETCH_IDLE_MS,
        ..CallLimits::total(FETCH_MS)
    };
    let answer = caller.call_within(request, limits).await;
    let (status, body) = answer.context(CallSnafu)?;
    if status == StatusCode::TOO_MANY_REQUESTS {
        let served = encoding().deserialize(&body).context(UnreadableSnafu)?;
        return Err(FetchError::Busy { served });
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        // The router itself has not read the listing yet.
        return Err(FetchError::Busy { served: Vec::new() });
    }
    if status != StatusCode::OK {
        return Err(FetchError::Refused { status });
    }
    Ok(Fetched {
        snapshot: encoding().deserialize(&body).context(UnreadableSnafu)?,
        bytes: body.len(),
    })
}

/// Serves this router's listings to the others until the process ends.
pub(crate) async fn serve_snapshots(shared: Arc<Shared>, listener: TcpListener) {
    let server = Arc::new(Mutex::new(SnapshotServer::new()));
    loop {
        let stream = accept_next(&listener).await;
        let gate = shared.activity.clients.gate(Listener::Listings);
        let open = Arc::new(gate.admit(ENDPOINT_CONNECTION_BYTES).await);
        let requests = open.clone();
        let shared = shared.clone();
        let server = server.clone();
        // Capacity is held until the connection's only answer is sent.
        let held_permit = Arc::new(Mutex::new(None));
        let answer = {
            let held_permit = held_permit.clone();
            service_fn(move |request: Request<Incoming>| {
                let mut progress = requests.begin_request();
                progress.record_running();
                let mut server = server.lock().unwrap_or_else(PoisonError::into_inner);
                let answer = match server.answer(&shared, &request) {
                    Ok((body, permit)) => {
                        *held_permit.lock().unwrap_or_else(PoisonError::into_inner) = Some(permit);
                        Response::new(Full::new(body))
                    }
                    Err(error) => error.into_answer(),
                };
                let answer = answer.map(|body| progress.with_body(body));
                async move { Ok::<_, Infallible>(answer) }
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(false)
            .max_buf_size(ENDPOINT_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), answer);
        tokio::spawn(async move {
            // A reader that gets no answer asks another router.
            let serving = open.serve(connection, |one| one.graceful_shutdown());
            drop(timeout(SERVE_LIMIT, serving).await);
            drop(held_permit);
        });
    }
}

/// Why a listing is not served.
enum ServeError {
    Status(StatusCode),
    /// No capacity is left; contains readers that were served lately.
    Busy(Vec<SocketAddr>),
}

impl ServeError {
    fn into_answer(self) -> Response<Full<Bytes>> {
        match self {
            Self::Status(status) => status_answer(status),
            Self::Busy(suggested) => {
                let body = encoding().serialize(&suggested).unwrap_or_default();
                let mut answer = Response::new(Full::new(Bytes::from(body)));
                *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
                answer
            }
        }
    }
}

/// Serves listings to other routers.
#[derive(Debug)]
struct SnapshotServer {
    capacity_kib: Arc<Semaphore>,
    readers: ListingReaders,
    /// Recently encoded listings, so that many readers at once cost little; the latest one is last.
    encoded: VecDeque<EncodedListing>,
}

/// An encoded answer, and what it is the answer to.
#[derive(Debug)]
struct EncodedListing {
    listing: Listing,
    /// The reader's version whose changes it holds, if the reader gave one.
    base: Option<u64>,
    version: u64,
    encoded_ms: u64,
    body: Bytes,
}

impl SnapshotServer {
    /// How long an encoded listing is reused, since its advert of freshness ages with it.
    const REUSE_MS: u64 = 250;
    /// The most encoded listings that are kept.
    const MAX_ENCODED: usize = 8;

    fn new() -> Self {
        Self {
            capacity_kib: Arc::new(Semaphore::new(MAX_SERVED_KIB)),
            readers: ListingReaders::default(),
            encoded: VecDeque::new(),
        }
    }

    /// Returns the encoded listing that a request names, and a permit for the capacity that it
    /// takes.
    fn answer(
        &mut self,
        shared: &Shared,
        request: &Request<Incoming>,
    ) -> Result<(Bytes, OwnedSemaphorePermit), ServeError> {
        let name = request.uri().path().strip_prefix(PATH_PREFIX);
        let listings = [Listing::Configuration, Listing::Servers];
        let listing = listings.into_iter().find(|one| name == Some(one.as_str()));
        let listing = listing.ok_or(ServeError::Status(StatusCode::NOT_FOUND))?;
        let query = Query::parse(request.uri().query().unwrap_or_default());
        let body = self.encode(shared, listing, &query)?;
        let reader = query.reader;
        let kib = body.len().div_ceil(1_024).clamp(1, MAX_SERVED_KIB);
        let permit = self.capacity_kib.clone().try_acquire_many_owned(kib as u32);
        let permit = permit.map_err(|_| {
            let suggested = reader
                .as_ref()
                .map(|reader| self.readers.suggest_to(reader));
            ServeError::Busy(suggested.unwrap_or_default())
        })?;
        if let Some(reader) = reader {
            self.readers.record(reader);
        }
        Ok((body, permit))
    }

    /// Returns the encoded listing, or the changes after the reader's version, from the recently
    /// encoded ones if possible.
    fn encode(
        &mut self,
        shared: &Shared,
        listing: Listing,
        query: &Query,
    ) -> Result<Bytes, ServeError> {
        let version = shared.version_of(listing);
        let version = version.ok_or(ServeError::Status(StatusCode::SERVICE_UNAVAILABLE))?;
        if query.after.is_some_and(|after| version <= after) {
            return Err(ServeError::Status(StatusCode::NOT_MODIFIED));
        }
        let base = match listing {
            Listing::Configuration => query.in_force,
            Listing::Servers | Listing::Routers => query.after,
        };
        let now_ms = Clock.now_ms();
        self.encoded
            .retain(|one| now_ms < one.encoded_ms + Self::REUSE_MS);
        let mut encoded = self.encoded.iter();
        if let Some(known) =
            encoded.find(|one| one.listing == listing && one.base == base && one.version == version)
        {
            return Ok(known.body.clone());
        }
        let snapshot = Snapshot::capture(shared, listing, base);
        let snapshot = snapshot.ok_or(ServeError::Status(StatusCode::SERVICE_UNAVAILABLE))?;
        let body = encoding().serialize(&snapshot);
        let body = body.map_err(|_| ServeError::Status(StatusCode::INTERNAL_SERVER_ERROR))?;
        let body = Bytes::from(body);
        if self.encoded.len() == Self::MAX_ENCODED {
            self.encoded.pop_front();
        }
        self.encoded.push_back(EncodedListing {
            listing,
            base,
            version,
            encoded_ms: now_ms,
            body: body.clone(),
        });
        Ok(body)
    }
}
