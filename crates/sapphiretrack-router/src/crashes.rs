//! Requests and prompt prefixes that crash backend servers: collects evidence, exchanges it between
//! routers and blocks the requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sapphiretrack_routing::{
    CrashEvidence, CrashRecord, Fingerprint, RouterMessage, ServerEntry, Suspicion, WriteQueue,
};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::attempt::{AttemptTarget, ServerAnswer};
use crate::clock::Clock;
use crate::crash_probes::confirm_answer;
use crate::events::{Event, note};
use crate::job::Job;
use crate::peer_messages::{encode, send_to_all};
use crate::ports::{Listing, StorePort};
use crate::shared::Shared;
use crate::watch::CallReason;

/// The delays before each transmission of new records, which are repeated because datagrams may be
/// lost.
const SEND_DELAYS_MS: [u64; 4] = [0, 100, 300, 900];
/// The interval at which this router compares its records with those of other routers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of routers that it compares with each time.
const COMPARED_ROUTERS: usize = 2;
/// A router that has no records queries others only within this time after its start.
const STARTUP_QUERY_MS: u64 = 10_000;
/// The number of routers that receive reports of a request's first crash. Two of them may be lost
/// before the second crash without losing the evidence.
const REPORT_RECIPIENTS: usize = 3;

/// Tracks which blocked requests and prefixes are recorded in the store.
#[derive(Debug, Default)]
pub(crate) struct StoredBlocks {
    /// What this router blocks; only these may have a record in the store.
    blocked: HashSet<Fingerprint>,
    /// The requests whose record in the store has yet to be updated.
    pending: WriteQueue<Fingerprint>,
}

impl StoredBlocks {
    /// Records whether a request is blocked now. If that changed and `writes_store` is set,
    /// queues the request for an update of its record in the store and returns true.
    fn record(&mut self, fingerprint: Fingerprint, is_blocked: bool, writes_store: bool) -> bool {
        let has_changed = match is_blocked {
            true => self.blocked.insert(fingerprint),
            false => self.blocked.remove(&fingerprint),
        };
        if has_changed && writes_store {
            self.pending.push(fingerprint);
        }
        has_changed && writes_store
    }
}

/// Records that a server crashed, at this time by the local clock, while it ran requests with these
/// fingerprints, and prefixes of their prompts.
pub(crate) fn record_crash(
    shared: &Shared,
    server: &ServerEntry,
    crashed_ms: u64,
    suspects: &[Fingerprint],
) {
    let new_records: Vec<CrashRecord> = {
        let mut evidence = shared.crash_evidence();
        let suspects = suspects.iter();
        suspects
            .filter_map(|one| evidence.record_crash(*one, server.incarnation.0, crashed_ms))
            .collect()
    };
    let prefixes = new_records
        .iter()
        .filter(|record| record.fingerprint.is_prefix());
    let prefixes = prefixes.count();
    note!(
        Event::SERVER_CRASHED,
        server = server.id,
        requests = new_records.len() - prefixes,
        prefixes = prefixes
    );
    note_new_records(shared, &new_records, "own");
    shared.announce_crashes(&new_records);
}

/// Records that a server answered a request completely, which voids the evidence against the request,
/// and after a success against its prefixes. A server that failed the request may not have run it, and
/// one that rejected it may not have read its prompt. Where another router passed the answer on, that
/// one has recorded it.
pub(crate) fn record_answered(job: &Job, answer: &ServerAnswer) {
    let AttemptTarget::Server(placement) = &answer.target else {
        return;
    };
    let status = answer.head.status;
    if status.is_server_error() || answer.ends_with_connection && !status.is_success() {
        return;
    }
    if answer.ends_with_connection {
        confirm_answer(job, &placement.server);
        return;
    }
    let request = answered_fingerprint(job);
    let prefixes = match status.is_success() {
        true => job.prefixes(),
        false => &[],
    };
    for fingerprint in request.iter().chain(prefixes) {
        void_evidence(&job.shared, *fingerprint);
    }
}

/// Voids the evidence against a request that was answered, or against a prefix of one.
pub(crate) fn void_evidence(shared: &Shared, fingerprint: Fingerprint) {
    let now_ms = Clock.now_ms();
    let voided = shared.crash_evidence().record_answered(fingerprint, now_ms);
    announce_voided(shared, &voided);
}

/// Lists the blocked requests and prefixes as text, one per line.
pub(crate) fn blocked_requests(shared: &Shared) -> String {
    let limits = shared.settings().attempts.crash_limits();
    let now_ms = Clock.now_ms();
    let evidence = shared.crash_evidence();
    let blocked = evidence.blocked(limits).into_iter();
    let lines = blocked.map(|fingerprint| {
        let records = evidence.records_of(fingerprint, now_ms);
        let valid = records.iter().filter(|record| !record.is_void);
        let servers: Vec<String> = valid.clone().map(|one| one.server.to_string()).collect();
        let last_ms = valid.map(|record| record.age_ms).min().unwrap_or(0);
        format!(
            "{fingerprint} crashes={} servers={} last_ms={last_ms} kind={}\n",
            servers.len(),
            servers.join(","),
            kind_of(fingerprint),
        )
    });
    lines.collect()
}

fn kind_of(fingerprint: Fingerprint) -> &'static str {
    match fingerprint.is_prefix() {
        true => "prefix",
        false => "request",
    }
}

/// Unblocks a request or a prefix at all routers. Returns false if nothing that is blocked has this hash.
pub(crate) fn lift_block(shared: &Shared, hash: u128) -> bool {
    let limits = shared.settings().attempts.crash_limits();
    let blocked = shared.crash_evidence().blocked(limits);
    let mut blocked = blocked.into_iter();
    let Some(fingerprint) = blocked.find(|fingerprint| fingerprint.hash == hash) else {
        return false;
    };
    let voided = shared.crash_evidence().void(fingerprint, Clock.now_ms());
    announce_voided(shared, &voided);
    true
}

/// Queues records that became void for other routers.
fn announce_voided(shared: &Shared, voided: &[CrashRecord]) {
    if !voided.is_empty() {
        note_new_records(shared, voided, "own");
        shared.announce_crashes(voided);
    }
}

/// Whether a request must not be sent to any server.
pub(crate) fn is_blocked_by_crashes(job: &Job) -> bool {
    suspicion(job).is_some_and(|suspicion| suspicion.crashes_left() == 0)
}

/// What a request is suspected of; none if nothing.
pub(crate) fn suspicion(job: &Job) -> Option<Suspicion> {
    let limits = job.shared.settings().attempts.crash_limits();
    let request = suspected_fingerprint(job);
    let evidence = job.shared.crash_evidence();
    if request.is_none() && !evidence.has_prefixes() {
        return None;
    }
    evidence.suspicion(request, job.prefixes(), limits)
}

/// The fingerprint of a request for which there may be evidence, or may soon be: its copies ended at servers
/// that are being probed.
fn answered_fingerprint(job: &Job) -> Option<Fingerprint> {
    let is_probed = {
        let probed = job.shared.probed_servers();
        !probed.is_empty() && probed.has_outline(job.outline())
    };
    match is_probed {
        true => Some(job.fingerprint()),
        false => suspected_fingerprint(job),
    }
}

/// The fingerprint of a request for which there may be evidence. The cheap outline is checked first
/// to avoid computing fingerprints of all other requests.
fn suspected_fingerprint(job: &Job) -> Option<Fingerprint> {
    let may_have_records = {
        let evidence = job.shared.crash_evidence();
        !evidence.is_empty() && evidence.may_have_records(job.outline())
    };
    may_have_records.then(|| job.fingerprint())
}

/// Logs new records, and queues blocked or unblocked requests for the store.
fn note_new_records(shared: &Shared, new_records: &[CrashRecord], from: &str) {
    let limits = shared.settings().attempts.crash_limits();
    let now_ms = Clock.now_ms();
    // Only the store's records survive a restart of the whole fleet. They are written by the router
    // that observed the crash and by the watchers, so that not every router writes them.
    let writes_store = from != "store" && (from == "own" || shared.is_watcher());
    for record in new_records {
        let (crashes, record_count) = {
            let evidence = shared.crash_evidence();
            let record_count = evidence.records_of(record.fingerprint, now_ms).len();
            (evidence.crashes(record.fingerprint), record_count)
        };
        let is_blocked = crashes >= limits.of(record.fingerprint);
        if shared
            .stored_blocks()
            .record(record.fingerprint, is_blocked, writes_store)
        {
            shared.stored_blocks_changed.notify_one();
        }
        let event = match record.is_void {
            // A single crash is evidence against all requests on that server, most of them
            // harmless.
            _ if record_count < 2 => continue,
            true => Event::REQUEST_CLEARED,
            false if is_blocked => Event::REQUEST_BLOCKED,
            false => Event::REQUEST_SUSPECTED,
        };
        note!(
            event,
            fingerprint = record.fingerprint,
            kind = kind_of(record.fingerprint),
            crashes = crashes,
            server = record.server,
            from = from,
            age_ms = record.age_ms
        );
    }
}

/// Sends new records to other routers, until the process ends.
pub(crate) async fn send_crash_records(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        shared.crashes_announced.notified().await;
        let update = CrashUpdate::of(&shared, shared.take_crash_announcements());
        // A separate task, so that newer records do not wait for the repeats of older ones.
        tokio::spawn(update.send_repeatedly(shared.clone(), socket.clone()));
    }
}

/// New records to be sent to other routers.
struct CrashUpdate {
    /// All records of the affected requests that are shared with all routers.
    for_all: Vec<CrashRecord>,
    /// Records of first crashes, sent only to the few routers responsible for each request.
    first_crashes: Vec<CrashRecord>,
}

impl CrashUpdate {
    fn of(shared: &Shared, records: Vec<CrashRecord>) -> Self {
        let now_ms = Clock.now_ms();
        let evidence = shared.crash_evidence();
        let is_shared = |record: &CrashRecord| evidence.was_shared(record);
        let (to_all, first_crashes): (Vec<_>, Vec<_>) = records.into_iter().partition(is_shared);
        let requests: HashSet<Fingerprint> = to_all.iter().map(|one| one.fingerprint).collect();
        let all = requests.into_iter();
        Self {
            for_all: all
                .flat_map(|request| evidence.records_of(request, now_ms))
                .collect(),
            first_crashes,
        }
    }

    async fn send_repeatedly(self, shared: Arc<Shared>, socket: Arc<UdpSocket>) {
        let first_turn = rand::random::<u16>() as usize;
        for (turn, delay_ms) in SEND_DELAYS_MS.into_iter().enumerate() {
            sleep(Duration::from_millis(delay_ms)).await;
            // Comparisons between routers repair what is lost of the more numerous records of prefixes.
            let is_repeated = |one: &&CrashRecord| turn == 0 || !one.fingerprint.is_prefix();
            let for_all: Vec<CrashRecord> =
                self.for_all.iter().filter(is_repeated).copied().collect();
            for records in for_all.chunks(CrashEvidence::MAX_SENT) {
                let message = encode(&crashes_message(&shared, records.to_vec(), true));
                send_to_all(&shared, &socket, first_turn + turn, &message).await;
            }
            for (recipient, records) in self.reports_by_recipient(&shared) {
                let message = encode(&RouterMessage::CrashReports(records));
                drop(socket.send_to(&message, recipient).await);
            }
        }
    }

    fn reports_by_recipient(&self, shared: &Shared) -> HashMap<SocketAddr, Vec<CrashRecord>> {
        let settings = shared.settings();
        let own = (settings.name.as_str(), settings.peer_address);
        let (peers, now_ms) = (shared.peers(), Clock.now_ms());
        let mut reports: HashMap<SocketAddr, Vec<CrashRecord>> = HashMap::new();
        for record in &self.first_crashes {
            let key = record.fingerprint.hash as u64;
            for recipient in peers.key_owners(key, own, REPORT_RECIPIENTS, now_ms) {
                let is_other = recipient != settings.peer_address;
                let records = is_other.then(|| reports.entry(recipient).or_default());
                // Caps the message. A crash affects no more requests than one server runs, so that
                // the cap rarely drops any.
                let records = records.filter(|records| records.len() < CrashEvidence::MAX_SENT);
                records
                    .into_iter()
                    .for_each(|records| records.push(*record));
            }
        }
        reports
    }
}

/// Merges reports of first crashes, and announces those that turn out to be later ones to all
/// routers. Returns the reply, if the other router does not know that some are void.
pub(crate) fn merge_crash_reports(
    shared: &Shared,
    from: SocketAddr,
    records: &[CrashRecord],
) -> Option<RouterMessage> {
    let new_records = merge_crashes(shared, records, &from.to_string());
    let is_announced = |record: &CrashRecord| {
        let is_shared = shared.crash_evidence().was_shared(record);
        is_shared && (!record.fingerprint.is_prefix() || is_first_owner(shared, record.fingerprint))
    };
    let shared_records: Vec<CrashRecord> = new_records.into_iter().filter(is_announced).collect();
    if !shared_records.is_empty() {
        shared.announce_crashes(&shared_records);
    }
    corrections(shared, records)
}

/// Whether this router is the first of those that learn of all crashes under a request or a prefix.
fn is_first_owner(shared: &Shared, fingerprint: Fingerprint) -> bool {
    let settings = shared.settings();
    let own = (settings.name.as_str(), settings.peer_address);
    let key = fingerprint.hash as u64;
    let owners = shared.peers().key_owners(key, own, 1, Clock.now_ms());
    owners.first() == Some(&settings.peer_address)
}

fn corrections(shared: &Shared, records: &[CrashRecord]) -> Option<RouterMessage> {
    let now_ms = Clock.now_ms();
    let corrections = shared.crash_evidence().corrections(records, now_ms);
    (!corrections.is_empty()).then_some(RouterMessage::CrashReports(corrections))
}

/// Periodically compares records with other routers to repair lost messages, and expires old
/// records, until the process ends.
pub(crate) async fn compare_crashes(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        sleep(COMPARE_INTERVAL).await;
        let expired = shared.crash_evidence().expire(Clock.now_ms());
        if !expired.is_empty() && shared.is_watcher() {
            for fingerprint in expired {
                let is_blocked = !blocked_records(&shared, fingerprint).is_empty();
                if shared.stored_blocks().record(fingerprint, is_blocked, true) {
                    shared.stored_blocks_changed.notify_one();
                }
            }
        }
        let has_no_records = shared.crash_evidence().digest() == 0;
        if has_no_records && shared.activity.uptime_ms() >= STARTUP_QUERY_MS {
            continue;
        }
        let others: Vec<SocketAddr> = {
            let peers = shared.peers();
            let recipients = peers.recipients(Clock.now_ms()).into_iter();
            recipients.map(|one| one.address).collect()
        };
        let message = encode(&crashes_message(&shared, Vec::new(), false));
        let asked: Vec<SocketAddr> = others
            .sample(&mut rand::rng(), COMPARED_ROUTERS)
            .copied()
            .collect();
        for address in asked {
            // If the datagram is lost, the next round asks other routers.
            drop(socket.send_to(&message, address).await);
        }
    }
}

fn crashes_message(shared: &Shared, records: Vec<CrashRecord>, is_final: bool) -> RouterMessage {
    RouterMessage::Crashes {
        records,
        digest: shared.crash_evidence().digest(),
        is_final,
    }
}

/// Merges records of another router or of the store; returns those that were new.
pub(crate) fn merge_crashes(
    shared: &Shared,
    records: &[CrashRecord],
    from: &str,
) -> Vec<CrashRecord> {
    let new_records = shared.crash_evidence().merge(records, Clock.now_ms());
    note_new_records(shared, &new_records, from);
    new_records
}

/// Merges another router's records. Returns the replies: which of them are void, and this router's
/// records if the digests still differ and a reply is expected.
pub(crate) fn merge_peer_crashes(
    shared: &Shared,
    from: SocketAddr,
    records: &[CrashRecord],
    peer_digest: u64,
    is_final: bool,
) -> Vec<RouterMessage> {
    merge_crashes(shared, records, &from.to_string());
    let mut replies: Vec<RouterMessage> = corrections(shared, records).into_iter().collect();
    if !is_final && shared.crash_evidence().digest() != peer_digest {
        let own = shared.crash_evidence().shared_records(Clock.now_ms());
        replies.push(crashes_message(shared, own, !records.is_empty()));
    }
    replies
}

/// Keeps the store's records of blocked requests up to date with those of this router, until the
/// process ends.
pub(crate) async fn store_blocked_requests(shared: Arc<Shared>, store: Arc<StorePort>) {
    loop {
        shared.stored_blocks_changed.notified().await;
        loop {
            let next = shared.stored_blocks().pending.pop();
            let Some(fingerprint) = next else {
                break;
            };
            let records = blocked_records(&shared, fingerprint);
            let sent_ms = Clock.now_ms();
            let answer = (store.save_crashes)(fingerprint, records).await;
            let outcome = answer.as_ref().map(|()| 0);
            let reason = CallReason::Crashes;
            shared.note_store_call(Listing::Routers, reason, sent_ms, outcome);
            if answer.is_ok() {
                shared.stored_blocks().pending.record_success();
                continue;
            }
            let pause_ms = shared.stored_blocks().pending.record_failure(fingerprint);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// The records of a request or a prefix if it is blocked, otherwise none.
fn blocked_records(shared: &Shared, fingerprint: Fingerprint) -> Vec<CrashRecord> {
    let limit = shared.settings().attempts.crash_limits().of(fingerprint);
    let evidence = shared.crash_evidence();
    match evidence.crashes(fingerprint) >= limit {
        true => evidence.records_of(fingerprint, Clock.now_ms()),
        false => Vec::new(),
    }
}
