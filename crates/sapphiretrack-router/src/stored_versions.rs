//! Keeps at the store which services have servers of one software version only, so that streams may begin at the listed
//! versions, and reads it for streams that callers take up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{StatusCode, Uri};
use rand::RngExt;
use sapphiretrack_core::hash_parts;
use sapphiretrack_routing::{KnownRow, ReadVersions, RouterState, SoleVersions, StoredVersions};
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::peer_hop::hop_address;
use crate::peer_hops::ask_router;
use crate::ports::{Listing, StoreError, StorePort};
use crate::shared::Shared;
use crate::sole_versions_text::{SOLE_VERSIONS_PATH, parse_row};
use crate::stream_origins::is_list_current;
use crate::stream_versions::{DEMANDED_READ_LIMIT, DemandedRead};
use crate::watch::CallReason;

/// The interval at which the router that writes the row compares it with what it has listed.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest time, and the time for each other router, in which routers other than that one draw a delay before
/// they check the row: it is the first to write, so that most of the others only read.
const MIN_CHECK_DELAY_MS: u64 = 50;
const CHECK_DELAY_PER_ROUTER_MS: u64 = 1;
/// The pause after a failed call; it doubles with each further failure.
const RETRY_PAUSE_MS: u64 = 100;
/// The range of the random time that is added, for each other router.
const RETRY_SPREAD_PER_ROUTER_MS: u64 = 10;
/// How many times the pause doubles.
const MAX_DOUBLINGS: u32 = 4;
/// How long a router that has just started waits for the row with the list of routers, and between two questions to
/// other routers.
const READ_WAIT: Duration = Duration::from_millis(100);
/// The pause between two reads for streams that callers take up, for each other router.
const READ_PAUSE_PER_ROUTER_MS: u64 = 2;
/// How long another router may take to answer with the row.
const ASK_LIMIT_MS: u64 = 150;
/// The most bytes of that answer: a row of the store is no longer.
const MAX_ROW_BYTES: usize = 64 * 1024;

/// Keeps the row of sole versions up to date until the process ends. One router writes it, and each one checks it
/// when a version appears. A router that cannot read it asks another one.
pub(crate) async fn keep_stored_versions(shared: Arc<Shared>, store: Arc<StorePort>) {
    let table = &shared.stream_origins.stored;
    let mut was_writer = false;
    let mut failures = 0;
    loop {
        if table.row().is_none() {
            drop(timeout(READ_WAIT, table.changed.notified()).await);
            if table.row().is_none() {
                ask_for_row(&shared).await;
            }
            continue;
        }
        if table.is_all_cleared() {
            drop(timeout(COMPARE_INTERVAL, table.changed.notified()).await);
        }
        let is_writer = shared.is_discovered.load(Ordering::Relaxed) && is_writer(&shared);
        let result = match table.is_all_cleared() {
            false => clear_versions(&shared, &store, is_writer).await,
            true if is_writer => revise_row(&shared, &store, !was_writer).await,
            true => Ok(()),
        };
        was_writer = is_writer && result.is_ok();
        if let Err(error) = result {
            if failures == 0 {
                note!(Event::STORE_FAILING, listing = "versions", error = error);
            }
            let pause_ms = RETRY_PAUSE_MS << failures.min(MAX_DOUBLINGS);
            failures += 1;
            // The store may answer others only.
            ask_for_row(&shared).await;
            let live = shared.peers().live(Clock.now_ms()) as u64;
            let spread_ms = rand::rng().random_range(0..=RETRY_SPREAD_PER_ROUTER_MS * live);
            sleep(Duration::from_millis(pause_ms + spread_ms)).await;
        } else {
            failures = 0;
        }
    }
}

/// Reads the row whenever streams without a record are taken up, until the process ends. All that wait share a read, and
/// the routers of a large fleet pause between two.
pub(crate) async fn read_demanded_versions(shared: Arc<Shared>, store: Arc<StorePort>) {
    let demanded = &shared.stream_origins.stored.demanded;
    loop {
        demanded.wanted.notified().await;
        let sent_ms = Clock.now_ms();
        let read = timeout(DEMANDED_READ_LIMIT, read_row(&shared, &store)).await;
        let read = read.ok().and_then(Result::ok);
        let ended_ms = Clock.now_ms();
        demanded.last.send_replace(DemandedRead {
            sent_ms,
            ended_ms,
            read,
        });
        let live = shared.peers().live(Clock.now_ms()) as u64;
        sleep(Duration::from_millis(READ_PAUSE_PER_ROUTER_MS * live)).await;
    }
}

/// Asks another live router for the row that it knows.
async fn ask_for_row(shared: &Arc<Shared>) {
    let now_ms = Clock.now_ms();
    let own_proof = None;
    let addresses: Vec<SocketAddr> = {
        let peers = shared.peers();
        let ready = peers.peer_addresses(RouterState::Ready, own_proof, now_ms);
        ready.into_iter().map(|(_, address)| address).collect()
    };
    let Some(address) = addresses.get(rand::rng().random_range(0..addresses.len().max(1))) else {
        return;
    };
    let question = Uri::from_static(SOLE_VERSIONS_PATH);
    let answer = ask_router(
        shared,
        hop_address(*address),
        question,
        ASK_LIMIT_MS,
        MAX_ROW_BYTES,
    )
    .await;
    let row = answer.filter(|(status, _)| *status == StatusCode::OK);
    let row = row.and_then(|(_, text)| parse_row(std::str::from_utf8(&text).ok()?));
    note!(
        Event::SOLE_VERSIONS_ASKED,
        router = address,
        version = row.as_ref().map_or(0, |row| row.stored.row_version),
        is_answered = row.is_some(),
    );
    if let Some(row) = row {
        let KnownRow {
            stored,
            read_version,
        } = row;
        shared
            .stream_origins
            .stored
            .record_row(shared, stored, read_version);
    }
}

/// Whether this router writes the row when nothing is urgent.
fn is_writer(shared: &Shared) -> bool {
    let settings = shared.settings();
    let own = (settings.name.as_str(), settings.peer_address);
    let key = hash_parts(&[b"sole-versions"]);
    let owners = shared.peers().key_owners(key, own, 1, Clock.now_ms());
    owners.first() == Some(&settings.peer_address)
}

/// Makes sure that the store keeps no other version for the services of uncleared ones, nor will.
async fn clear_versions(
    shared: &Arc<Shared>,
    store: &StorePort,
    is_writer: bool,
) -> Result<(), StoreError> {
    if !is_writer {
        let live = shared.peers().live(Clock.now_ms()) as u64;
        let longest_ms = MIN_CHECK_DELAY_MS + CHECK_DELAY_PER_ROUTER_MS * live;
        let delay_ms = rand::rng().random_range(MIN_CHECK_DELAY_MS / 2..=longest_ms);
        sleep(Duration::from_millis(delay_ms)).await;
    }
    let table = &shared.stream_origins.stored;
    while !table.is_all_cleared() {
        read_row(shared, store).await?;
        if table.is_all_cleared() {
            break;
        }
        let cleared = lock(&table.clearance).cleared_versions();
        if let Some((versions, row_version)) = cleared {
            write_row(shared, store, versions, row_version, "version-appeared").await?;
        }
    }
    Ok(())
}

/// Writes the row anew if this router has listed something else. The row is read before if `is_new` tells that
/// another router wrote it until now.
async fn revise_row(
    shared: &Arc<Shared>,
    store: &StorePort,
    is_new: bool,
) -> Result<(), StoreError> {
    if !is_new && revised_row(shared).is_none() {
        return Ok(());
    }
    read_row(shared, store).await?;
    if let Some((versions, row_version)) = revised_row(shared) {
        write_row(shared, store, versions, row_version, "revised").await?;
    }
    Ok(())
}

/// What the row should hold, and the version of the row that this replaces; none if it holds that, or if this
/// router cannot tell.
fn revised_row(shared: &Shared) -> Option<(SoleVersions, u64)> {
    let table = &shared.stream_origins.stored;
    let stored = table.row()?.stored;
    let row_since_ms = table.row_since_ms.load(Ordering::Relaxed);
    let now_ms = Clock.now_ms();
    let state = shared.servers_watch().state();
    let store_now_ms = state.to_store_ms(now_ms)?;
    let proven_ms = now_ms.saturating_sub(state.age_ms(now_ms)?);
    drop(state);
    // A list from before the row was written may lack a version that was cleared by that.
    if !is_list_current(shared) || proven_ms < row_since_ms {
        return None;
    }
    let settle_ms = shared.settings().attempts.sole_version_ms;
    let history = shared.stream_origins.history();
    let revised = history.revise(&stored.versions, settle_ms, now_ms, store_now_ms);
    (revised != stored.versions).then_some((revised, stored.row_version))
}

async fn read_row(shared: &Shared, store: &StorePort) -> Result<ReadVersions, StoreError> {
    let sent_ms = Clock.now_ms();
    let answer = (store.read_versions)().await;
    let outcome = answer.as_ref().map(|read| read.stored.row_version);
    shared.note_store_call(Listing::Routers, CallReason::Versions, sent_ms, outcome);
    let read = answer?;
    shared
        .stream_origins
        .stored
        .record_row(shared, read.stored.clone(), read.read_version);
    Ok(read)
}

async fn write_row(
    shared: &Arc<Shared>,
    store: &StorePort,
    versions: SoleVersions,
    row_version: u64,
    reason: &str,
) -> Result<(), StoreError> {
    let sent_ms = Clock.now_ms();
    let services = versions.services.len();
    let answer = (store.write_versions)(versions.clone(), row_version).await;
    let outcome = answer.as_ref().map(|version| version.unwrap_or(0));
    shared.note_store_call(Listing::Routers, CallReason::Versions, sent_ms, outcome);
    // Another router may have changed the row; then it is read again.
    if let Some(row_version) = answer? {
        note!(
            Event::SOLE_VERSIONS_WRITTEN,
            reason = reason,
            services = services,
            version = row_version,
        );
        let stored = StoredVersions {
            versions,
            row_version,
            is_unreadable: false,
        };
        let table = &shared.stream_origins.stored;
        table.record_row(shared, stored, row_version);
    }
    Ok(())
}
