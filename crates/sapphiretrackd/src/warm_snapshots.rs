//! Keeps snapshots of the placement memory, and reads those of routers that died.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_core::{LostRouters, RouterId, WarmList};
use sapphiretrack_platform::{PlatformError, WarmPart, WarmSnapshot, WarmStore};

use crate::clock::{Clock, wall_clock_ms};
use crate::control::ControlHandle;
use crate::events::Event;
use crate::warm_memory::{HANDED_CHATS, WARM_FOR_MS, WarmMemory};

/// Objects of what is new for each one of all.
const RECENT_PER_BASE: u32 = 9;
/// The most chats of an object of what is new.
const RECENT_CHATS: usize = 2_000;
/// How often it is looked whether a peer was lost.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// The routers of a cell spread their reads over this time.
const READ_SPREAD_MS: u64 = 2_000;

/// Writes this router's snapshots and reads others'.
#[derive(Clone)]
pub(crate) struct WarmSnapshots {
    pub(crate) me: RouterId,
    pub(crate) name: String,
    pub(crate) clock: Clock,
    pub(crate) control: ControlHandle,
    pub(crate) memory: Arc<WarmMemory>,
    pub(crate) store: WarmStore,
    /// How often one is written; 0 for never.
    pub(crate) period_ms: u64,
}

impl WarmSnapshots {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        if self.period_ms > 0 {
            tokio::join!(self.keep(), self.watch());
        }
    }

    /// Writes all of it once more, for a router of the same name that starts next.
    pub(crate) async fn write_last(self) {
        if self.period_ms > 0 {
            drop(self.write_base().await);
        }
    }

    async fn keep(&self) {
        let mut own_read = false;
        let mut base_ms = None;
        let mut rounds = 0;
        while !self.control.snapshot().stopping {
            // What an earlier run wrote is read before it is written over.
            if !own_read {
                own_read = self.read(self.me, &self.name).await;
            }
            self.pause().await;
            if !own_read || self.control.snapshot().stopping {
                continue;
            }
            let now_ms = self.clock.now_ms();
            let written = match base_ms.filter(|_| rounds < RECENT_PER_BASE) {
                Some(base_ms) => {
                    let since_ms = now_ms - base_ms + self.period_ms;
                    let places = self.memory.newest(RECENT_CHATS, since_ms);
                    self.write(WarmPart::Recent, WarmList::new(places)).await
                }
                None => self.write_base().await,
            };
            match written {
                Ok(WarmPart::Base) => (base_ms, rounds) = (Some(now_ms), 0),
                Ok(WarmPart::Recent) => rounds += 1,
                Err(error) => Event::MEMORY_NOT_WRITTEN.log(&[("reason", &error.to_string())]),
            }
        }
    }

    async fn write_base(&self) -> Result<WarmPart, PlatformError> {
        let places = self.memory.newest(HANDED_CHATS, WARM_FOR_MS);
        self.write(WarmPart::Base, WarmList::new(places)).await
    }

    async fn write(&self, part: WarmPart, list: WarmList) -> Result<WarmPart, PlatformError> {
        let snapshot = WarmSnapshot {
            written_at_ms: wall_clock_ms(),
            list,
        };
        self.store.write(self.me, part, &snapshot).await?;
        Ok(part)
    }

    /// Half a period and up to a whole one more, so that routers do not write at once.
    async fn pause(&self) {
        let wait_ms = self.period_ms / 2 + rand::random::<u64>() % self.period_ms;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Reads the snapshots of peers that went without a word.
    async fn watch(&self) {
        let mut lost = LostRouters::default();
        let mut before = self.control.snapshot();
        loop {
            tokio::time::sleep(WATCH_PERIOD).await;
            let now = self.control.snapshot();
            for router in lost.note(&now.routers, self.me, self.clock.now_ms()) {
                let known = before.routers.iter().find(|known| known.id == router);
                let name = known.map(|known| known.name.clone()).unwrap_or_default();
                let keeper = self.clone();
                tokio::spawn(async move {
                    let wait_ms = rand::random::<u64>() % READ_SPREAD_MS;
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                    keeper.read(router, &name).await;
                });
            }
            before = now;
        }
    }

    /// Takes in a router's snapshot; false if the platform did not say what there is.
    async fn read(&self, router: RouterId, name: &str) -> bool {
        let mut answered = true;
        for (part, shown) in [(WarmPart::Base, "base"), (WarmPart::Recent, "recent")] {
            let fields = [("router", name), ("part", shown)];
            match self.store.read(router, part).await {
                Ok(snapshot) => {
                    // Wall clocks may differ: the age of the snapshot is an estimate.
                    let age_ms = wall_clock_ms().saturating_sub(snapshot.written_at_ms);
                    let news = self.memory.merge(&snapshot.list, age_ms).to_string();
                    Event::MEMORY_MERGED.log(&[fields[0], fields[1], ("news", &news)]);
                }
                Err(PlatformError::NoWarmSnapshot) => Event::MEMORY_MISSING.log(&fields),
                Err(error) => {
                    answered &= matches!(error, PlatformError::BadWarmSnapshot { .. });
                    let reason = error.to_string();
                    Event::MEMORY_NOT_USED.log(&[fields[0], fields[1], ("reason", &reason)]);
                }
            }
        }
        answered
    }
}
