//! Tracks the version of a listing that a router has read, and what other routers advertise about
//! the listing.

use serde::{Deserialize, Serialize};

use crate::Freshness;

/// The state of a listing that a router advertises.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ListingAdvert {
    /// The store's version at the last known change.
    pub changed_version: u64,
    /// Time of the store's clock at which there was no later change.
    pub proven_store_ms: Option<u64>,
    /// Time of the store's clock at which it last recovered from an outage. Entries that lapsed
    /// during the outage may still be restored. Unlike a flag, a time can be forwarded any number
    /// of times.
    pub recovered_store_ms: Option<u64>,
}

/// The state of one listing on a router.
///
/// Only a few routers, the watchers, keep a watch open at the store. They advertise the version of
/// the last change and a time at which there was no later one. A router that has that change is as
/// up to date as the watcher; a router that lacks it asks the store once. So the number of store
/// calls grows with the number of changes, not with time and the number of routers.
#[derive(Clone, Debug, Default)]
pub struct WatchState {
    freshness: Freshness,
    version: Option<u64>,
    /// The version of the listing that the router uses.
    in_use_version: Option<u64>,
    advert: ListingAdvert,
    /// Version of the last change that another router advertised.
    advertised_version: u64,
    /// Since when an advertised change has been missing here.
    behind_since_ms: Option<u64>,
    /// Since when calls of this router have been failing.
    failing_since_ms: Option<u64>,
}

/// The parts of an answer of the store that show how up to date a listing is.
#[derive(Clone, Copy, Debug)]
pub struct WatchAnswer {
    /// Whether the answer may omit removals of records, as a whole listing does.
    pub may_hide_removals: bool,
    /// Time at which the call was sent, in local milliseconds.
    pub sent_ms: u64,
    /// Time at which the answer arrived, in local milliseconds.
    pub received_ms: u64,
    /// Version up to which the answer contains all changes.
    pub version: u64,
    /// Version of the last change in the answer, if it contains any.
    pub changed_version: Option<u64>,
    /// Time of the store's clock in milliseconds.
    pub store_now_ms: u64,
}

impl WatchState {
    /// Records that a call failed. Returns true if the previous one did not.
    pub fn record_failure(&mut self, sent_ms: u64) -> bool {
        let is_first = self.failing_since_ms.is_none();
        self.failing_since_ms.get_or_insert(sent_ms);
        is_first
    }

    /// Updates the mapping of the store's clock with an answer about another listing.
    pub fn record_clock(&mut self, sent_ms: u64, received_ms: u64, store_now_ms: u64) {
        self.freshness
            .record_clock(sent_ms, received_ms, store_now_ms);
        // A proof that arrived before the store's clock was mapped counts from now on.
        if let Some(store_ms) = self.advert.proven_store_ms {
            self.freshness.record_proof(store_ms, received_ms);
        }
    }

    /// Records that the router uses the listing with all changes that were recorded so far.
    pub fn record_in_use(&mut self) {
        self.in_use_version = self.version;
    }

    /// Returns whether the router uses the listing that the last proof refers to. A proof is recorded
    /// a moment before the changes that came with it are in use.
    pub fn is_in_use(&self) -> bool {
        self.in_use_version == self.version
    }

    /// Records an answer of the store. Returns how long the store was unavailable, in milliseconds:
    /// for as long as calls failed, but 0 if another router got a proof from the store in that
    /// time. Then the store was available, and entries missing from it are gone.
    pub fn record_answer(&mut self, answer: &WatchAnswer) -> u64 {
        let received_ms = answer.received_ms;
        let age_ms = self.age_ms(received_ms).unwrap_or(received_ms);
        let proven_ms = received_ms.saturating_sub(age_ms);
        let failing_since_ms = self.failing_since_ms.take();
        let outage_since_ms = failing_since_ms.filter(|since| proven_ms <= *since);
        let sent_ms = answer.sent_ms;
        self.freshness
            .record_answer(sent_ms, received_ms, answer.store_now_ms);
        self.version = Some(answer.version);
        // A removal may have any version up to the answer's.
        let changed = match answer.may_hide_removals {
            true => answer.version,
            false => answer.changed_version.unwrap_or(0),
        };
        self.advert.changed_version = self.advert.changed_version.max(changed);
        self.advert.proven_store_ms = Some(answer.store_now_ms);
        self.update_behind(received_ms);
        outage_since_ms.map_or(0, |since| received_ms.saturating_sub(since))
    }

    /// Records what another router advertises. Returns true if a change is missing here.
    pub fn record_advert(&mut self, advert: &ListingAdvert, now_ms: u64) -> bool {
        self.advert.recovered_store_ms = self
            .advert
            .recovered_store_ms
            .max(advert.recovered_store_ms);
        self.advertised_version = self.advertised_version.max(advert.changed_version);
        self.update_behind(now_ms);
        let Some(version) = self.version else {
            return advert.proven_store_ms.is_some();
        };
        if advert.changed_version > version {
            return true;
        }
        if let Some(store_ms) = advert.proven_store_ms {
            self.freshness.record_proof(store_ms, now_ms);
            // A proof is valid only together with the change that it refers to.
            let changed = advert.changed_version;
            self.advert.changed_version = self.advert.changed_version.max(changed);
            let known = self.advert.proven_store_ms;
            self.advert.proven_store_ms = Some(known.map_or(store_ms, |known| known.max(store_ms)));
        }
        false
    }

    /// Records that another router sends all changes between two versions. Returns true if they are
    /// new here and nothing is missing before them. The caller must apply them at once: older
    /// changes applied after newer ones would restore servers that are gone.
    pub fn record_changes(&mut self, after: u64, version: u64, now_ms: u64) -> bool {
        let Some(known) = self.version else {
            return false;
        };
        if known < after || known >= version {
            return false;
        }
        self.version = Some(version);
        self.advert.changed_version = self.advert.changed_version.max(version);
        self.update_behind(now_ms);
        true
    }

    /// Records a whole listing of another router. Returns true if it is newer than the local one.
    /// The caller must apply it at once, like changes.
    pub fn record_snapshot(&mut self, version: u64, advert: &ListingAdvert, now_ms: u64) -> bool {
        if self.version.is_some_and(|known| known >= version) {
            return false;
        }
        self.version = Some(version);
        self.record_advert(advert, now_ms);
        true
    }

    /// Records that the store recovered from an outage at a time of its clock.
    pub fn record_recovery(&mut self, store_ms: u64) {
        self.advert.recovered_store_ms = self.advert.recovered_store_ms.max(Some(store_ms));
    }

    /// Records that this router's last answer ended an outage of the store.
    pub fn record_own_recovery(&mut self) {
        self.advert.recovered_store_ms = self
            .advert
            .recovered_store_ms
            .max(self.advert.proven_store_ms);
    }

    /// Returns the local time at which the store last recovered from an outage, as reported by any
    /// router.
    pub fn recovered_ms(&self) -> Option<u64> {
        self.freshness.to_local_ms(self.advert.recovered_store_ms?)
    }

    /// Converts a local time to one of the store's clock, which may be too late but not too early.
    pub fn to_store_ms(&self, local_ms: u64) -> Option<u64> {
        self.freshness.to_store_ms(local_ms)
    }

    /// Returns since when calls of this router have been failing.
    pub fn failing_since_ms(&self) -> Option<u64> {
        self.failing_since_ms
    }

    /// Returns the version of the last known change; there is none between it and the version of
    /// the watch.
    pub fn changed_version(&self) -> u64 {
        self.advert.changed_version
    }

    /// Returns the minimum version that a listing of another router must have to supply what is
    /// missing here.
    pub fn wanted_version(&self) -> u64 {
        match self.has_listing() {
            true => self.advertised_version,
            false => 0,
        }
    }

    /// Returns whether the listing was ever read here, even if its version was cleared.
    fn has_listing(&self) -> bool {
        self.version.is_some() || self.advert.changed_version > 0
    }

    /// Clears the version, so that the listing is read from scratch.
    pub fn clear_version(&mut self) {
        self.version = None;
    }

    /// Returns the version from which a watch continues.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns whether another router advertised a change that is missing here.
    pub fn is_behind(&self) -> bool {
        self.version
            .is_some_and(|version| self.advertised_version > version)
    }

    /// Time in milliseconds that a router has to read a change that is advertised after an outage
    /// of the store. It kept serving with its old state until then, and all other routers receive
    /// the advert at the same moment.
    const CATCH_UP_MS: u64 = 500;

    /// Returns whether the local state may be used to decide about an event at `at_ms`: either
    /// nothing newer is known to exist, or the state was the newest less than `bound_ms` before.
    ///
    /// While no router reaches the store nothing newer is known, so the local state stays usable.
    pub fn is_usable(&self, at_ms: u64, bound_ms: u64) -> bool {
        let Some(since_ms) = self.behind_since_ms else {
            return true;
        };
        at_ms < since_ms + Self::CATCH_UP_MS
            || self.age_ms(at_ms).is_some_and(|age_ms| age_ms < bound_ms)
    }

    fn update_behind(&mut self, now_ms: u64) {
        let known = self.version.unwrap_or(self.advert.changed_version);
        let is_behind = self.advertised_version > known;
        self.behind_since_ms = is_behind.then(|| self.behind_since_ms.unwrap_or(now_ms));
    }

    /// Returns since when an advertised change has been missing here.
    pub fn behind_since_ms(&self) -> Option<u64> {
        self.behind_since_ms
    }

    /// Returns the state to advertise.
    pub fn advert(&self) -> ListingAdvert {
        self.advert
    }

    /// Returns the time since the listing was last known to be the newest, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness.age_ms(now_ms)
    }
}
