//! How far a router knows a listing of the store, and what it learns of it from other routers.

use serde::{Deserialize, Serialize};

use crate::Freshness;

/// What a router advertises of a listing.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ListingAdvert {
    /// The store's version at the last change that it knows.
    pub changed_version: u64,
    /// The time of the store's clock at which there was no later change.
    pub proven_store_ms: Option<u64>,
    /// The time of the store's clock at which it last served again after an outage. Entries that
    /// lapsed meanwhile may still come back. A time, unlike a flag, may be passed on without end.
    pub recovered_store_ms: Option<u64>,
}

/// One listing as a router knows it.
///
/// Few routers keep a watch open at the store. They advertise the version of the last change
/// and when there was none later. Who has that change is as new as the watcher; who lacks it
/// asks the store once. So the store's calls grow with changes, not with time and routers.
#[derive(Clone, Debug, Default)]
pub struct WatchState {
    freshness: Freshness,
    version: Option<u64>,
    advert: ListingAdvert,
    /// The version of the last change that another router advertised.
    advertised_version: u64,
    /// Since when a change is advertised that is not known here.
    behind_since_ms: Option<u64>,
    /// Since when calls of this router fail.
    failing_since_ms: Option<u64>,
}

/// An answer of the store, as far as it tells how new a listing is.
#[derive(Clone, Copy, Debug)]
pub struct WatchAnswer {
    /// Whether records may have been removed without a sign of it in the answer, as in a whole listing.
    pub may_hide_removals: bool,
    /// When the call was sent.
    pub sent_ms: u64,
    /// When its answer came.
    pub received_ms: u64,
    /// The version up to which all changes are known with it.
    pub version: u64,
    /// The version of the last change in it, if it holds any.
    pub changed_version: Option<u64>,
    /// The store's clock.
    pub store_now_ms: u64,
}

impl WatchState {
    /// Notes that a call failed; true if the one before it did not.
    pub fn note_failure(&mut self, sent_ms: u64) -> bool {
        let is_first = self.failing_since_ms.is_none();
        self.failing_since_ms.get_or_insert(sent_ms);
        is_first
    }

    /// Maps the store's clock to the local one by an answer about another listing.
    pub fn note_clock(&mut self, sent_ms: u64, received_ms: u64, store_now_ms: u64) {
        self.freshness
            .note_clock(sent_ms, received_ms, store_now_ms);
        // A proof that came before the clock was known counts from now on.
        if let Some(store_ms) = self.advert.proven_store_ms {
            self.freshness.note_proof(store_ms, received_ms);
        }
    }

    /// Notes an answer of the store. Returns how long the store had been away: as long as calls
    /// failed, but not at all if it gave another router a proof in that time. Then it was there,
    /// and what is missing from it is gone.
    pub fn note_answer(&mut self, answer: &WatchAnswer) -> u64 {
        let received_ms = answer.received_ms;
        let age_ms = self.age_ms(received_ms).unwrap_or(received_ms);
        let proven_ms = received_ms.saturating_sub(age_ms);
        let failing_since_ms = self.failing_since_ms.take();
        let away_since_ms = failing_since_ms.filter(|since| proven_ms <= *since);
        let sent_ms = answer.sent_ms;
        self.freshness
            .note_answer(sent_ms, received_ms, answer.store_now_ms);
        self.version = Some(answer.version);
        // Any version up to it may be that of a removal.
        let changed = match answer.may_hide_removals {
            true => answer.version,
            false => answer.changed_version.unwrap_or(0),
        };
        self.advert.changed_version = self.advert.changed_version.max(changed);
        self.advert.proven_store_ms = Some(answer.store_now_ms);
        self.note_behind(received_ms);
        away_since_ms.map_or(0, |since| received_ms.saturating_sub(since))
    }

    /// Takes in what another router advertises; true if there is a change that is missing here.
    pub fn note_advert(&mut self, advert: &ListingAdvert, now_ms: u64) -> bool {
        self.advert.recovered_store_ms = self
            .advert
            .recovered_store_ms
            .max(advert.recovered_store_ms);
        self.advertised_version = self.advertised_version.max(advert.changed_version);
        self.note_behind(now_ms);
        let Some(version) = self.version else {
            return advert.proven_store_ms.is_some();
        };
        if advert.changed_version > version {
            return true;
        }
        if let Some(store_ms) = advert.proven_store_ms {
            self.freshness.note_proof(store_ms, now_ms);
            // A proof holds only together with the change that it was given for.
            let changed = advert.changed_version;
            self.advert.changed_version = self.advert.changed_version.max(changed);
            let known = self.advert.proven_store_ms;
            self.advert.proven_store_ms = Some(known.map_or(store_ms, |known| known.max(store_ms)));
        }
        false
    }

    /// Takes in that another router passes on all changes after one version up to another; true
    /// if they are advert here and nothing is missing before them. They are to be applied at once:
    /// older ones that are applied after newer ones would bring back servers that are gone.
    pub fn note_changes(&mut self, after: u64, version: u64, now_ms: u64) -> bool {
        let Some(known) = self.version else {
            return false;
        };
        if known < after || known >= version {
            return false;
        }
        self.version = Some(version);
        self.advert.changed_version = self.advert.changed_version.max(version);
        self.note_behind(now_ms);
        true
    }

    /// Takes in a whole listing of another router; true if it is newer than what is known here.
    /// It is to be applied at once, like changes.
    pub fn note_snapshot(&mut self, version: u64, advert: &ListingAdvert, now_ms: u64) -> bool {
        if self.version.is_some_and(|known| known >= version) {
            return false;
        }
        self.version = Some(version);
        self.note_advert(advert, now_ms);
        true
    }

    /// Notes that the store serves again after an outage, at a time of its clock.
    pub fn note_recovery(&mut self, store_ms: u64) {
        self.advert.recovered_store_ms = self.advert.recovered_store_ms.max(Some(store_ms));
    }

    /// Notes that this router's last answer ended an outage of the store.
    pub fn note_own_recovery(&mut self) {
        self.advert.recovered_store_ms = self
            .advert
            .recovered_store_ms
            .max(self.advert.proven_store_ms);
    }

    /// When the store last served again after an outage, by any router's word.
    pub fn recovered_ms(&self) -> Option<u64> {
        self.freshness.to_local_ms(self.advert.recovered_store_ms?)
    }

    /// Since when calls of this router fail.
    pub fn failing_since_ms(&self) -> Option<u64> {
        self.failing_since_ms
    }

    /// The version of the last change that is known here; there is none between it and the
    /// version of the watch.
    pub fn changed_version(&self) -> u64 {
        self.advert.changed_version
    }

    /// The version that another router must have to be of use here.
    pub fn wanted_version(&self) -> u64 {
        match self.knows_any() {
            true => self.advertised_version,
            false => 0,
        }
    }

    /// Whether it was ever known here, if not up to which version.
    fn knows_any(&self) -> bool {
        self.version.is_some() || self.advert.changed_version > 0
    }

    /// Forgets how far it is known: it will be listed anew.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// The version from which a watch goes on.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether another router advertised a change that is not known here.
    pub fn is_behind(&self) -> bool {
        self.version
            .is_some_and(|version| self.advertised_version > version)
    }

    /// How long a router that learns of a change after an outage of the store has to read it: it served on
    /// by what it knew until then, and all others learn of it in the same moment.
    const READ_MS: u64 = 500;

    /// Whether what is known here may decide about something that happened at a time: nothing newer is
    /// known to exist, or this was the newest less than `bound_ms` before.
    ///
    /// While nobody reaches the store nothing newer is known, and what is known here stays usable.
    pub fn is_usable(&self, at_ms: u64, bound_ms: u64) -> bool {
        let Some(since_ms) = self.behind_since_ms else {
            return true;
        };
        at_ms < since_ms + Self::READ_MS
            || self.age_ms(at_ms).is_some_and(|age_ms| age_ms < bound_ms)
    }

    fn note_behind(&mut self, now_ms: u64) {
        let known = self.version.unwrap_or(self.advert.changed_version);
        let is_behind = self.advertised_version > known;
        self.behind_since_ms = is_behind.then(|| self.behind_since_ms.unwrap_or(now_ms));
    }

    /// Since when a change is advertised that is not known here.
    pub fn behind_since_ms(&self) -> Option<u64> {
        self.behind_since_ms
    }

    /// What to advertise.
    pub fn advert(&self) -> ListingAdvert {
        self.advert
    }

    /// How long ago it was the newest for sure.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness.age_ms(now_ms)
    }
}
