//! Confirms the versions of servers' software. A server may start again under its id at another version, so the
//! version that a list states counts only once the server, or a list from long enough after the connection opened,
//! proves that it is still the listed incarnation.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_routing::{
    Incarnation, Origin, OriginEvidence, ServerEntry, SoftwareVersion, Unconfirmed,
};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::incarnation_checks::ProofNeed;
use crate::job::Job;
use crate::shared::Shared;
use crate::stream_origins::{CURRENT_AGE_MS, evidence_of_history};

/// How long a request waits until a list of servers confirms a version: a watch of the store proves the list
/// about once a second.
const MAX_PROOF_WAIT_MS: u64 = 1_500;
/// The interval at which waiting requests check that.
pub(crate) const PROOF_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The version of the server at the other end of a connection, and the proof that it depends on.
pub(crate) fn unconfirmed_origin(
    shared: &Shared,
    server: &ServerEntry,
    opened_ms: u64,
) -> Option<Origin> {
    let proven_store_ms = dependence_ms(shared, server, opened_ms)?;
    Some(Origin {
        software: server.software(),
        unconfirmed: Some(Unconfirmed::new(server, proven_store_ms)),
    })
}

/// The time of the store's clock from which on a list proves the version of a server at a local time. The entry of a
/// server that has started again under its id stays until the server writes it, or until it lapses.
pub(crate) fn dependence_ms(shared: &Shared, server: &ServerEntry, local_ms: u64) -> Option<u64> {
    let store_ms = shared.servers_watch().state().to_store_ms(local_ms)?;
    Some(store_ms + outdated_ms(shared, server))
}

/// For how long a list may state an incarnation of a server that has ended.
fn outdated_ms(shared: &Shared, server: &ServerEntry) -> u64 {
    match server.may_reuse_id() {
        true => shared.settings().times.entry_lapse_ms,
        false => 0,
    }
}

/// The version of the software of the server at the other end of a connection; none if it may have started
/// again under its id, at another version, before the connection was opened.
pub(crate) fn proven_version(
    job: &Job,
    server: &ServerEntry,
    opened_ms: u64,
) -> Option<SoftwareVersion> {
    let shared = &job.shared;
    let software = server.software();
    let now_ms = Clock.now_ms();
    let state = shared.servers_watch().state();
    let age_ms = state.age_ms(now_ms).filter(|_| state.is_in_use());
    let recovered_ms = state.recovered_ms().unwrap_or(0);
    drop(state);
    let listed_ms = age_ms.map(|age_ms| now_ms.saturating_sub(age_ms));
    let is_proven = if server.may_reuse_id() {
        let incarnations = &shared.stream_origins.incarnations;
        incarnations
            .is_proven(server.incarnation, opened_ms)
            .unwrap_or_else(|| {
                // While the store is away, entries may not lapse.
                let proves_ms = opened_ms.max(recovered_ms) + outdated_ms(shared, server);
                listed_ms.is_some_and(|listed_ms| proves_ms <= listed_ms)
                    && is_listed(shared, server)
            })
    } else {
        listed_ms.is_some_and(|listed_ms| opened_ms <= listed_ms + CURRENT_AGE_MS)
            || evidence_of_history(shared, &job.route) == OriginEvidence::Only(software)
    };
    is_proven.then_some(software)
}

/// Whether this incarnation of a server is listed. An entry that lapsed while the store was away is not, though the
/// server stays in use for a time in which the entry may come back.
fn is_listed(shared: &Shared, server: &ServerEntry) -> bool {
    let present = shared.present_servers.load();
    let mut present = present.iter();
    present.any(|one| one.incarnation == server.incarnation)
}

/// Waits until the version of the server at the other end of a connection is proven to be that of an origin.
/// Fails with the reason if that takes too long, if it is not, or if the server may not get the request any
/// more afterwards.
pub(crate) async fn wait_for_proof(
    job: &Job,
    origin: Origin,
    server: &Arc<ServerEntry>,
    opened_ms: u64,
) -> Result<(), &'static str> {
    let shared = &job.shared;
    let since_ms = Clock.now_ms();
    let until_ms = since_ms + MAX_PROOF_WAIT_MS.min(job.left_ms() / 2);
    let mut has_waited = false;
    let incarnations = &shared.stream_origins.incarnations;
    let proof = loop {
        let origin = checked_origin(shared, origin);
        let Some(origin) = origin.filter(|_| !incarnations.has_restarted(server.incarnation))
        else {
            break Err("version-contradicted");
        };
        let is_proven = proven_version(job, server, opened_ms).is_some();
        if is_proven && origin.unconfirmed.is_none() {
            break Ok(());
        }
        if Clock.now_ms() >= until_ms {
            break Err("version-unproven");
        }
        if !is_proven {
            incarnations.ask(shared, server, ProofNeed::Now);
        }
        if let Some(begun_at) = listed_server(shared, origin) {
            incarnations.ask(shared, &begun_at, ProofNeed::Now);
        }
        sleep(PROOF_POLL_INTERVAL).await;
        has_waited = true;
    };
    if !has_waited {
        return proof;
    }
    note!(
        Event::STREAM_VERSION_AWAITED,
        id = job.facts.id,
        server = server.id,
        confirmed = proof.is_ok(),
        took_ms = Clock.now_ms().saturating_sub(since_ms),
    );
    proof?;
    // The server may have begun to drain meanwhile.
    match is_listed(shared, server)
        && shared.servers_are_usable()
        && shared.evacuations_are_usable()
    {
        true => Ok(()),
        false => Err("server-leaving"),
    }
}

/// The listed server that can confirm the version that began a stream.
fn listed_server(shared: &Shared, origin: Origin) -> Option<Arc<ServerEntry>> {
    let dependence = origin.unconfirmed?;
    let services = shared.servers.load();
    let mut listed = services.values().flatten();
    let confirms = |server: &&Arc<ServerEntry>| {
        dependence.is_on(server) && server.software() == origin.software
    };
    listed.find(confirms).cloned()
}

/// The origin as its server or this router's list of servers confirms it by now; none if the list contradicts it.
pub(crate) fn checked_origin(shared: &Shared, origin: Origin) -> Option<Origin> {
    let Some(dependence) = origin.unconfirmed else {
        return Some(origin);
    };
    let confirmed = Origin {
        unconfirmed: None,
        ..origin
    };
    let incarnations = &shared.stream_origins.incarnations;
    if incarnations.confirms(origin.software, &dependence) {
        return Some(confirmed);
    }
    if incarnations.has_restarted(Incarnation(dependence.server)) {
        return None;
    }
    let state = shared.servers_watch().state();
    let (proven_ms, recovered_ms) = (
        state.advert().proven_store_ms,
        state.advert().recovered_store_ms,
    );
    let proven_ms = proven_ms.filter(|_| state.is_in_use());
    drop(state);
    let present = shared.present_servers.load();
    let mut listed = present.iter().map(|server| &**server);
    // While the store is away, entries may not lapse.
    let listed_server = listed.clone().find(|server| dependence.is_on(server));
    let outdated_ms = listed_server.map_or(0, |server| outdated_ms(shared, server));
    let recovered_ms = recovered_ms.filter(|_| outdated_ms > 0).unwrap_or(0);
    let proves_ms = dependence.proven_store_ms.max(recovered_ms + outdated_ms);
    if proven_ms.is_none_or(|proven_ms| proven_ms < proves_ms) {
        return Some(origin);
    }
    let is_confirmed = dependence.is_confirmed_by(origin.software, &mut listed);
    is_confirmed.then_some(confirmed)
}
