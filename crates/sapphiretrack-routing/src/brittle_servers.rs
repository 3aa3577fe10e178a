//! Limits what all routers together send to servers that fall over if they have to refuse too many requests.

use std::collections::{HashMap, HashSet};

use crate::Incarnation;

/// What servers stated about how many refusals they endure.
///
/// A router cannot keep the sum of all routers' refusals low by its own refusals alone: in a fleet larger
/// than the limit, the first one at each router is too many. So the routers divide the slots of such a
/// server among themselves, without a message, and no request is sent that may not find a free one.
#[derive(Clone, Debug, Default)]
pub struct BrittleServers {
    /// The last statement of a server of each service. It stands for all of them, also those that start
    /// later.
    stated: HashMap<String, Statement>,
    owners: HashMap<Incarnation, Owner>,
    /// Services of which a server has answered since this router started.
    answered: HashSet<String>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    max_refusals_per_s: u32,
    stated_ms: u64,
}

/// Whether this router is one of a server's owners, and when that was determined.
#[derive(Clone, Copy, Debug)]
struct Owner {
    is_owner: bool,
    checked_ms: u64,
}

/// How the slots of a server are divided among the routers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotShare {
    /// Number of routers that may send requests: the first by rendezvous hashing.
    pub owners: usize,
    /// Requests that each of them may have in flight there.
    pub slots: u32,
}

impl SlotShare {
    /// Divides the slots of a server among the routers of a fleet.
    pub fn new(slots: u32, routers: usize) -> Self {
        let owners = routers.clamp(1, slots.max(1) as usize);
        Self {
            owners,
            slots: slots.max(1) / owners as u32,
        }
    }

    /// Returns the part of a server that a router may use before it knows whether the server is brittle.
    pub fn before_first_answer(slots: u32, routers: usize) -> Self {
        Self {
            owners: routers,
            slots: (slots / routers.max(1) as u32).max(1),
        }
    }

    /// Returns an owner's part of a server's memory, in tokens: a request that does not fit waits even if a
    /// slot is free. Unlimited if the memory is unknown.
    pub fn memory_tokens(&self, server_tokens: u64) -> u64 {
        match server_tokens {
            0 => u64::MAX,
            tokens => tokens / self.owners as u64,
        }
    }
}

impl BrittleServers {
    /// Time in milliseconds for which a statement counts without another answer of its service.
    const VALID_MS: u64 = 10_000;
    /// Time in milliseconds for which the owners of a server are not determined again.
    const OWNER_VALID_MS: u64 = 500;
    /// Range of the pause after a refusal, in milliseconds.
    const PAUSE_MS: std::ops::RangeInclusive<u64> = 100..=5_000;

    /// Records what an answer of a service's server states: how many refusals it endures in a second, or
    /// nothing. Returns whether that is new.
    pub fn record(&mut self, service: &str, max_refusals_per_s: Option<u32>, now_ms: u64) -> bool {
        if !self.answered.contains(service) {
            self.answered.insert(service.to_owned());
        }
        let Some(max_refusals_per_s) = max_refusals_per_s else {
            return self.stated.remove(service).is_some();
        };
        let statement = Statement {
            max_refusals_per_s,
            stated_ms: now_ms,
        };
        let former = match self.stated.get_mut(service) {
            Some(known) => Some(std::mem::replace(known, statement)),
            None => self.stated.insert(service.to_owned(), statement),
        };
        former.is_none_or(|former| now_ms >= former.stated_ms + Self::VALID_MS)
    }

    /// Returns whether a server of the service has answered, so that it is known whether they are brittle.
    pub fn is_known(&self, service: &str) -> bool {
        self.answered.contains(service)
    }

    /// Returns the number of services whose servers are brittle.
    pub fn count(&self, now_ms: u64) -> usize {
        let services = self.stated.keys();
        services
            .filter(|service| self.contains(service, now_ms))
            .count()
    }

    /// Returns whether the servers of a service are brittle.
    pub fn contains(&self, service: &str, now_ms: u64) -> bool {
        let statement = self.stated.get(service);
        statement.is_some_and(|statement| now_ms < statement.stated_ms + Self::VALID_MS)
    }

    /// Returns whether this router is an owner of a server; `find_out` determines it if that was not
    /// done lately.
    pub fn is_owner<FindOut>(&mut self, server: Incarnation, now_ms: u64, find_out: FindOut) -> bool
    where
        FindOut: FnOnce() -> bool,
    {
        let known = self.owners.get(&server);
        if let Some(known) = known
            && now_ms < known.checked_ms + Self::OWNER_VALID_MS
        {
            return known.is_owner;
        }
        let owner = Owner {
            is_owner: find_out(),
            checked_ms: now_ms,
        };
        self.owners.insert(server, owner);
        owner.is_owner
    }

    /// Returns for how long this router sends a server nothing after it was refused there, in
    /// milliseconds, so that `routers` like it stay below the server's limit; `None` if it has none.
    pub fn pause_ms(&self, service: &str, routers: usize) -> Option<u64> {
        let limit = u64::from(self.stated.get(service)?.max_refusals_per_s.max(1));
        let pause_ms = 1_000 * routers as u64 / limit;
        Some(pause_ms.clamp(*Self::PAUSE_MS.start(), *Self::PAUSE_MS.end()))
    }

    /// Forgets the owners of servers that are not listed.
    pub fn retain_listed<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(Incarnation) -> bool,
    {
        self.owners.retain(|server, _| is_listed(*server));
    }
}
