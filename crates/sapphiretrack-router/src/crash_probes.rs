//! Finds out whether a server has crashed, where a request ended in a way that a crash may explain.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_routing::{Fingerprint, Incarnation, Outline, ServerEntry};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::crashes::{record_crash, void_evidence};
use crate::job::Job;
use crate::server_paths::{is_gone_once_known, probe_server_path};
use crate::shared::Shared;

/// The delays before each probe of a server after a request failed there. Several probes are needed
/// because a process that ends closes its connections one by one, and its listener may be the last to
/// close.
const PROBE_DELAYS_MS: [u64; 4] = [0, 20, 100, 400];
/// The delay before the probe of a server after an answer that ended with its connection. One probe
/// serves all such answers within this time.
const CONFIRM_DELAYS_MS: [u64; 1] = [200];
/// How long the answer to a request may have been running when its server crashed for a prefix of the
/// request to be the cause: such a prefix crashes servers that begin an answer.
const MAX_ANSWER_AGE_MS: u64 = 1_000;
/// The time limit for the connection attempt of a probe.
const PROBE_TIMEOUT_MS: u64 = 250;

/// The requests that ended at each server, and their prompt prefixes.
type EndedRequests = Vec<(Incarnation, Vec<Fingerprint>)>;

/// Servers that are being probed because of how requests ended there.
#[derive(Debug, Default)]
pub(crate) struct ProbedServers {
    /// Requests that failed.
    failed: EndedRequests,
    /// Requests whose answers seem whole and ended with their connections.
    unconfirmed: EndedRequests,
}

impl ProbedServers {
    /// Whether no server is being probed.
    pub(crate) fn is_empty(&self) -> bool {
        self.failed.is_empty() && self.unconfirmed.is_empty()
    }

    /// Whether there may be requests with an outline that ended at servers that are being probed.
    pub(crate) fn has_outline(&self, outline: Outline) -> bool {
        let mut ended = self.failed.iter().chain(&self.unconfirmed);
        ended.any(|(_, suspects)| suspects.iter().any(|one| one.outline == outline))
    }
}

/// Adds a request and its prefixes to those that ended at a server. Returns true if there were none.
fn add(
    ended: &mut EndedRequests,
    server: Incarnation,
    job: &Job,
    prefixes: &[Fingerprint],
) -> bool {
    let suspects = std::iter::once(job.fingerprint()).chain(prefixes.iter().copied());
    if let Some((_, known)) = ended.iter_mut().find(|(known, _)| *known == server) {
        known.extend(suspects);
        return false;
    }
    ended.push((server, suspects.collect()));
    true
}

fn take(ended: &mut EndedRequests, server: Incarnation) -> Vec<Fingerprint> {
    let position = ended.iter().position(|(known, _)| *known == server);
    position.map_or(Vec::new(), |position| ended.swap_remove(position).1)
}

/// Records that a server did not answer a request properly: the connection was lost, or the answer makes
/// no sense. If the server turns out to have crashed, that is evidence against all such requests.
/// `answer_age_ms` is the time since the answer began, 0 if it did not.
pub(crate) fn note_failed_run(job: &Job, server: &Arc<ServerEntry>, answer_age_ms: u64) {
    let Some(listed) = unplanned_end(&job.shared, server) else {
        return;
    };
    let mut probed = job.shared.probed_servers();
    let prefixes = match answer_age_ms < MAX_ANSWER_AGE_MS {
        true => job.prefixes(),
        false => &[],
    };
    if add(&mut probed.failed, server.incarnation, job, prefixes) {
        let (shared, server) = (job.shared.clone(), server.clone());
        // Probes of servers that crash together end at different times.
        let ended_ms = Clock.now_ms();
        tokio::spawn(async move {
            let outcome = probe(&shared, &listed, &PROBE_DELAYS_MS).await;
            let has_crashed = has_crashed(&shared, &listed, outcome).await;
            let mut suspects = take(&mut shared.probed_servers().failed, server.incarnation);
            if has_crashed {
                let mut probed = shared.probed_servers();
                suspects.extend(take(&mut probed.unconfirmed, server.incarnation));
                drop(probed);
                record_crash(&shared, &server, ended_ms, &suspects);
            }
        });
    }
}

/// Voids the evidence against a request whose answer ended with its connection, once the server is found
/// to run on. If the server has crashed, that is evidence against the request.
pub(crate) fn confirm_answer(job: &Job, server: &Arc<ServerEntry>) {
    // A later incarnation that accepts connections says nothing about the one that answered.
    let listed = unplanned_end(&job.shared, server);
    let Some(listed) = listed.filter(|listed| listed.incarnation == server.incarnation) else {
        return;
    };
    let mut probed = job.shared.probed_servers();
    let prefixes = job.prefixes();
    if add(&mut probed.unconfirmed, server.incarnation, job, prefixes) {
        let (shared, server) = (job.shared.clone(), server.clone());
        let ended_ms = Clock.now_ms();
        tokio::spawn(async move {
            let outcome = probe(&shared, &listed, &CONFIRM_DELAYS_MS).await;
            let has_crashed = has_crashed(&shared, &listed, outcome).await;
            let answered = take(&mut shared.probed_servers().unconfirmed, server.incarnation);
            if has_crashed && !answered.is_empty() {
                record_crash(&shared, &server, ended_ms, &answered);
            } else if outcome == ProbeOutcome::Accepted {
                for fingerprint in answered {
                    void_evidence(&shared, fingerprint);
                }
            }
        });
    }
}

/// The entry under which a server is listed now, unless it was announced to end: its connections are
/// closed at the end of a planned stop, too.
fn unplanned_end(shared: &Shared, server: &Arc<ServerEntry>) -> Option<Arc<ServerEntry>> {
    let services = shared.servers.load();
    // A new incarnation of the server may be listed before the connections of the former one are lost.
    let is_same = |one: &&Arc<ServerEntry>| one.id == server.id && one.address == server.address;
    let listed = services.get(&server.service)?.iter().find(is_same)?;
    let draining = shared.draining_servers.running(Clock.now_ms());
    let is_planned = shared.stated_availability.is_leaving(server.incarnation)
        || draining
            .iter()
            .any(|one| one.entry.incarnation == server.incarnation);
    (!is_planned).then(|| listed.clone())
}

/// What the probes of a server showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeOutcome {
    /// It accepts connections.
    Accepted,
    /// It refused one.
    Refused,
    /// It did not answer the last one, which may be a failure of the network.
    Unknown,
}

/// Probes a server after each delay until it refuses a connection.
async fn probe(shared: &Arc<Shared>, server: &ServerEntry, delays_ms: &[u64]) -> ProbeOutcome {
    let mut outcome = ProbeOutcome::Unknown;
    for delay_ms in delays_ms {
        sleep(Duration::from_millis(*delay_ms)).await;
        outcome = match probe_server_path(shared, server, PROBE_TIMEOUT_MS).await {
            Ok(()) => ProbeOutcome::Accepted,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            Err(_) => ProbeOutcome::Unknown,
        };
    }
    outcome
}

/// Whether a server has crashed: it refused a connection, and a second router does not reach it either.
async fn has_crashed(
    shared: &Arc<Shared>,
    server: &Arc<ServerEntry>,
    outcome: ProbeOutcome,
) -> bool {
    outcome == ProbeOutcome::Refused && is_gone_once_known(shared, server).await
}
