//! The steward's ledger: exact slot counts of the servers that one router is steward of.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{LoadBound, ReservationId, RouterId, ServerId, server_limit};

/// Times that rule the ledger.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long slots of a router that is no longer heard of stay counted.
    pub dead_holder_grace_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            dead_holder_grace_ms: 3_000,
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
    pub bound_share: f64,
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
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeldSlots {
    /// Reservations from this id on were made later and are not judged by this message.
    pub next_reservation: u32,
    /// The reservations held or asked for on each server that the sender believes the receiver
    /// to be steward of; a server without any is listed empty.
    pub by_server: Vec<(ServerId, Vec<ReservationId>)>,
}

/// The slots of the servers that this router is steward of.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    me: RouterId,
    servers: BTreeMap<ServerId, ServerSlots>,
    lost_since_ms: BTreeMap<RouterId, u64>,
}

/// The slots of one server.
#[derive(Debug, Default)]
struct ServerSlots {
    held: BTreeMap<RouterId, BTreeSet<ReservationId>>,
    /// Routers that have not yet said what they hold; no grant before this is empty.
    unheard: BTreeSet<RouterId>,
}

impl Ledger {
    /// An empty ledger of the router `me`.
    pub fn new(me: RouterId, settings: Settings) -> Self {
        Self {
            settings,
            me,
            servers: BTreeMap::new(),
            lost_since_ms: BTreeMap::new(),
        }
    }

    /// Takes in a new view: the servers that this router is steward of, and the live routers.
    ///
    /// A server that is new here grants nothing until each live router has said what it holds.
    pub fn set_view(&mut self, stewarded: &[ServerId], live_routers: &[RouterId], now_ms: u64) {
        self.servers.retain(|server, _| stewarded.contains(server));
        for server in stewarded {
            self.servers.entry(*server).or_insert_with(|| ServerSlots {
                held: BTreeMap::new(),
                unheard: live_routers
                    .iter()
                    .copied()
                    .filter(|id| *id != self.me)
                    .collect(),
            });
        }
        self.forget_lost_routers(live_routers, now_ms);
    }

    /// Takes in what a router holds; this also settles lost grants and lost releases.
    pub fn reconcile(&mut self, router: RouterId, slots: &HeldSlots) {
        for (server, reservations) in &slots.by_server {
            let Some(entry) = self.servers.get_mut(server) else {
                continue;
            };
            entry.unheard.remove(&router);
            let held = entry.held.entry(router).or_default();
            held.retain(|id| id.0 >= slots.next_reservation);
            held.extend(reservations.iter().copied());
        }
    }

    /// Grants or refuses a slot.
    pub fn reserve(
        &mut self,
        request: &ReserveRequest,
        bound: &LoadBound,
        pool_in_flight: u32,
        live_servers: u32,
    ) -> Grant {
        let Some(entry) = self.servers.get_mut(&request.server) else {
            return Grant::NotSteward;
        };
        if !entry.unheard.is_empty() {
            return Grant::NotSteward;
        }
        let limit = server_limit(bound, pool_in_flight, live_servers, request.bound_share);
        if entry.count() >= limit {
            return Grant::Full;
        }
        entry
            .held
            .entry(request.router)
            .or_default()
            .insert(request.reservation);
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

    /// Slots held on a server, if this router is its steward.
    pub fn held(&self, server: ServerId) -> Option<u32> {
        self.servers.get(&server).map(ServerSlots::count)
    }

    fn forget_lost_routers(&mut self, live_routers: &[RouterId], now_ms: u64) {
        let holders: BTreeSet<RouterId> = self
            .servers
            .values()
            .flat_map(|slots| slots.held.keys().chain(&slots.unheard).copied())
            .filter(|id| *id != self.me)
            .collect();
        for router in holders {
            if live_routers.contains(&router) {
                self.lost_since_ms.remove(&router);
                continue;
            }
            let since_ms = *self.lost_since_ms.entry(router).or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) < self.settings.dead_holder_grace_ms {
                continue;
            }
            self.lost_since_ms.remove(&router);
            for slots in self.servers.values_mut() {
                slots.held.remove(&router);
                slots.unheard.remove(&router);
            }
        }
    }
}

impl ServerSlots {
    fn count(&self) -> u32 {
        self.held.values().map(|held| held.len() as u32).sum()
    }
}
