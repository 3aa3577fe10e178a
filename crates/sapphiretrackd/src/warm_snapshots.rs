//! Writes snapshots of the placement memory to the platform and reads those of lost peers.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_core::{LostRouters, RouterId, WarmList};
use sapphiretrack_platform::{PlatformError, WarmPart, WarmSnapshot, WarmStore};

use crate::clock::{Clock, wall_clock_ms};
use crate::control::ControlHandle;
use crate::events::Event;
use crate::warm_memory::{MAX_SHARED_CHATS, MAX_WARM_AGE_MS, WarmMemory};

/// Recent snapshots written for each base snapshot.
const RECENT_WRITES_PER_BASE: u32 = 9;
/// The maximum number of chats in a recent snapshot.
const RECENT_CHATS: usize = 2_000;
/// Interval at which lost peers are detected.
const LOST_PEER_POLL: Duration = Duration::from_millis(250);
/// The time over which the routers of a cell spread their reads of a lost peer's snapshot.
const READ_SPREAD_MS: u64 = 2_000;

/// Writes this router's snapshots and reads those of lost peers.
#[derive(Clone)]
pub(crate) struct WarmSnapshots {
    pub(crate) me: RouterId,
    pub(crate) name: String,
    pub(crate) clock: Clock,
    pub(crate) control: ControlHandle,
    pub(crate) memory: Arc<WarmMemory>,
    pub(crate) store: WarmStore,
    /// The mean interval between snapshots; 0 for none.
    pub(crate) period_ms: u64,
}

impl WarmSnapshots {
    /// Writes and reads snapshots until the process ends; returns at once if they are disabled.
    pub(crate) async fn run(self) {
        if self.period_ms > 0 {
            tokio::join!(self.write_periodically(), self.read_lost_peers());
        }
    }

    /// Writes a last base snapshot for the next router that starts under the same name.
    pub(crate) async fn write_last(self) {
        if self.period_ms > 0 {
            drop(self.write_base().await);
        }
    }

    async fn write_periodically(&self) {
        let mut own_is_read = false;
        let mut base_written_ms = None;
        let mut recent_writes = 0;
        while !self.control.snapshot().stopping {
            // The snapshot of an earlier run is read before it is overwritten.
            if !own_is_read {
                own_is_read = self.read(self.me, &self.name).await;
            }
            self.wait_for_next_write().await;
            if !own_is_read || self.control.snapshot().stopping {
                continue;
            }
            let now_ms = self.clock.now_ms();
            let written = match base_written_ms.filter(|_| recent_writes < RECENT_WRITES_PER_BASE) {
                Some(base_written_ms) => {
                    let since_ms = now_ms - base_written_ms + self.period_ms;
                    let chats = self.memory.newest(RECENT_CHATS, since_ms);
                    self.write(WarmPart::Recent, WarmList::new(chats)).await
                }
                None => self.write_base().await,
            };
            match written {
                Ok(WarmPart::Base) => (base_written_ms, recent_writes) = (Some(now_ms), 0),
                Ok(WarmPart::Recent) => recent_writes += 1,
                Err(error) => Event::MEMORY_NOT_WRITTEN.log(&[("reason", &error.to_string())]),
            }
        }
    }

    async fn write_base(&self) -> Result<WarmPart, PlatformError> {
        let chats = self.memory.newest(MAX_SHARED_CHATS, MAX_WARM_AGE_MS);
        self.write(WarmPart::Base, WarmList::new(chats)).await
    }

    async fn write(&self, part: WarmPart, list: WarmList) -> Result<WarmPart, PlatformError> {
        let snapshot = WarmSnapshot {
            written_at_ms: wall_clock_ms(),
            list,
        };
        self.store.write(self.me, part, &snapshot).await?;
        Ok(part)
    }

    /// Sleeps for 0.5 to 1.5 periods, at random so that routers do not write at the same time.
    async fn wait_for_next_write(&self) {
        let wait_ms = self.period_ms / 2 + rand::random::<u64>() % self.period_ms;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Reads the snapshots of peers that disappeared without a planned stop.
    async fn read_lost_peers(&self) {
        let mut lost = LostRouters::default();
        let mut before = self.control.snapshot();
        loop {
            tokio::time::sleep(LOST_PEER_POLL).await;
            let now = self.control.snapshot();
            for router in lost.update(&now.routers, self.me, self.clock.now_ms()) {
                let known = before.routers.iter().find(|known| known.id == router);
                let name = known.map(|known| known.name.clone()).unwrap_or_default();
                let snapshots = self.clone();
                tokio::spawn(async move {
                    let wait_ms = rand::random::<u64>() % READ_SPREAD_MS;
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                    snapshots.read(router, &name).await;
                });
            }
            before = now;
        }
    }

    /// Reads and merges a router's snapshot. Returns false if the platform did not answer, so that
    /// it is unknown whether there is one.
    async fn read(&self, router: RouterId, name: &str) -> bool {
        let mut answered = true;
        for (part, part_name) in [(WarmPart::Base, "base"), (WarmPart::Recent, "recent")] {
            let fields = [("router", name), ("part", part_name)];
            match self.store.read(router, part).await {
                Ok(snapshot) => {
                    // The age is an estimate, since the wall clocks of routers may differ.
                    let age_ms = wall_clock_ms().saturating_sub(snapshot.written_at_ms);
                    let added = self.memory.merge(&snapshot.list, age_ms).to_string();
                    Event::MEMORY_MERGED.log(&[fields[0], fields[1], ("news", &added)]);
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
