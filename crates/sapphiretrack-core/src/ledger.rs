//! The steward's ledger: exact slot counts of the servers that one router is steward of.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ConsentSettings, LoadBound, PoolLoad, ReservationId, RouterId, ServerId, server_limit,
};

/// Times that rule the ledger.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a new steward waits for a router that is no longer heard of.
    pub dead_holder_grace_ms: u64,
    /// How long a router that is no longer heard of still counts among those of whom most have
    /// to consent, and its known slots stay counted; longer than an isolated router keeps taking
    /// new work.
    pub electorate_ms: u64,
    /// For so long, requests of a lost router may run on a server that no router lists; what the
    /// server reports beyond the listed ones is counted too.
    pub orphans_ms: u64,
    /// How consent is given.
    pub consent: ConsentSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            dead_holder_grace_ms: 3_000,
            electorate_ms: 15_000,
            orphans_ms: 60_000,
            consent: ConsentSettings::default(),
        }
    }
}

/// Asks for a slot on a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReserveRequest {
    /// Who asks.
    pub router: RouterId,
    /// Unique for the asker.
    pub reservation: ReservationId,
    /// The server.
    pub server: ServerId,
    /// The part of the bound that the request's class may fill.
    pub bound_share: f32,
    /// The asker's requests in flight on the server's pool.
    pub in_flight: u16,
}

/// The steward's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// The slot is the asker's until it releases it.
    Granted,
    /// The server is at its bound for this class.
    Full,
    /// This router is not the server's steward, or does not yet know all holders.
    NotSteward,
}

/// What a router holds on the servers of one steward, as it stands when sent.
///
/// Listing a server is also the sender's consent that the receiver is its steward.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeldSlots {
    /// Reservations from this id on were made later and are not judged by this message.
    pub next_reservation: u32,
    /// The reservations held or asked for on each server that the sender believes the receiver
    /// to be steward of; a server without any is listed empty.
    pub by_server: Vec<(ServerId, Vec<ReservationId>)>,
}

/// The routers of a cell as one of them knows them.
#[derive(Clone, Copy, Debug)]
pub struct CellView<'a> {
    /// The servers that this router's own view makes it steward of.
    pub stewarded: &'a [ServerId],
    /// The routers heard of lately, leaving ones and this one included.
    pub live: &'a [RouterId],
    /// All routers there may be: listed ones and those heard of lately.
    pub known: &'a [RouterId],
}

/// The slots of the servers that this router is steward of.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    me: RouterId,
    servers: BTreeMap<ServerId, ServerSlots>,
    /// Known routers that are not heard of, and since when.
    lost_since_ms: BTreeMap<RouterId, u64>,
    /// Everyone who may hold a slot that this router did not grant.
    holders: BTreeSet<RouterId>,
    /// Routers of whom most have to consent.
    electorate: usize,
    hears_cell: bool,
    /// Until then requests may run that no router lists.
    orphans_until_ms: u64,
}

/// The slots of one server.
#[derive(Debug, Default)]
struct ServerSlots {
    held: BTreeMap<RouterId, BTreeSet<ReservationId>>,
    /// When each router last said what it holds, and so consented to this steward.
    consents: BTreeMap<RouterId, u64>,
    /// Requests that the server reported beyond those listed, by its last two reports: a slot that
    /// is listed and was refused hides one for the time of a heartbeat.
    unlisted: [u32; 2],
    /// Whether all holders were heard under the present consent; no grant before.
    is_whole: bool,
}

impl Ledger {
    /// An empty ledger of the router `me`.
    pub fn new(me: RouterId, settings: Settings) -> Self {
        Self {
            settings,
            me,
            servers: BTreeMap::new(),
            lost_since_ms: BTreeMap::new(),
            holders: BTreeSet::new(),
            electorate: 1,
            hears_cell: false,
            orphans_until_ms: 0,
        }
    }

    /// Takes in a new view. Call it often: this is also where consent is seen to lapse.
    ///
    /// A server that is new here, or whose consent has lapsed, grants nothing until most routers
    /// consent and every router that may hold a slot has said what it holds.
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
        for slots in self.servers.values_mut() {
            slots.settle(&self.holders, self.electorate, consent_ms, now_ms);
        }
    }

    /// Takes in what a router holds; this also settles lost grants and lost releases.
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
        let consent_ms = self.settings.consent.consent_ms;
        let Some(entry) = self.servers.get_mut(&request.server) else {
            return Grant::NotSteward;
        };
        entry.settle(&self.holders, self.electorate, consent_ms, now_ms);
        if !entry.is_whole {
            return Grant::NotSteward;
        }
        let share = f64::from(request.bound_share);
        let limit = server_limit(bound, load, share);
        let unlisted = match now_ms < self.orphans_until_ms {
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

    /// Gives a slot back.
    pub fn release(&mut self, router: RouterId, server: ServerId, reservation: ReservationId) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(held) = entry.held.get_mut(&router) {
            held.remove(&reservation);
        }
    }

    /// Takes in how many requests a server itself reports.
    pub fn note_report(&mut self, server: ServerId, reported: u32) {
        if let Some(entry) = self.servers.get_mut(&server) {
            let unlisted = reported.saturating_sub(entry.count());
            entry.unlisted = [unlisted, entry.unlisted[0]];
        }
    }

    /// Whether this router hears of most of its cell, and of all routers that may hold slots.
    pub fn hears_cell(&self) -> bool {
        self.hears_cell
    }

    /// Slots held on a server, if this router counts them all.
    pub fn held(&self, server: ServerId) -> Option<u32> {
        let slots = self.servers.get(&server)?;
        slots.is_whole.then(|| slots.count())
    }

    fn note_lost_routers(&mut self, view: &CellView<'_>, now_ms: u64) {
        for router in view.live {
            self.lost_since_ms.remove(router);
        }
        for router in view.known {
            if !view.live.contains(router) {
                self.lost_since_ms.entry(*router).or_insert(now_ms);
            }
        }
        let grace_ms = self.settings.dead_holder_grace_ms;
        let electorate_ms = self.settings.electorate_ms;
        let mut voters = view.live.len();
        self.holders = view.live.iter().copied().collect();
        for (router, since_ms) in &self.lost_since_ms {
            let lost_ms = now_ms.saturating_sub(*since_ms);
            voters += usize::from(lost_ms < electorate_ms);
            if lost_ms < grace_ms {
                self.holders.insert(*router);
                self.orphans_until_ms = now_ms + self.settings.orphans_ms;
            }
            if lost_ms >= electorate_ms {
                for slots in self.servers.values_mut() {
                    slots.held.remove(router);
                }
            }
        }
        self.holders.remove(&self.me);
        self.electorate = voters.max(1);
        let hears_holders = self.holders.iter().all(|holder| view.live.contains(holder));
        self.hears_cell = hears_holders && view.live.len() * 2 > self.electorate;
        let known = view.known;
        self.lost_since_ms.retain(|router, since_ms| {
            known.contains(router) || now_ms.saturating_sub(*since_ms) < electorate_ms
        });
    }
}

impl ServerSlots {
    fn count(&self) -> u32 {
        self.held.values().map(|held| held.len() as u32).sum()
    }

    fn fresh_consents(&self, consent_ms: u64, now_ms: u64) -> usize {
        let fresh = |at_ms: &&u64| now_ms.saturating_sub(**at_ms) < consent_ms;
        self.consents.values().filter(fresh).count()
    }

    /// Sees whether this router may grant: it starts when every possible holder has just
    /// consented and said what it holds, and goes on while most consent.
    fn settle(
        &mut self,
        holders: &BTreeSet<RouterId>,
        electorate: usize,
        consent_ms: u64,
        now_ms: u64,
    ) {
        let has_most = self.fresh_consents(consent_ms, now_ms) * 2 > electorate;
        let is_fresh = |router: &RouterId| {
            self.consents
                .get(router)
                .is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < consent_ms)
        };
        self.is_whole = has_most && (self.is_whole || holders.iter().all(is_fresh));
    }
}
