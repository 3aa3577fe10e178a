//! Requests that crash their servers: evidence, its exchange between routers, and refusals.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sapphiretrack_routing::{
    CrashEvidence, CrashRecord, Fingerprint, Incarnation, RouterMessage, ServerEntry,
};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::job::Job;
use crate::peer_messages::{encode, send_to_all};
use crate::ports::{Listing, StorePort};
use crate::shared::Shared;
use crate::watch::CallReason;

/// When a server is asked for a connection after one broke, each time this much later: a process that ends
/// closes its connections one by one, and its listener may be the last.
const PROBE_PAUSES_MS: [u64; 4] = [0, 20, 100, 400];
/// How long a connection may take.
const PROBE_MS: u64 = 250;
/// When records are sent, each time this much later: datagrams may be lost.
const REPEAT_PAUSES_MS: [u64; 4] = [0, 100, 300, 900];
/// How often two routers compare what they know.
const COMPARE: Duration = Duration::from_millis(250);
/// Routers that are asked each time.
const COMPARED: usize = 2;
/// How long after its start a router asks though it knows nothing.
const START_MS: u64 = 10_000;
/// Routers that learn of the first crash under a request: two of them may be lost before the second one.
const STEWARDS: usize = 3;
/// The pause after a call to the store that failed, which doubles.
const STORE_RETRY_MS: u64 = 100;
/// How often it doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Servers whose connections broke and that may have ended, with the requests that ran there.
#[derive(Debug, Default)]
pub(crate) struct Suspects(Vec<(Incarnation, Vec<Fingerprint>)>);

impl Suspects {
    /// Adds a request; whether the server was not suspected before.
    fn add(&mut self, server: Incarnation, fingerprint: Fingerprint) -> bool {
        if let Some((_, requests)) = self.0.iter_mut().find(|(known, _)| *known == server) {
            requests.push(fingerprint);
            return false;
        }
        self.0.push((server, vec![fingerprint]));
        true
    }

    fn take(&mut self, server: Incarnation) -> Vec<Fingerprint> {
        let position = self.0.iter().position(|(known, _)| *known == server);
        position.map_or(Vec::new(), |position| self.0.swap_remove(position).1)
    }
}

/// Requests of which the store keeps that they are refused.
#[derive(Debug, Default)]
pub(crate) struct KeptCrashes {
    /// Those that are refused here: only of these the store may know.
    blocked: HashSet<Fingerprint>,
    /// Those whose record in the store is to be brought in line.
    waiting: Vec<Fingerprint>,
}

impl KeptCrashes {
    /// Notes whether a request is refused now; `writes` says whether this router writes it to the store.
    /// Returns whether there is something to write now.
    fn note(&mut self, fingerprint: Fingerprint, is_blocked: bool, writes: bool) -> bool {
        let has_changed = match is_blocked {
            true => self.blocked.insert(fingerprint),
            false => self.blocked.remove(&fingerprint),
        };
        if has_changed && writes {
            self.waiting.push(fingerprint);
        }
        has_changed && writes
    }
}

/// Notes that a request's connection broke while its server ran it. If the server turns out to have ended
/// without notice, that is evidence against all requests that broke with it.
pub(crate) fn note_break(job: &Job, server: &Arc<ServerEntry>) {
    let shared = &job.shared;
    let services = shared.servers.load();
    let listed = services.get(&server.service);
    let is_listed =
        listed.is_some_and(|list| list.iter().any(|one| one.incarnation == server.incarnation));
    // A server on a planned stop ends its connections when its time is up.
    if !is_listed {
        return;
    }
    let is_new = shared.suspects().add(server.incarnation, job.fingerprint());
    if is_new {
        tokio::spawn(confirm(shared.clone(), server.clone()));
    }
}

/// Asks a server whose connections broke for another one: one that ended refuses.
async fn confirm(shared: Arc<Shared>, server: Arc<ServerEntry>) {
    let mut has_ended = false;
    for pause_ms in PROBE_PAUSES_MS {
        sleep(Duration::from_millis(pause_ms)).await;
        let connection = TcpStream::connect(server.address);
        let limit = Duration::from_millis(PROBE_MS);
        // One that cannot be reached at all may be behind a lost link.
        let is_refused =
            |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        if timeout(limit, connection)
            .await
            .is_ok_and(|made| made.is_err_and(|error| is_refused(&error)))
        {
            has_ended = true;
            break;
        }
    }
    let requests = shared.suspects().take(server.incarnation);
    if !has_ended {
        return;
    }
    let now_ms = Clock.now_ms();
    let mut news = Vec::new();
    {
        let mut evidence = shared.crash_evidence();
        for fingerprint in requests {
            news.extend(evidence.note_crash(fingerprint, server.incarnation.0, now_ms));
        }
    }
    note!(
        Event::SERVER_CRASHED,
        server = server.id,
        requests = news.len()
    );
    note_news(&shared, &news, "own");
    shared.announce_crashes(&news);
}

/// Notes that a request got a whole answer, which clears it of what is known against it.
pub(crate) fn note_answered(job: &Job) {
    if let Some(fingerprint) = suspected(job) {
        clear(&job.shared, fingerprint);
    }
}

/// The requests that are refused, a line each.
pub(crate) fn blocked_requests(shared: &Shared) -> String {
    let max_crashes = shared.settings().attempts.max_crashes;
    let now_ms = Clock.now_ms();
    let evidence = shared.crash_evidence();
    let blocked = evidence.with_crashes(max_crashes).into_iter();
    let lines = blocked.map(|fingerprint| {
        let records = evidence.records_of(fingerprint, now_ms);
        let valid = records.iter().filter(|record| !record.is_void);
        let servers: Vec<String> = valid.clone().map(|one| one.server.to_string()).collect();
        let last_ms = valid.map(|record| record.age_ms).min().unwrap_or(0);
        format!(
            "{fingerprint} crashes={} servers={} last_ms={last_ms}\n",
            servers.len(),
            servers.join(",")
        )
    });
    lines.collect()
}

/// Lets a blocked request through again, at all routers; whether there is one with this hash.
pub(crate) fn lift_block(shared: &Shared, hash: u128) -> bool {
    let max_crashes = shared.settings().attempts.max_crashes;
    let blocked = shared.crash_evidence().with_crashes(max_crashes);
    let mut blocked = blocked.into_iter();
    let Some(fingerprint) = blocked.find(|fingerprint| fingerprint.hash == hash) else {
        return false;
    };
    clear(shared, fingerprint);
    true
}

/// Makes void what is known against a request, at all routers.
fn clear(shared: &Shared, fingerprint: Fingerprint) {
    let now_ms = Clock.now_ms();
    let voided = shared.crash_evidence().note_answered(fingerprint, now_ms);
    if !voided.is_empty() {
        note_news(shared, &voided, "own");
        shared.announce_crashes(&voided);
    }
}

/// How many servers a request is known to have crashed.
pub(crate) fn crashes(job: &Job) -> usize {
    let fingerprint = suspected(job);
    fingerprint.map_or(0, |one| job.shared.crash_evidence().crashes(one))
}

/// The fingerprint of a request of which anything may be known.
fn suspected(job: &Job) -> Option<Fingerprint> {
    let may_know = {
        let evidence = job.shared.crash_evidence();
        !evidence.is_empty() && evidence.may_know(job.outline())
    };
    may_know.then(|| job.fingerprint())
}

/// Logs what is new of requests that crash servers.
fn note_news(shared: &Shared, news: &[CrashRecord], from: &str) {
    let max_crashes = shared.settings().attempts.max_crashes;
    let now_ms = Clock.now_ms();
    // A restart of the whole fleet leaves only what the store keeps. Few routers write it, and who saw it.
    let keeps = from != "store" && (from == "own" || shared.is_watcher());
    for record in news {
        let (crashes, known) = {
            let evidence = shared.crash_evidence();
            let known = evidence.records_of(record.fingerprint, now_ms).len();
            (evidence.crashes(record.fingerprint), known)
        };
        let is_blocked = crashes >= max_crashes;
        if shared
            .kept_crashes()
            .note(record.fingerprint, is_blocked, keeps)
        {
            shared.kept_crashes_changed.notify_one();
        }
        let event = match record.is_void {
            // One crash is evidence against all that ran there, most of which did no harm.
            _ if known < 2 => continue,
            true => Event::REQUEST_CLEARED,
            false if is_blocked => Event::REQUEST_BLOCKED,
            false => Event::REQUEST_SUSPECTED,
        };
        note!(
            event,
            fingerprint = record.fingerprint,
            crashes = crashes,
            server = record.server,
            from = from,
            age_ms = record.age_ms
        );
    }
}

/// Announces what is new to other routers, until the process ends.
pub(crate) async fn send_crash_news(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        shared.crash_news.notified().await;
        let news = News::of(&shared, shared.take_crash_announcements());
        // Later news do not wait for the repeats of earlier ones.
        tokio::spawn(news.send_repeatedly(shared.clone(), socket.clone()));
    }
}

/// Records that are new here.
struct News {
    /// For all routers: all records of the requests that they belong to.
    shared: Vec<CrashRecord>,
    /// For the stewards of their requests.
    reports: Vec<CrashRecord>,
}

impl News {
    fn of(shared: &Shared, records: Vec<CrashRecord>) -> Self {
        let now_ms = Clock.now_ms();
        let evidence = shared.crash_evidence();
        let is_shared = |record: &CrashRecord| evidence.is_shared(record.fingerprint);
        let (to_all, reports): (Vec<_>, Vec<_>) = records.into_iter().partition(is_shared);
        let requests: HashSet<Fingerprint> = to_all.iter().map(|one| one.fingerprint).collect();
        let all = requests.into_iter();
        Self {
            shared: all
                .flat_map(|request| evidence.records_of(request, now_ms))
                .collect(),
            reports,
        }
    }

    async fn send_repeatedly(self, shared: Arc<Shared>, socket: Arc<UdpSocket>) {
        let first_turn = rand::random::<u16>() as usize;
        for (turn, pause_ms) in REPEAT_PAUSES_MS.into_iter().enumerate() {
            sleep(Duration::from_millis(pause_ms)).await;
            for records in self.shared.chunks(CrashEvidence::MAX_SENT) {
                let message = encode(&message(&shared, records.to_vec(), true));
                send_to_all(&shared, &socket, first_turn + turn, &message).await;
            }
            for (steward, records) in self.reports_by_steward(&shared) {
                let message = encode(&RouterMessage::CrashReports(records));
                drop(socket.send_to(&message, steward).await);
            }
        }
    }

    fn reports_by_steward(&self, shared: &Shared) -> HashMap<SocketAddr, Vec<CrashRecord>> {
        let settings = shared.settings();
        let own = (settings.name.as_str(), settings.peer_address);
        let (peers, now_ms) = (shared.peers(), Clock.now_ms());
        let mut reports: HashMap<SocketAddr, Vec<CrashRecord>> = HashMap::new();
        for record in &self.reports {
            let key = record.fingerprint.hash as u64;
            for steward in peers.stewards(key, own, STEWARDS, now_ms) {
                let is_other = steward != settings.peer_address;
                let records = is_other.then(|| reports.entry(steward).or_default());
                // A crash takes no more requests with it than a server runs.
                let records = records.filter(|records| records.len() < CrashEvidence::MAX_SENT);
                records
                    .into_iter()
                    .for_each(|records| records.push(*record));
            }
        }
        reports
    }
}

/// Takes in reports of first crashes; what is not the first one goes to all.
pub(crate) fn take_crash_reports(shared: &Shared, from: SocketAddr, records: &[CrashRecord]) {
    let news = merge_crashes(shared, records, &from.to_string());
    let is_shared = |record: &CrashRecord| shared.crash_evidence().is_shared(record.fingerprint);
    let second: Vec<CrashRecord> = news.into_iter().filter(is_shared).collect();
    if !second.is_empty() {
        shared.announce_crashes(&second);
    }
}

/// Compares what is known with other routers, until the process ends: repairs what was lost.
pub(crate) async fn compare_crashes(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        sleep(COMPARE).await;
        let expired = shared.crash_evidence().expire(Clock.now_ms());
        if !expired.is_empty() && shared.is_watcher() {
            for fingerprint in expired {
                let is_blocked = !blocked_records(&shared, fingerprint).is_empty();
                if shared.kept_crashes().note(fingerprint, is_blocked, true) {
                    shared.kept_crashes_changed.notify_one();
                }
            }
        }
        let knows_nothing = shared.crash_evidence().digest() == 0;
        if knows_nothing && shared.uptime_ms() >= START_MS {
            continue;
        }
        let others: Vec<SocketAddr> = {
            let peers = shared.peers();
            let recipients = peers.recipients(Clock.now_ms()).into_iter();
            recipients.map(|one| one.address).collect()
        };
        let message = encode(&message(&shared, Vec::new(), false));
        let asked: Vec<SocketAddr> = others.sample(&mut rand::rng(), COMPARED).copied().collect();
        for address in asked {
            // A lost question is asked again, of another router.
            drop(socket.send_to(&message, address).await);
        }
    }
}

fn message(shared: &Shared, records: Vec<CrashRecord>, is_final: bool) -> RouterMessage {
    RouterMessage::Crashes {
        records,
        digest: shared.crash_evidence().digest(),
        is_final,
    }
}

/// Takes in records of another router or of the store; those that were news.
pub(crate) fn merge_crashes(
    shared: &Shared,
    records: &[CrashRecord],
    from: &str,
) -> Vec<CrashRecord> {
    let news = shared.crash_evidence().merge(records, Clock.now_ms());
    note_news(shared, &news, from);
    news
}

/// Takes in another router's records, and the answer to it if that router knows something else.
pub(crate) fn take_crashes(
    shared: &Shared,
    from: SocketAddr,
    records: &[CrashRecord],
    their_digest: u64,
    is_final: bool,
) -> Option<RouterMessage> {
    merge_crashes(shared, records, &from.to_string());
    if is_final || shared.crash_evidence().digest() == their_digest {
        return None;
    }
    let own = shared.crash_evidence().shared_records(Clock.now_ms());
    Some(message(shared, own, !records.is_empty()))
}

/// Brings what the store keeps of requests that are refused in line with what is known here, until the
/// process ends.
pub(crate) async fn keep_crashes(shared: Arc<Shared>, store: Arc<StorePort>) {
    loop {
        shared.kept_crashes_changed.notified().await;
        let mut failures = 0;
        loop {
            let next = shared.kept_crashes().waiting.pop();
            let Some(fingerprint) = next else {
                break;
            };
            let records = blocked_records(&shared, fingerprint);
            let sent_ms = Clock.now_ms();
            let answer = (store.keep_crashes)(fingerprint, records).await;
            let outcome = answer.as_ref().map(|()| 0);
            let reason = CallReason::Crashes;
            shared.note_store_call(Listing::Routers, reason, sent_ms, outcome);
            if answer.is_err() {
                shared.kept_crashes().waiting.push(fingerprint);
                failures += 1;
                let pause_ms = STORE_RETRY_MS << failures.min(MAX_DOUBLINGS);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// What is known against a request, if it is refused for it.
fn blocked_records(shared: &Shared, fingerprint: Fingerprint) -> Vec<CrashRecord> {
    let max_crashes = shared.settings().attempts.max_crashes;
    let evidence = shared.crash_evidence();
    match evidence.crashes(fingerprint) >= max_crashes {
        true => evidence.records_of(fingerprint, Clock.now_ms()),
        false => Vec::new(),
    }
}
