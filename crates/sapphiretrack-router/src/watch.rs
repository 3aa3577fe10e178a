//! A watch of one listing of the store: asks it, or learns from the routers that do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::BoxFuture;
use rand::RngExt;
use sapphiretrack_routing::{
    ChangesAssembly, ChangesFragment, Holder, ListingNeed, ListingSource, ListingStep, ListingView,
    ServerChange, ServerChanges, WatchAnswer,
};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::control::take_configuration;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StoreAnswer, StoreError, StorePort};
use crate::shared::{Shared, SharedWatch};

/// How often a waiting router looks whether it has become a watcher.
const ROLE_CHECK_MS: u64 = 250;
/// How long after an advert of a change the store's answer may still come: two watchers have it at about
/// the same time.
const HANGS_MS: u64 = 250;
/// How often a router that waits longer looks whether another one has the change.
const HANGS_CHECK_MS: u64 = 50;

/// A watch of one listing.
pub(crate) struct Watch {
    pub(crate) shared: Arc<Shared>,
    store: Arc<StorePort>,
    pub(crate) listing: Listing,
    failures: u32,
    pub(crate) source: ListingSource,
    /// Changes that other routers pass on.
    pub(crate) relayed: Option<mpsc::Receiver<ChangesFragment>>,
    pub(crate) assembly: ChangesAssembly,
    /// Routers that busy ones served lately: they have the listing, or are about to.
    pub(crate) named: Vec<SocketAddr>,
}

/// Why a router calls the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallReason {
    /// The listing is not known yet, or its history was lost.
    Unknown,
    /// This router keeps a watch open.
    Watcher,
    /// Another router advertised a change that did not arrive.
    Behind,
    /// No other router proves the listing fresh.
    Stale,
    /// It makes itself known after its start.
    Registration,
    /// It looks for the other routers.
    Discovery,
    /// A request is refused because it crashes servers, or not any more.
    Crashes,
}

impl CallReason {
    /// Its name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Watcher => "watcher",
            Self::Behind => "behind",
            Self::Stale => "stale",
            Self::Registration => "registration",
            Self::Discovery => "discovery",
            Self::Crashes => "crashes",
        }
    }
}

/// What a watch does next.
enum Turn {
    /// It asks the store, which may wait so long.
    Ask(u64, CallReason),
    /// It reads the listing from another router.
    Fetch(Holder),
    /// It takes in what another router passed on.
    Relayed(Vec<ServerChange>),
    /// It lets its owner look around.
    Idle,
}

/// What one successful call brought, or another router passed on.
pub(crate) struct Update {
    /// What it brought.
    pub(crate) records: Vec<Record>,
    /// Whether the records are the whole listing.
    pub(crate) is_whole: bool,
    /// How long the store had been away before.
    pub(crate) outage_ms: u64,
    /// Whether the store was asked for it.
    pub(crate) is_asked: bool,
}

impl Update {
    /// What another router passed on.
    pub(crate) fn of_peer(records: Vec<Record>, is_whole: bool) -> Self {
        Self {
            records,
            is_whole,
            outage_ms: 0,
            is_asked: false,
        }
    }
}

impl Watch {
    pub(crate) fn new(shared: Arc<Shared>, store: Arc<StorePort>, listing: Listing) -> Self {
        Self {
            shared,
            store,
            listing,
            failures: 0,
            source: ListingSource::default(),
            relayed: None,
            assembly: ChangesAssembly::default(),
            named: Vec::new(),
        }
    }

    pub(crate) fn watch(&self) -> &SharedWatch {
        match self.listing {
            Listing::Configuration => self.shared.configuration_watch(),
            Listing::Servers | Listing::Routers => self.shared.servers_watch(),
        }
    }

    /// The next update; waits out failures. None if there are none within `limit_ms`.
    pub(crate) async fn next(&mut self, limit_ms: u64) -> Option<Update> {
        loop {
            let (wait_ms, reason) = match self.wait_for_turn(limit_ms).await {
                Turn::Ask(wait_ms, reason) => (wait_ms, reason),
                Turn::Fetch(holder) => match self.fetch(holder).await {
                    Some(update) => return Some(update),
                    None => continue,
                },
                Turn::Idle => return None,
                Turn::Relayed(changes) => {
                    let records = changes.into_iter().map(Record::Server);
                    return Some(Update::of_peer(records.collect(), false));
                }
            };
            let version = self.watch().state().version();
            let sent_ms = Clock.now_ms();
            let call = match version {
                None => (self.store.list)(self.listing),
                Some(version) => (self.store.watch)(self.listing, version, wait_ms),
            };
            let answer = self.wait_for_answer(call).await;
            let outcome = answer.as_ref().map(|answer| answer.version);
            self.shared
                .note_store_call(self.listing, reason, sent_ms, outcome);
            match answer {
                Ok(answer) => return Some(self.take(answer, version.is_none(), sent_ms)),
                Err(StoreError::HistoryLost) => {
                    note!(Event::HISTORY_LOST, listing = self.listing.as_str());
                    self.watch().state().forget_version();
                }
                Err(error) => self.wait_out(&error, sent_ms).await,
            }
        }
    }

    /// Waits for the store, unless other routers have had a change for some time: then its answer hangs here
    /// only, and the change is read from them.
    async fn wait_for_answer(
        &self,
        mut call: BoxFuture<'static, Result<StoreAnswer, StoreError>>,
    ) -> Result<StoreAnswer, StoreError> {
        loop {
            let now_ms = Clock.now_ms();
            let behind_since_ms = self.watch().state().behind_since_ms();
            let left_ms =
                behind_since_ms.map(|since_ms| (since_ms + HANGS_MS).saturating_sub(now_ms));
            if left_ms == Some(0) && !self.holders(now_ms).is_empty() {
                let reason = "other routers had a change first".to_owned();
                return Err(StoreError::NoAnswer { reason });
            }
            let pause_ms = left_ms.unwrap_or(ROLE_CHECK_MS).max(HANGS_CHECK_MS);
            tokio::select! {
                answer = &mut call => return answer,
                () = sleep(Duration::from_millis(pause_ms)), if left_ms.is_some() => {}
                () = self.watch().changed.notified() => {}
            }
        }
    }

    /// Waits until this router has to read the listing, and decides from where.
    async fn wait_for_turn(&mut self, limit_ms: u64) -> Turn {
        let start_ms = Clock.now_ms();
        loop {
            let changes = self.take_relayed();
            if !changes.is_empty() {
                self.source.reset();
                return Turn::Relayed(changes);
            }
            let now_ms = Clock.now_ms();
            let (need, reason) = self.need(now_ms);
            let until_ms = match self.step(need, now_ms) {
                ListingStep::Store if self.shared.is_watcher() => {
                    let reason = match reason {
                        CallReason::Unknown => CallReason::Unknown,
                        _ => CallReason::Watcher,
                    };
                    let watch_ms = self.shared.settings().times.watch_ms;
                    return Turn::Ask(watch_ms.min(limit_ms), reason);
                }
                ListingStep::Store => return Turn::Ask(0, reason),
                ListingStep::Peer(holder) => return Turn::Fetch(holder),
                ListingStep::Wait { until_ms } => until_ms,
            };
            let left_ms = start_ms.saturating_add(limit_ms).saturating_sub(now_ms);
            if left_ms == 0 {
                return Turn::Idle;
            }
            let pause_ms = until_ms.saturating_sub(now_ms).clamp(1, ROLE_CHECK_MS);
            tokio::select! {
                () = sleep(Duration::from_millis(pause_ms.min(left_ms))) => {}
                () = self.watch().changed.notified() => {}
            }
        }
    }

    /// What is missing here.
    fn need(&self, now_ms: u64) -> (ListingNeed, CallReason) {
        let relay_ms = self.shared.settings().times.relay_ms;
        let state = self.watch().state();
        if state.version().is_none() {
            return (ListingNeed::Content, CallReason::Unknown);
        }
        if state.is_behind() {
            return (ListingNeed::Content, CallReason::Behind);
        }
        let is_fresh = state.age_ms(now_ms).is_some_and(|age_ms| age_ms < relay_ms);
        match is_fresh {
            true => (ListingNeed::Nothing, CallReason::Stale),
            false => (ListingNeed::Proof, CallReason::Stale),
        }
    }

    fn step(&mut self, need: ListingNeed, now_ms: u64) -> ListingStep {
        let holders = match need {
            ListingNeed::Content => self.holders(now_ms),
            ListingNeed::Nothing | ListingNeed::Proof => Vec::new(),
        };
        let (live, is_connected) = {
            let peers = self.shared.peers();
            (peers.live(now_ms), peers.is_connected(now_ms))
        };
        self.source.step(&ListingView {
            need,
            is_watcher: self.shared.is_watcher() && !self.is_served_by_others(now_ms),
            is_discovered: self.shared.is_discovered.load(Ordering::Relaxed),
            holders: &holders,
            live,
            is_connected,
            draw: rand::rng().random(),
            now_ms,
        })
    }

    fn take(&mut self, answer: StoreAnswer, is_whole: bool, sent_ms: u64) -> Update {
        let now_ms = Clock.now_ms();
        let after = self.watch().state().changed_version();
        let had_failed = self.failures > 0;
        self.failures = 0;
        self.source.reset();
        self.put_in_force(&answer.records);
        let outage_ms = self.watch().state().note_answer(&WatchAnswer {
            // The configuration is one record that is replaced: no listing of it hides a removal.
            may_hide_removals: is_whole && self.listing != Listing::Configuration,
            sent_ms,
            received_ms: now_ms,
            version: answer.version,
            changed_version: answer.changed_version,
            store_now_ms: answer.store_now_ms,
        });
        if had_failed {
            note!(
                Event::STORE_BACK,
                listing = self.listing.as_str(),
                outage_ms = outage_ms
            );
        }
        if is_whole {
            self.clear_log();
        } else if !answer.records.is_empty() {
            self.pass_on(after, &answer);
        }
        self.shared.listings_read.notify_one();
        Update {
            records: answer.records,
            is_whole,
            outage_ms,
            is_asked: true,
        }
    }

    /// Puts a configuration into force, before its proof is noted.
    pub(crate) fn put_in_force(&self, records: &[Record]) {
        for record in records {
            if let Record::Configuration(newest) = record {
                take_configuration(&self.shared, newest);
            }
        }
    }

    /// Keeps changes of the backend servers for the other routers, which need not ask then.
    fn pass_on(&self, after: u64, answer: &StoreAnswer) {
        let changes = answer.records.iter().filter_map(|record| match record {
            Record::Server(change) => Some(change.clone()),
            Record::Configuration(_)
            | Record::Router(_)
            | Record::Crashes(_)
            | Record::Useless { .. } => None,
        });
        let changes: Vec<ServerChange> = changes.collect();
        if !changes.is_empty() {
            let batch = ServerChanges {
                after,
                version: answer.version,
                changes,
            };
            self.shared.change_log().note(batch.clone());
            self.shared.pass_on(batch);
        }
    }

    async fn wait_out(&mut self, error: &StoreError, sent_ms: u64) {
        if self.watch().state().note_failure(sent_ms) {
            note!(
                Event::STORE_LOST,
                listing = self.listing.as_str(),
                error = error
            );
        }
        let now_ms = Clock.now_ms();
        let live = self.shared.peers().live(now_ms);
        let draw = rand::rng().random();
        self.source.note_store_failure(live, draw, now_ms);
        let pause_ms = self.shared.settings().times.store_retry_ms << self.failures.min(2);
        self.failures += 1;
        if self.is_served_by_others(now_ms) {
            return;
        }
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Whether other routers have a change that the store does not give to this one.
    fn is_served_by_others(&self, now_ms: u64) -> bool {
        let state = self.watch().state();
        let is_missing = state.is_behind() && state.failing_since_ms().is_some();
        drop(state);
        is_missing && !self.holders(now_ms).is_empty()
    }

    /// Waits after a change, so that many in a row cost few calls.
    pub(crate) async fn pause(&self) {
        let pause_ms = self.shared.settings().times.change_pause_ms;
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
