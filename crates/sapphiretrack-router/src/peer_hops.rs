//! Passes requests to other routers, where this one does not reach a backend server for them.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, Version, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use sapphiretrack_routing::{
    Distance, HeldAnswer, Incarnation, RouterState, ServerEntry, can_pass_on,
};
use tokio::net::TcpSocket;
use tokio::time::timeout;

use crate::answer::AnswerBody;
use crate::attempt::{AttemptFailure, AttemptTarget, ServerAnswer};
use crate::clock::Clock;
use crate::connection_pool::{Connection, ConnectionPool, SendFailure};
use crate::events::{Event, note};
use crate::held_answers::held_body;
use crate::http_call::{CallLimits, HttpCaller};
use crate::job::Job;
use crate::lock::lock;
use crate::peer_hop::{HOP, HopAnswer, HopOutcome, HopRequest, hop_address};
use crate::planned_stop::LEAVING;
use crate::ports::{ConnectServer, StatedAvailability};
use crate::resumed_reads::ResumedReads;
use crate::shared::Shared;
use crate::stated_availability::record_stated_availability;

/// How long a router that declined a request, or was not reached, gets no others to its service: the
/// time in which it probes servers again.
const AVOIDED_MS: u64 = 250;
/// Routers of this router's availability zone, and of all zones, that are compared for a request.
const COMPARED: usize = 2;
/// By how many requests a router of another zone may have less of this router's than one of its own.
const OTHER_ZONE_REQUESTS: u32 = 4;
/// Routers that are asked whether they reach a server until one answers, and for how long each.
const MAX_ASKED: usize = 2;
const ASK_LIMIT_MS: u64 = 400;
/// The longest answer to a question that is read, which is a line of a few words and numbers.
pub(crate) const MAX_ANSWER_BYTES: usize = 1024;
/// The path of that question, before the incarnation of the server.
pub(crate) const REACHED_PATH: &str = "/reached/";
/// The most connections to one router.
const MAX_CONNECTIONS: u32 = 256;
/// The part of a request's time that is kept back for the way between the routers.
const HOP_MS: u64 = 10;
/// The interval at which a request is moved away from a router that is gone, if it may be.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(500);
/// The time limit for reading the body of a refusal.
const REFUSAL_BODY_LIMIT: Duration = Duration::from_millis(100);
/// The longest body of a refusal that is passed on.
const MAX_REFUSAL_BODY_BYTES: usize = 16 * 1024;

/// The routers that requests are passed to.
pub(crate) struct PeerHopTable {
    peers: Mutex<HashMap<SocketAddr, PeerHop>>,
    pool: ConnectionPool<SocketAddr>,
    /// Opens connections from this router's own address.
    open: ConnectServer,
}

#[derive(Clone, Debug, Default)]
struct PeerHop {
    in_flight: u32,
    /// Services whose requests it gets none of for now, and until when.
    avoided: Vec<(String, u64)>,
}

impl PeerHop {
    fn is_avoided(&self, service: &str, now_ms: u64) -> bool {
        let mut avoided = self.avoided.iter();
        avoided.any(|(name, until_ms)| name == service && now_ms < *until_ms)
    }
}

/// A router that a request is passed to. The request counts as in flight there until this is dropped.
pub(crate) struct PeerSlot {
    /// The address on which it accepts requests of other routers.
    pub(crate) address: SocketAddr,
    /// The service of the request.
    service: String,
    shared: Arc<Shared>,
}

/// How an attempt at another router ended.
pub(crate) enum HopResult {
    /// A server answered.
    Answered(Box<ServerAnswer>, HopAnswer),
    /// It has not run, and no router would serve it now: the router's refusal.
    Refused(Response<AnswerBody>),
    /// It has not run; another router may serve it. Holds the router's statement, if it made one.
    Declined(Option<HopAnswer>),
    /// It may have run.
    Failed(AttemptFailure, Option<HopAnswer>),
}

impl PeerHopTable {
    /// The table of a router with this IP address, which the others know it by.
    pub(crate) fn new(own_ip: IpAddr) -> Self {
        let open: ConnectServer = Arc::new(move |address| {
            Box::pin(async move {
                let socket = match address {
                    SocketAddr::V4(_) => TcpSocket::new_v4(),
                    SocketAddr::V6(_) => TcpSocket::new_v6(),
                }?;
                socket.bind(SocketAddr::new(own_ip, 0))?;
                socket.connect(address).await
            })
        });
        Self {
            peers: Mutex::default(),
            pool: ConnectionPool::new(open.clone()),
            open,
        }
    }

    /// Chooses a router for a request to a service that the `tried` ones did not serve.
    pub(crate) fn choose(
        shared: &Arc<Shared>,
        service: &str,
        tried: &[SocketAddr],
    ) -> Option<PeerSlot> {
        let owners = {
            let servers = shared.servers.load();
            let listed = servers.get(service);
            listed.and_then(|listed| shared.stated_availability.slot_owners(shared, listed))
        };
        // Routers without a share, such as those on a planned stop, may still have room.
        let owners = owners.unwrap_or_default();
        let (settings, now_ms) = (shared.settings(), Clock.now_ms());
        let own_proof = shared.configuration_proof();
        let mut hops = lock(&shared.peer_hops.peers);
        let candidates = |state: RouterState| -> Vec<(bool, SocketAddr)> {
            let peers = shared.peers();
            let found = peers.peer_addresses(state, own_proof, now_ms).into_iter();
            let found = found.map(|(zone, address)| {
                let is_near = settings.distance(&settings.zone, zone) == Distance::SameZone;
                (is_near, hop_address(address), owners.contains(&address))
            });
            let is_usable = |address: &SocketAddr| {
                let hop = hops.get(address);
                !tried.contains(address) && hop.is_none_or(|hop| !hop.is_avoided(service, now_ms))
            };
            let found: Vec<_> = found.filter(|(_, address, _)| is_usable(address)).collect();
            let has_owners = found.iter().any(|(_, _, is_owner)| *is_owner);
            let chosen = found
                .into_iter()
                .filter(|(_, _, is_owner)| *is_owner || !has_owners);
            chosen
                .map(|(is_near, address, _)| (is_near, address))
                .collect()
        };
        // A router on its planned stop still serves for a while.
        let mut candidates_in = [RouterState::Ready, RouterState::Leaving]
            .map(candidates)
            .into_iter();
        let candidates = candidates_in.find(|found| !found.is_empty())?;
        let near: Vec<_> = candidates.iter().filter(|(is_near, _)| *is_near).collect();
        let random = &mut rand::rng();
        let near = near.sample(random, COMPARED).copied();
        let compared: Vec<_> = near.chain(candidates.sample(random, COMPARED)).collect();
        let cost = |(is_near, address): &&(bool, SocketAddr)| {
            let in_flight = hops.get(address).map_or(0, |hop| hop.in_flight);
            in_flight + if *is_near { 0 } else { OTHER_ZONE_REQUESTS }
        };
        let (_, address) = *compared.into_iter().min_by_key(cost)?;
        hops.entry(address).or_default().in_flight += 1;
        Some(PeerSlot {
            address,
            service: service.to_owned(),
            shared: shared.clone(),
        })
    }
}

impl PeerSlot {
    /// Gives this router no requests to the service for a while.
    fn avoid(&self) {
        let now_ms = Clock.now_ms();
        let mut hops = lock(&self.shared.peer_hops.peers);
        let hop = hops.entry(self.address).or_default();
        hop.avoided
            .retain(|(name, until_ms)| *name != self.service && now_ms < *until_ms);
        hop.avoided
            .push((self.service.clone(), now_ms + AVOIDED_MS));
    }

    /// Whether the other router's heartbeats arrive.
    fn is_live(&self) -> bool {
        let peers = self.shared.peers();
        peers.is_live_at(Clock.now_ms(), |address| {
            hop_address(address) == self.address
        })
    }
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        let mut hops = lock(&self.shared.peer_hops.peers);
        let now_ms = Clock.now_ms();
        if let Some(hop) = hops.get_mut(&self.address) {
            hop.in_flight = hop.in_flight.saturating_sub(1);
            let mut avoided = hop.avoided.iter();
            if hop.in_flight == 0 && avoided.all(|(_, until_ms)| now_ms >= *until_ms) {
                hops.remove(&self.address);
            }
        }
    }
}

/// Asks another router whether it reaches a server; none if no router answers.
pub(crate) async fn reached_by_peer(shared: &Arc<Shared>, server: &ServerEntry) -> Option<bool> {
    let mut asked = Vec::new();
    while asked.len() < MAX_ASKED {
        let peer = PeerHopTable::choose(shared, &server.service, &asked)?;
        let question = format!("{REACHED_PATH}{}", server.incarnation.0);
        let answer = ask_router(
            shared,
            peer.address,
            question.parse().ok()?,
            ASK_LIMIT_MS,
            MAX_ANSWER_BYTES,
        )
        .await;
        match answer.map(|(status, _)| status) {
            Some(StatusCode::OK) => return Some(true),
            Some(StatusCode::NOT_FOUND) => return Some(false),
            // It does not know, or is gone.
            Some(_) | None => asked.push(peer.address),
        }
    }
    None
}

/// Asks a router a question at the address on which it accepts requests of other routers; none if it does
/// not answer within `limit_ms`.
pub(crate) async fn ask_router(
    shared: &Shared,
    address: SocketAddr,
    question: Uri,
    limit_ms: u64,
    max_answer_bytes: usize,
) -> Option<(StatusCode, Bytes)> {
    let request = Request::builder()
        .uri(question)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .ok()?;
    let open = shared.peer_hops.open.clone();
    let caller = HttpCaller::with_connect(open, address, limit_ms);
    let limits = CallLimits {
        max_answer_bytes,
        ..CallLimits::total(limit_ms)
    };
    caller.call_within(request, limits).await.ok()
}

/// Passes a request to another router and waits for the head of the answer. `may_repeat` decides whether
/// the request may be moved away if that router is gone.
pub(crate) async fn send_to_peer<MayRepeat>(
    job: &Job,
    peer: PeerSlot,
    hop: HopRequest,
    resume_after: Option<u64>,
    mut may_repeat: MayRepeat,
) -> HopResult
where
    MayRepeat: FnMut() -> bool,
{
    let shared = &job.shared;
    let connect_ms = shared.settings().times.connect_ms;
    let mut force_new = false;
    loop {
        let connection = shared.peer_hops.pool.get(
            (peer.address, peer.address),
            MAX_CONNECTIONS,
            connect_ms,
            force_new,
        );
        let connection = match connection.await {
            Ok(connection) => connection,
            Err(error) => {
                peer.avoid();
                note_failed(job, &peer, &error.to_string());
                return HopResult::Declined(None);
            }
        };
        let left_ms = job.left_ms().saturating_sub(HOP_MS);
        if left_ms == 0 {
            return HopResult::Failed(AttemptFailure::NoTimeLeft, None);
        }
        if !job.may_be_passed_on() {
            connection.return_to_pool(None);
            return HopResult::Failed(AttemptFailure::NotSent(LEAVING), None);
        }
        if job.is_log_sampled {
            note!(
                Event::RELAYED,
                id = job.facts.id,
                service = job.service,
                peer = peer.address,
                offers = hop.offers,
                left_ms = left_ms,
            );
        }
        let had_run = job.may_have_run.swap(true, Ordering::Relaxed);
        let mut sending = Box::pin(connection.send(hop_request(job, hop, resume_after, left_ms)));
        let mut reads = ResumedReads::default();
        let sent = loop {
            let left = Duration::from_millis(job.left_ms().max(1));
            let limit = left.min(LIVENESS_INTERVAL);
            if let Some(sent) = reads.read(&mut sending, limit).await {
                break sent;
            }
            if job.left_ms() == 0 || !peer.is_live() && may_repeat() {
                note_failed(job, &peer, "no-answer");
                return HopResult::Failed(AttemptFailure::TimedOut("no-answer"), None);
            }
        };
        let (connection, answer) = sent;
        return match answer {
            Ok(answer) => read_head(job, peer, connection, answer).await,
            Err(SendFailure::NotSent) if connection.is_reused && !force_new => {
                note!(
                    Event::CONNECTION_ENDED,
                    id = job.facts.id,
                    peer = peer.address,
                );
                job.may_have_run.store(had_run, Ordering::Relaxed);
                force_new = true;
                continue;
            }
            Err(SendFailure::HeadTooLong) => {
                note_failed(job, &peer, "head-too-long");
                HopResult::Failed(AttemptFailure::MayHaveRun("head-too-long"), None)
            }
            Err(failure) => {
                peer.avoid();
                note_failed(job, &peer, "connection-broke");
                match failure {
                    SendFailure::NotSent => HopResult::Declined(None),
                    _ => {
                        HopResult::Failed(AttemptFailure::ConnectionLost("connection-broke"), None)
                    }
                }
            }
        };
    }
}

fn note_failed(job: &Job, peer: &PeerSlot, reason: &str) {
    job.shared.metrics.count_relay("failed");
    note!(
        Event::RELAY_FAILED,
        id = job.facts.id,
        peer = peer.address,
        reason = reason,
    );
}

/// Reads what the other router states about the request. Without a statement the answer is not a
/// router's, or that of a release that cannot serve requests of others.
async fn read_head(
    job: &Job,
    peer: PeerSlot,
    connection: Connection,
    answer: Response<Incoming>,
) -> HopResult {
    let (mut head, body) = answer.into_parts();
    let stated = head.headers.remove(HOP);
    let Some(stated) = stated.as_ref().and_then(HopAnswer::parse) else {
        peer.avoid();
        note_failed(job, &peer, "not-a-router");
        return HopResult::Failed(AttemptFailure::MayHaveRun("not-a-router"), None);
    };
    let facts = (job.interface.read_answer)(&head);
    if stated.outcome == HopOutcome::Answered {
        if !facts.answers(&job.facts.id) {
            note_failed(job, &peer, "answer-of-another-request");
            let failure = AttemptFailure::MayHaveRun("answer-of-another-request");
            return HopResult::Failed(failure, Some(stated));
        }
        record_stated(job, stated.server, facts.availability);
        // Earlier releases pass on answers that callers must not get.
        if !can_pass_on(head.status.as_u16(), job.route.kind) {
            let failure = AttemptFailure::RefusalNotStated;
            note_failed(job, &peer, failure.as_str());
            return HopResult::Failed(failure, Some(stated));
        }
        job.shared.metrics.count_relay("answered");
        let answer = ServerAnswer {
            head,
            facts,
            body,
            // Routers send answers with a length or in chunks.
            ends_with_connection: false,
            connection,
            target: AttemptTarget::Peer(peer),
            stated_origin: stated.origin,
        };
        return HopResult::Answered(Box::new(answer), stated);
    }
    let read = Limited::new(body, MAX_REFUSAL_BODY_BYTES).collect();
    let body = match timeout(REFUSAL_BODY_LIMIT, read).await {
        Ok(Ok(body)) => {
            connection.return_to_pool(None);
            body.to_bytes()
        }
        _ => Bytes::new(),
    };
    let reason = String::from_utf8_lossy(&body).into_owned();
    match stated.outcome {
        HopOutcome::Answered | HopOutcome::Failed => {
            note_failed(job, &peer, &reason);
            let failure = match head.status {
                StatusCode::GATEWAY_TIMEOUT => AttemptFailure::TimedOut("router-timed-out"),
                _ => AttemptFailure::MayHaveRun("router-failed"),
            };
            HopResult::Failed(failure, Some(stated))
        }
        HopOutcome::Declined => {
            peer.avoid();
            job.shared.metrics.count_relay("declined");
            note!(
                Event::RELAY_FAILED,
                id = job.facts.id,
                peer = peer.address,
                reason = reason,
            );
            HopResult::Declined(Some(stated))
        }
        HopOutcome::Refused => {
            job.shared.metrics.count_relay("refused");
            let mut held = HeldAnswer::new(job.shared.activity.held_answers());
            held.push(&body);
            let mut refusal = Response::new(held_body(held));
            *refusal.status_mut() = head.status;
            for name in [header::CONTENT_TYPE, header::RETRY_AFTER] {
                if let Some(value) = head.headers.get(&name) {
                    refusal.headers_mut().insert(name, value.clone());
                }
            }
            note!(
                Event::REFUSED,
                id = job.facts.id,
                status = head.status.as_u16(),
                reason = reason,
                peer = peer.address,
            );
            HopResult::Refused(refusal)
        }
    }
}

/// Records what the server which answered through another router stated. That it leaves concerns this
/// router, too, since the caller has seen the statement in this router's answer.
fn record_stated(job: &Job, server: Option<Incarnation>, stated: StatedAvailability) {
    let services = job.shared.servers.load();
    let mut servers = services.values().flatten();
    let Some(server) = servers.find(|one| Some(one.incarnation) == server) else {
        return;
    };
    // A pause concerns only the router that the server asked for it.
    let stated = StatedAvailability {
        pause_ms: None,
        ..stated
    };
    record_stated_availability(&job.shared, server, stated, &job.facts.id);
}

/// Builds the request for the other router: the caller's own, with the time that is left.
fn hop_request(
    job: &Job,
    hop: HopRequest,
    resume_after: Option<u64>,
    left_ms: u64,
) -> Request<Full<Bytes>> {
    let mut headers = job.headers.clone();
    (job.interface.write_hop)(&mut headers, left_ms, resume_after);
    headers.insert(HOP, hop.to_header());
    if !headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(&job.facts.host)
    {
        headers.insert(header::HOST, host);
    }
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}
