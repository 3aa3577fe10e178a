//! What a watch receives from other routers: whole listings, and changes that they relay.

use std::net::SocketAddr;

use rand::RngExt;
use sapphiretrack_routing::{Heartbeat, Holder, ListingAdvert, ServerChange};

use crate::clock::Clock;
use crate::ports::{Listing, Record};
use crate::snapshots::{FetchError, Snapshot, fetch};
use crate::watch::{Update, Watch};

/// The most routers that are kept because busy ones suggested them.
const MAX_SUGGESTED_ROUTERS: usize = 64;

impl Watch {
    /// Returns the routers that have the version that is missing here, or are expected to.
    pub(crate) fn holders(&self, now_ms: u64) -> Vec<Holder> {
        let version = self.shared_watch().state().wanted_version();
        let advert_of: fn(&Heartbeat) -> &ListingAdvert = match self.listing {
            Listing::Configuration => |heartbeat| &heartbeat.configuration,
            Listing::Servers | Listing::Routers => |heartbeat| &heartbeat.servers,
        };
        let zone = &self.shared.settings().zone;
        let mut holders = self
            .shared
            .peers()
            .holders(zone, version, advert_of, now_ms);
        let suggested_routers = self.suggested_routers.iter().map(|address| Holder {
            address: *address,
            is_same_zone: true,
        });
        holders.extend(suggested_routers);
        holders
    }

    /// Reads the listing from another router; none if that fails or brings nothing newer.
    pub(crate) async fn fetch(&mut self, holder: Holder) -> Option<Update> {
        let sent_ms = Clock.now_ms();
        let after = self.shared_watch().state().version();
        let fetched = fetch(&self.shared, holder.address, self.listing, after).await;
        let now_ms = Clock.now_ms();
        let draw = rand::rng().random();
        self.shared
            .note_fetch(self.listing, holder.address, sent_ms, fetched.as_ref());
        let snapshot = match fetched {
            Ok(fetched) => fetched.snapshot,
            Err(FetchError::Busy { served }) => {
                self.add_suggested(served);
                self.source.record_peer_busy(draw, now_ms);
                return None;
            }
            Err(_) => {
                self.suggested_routers
                    .retain(|address| *address != holder.address);
                self.source.record_peer_failure(draw, now_ms);
                return None;
            }
        };
        let Some((records, is_whole_listing)) = self.apply(snapshot, now_ms) else {
            self.source.record_peer_failure(draw, now_ms);
            return None;
        };
        self.source.reset();
        self.suggested_routers.clear();
        Some(Update::from_peer(records, is_whole_listing))
    }

    /// Applies another router's listing. Returns its records and whether they are the whole
    /// listing; none if it brings nothing newer.
    fn apply(&mut self, snapshot: Snapshot, now_ms: u64) -> Option<(Vec<Record>, bool)> {
        let Some(changes) = snapshot.changes() else {
            let (version, advert) = (snapshot.version, snapshot.advert);
            let is_older = {
                let state = self.shared_watch().state();
                let known = state.version().max(Some(state.changed_version()));
                known > Some(version)
            };
            if is_older {
                return None;
            }
            let in_force = self.shared.configuration.load();
            let records = snapshot.into_records(in_force.as_ref())?;
            self.put_in_force(&records, true, "router");
            let is_newer = self
                .shared_watch()
                .state()
                .record_snapshot(version, &advert, now_ms);
            if !is_newer {
                return None;
            }
            self.clear_change_log();
            return Some((records, true));
        };
        let mut state = self.shared_watch().state();
        if !state.record_changes(changes.after, changes.version, now_ms) {
            return None;
        }
        state.record_advert(&snapshot.advert, now_ms);
        drop(state);
        self.shared.change_log().record(changes.clone());
        Some((snapshot.into_records(None)?, false))
    }

    /// Adds the routers that a busy one suggests to those that may be asked for the listing.
    fn add_suggested(&mut self, served: Vec<SocketAddr>) {
        let own_address = self.shared.settings().peer_address;
        for address in served {
            let is_new = address != own_address && !self.suggested_routers.contains(&address);
            if is_new && self.suggested_routers.len() < MAX_SUGGESTED_ROUTERS {
                self.suggested_routers.push(address);
            }
        }
    }

    /// Clears the log of server changes after a whole listing, which does not show what it changed.
    pub(crate) fn clear_change_log(&self) {
        if self.listing == Listing::Servers {
            self.shared.change_log().clear();
        }
    }

    /// Takes all changes that other routers relayed and that are missing here.
    pub(crate) fn take_relayed(&mut self) -> Vec<ServerChange> {
        let now_ms = Clock.now_ms();
        let mut missing = Vec::new();
        let Some(mut queue) = self.relayed.take() else {
            return missing;
        };
        while let Ok(fragment) = queue.try_recv() {
            let known = self.shared_watch().state().version();
            self.assembly.drop_until(known.unwrap_or(0));
            let Some(batch) = self.assembly.add(fragment) else {
                continue;
            };
            let mut state = self.shared_watch().state();
            if state.record_changes(batch.after, batch.version, now_ms) {
                missing.extend(batch.changes.iter().cloned());
                self.shared.change_log().record(batch);
            }
        }
        self.relayed = Some(queue);
        missing
    }
}
