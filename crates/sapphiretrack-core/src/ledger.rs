//! The steward's ledger: exact slot counts of the servers that a router is steward of.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ConsentSettings, LoadBound, PoolLoad, ReservationId, RouterId, ServerId, server_limit,
};

/// Timing of the ledger.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a new steward waits for a lost router to list its slots.
    pub dead_holder_grace_ms: u64,
    /// How long a lost router still counts toward the quorum and its known slots stay counted. This
    /// is longer than an isolated router continues to accept new work.
    pub electorate_ms: u64,
    /// How long requests of a lost router may run on a server without any router listing them. For
    /// this time, requests that the server reports in excess of the listed ones count as well.
    pub orphaned_requests_ms: u64,
    /// Timing of consent.
    pub consent: ConsentSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            dead_holder_grace_ms: 3_000,
            electorate_ms: 15_000,
            orphaned_requests_ms: 60_000,
            consent: ConsentSettings::default(),
        }
    }
}

/// A request for a slot on a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReserveRequest {
    /// The requesting router.
    pub router: RouterId,
    /// The reservation's id, unique for the requesting router.
    pub reservation: ReservationId,
    /// The server.
    pub server: ServerId,
    /// Fraction of the load bound that the request's class may fill.
    pub bound_share: f32,
    /// The requesting router's requests in flight on the server's pool.
    pub in_flight: u16,
}

/// The steward's reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// The requesting router holds the slot until it releases it.
    Granted,
    /// The server has reached its load bound for this class.
    Full,
    /// This router is not the server's steward, or may not grant its slots now.
    NotSteward,
}

/// The slots that a router holds on the servers of one steward, at the time of sending.
///
/// Listing a server also gives the sender's consent to the receiver as its steward.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeldSlots {
    /// Reservations from this id on are newer than this message, which does not cover them.
    pub next_reservation: u32,
    /// Reservations held or requested, for each server whose steward is the receiver in the
    /// sender's view; a server without reservations has an empty list.
    pub by_server: Vec<(ServerId, Vec<ReservationId>)>,
}

/// One router's view of the routers of its cell.
#[derive(Clone, Copy, Debug)]
pub struct CellView<'a> {
    /// The servers that this router is steward of in its own view.
    pub stewarded: &'a [ServerId],
    /// The routers seen recently, including leaving ones and this one.
    pub live: &'a [RouterId],
    /// All routers that may exist: listed ones and those seen recently.
    pub known: &'a [RouterId],
    /// Routers whose last known incarnation is proven to have ended; ignored for live ones.
    pub ended: &'a [RouterId],
}

/// Slots of the servers that a router is steward of.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    me: RouterId,
    servers: BTreeMap<ServerId, ServerSlots>,
    /// Routers that are known but not seen.
    lost: BTreeMap<RouterId, LostRouter>,
    /// Other routers that may hold slots that this router did not grant.
    holders: BTreeSet<RouterId>,
    /// Number of routers of which a majority has to consent.
    electorate: usize,
    sees_majority: bool,
    /// Until this time, requests may be running that no router lists.
    orphaned_requests_until_ms: u64,
}

/// A router that is no longer seen.
#[derive(Clone, Copy, Debug)]
struct LostRouter {
    since_ms: u64,
    /// When it was proven to have ended, if it was.
    ended_ms: Option<u64>,
}

/// The slots of one server.
#[derive(Debug, Default)]
struct ServerSlots {
    held: BTreeMap<RouterId, BTreeSet<ReservationId>>,
    /// When each router last listed its slots, which includes its consent to this steward.
    consents: BTreeMap<RouterId, u64>,
    /// Requests in excess of the listed slots in the server's last two reports. Two are kept
    /// because a slot that is listed but was refused hides one request for a heartbeat interval.
    unlisted: [u32; 2],
    reported_ms: Option<u64>,
    /// Whether all possible holders have listed their slots and consent has lasted since then. No
    /// slot is granted before that.
    may_grant: bool,
}

impl Ledger {
    /// Creates an empty ledger for the router `me`.
    pub fn new(me: RouterId, settings: Settings) -> Self {
        Self {
            settings,
            me,
            servers: BTreeMap::new(),
            lost: BTreeMap::new(),
            holders: BTreeSet::new(),
            // No majority is possible before the first view.
            electorate: usize::MAX,
            sees_majority: false,
            orphaned_requests_until_ms: 0,
        }
    }

    /// Applies a new view. Call it often, because expired consent is detected here as well.
    ///
    /// No slots are granted on a server that is new here, or whose consent has expired, until a
    /// majority of the routers consents and every router that may hold a slot has listed its slots.
    pub fn set_view(&mut self, view: &CellView<'_>, now_ms: u64) {
        self.note_lost_routers(view, now_ms);
        for server in view.stewarded {
            let slots = self.servers.entry(*server).or_default();
            slots.consents.insert(self.me, now_ms);
        }
        let consent_ms = self.settings.consent.consent_ms;
        self.servers.retain(|server, slots| {
            view.stewarded.contains(server) || slots.fresh_consents(consent_ms, now_ms) > 0
        });
        let conditions = self.conditions(now_ms);
        for slots in self.servers.values_mut() {
            slots.update_may_grant(&conditions, now_ms);
        }
    }

    /// Applies a router's list of its slots; this also corrects the effects of lost grants and lost
    /// releases.
    pub fn reconcile(&mut self, router: RouterId, slots: &HeldSlots, now_ms: u64) {
        for (server, reservations) in &slots.by_server {
            let entry = self.servers.entry(*server).or_default();
            entry.consents.insert(router, now_ms);
            let held = entry.held.entry(router).or_default();
            held.retain(|id| id.is_at_or_after(slots.next_reservation));
            held.extend(reservations.iter().copied());
        }
    }

    /// Grants or refuses a slot.
    pub fn reserve(
        &mut self,
        request: &ReserveRequest,
        bound: &LoadBound,
        load: &PoolLoad,
        now_ms: u64,
    ) -> Grant {
        let conditions = self.conditions(now_ms);
        let Some(entry) = self.servers.get_mut(&request.server) else {
            return Grant::NotSteward;
        };
        entry.update_may_grant(&conditions, now_ms);
        if !entry.may_grant {
            return Grant::NotSteward;
        }
        let share = f64::from(request.bound_share);
        let limit = server_limit(bound, load, share);
        let unlisted = match now_ms < self.orphaned_requests_until_ms {
            true => entry.unlisted[0].max(entry.unlisted[1]),
            false => 0,
        };
        if entry.count() + unlisted >= limit {
            return Grant::Full;
        }
        let held = entry.held.entry(request.router).or_default();
        held.insert(request.reservation);
        Grant::Granted
    }

    /// Releases a slot.
    pub fn release(&mut self, router: RouterId, server: ServerId, reservation: ReservationId) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(held) = entry.held.get_mut(&router) {
            held.remove(&reservation);
        }
    }

    /// Records the number of requests in flight that a server reports.
    pub fn note_report(&mut self, server: ServerId, reported: u32, now_ms: u64) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.reported_ms = Some(now_ms);
            let unlisted = reported.saturating_sub(entry.count());
            entry.unlisted = [unlisted, entry.unlisted[0]];
        }
    }

    /// Whether this router sees a majority of its cell and every router that may hold slots.
    pub fn sees_majority(&self) -> bool {
        self.sees_majority
    }

    /// Number of slots held on a server; `None` unless this router counts all of them.
    pub fn held(&self, server: ServerId) -> Option<u32> {
        let slots = self.servers.get(&server)?;
        slots.may_grant.then(|| slots.count())
    }

    /// The current conditions for a new steward to start granting.
    fn conditions(&self, now_ms: u64) -> StartConditions {
        let electorate_ms = self.settings.electorate_ms;
        let is_recent = |lost: &LostRouter| now_ms.saturating_sub(lost.since_ms) < electorate_ms;
        let lost = self.lost.iter().filter(|(_, lost)| is_recent(lost));
        // This router is included: without its own consent, it does not fetch the server's reports.
        let mut holders = self.holders.clone();
        holders.insert(self.me);
        StartConditions {
            holders,
            electorate: self.electorate,
            consent_ms: self.settings.consent.consent_ms,
            lost: lost
                .map(|(router, lost)| (*router, lost.since_ms))
                .collect(),
        }
    }

    fn note_lost_routers(&mut self, view: &CellView<'_>, now_ms: u64) {
        self.update_lost_routers(view, now_ms);
        let Settings {
            dead_holder_grace_ms: grace_ms,
            electorate_ms,
            orphaned_requests_ms,
            consent,
        } = self.settings;
        let mut voters = view.live.len();
        self.holders = view.live.iter().copied().collect();
        for (router, lost) in &self.lost {
            let lost_for_ms = now_ms.saturating_sub(lost.since_ms);
            // A listed router may restart without this one seeing it. The consents of a router that
            // is gone for good can still be counted elsewhere for the handover time.
            let is_expired = !view.known.contains(router)
                && lost
                    .ended_ms
                    .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) >= consent.handover_ms());
            voters += usize::from(lost_for_ms < electorate_ms && !is_expired);
            if lost_for_ms < grace_ms {
                self.orphaned_requests_until_ms = now_ms + orphaned_requests_ms;
                if lost.ended_ms.is_none() {
                    self.holders.insert(*router);
                }
            }
            if lost_for_ms >= electorate_ms {
                for slots in self.servers.values_mut() {
                    slots.held.remove(router);
                }
            }
        }
        self.holders.remove(&self.me);
        self.electorate = voters.max(1);
        let sees_holders = self.holders.iter().all(|holder| view.live.contains(holder));
        self.sees_majority = sees_holders && view.live.len() * 2 > self.electorate;
        let known = view.known;
        self.lost.retain(|router, lost| {
            known.contains(router) || now_ms.saturating_sub(lost.since_ms) < electorate_ms
        });
    }

    /// Updates which known routers are not seen and which of them have ended.
    fn update_lost_routers(&mut self, view: &CellView<'_>, now_ms: u64) {
        for router in view.live {
            self.lost.remove(router);
        }
        let known = view.known.iter().chain(&self.holders);
        for router in known.filter(|router| !view.live.contains(router)) {
            let lost = self.lost.entry(*router).or_insert(LostRouter {
                since_ms: now_ms,
                ended_ms: None,
            });
            if view.ended.contains(router) {
                lost.ended_ms.get_or_insert(now_ms);
            }
        }
    }
}

/// Conditions for a steward to start granting slots.
struct StartConditions {
    /// This router and those that may hold slots that it did not grant. All have to consent.
    holders: BTreeSet<RouterId>,
    /// Number of routers of which a majority has to consent.
    electorate: usize,
    consent_ms: u64,
    /// Routers lost recently, with the time of the loss. A lost router's slots are known if its
    /// list is recent. Otherwise the server has to have reported since the loss, so that the
    /// router's requests count as unlisted ones.
    lost: Vec<(RouterId, u64)>,
}

impl ServerSlots {
    fn count(&self) -> u32 {
        self.held.values().map(|held| held.len() as u32).sum()
    }

    fn fresh_consents(&self, consent_ms: u64, now_ms: u64) -> usize {
        let fresh = |at_ms: &&u64| now_ms.saturating_sub(**at_ms) < consent_ms;
        self.consents.values().filter(fresh).count()
    }

    /// Updates whether this router may grant slots. It starts once every possible holder has
    /// recently consented and listed its slots, and continues as long as a majority consents.
    fn update_may_grant(&mut self, conditions: &StartConditions, now_ms: u64) {
        let consent_ms = conditions.consent_ms;
        let has_majority = self.fresh_consents(consent_ms, now_ms) * 2 > conditions.electorate;
        let is_fresh = |router: &RouterId| {
            self.consents
                .get(router)
                .is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < consent_ms)
        };
        let reported_after = |lost_ms: u64| {
            self.reported_ms
                .is_some_and(|reported_ms| reported_ms > lost_ms)
        };
        let mut lost = conditions.lost.iter();
        let are_lost_counted =
            lost.all(|(router, at_ms)| is_fresh(router) || reported_after(*at_ms));
        let can_start = are_lost_counted && conditions.holders.iter().all(is_fresh);
        self.may_grant = has_majority && (self.may_grant || can_start);
    }
}
