//! A watch of one listing: reads it from the store, or from other routers that have it.

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
use crate::evacuation::apply_evacuations;
use crate::events::{Event, note};
use crate::listing_updates::apply_configuration;
use crate::ports::{Listing, Record, StoreAnswer, StoreError, StorePort};
use crate::shared::{ListingWatch, Shared};

/// The interval at which a waiting router checks whether it has become a watcher.
const ROLE_CHECK_MS: u64 = 250;
/// How long after another router's advert of a change this router still waits for the store's
/// answer: the store answers all watchers at about the same time.
const HUNG_CALL_MS: u64 = 250;
/// The interval at which a router that waits longer checks whether another one has the change.
const HUNG_CALL_CHECK_MS: u64 = 50;

/// A watch of one listing.
pub(crate) struct Watch {
    pub(crate) shared: Arc<Shared>,
    store: Arc<StorePort>,
    pub(crate) listing: Listing,
    failures: u32,
    pub(crate) source: ListingSource,
    /// The queue of changes that other routers relay.
    pub(crate) relayed: Option<mpsc::Receiver<ChangesFragment>>,
    pub(crate) assembly: ChangesAssembly,
    /// Routers that busy ones suggested because they served them lately: they have the listing, or
    /// will shortly.
    pub(crate) suggested_routers: Vec<SocketAddr>,
}

/// The reason for a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallReason {
    /// The listing was not read yet, or the store lost its history of changes.
    Unknown,
    /// This router keeps a watch open.
    Watcher,
    /// Another router advertised a change that has not arrived.
    Behind,
    /// There is no recent proof that the listing is the newest.
    Stale,
    /// This router registers itself.
    Registration,
    /// This router lists the other routers.
    Discovery,
    /// The versions of servers' software are read or written.
    Versions,
    /// The crash records of a request are saved, or removed: it is refused because it crashes
    /// servers, or no longer.
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
            Self::Versions => "versions",
        }
    }
}

/// What a watch does next.
enum Action {
    /// Asks the store, which may wait for a number of milliseconds.
    AskStore(u64, CallReason),
    /// Reads the listing from another router.
    Fetch(Holder),
    /// Applies changes that another router relayed.
    ApplyRelayed(Vec<ServerChange>),
    /// Returns without an update: the time limit has passed.
    Return,
}

/// The result of a call to the store, or what another router relayed.
pub(crate) struct Update {
    /// The records.
    pub(crate) records: Vec<Record>,
    /// Whether the records are the whole listing.
    pub(crate) is_whole_listing: bool,
    /// How long the store had been failing before, in milliseconds.
    pub(crate) outage_ms: u64,
    /// Whether it comes from a call to the store.
    pub(crate) is_from_store: bool,
}

impl Update {
    /// Creates the update of a listing or changes from another router.
    pub(crate) fn from_peer(records: Vec<Record>, is_whole_listing: bool) -> Self {
        Self {
            records,
            is_whole_listing,
            outage_ms: 0,
            is_from_store: false,
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
            suggested_routers: Vec::new(),
        }
    }

    /// Returns the shared state of this listing's watch.
    pub(crate) fn shared_watch(&self) -> &ListingWatch {
        match self.listing {
            Listing::Configuration => self.shared.configuration_watch(),
            Listing::Servers | Listing::Routers => self.shared.servers_watch(),
        }
    }

    /// Waits for the next update; failed calls are retried. None if no update comes within
    /// `limit_ms`.
    pub(crate) async fn next(&mut self, limit_ms: u64) -> Option<Update> {
        loop {
            let (wait_ms, reason) = match self.next_action(limit_ms).await {
                Action::AskStore(wait_ms, reason) => (wait_ms, reason),
                Action::Fetch(holder) => match self.fetch(holder).await {
                    Some(update) => return Some(update),
                    None => continue,
                },
                Action::Return => return None,
                Action::ApplyRelayed(changes) => {
                    let records = changes.into_iter().map(Record::Server);
                    return Some(Update::from_peer(records.collect(), false));
                }
            };
            let version = self.shared_watch().state().version();
            let sent_ms = Clock.now_ms();
            let call = match version {
                None => (self.store.list)(self.listing),
                Some(version) => (self.store.watch)(self.listing, version, wait_ms),
            };
            let answer = self.wait_for_answer(call, sent_ms).await;
            let outcome = answer.as_ref().map(|answer| answer.version);
            self.shared
                .note_store_call(self.listing, reason, sent_ms, outcome);
            match answer {
                Ok(answer) => return Some(self.apply_answer(answer, version.is_none(), sent_ms)),
                Err(StoreError::HistoryLost) => {
                    note!(Event::HISTORY_LOST, listing = self.listing.as_str());
                    self.shared_watch().state().clear_version();
                }
                Err(error) => self.back_off(&error, sent_ms).await,
            }
        }
    }

    /// Waits for the store's answer to a call that was sent at `sent_ms`. Gives up if other routers
    /// have had a change for some time: then only this router's call hangs, and the change is read
    /// from them. A new call gets that time, too, since it is made because they did not supply the
    /// change.
    async fn wait_for_answer(
        &self,
        mut call: BoxFuture<'static, Result<StoreAnswer, StoreError>>,
        sent_ms: u64,
    ) -> Result<StoreAnswer, StoreError> {
        loop {
            let now_ms = Clock.now_ms();
            let behind_since_ms = self.shared_watch().state().behind_since_ms();
            let left_ms = behind_since_ms
                .map(|since_ms| (since_ms.max(sent_ms) + HUNG_CALL_MS).saturating_sub(now_ms));
            if left_ms == Some(0) && !self.holders(now_ms).is_empty() {
                let reason = "other routers have had a change for some time".to_owned();
                return Err(StoreError::NoAnswer { reason });
            }
            let pause_ms = left_ms.unwrap_or(ROLE_CHECK_MS).max(HUNG_CALL_CHECK_MS);
            tokio::select! {
                answer = &mut call => return answer,
                () = sleep(Duration::from_millis(pause_ms)), if left_ms.is_some() => {}
                () = self.shared_watch().changed.notified() => {}
            }
        }
    }

    /// Waits until this router has to read the listing, and decides from where.
    async fn next_action(&mut self, limit_ms: u64) -> Action {
        let start_ms = Clock.now_ms();
        loop {
            let changes = self.take_relayed();
            if !changes.is_empty() {
                self.source.reset();
                return Action::ApplyRelayed(changes);
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
                    return Action::AskStore(watch_ms.min(limit_ms), reason);
                }
                ListingStep::Store => return Action::AskStore(0, reason),
                ListingStep::Peer(holder) => return Action::Fetch(holder),
                ListingStep::Wait { until_ms } => until_ms,
            };
            let left_ms = start_ms.saturating_add(limit_ms).saturating_sub(now_ms);
            if left_ms == 0 {
                return Action::Return;
            }
            let pause_ms = until_ms.saturating_sub(now_ms).clamp(1, ROLE_CHECK_MS);
            tokio::select! {
                () = sleep(Duration::from_millis(pause_ms.min(left_ms))) => {}
                () = self.shared_watch().changed.notified() => {}
            }
        }
    }

    /// Returns what this router lacks, and why it would call the store for it.
    fn need(&self, now_ms: u64) -> (ListingNeed, CallReason) {
        let relay_ms = self.shared.settings().times.relay_ms;
        let state = self.shared_watch().state();
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

    /// Decides whether to ask the store, to read from another router, or to wait.
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

    /// Applies an answer of the store.
    fn apply_answer(
        &mut self,
        answer: StoreAnswer,
        is_whole_listing: bool,
        sent_ms: u64,
    ) -> Update {
        let now_ms = Clock.now_ms();
        let after = self.shared_watch().state().changed_version();
        let had_failed = self.failures > 0;
        self.failures = 0;
        self.source.reset();
        let evacuation_ended = self.put_in_force(&answer.records, is_whole_listing, "store");
        let outage_ms = self.shared_watch().state().record_answer(&WatchAnswer {
            // The configuration is a single record that is replaced, so that its listing can only
            // hide that an evacuation order was withdrawn.
            may_hide_removals: is_whole_listing
                && (self.listing != Listing::Configuration || evacuation_ended),
            sent_ms,
            received_ms: now_ms,
            version: answer.version,
            changed_version: answer.changed_version,
            store_now_ms: answer.store_now_ms,
        });
        if had_failed {
            note!(
                Event::STORE_RECOVERED,
                listing = self.listing.as_str(),
                outage_ms = outage_ms
            );
        }
        if is_whole_listing {
            self.clear_change_log();
        } else if !answer.records.is_empty() {
            self.relay_changes(after, &answer);
        }
        self.shared.listings_read.notify_one();
        Update {
            records: answer.records,
            is_whole_listing,
            outage_ms,
            is_from_store: true,
        }
    }

    /// Puts a configuration and evacuation orders into force, before the proof that they are the
    /// newest is recorded. Returns whether an evacuation ended.
    pub(crate) fn put_in_force(
        &self,
        records: &[Record],
        is_whole_listing: bool,
        source: &str,
    ) -> bool {
        if self.listing != Listing::Configuration {
            return false;
        }
        for record in records {
            if let Record::Configuration(newest) = record {
                apply_configuration(&self.shared, newest);
            }
        }
        apply_evacuations(&self.shared, records, is_whole_listing, source)
    }

    /// Relays changes of the backend servers to the other routers, which then need not ask for
    /// them.
    fn relay_changes(&self, after: u64, answer: &StoreAnswer) {
        let changes = answer.records.iter().filter_map(|record| match record {
            Record::Server(change) => Some(change.clone()),
            Record::Configuration(_)
            | Record::Evacuation(_)
            | Record::Cold(_)
            | Record::Router(_)
            | Record::Crashes(_)
            | Record::SoleVersions(_)
            | Record::Unusable { .. } => None,
        });
        let changes: Vec<ServerChange> = changes.collect();
        if !changes.is_empty() {
            let batch = ServerChanges {
                after,
                version: answer.version,
                changes,
            };
            self.shared.change_log().record(batch.clone());
            self.shared.queue_changes(batch);
        }
    }

    /// Records a failed call, and pauses unless the change can be read from other routers.
    async fn back_off(&mut self, error: &StoreError, sent_ms: u64) {
        if self.shared_watch().state().record_failure(sent_ms) {
            note!(
                Event::STORE_FAILING,
                listing = self.listing.as_str(),
                error = error
            );
        }
        let now_ms = Clock.now_ms();
        let live = self.shared.peers().live(now_ms);
        let draw = rand::rng().random();
        self.source.record_store_failure(live, draw, now_ms);
        let pause_ms = self.shared.settings().times.store_retry_ms << self.failures.min(2);
        self.failures += 1;
        if self.is_served_by_others(now_ms) {
            return;
        }
        sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Whether other routers have a change that this one's calls to the store fail to bring.
    fn is_served_by_others(&self, now_ms: u64) -> bool {
        let state = self.shared_watch().state();
        let is_missing = state.is_behind() && state.failing_since_ms().is_some();
        drop(state);
        is_missing && !self.holders(now_ms).is_empty()
    }

    /// Pauses after a change, so that many changes in a row cost few calls.
    pub(crate) async fn pause(&self) {
        let pause_ms = self.shared.settings().times.change_pause_ms;
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
