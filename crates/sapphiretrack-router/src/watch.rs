//! A watch of one listing of the store: asks it, or hears from the routers that do.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_routing::{ServerChange, ServerChanges, WatchAnswer};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::ports::{Listing, Record, StoreAnswer, StoreError, StorePort};
use crate::shared::{Shared, SharedWatch};

/// How often a waiting router looks whether it has become a watcher.
const ROLE_CHECK_MS: u64 = 250;

/// A watch of one listing.
pub(crate) struct Watch {
    shared: Arc<Shared>,
    store: Arc<StorePort>,
    listing: Listing,
    failures: u32,
    /// Whether news of other routers ended a wait since the last good answer.
    was_woken: bool,
    /// Changes that other routers pass on.
    pub(crate) relayed: Option<mpsc::Receiver<ServerChanges>>,
}

/// What a watch does next.
enum Turn {
    /// It asks the store, which may wait so long.
    Ask(u64),
    /// It takes in what another router passed on.
    Relayed(Vec<ServerChange>),
    /// It lets its owner look around.
    Idle,
}

/// What one successful call brought, or another router passed on.
pub(crate) struct News {
    /// What it brought.
    pub(crate) records: Vec<Record>,
    /// Whether the records are the whole listing.
    pub(crate) is_whole: bool,
    /// How long the store had been away before.
    pub(crate) outage_ms: u64,
    /// Whether the store was asked for it.
    pub(crate) is_asked: bool,
}

impl News {
    /// Changes that another router passed on.
    pub(crate) fn relayed(changes: Vec<ServerChange>) -> Self {
        Self {
            records: changes.into_iter().map(Record::Server).collect(),
            is_whole: false,
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
            was_woken: false,
            relayed: None,
        }
    }

    fn watch(&self) -> &SharedWatch {
        match self.listing {
            Listing::Configuration => self.shared.configuration_watch(),
            Listing::Servers | Listing::Routers => self.shared.servers_watch(),
        }
    }

    /// The next news; waits out failures. None if there are none within `limit_ms`.
    pub(crate) async fn next(&mut self, limit_ms: u64) -> Option<News> {
        loop {
            let version = self.watch().state().version();
            let wait_ms = match version {
                None => 0,
                Some(_) => match self.wait_for_turn(limit_ms).await {
                    Turn::Ask(wait_ms) => wait_ms,
                    Turn::Idle => return None,
                    Turn::Relayed(changes) => return Some(News::relayed(changes)),
                },
            };
            let sent_ms = Clock.now_ms();
            let answer = match version {
                None => (self.store.list)(self.listing).await,
                Some(version) => (self.store.watch)(self.listing, version, wait_ms).await,
            };
            self.shared.metrics.store_call(self.listing.as_str());
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

    /// Waits until this router should ask the store: at once as a watcher, else when another
    /// router tells of a change or no proof comes any more. How long the store may wait.
    async fn wait_for_turn(&mut self, limit_ms: u64) -> Turn {
        let start_ms = Clock.now_ms();
        loop {
            let times = self.shared.settings().times;
            let changes = self.take_relayed();
            if !changes.is_empty() {
                return Turn::Relayed(changes);
            }
            if self.shared.is_watcher() {
                return Turn::Ask(times.watch_ms.min(limit_ms));
            }
            let now_ms = Clock.now_ms();
            let (age_ms, is_behind) = {
                let state = self.watch().state();
                (state.age_ms(now_ms).unwrap_or(u64::MAX), state.is_behind())
            };
            if is_behind || age_ms >= times.relay_ms {
                return Turn::Ask(0);
            }
            let left_ms = (start_ms + limit_ms).saturating_sub(now_ms);
            if left_ms == 0 {
                return Turn::Idle;
            }
            let pause_ms = ROLE_CHECK_MS.min(left_ms).min(times.relay_ms - age_ms);
            tokio::select! {
                () = sleep(Duration::from_millis(pause_ms)) => {}
                () = self.watch().news.notified() => {}
            }
        }
    }

    /// All changes that other routers passed on and that are news here.
    fn take_relayed(&mut self) -> Vec<ServerChange> {
        let mut news = Vec::new();
        let Some(mut queue) = self.relayed.take() else {
            return news;
        };
        while let Ok(passed_on) = queue.try_recv() {
            let mut state = self.watch().state();
            if state.note_changes(passed_on.after, passed_on.version) {
                news.extend(passed_on.changes);
            }
        }
        self.relayed = Some(queue);
        news
    }

    fn take(&mut self, answer: StoreAnswer, is_whole: bool, sent_ms: u64) -> News {
        let now_ms = Clock.now_ms();
        let after = self.watch().state().version();
        let had_failed = self.failures > 0;
        self.failures = 0;
        self.was_woken = false;
        let outage_ms = self.watch().state().note_answer(&WatchAnswer {
            is_whole,
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
        if !answer.records.is_empty() && !is_whole {
            self.pass_on(after, &answer);
            // The other routers shall hear of the change at once.
            self.shared.state_changed.notify_one();
        }
        News {
            records: answer.records,
            is_whole,
            outage_ms,
            is_asked: true,
        }
    }

    /// Keeps changes of the backend servers for the other routers, which need not ask then.
    fn pass_on(&self, after: Option<u64>, answer: &StoreAnswer) {
        let changes = answer.records.iter().filter_map(|record| match record {
            Record::Server(change) => Some(change.clone()),
            Record::Configuration(_) | Record::Router { .. } | Record::Useless { .. } => None,
        });
        let changes: Vec<ServerChange> = changes.collect();
        if let (Some(after), false) = (after, changes.is_empty()) {
            self.shared.pass_on(ServerChanges {
                after,
                version: answer.version,
                changes,
            });
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
        let times = self.shared.settings().times;
        let pause_ms = match self.failures > 0 && !self.shared.is_watcher() {
            true => times.follower_retry_ms,
            false => times.store_retry_ms << self.failures.min(2),
        };
        self.failures += 1;
        // Who is told of a change meanwhile asks sooner: another router has reached the store. Once an
        // outage only: where the store serves some routers and not this one, every beat of those is
        // news, and a large fleet would call in vain.
        let first_ms = pause_ms.min(times.store_retry_ms);
        // News from before the failure tell nothing about it.
        drop(timeout(Duration::ZERO, self.watch().news.notified()).await);
        sleep(Duration::from_millis(first_ms)).await;
        let news = async {
            match self.was_woken {
                true => std::future::pending().await,
                false => self.watch().news.notified().await,
            }
        };
        let woken = timeout(Duration::from_millis(pause_ms - first_ms), news).await;
        self.was_woken |= woken.is_ok();
    }

    /// Waits after a change, so that many in a row cost few calls.
    pub(crate) async fn pause(&self) {
        let pause_ms = self.shared.settings().times.change_pause_ms;
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
