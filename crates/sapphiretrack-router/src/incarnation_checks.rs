//! Asks backend servers that may start again under their ids whether they are still the listed incarnations, when the
//! version of a stream depends on it: a server may write its entry later than it accepts requests.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use sapphiretrack_routing::{
    Incarnation, IncarnationProofs, ServerEntry, SoftwareVersion, StatedIncarnation, Unconfirmed,
};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::eligible_servers::exclusion_of_probe;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::ports::ReadIncarnation;
use crate::shared::Shared;
use crate::stated_availability::record_stated_availability;
use crate::version_proofs::dependence_ms;

/// The pause between two questions of a router to a server, for each router of the fleet: the whole fleet asks a server
/// ten times a second at most for streams that may need it later.
const PAUSE_PER_ROUTER_MS: u64 = 100;

/// The pause between two questions of a router to a server that requests wait for.
const MIN_PAUSE_MS: u64 = 50;

/// When a proof of a server's incarnation is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProofNeed {
    /// A request waits for it.
    Now,
    /// A stream has begun that may break off.
    Later,
}

/// What servers stated of their incarnations, and which ones are to be asked.
#[derive(Default)]
pub(crate) struct IncarnationTable {
    proofs: Mutex<IncarnationProofs>,
    wanted: Mutex<Vec<Arc<ServerEntry>>>,
    wakes: Notify,
}

impl IncarnationTable {
    /// Whether a connection that was opened at a time leads to the listed incarnation of a server, by what the server
    /// states; none if it states nothing.
    pub(crate) fn is_proven(&self, server: Incarnation, opened_ms: u64) -> Option<bool> {
        let proofs = lock(&self.proofs);
        match proofs.is_proven(server, opened_ms) {
            true => Some(true),
            false => proofs.has_restarted(server).then_some(false),
        }
    }

    /// Whether a listed server has started again, by what it stated last.
    pub(crate) fn has_restarted(&self, server: Incarnation) -> bool {
        lock(&self.proofs).has_restarted(server)
    }

    /// Whether any listed server has started again, by what it stated last.
    pub(crate) fn has_any_restarted(&self) -> bool {
        lock(&self.proofs).has_any_restarted()
    }

    /// Whether a version that began a stream is proven by what its server stated.
    pub(crate) fn confirms(&self, software: SoftwareVersion, dependence: &Unconfirmed) -> bool {
        lock(&self.proofs).confirms(software, dependence)
    }

    /// Has a server asked which incarnation it is, unless its id is not reused.
    pub(crate) fn ask(&self, shared: &Shared, server: &Arc<ServerEntry>, need: ProofNeed) {
        if !server.may_reuse_id() {
            return;
        }
        let pause_ms = match need {
            ProofNeed::Now => MIN_PAUSE_MS,
            ProofNeed::Later => PAUSE_PER_ROUTER_MS * (shared.peers().known_count() as u64 + 1),
        };
        let is_due = lock(&self.proofs).want(server.incarnation, pause_ms, Clock.now_ms());
        if is_due {
            lock(&self.wanted).push(server.clone());
            self.wakes.notify_one();
        }
    }

    /// Forgets servers that are not listed.
    pub(crate) fn retain_listed(&self, listed: &HashSet<Incarnation>) {
        lock(&self.proofs).retain_listed(listed, Clock.now_ms());
    }
}

/// Asks the servers whose incarnation is wanted, until the process ends.
pub(crate) async fn check_incarnations(shared: Arc<Shared>, read_incarnation: ReadIncarnation) {
    let read_incarnation = Arc::new(read_incarnation);
    let table = &shared.stream_origins.incarnations;
    loop {
        table.wakes.notified().await;
        let wanted = std::mem::take(&mut *lock(&table.wanted));
        for server in wanted {
            tokio::spawn(check_incarnation(
                shared.clone(),
                server,
                read_incarnation.clone(),
            ));
        }
    }
}

/// Asks a server and records its answer, and the versions of streams that this confirms.
async fn check_incarnation(
    shared: Arc<Shared>,
    server: Arc<ServerEntry>,
    read_incarnation: Arc<ReadIncarnation>,
) {
    let asked_ms = Clock.now_ms();
    let stated = match is_askable(&shared, &server) {
        true => {
            let answer = read_incarnation(&server).await;
            record_stated_availability(&shared, &server, answer.availability, "");
            match answer.incarnation {
                Ok(incarnation) if incarnation == server.incarnation => StatedIncarnation::Same,
                Ok(_) => StatedIncarnation::Other,
                Err(_) => StatedIncarnation::Unknown,
            }
        }
        false => StatedIncarnation::Unknown,
    };
    let now_ms = Clock.now_ms();
    let table = &shared.stream_origins;
    lock(&table.incarnations.proofs).record_answer(server.incarnation, stated, asked_ms, now_ms);
    note!(
        Event::INCARNATION_CHECKED,
        server = server.id,
        stated = match stated {
            StatedIncarnation::Same => "same",
            StatedIncarnation::Other => "other",
            StatedIncarnation::Unknown => "unknown",
        },
        took_ms = now_ms.saturating_sub(asked_ms),
    );
    if stated == StatedIncarnation::Same
        && let Some(proven_store_ms) = dependence_ms(&shared, &server, asked_ms)
    {
        lock(&table.incarnations.proofs).record_version(&server, proven_store_ms, now_ms);
        table.confirm(&server, proven_store_ms);
    }
}

/// Whether a server answers such questions and may be asked.
fn is_askable(shared: &Shared, server: &ServerEntry) -> bool {
    let configuration = shared.configuration.load();
    let service = configuration.as_ref();
    let service = service.and_then(|configuration| configuration.service(&server.service));
    service.is_some_and(|service| service.is_engine) && exclusion_of_probe(shared, server).is_none()
}
