//! Plans how a message reaches all routers while little of it crosses availability zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A router that should receive a message.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// Its availability zone; `None` if not known yet.
    pub zone: Option<&'a str>,
    /// Whether it is live and can therefore relay.
    pub is_live: bool,
}

/// The routers that a message is sent to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BroadcastPlan {
    /// Routers that receive the message only for themselves.
    pub direct: Vec<SocketAddr>,
    /// Routers that also forward it to all others of their availability zone.
    pub relays: Vec<SocketAddr>,
}

impl BroadcastPlan {
    /// Plans a broadcast. Routers of the own availability zone receive the message directly. Each
    /// other zone receives it through `copies` live relays, or directly if it has no more routers
    /// than that or no live one. `turn` rotates the relays, which spreads the work; a lost relay
    /// then costs only single messages.
    pub fn new<'a, Recipients>(
        own_zone: &str,
        recipients: Recipients,
        turn: usize,
        copies: usize,
    ) -> Self
    where
        Recipients: IntoIterator<Item = Recipient<'a>>,
    {
        let mut plan = Self::default();
        let mut zones: BTreeMap<&str, Vec<Recipient<'a>>> = BTreeMap::new();
        for recipient in recipients {
            match recipient.zone.filter(|zone| *zone != own_zone) {
                Some(zone) => zones.entry(zone).or_default().push(recipient),
                None => plan.direct.push(recipient.address),
            }
        }
        for members in zones.into_values() {
            let live = members.iter().filter(|one| one.is_live);
            let live: Vec<SocketAddr> = live.map(|one| one.address).collect();
            if live.is_empty() || members.len() <= copies {
                plan.direct.extend(members.iter().map(|one| one.address));
                continue;
            }
            let copies = copies.min(live.len());
            let relays = (0..copies).map(|copy| live[(turn + copy) % live.len()]);
            plan.relays.extend(relays);
        }
        plan
    }

    /// Returns how many messages this router sends.
    pub fn len(&self) -> usize {
        self.direct.len() + self.relays.len()
    }

    /// Returns whether there are no recipients.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
