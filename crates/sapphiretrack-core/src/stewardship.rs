//! The router that each server's slots are requested from, and the one that this router consents to
//! as steward.
//!
//! A steward grants slots only with recent consent from a majority of the cell's routers. Before a
//! router consents to another steward, it lets its earlier consent expire. So no two routers can
//! have the consent of a majority for the same server at the same time.

use std::collections::BTreeMap;

use crate::{RouterId, ServerId};

/// Timing of consent; has to be the same on all routers of a cell.
#[derive(Clone, Copy, Debug)]
pub struct ConsentSettings {
    /// How long a steward counts a router's consent after receiving the heartbeat that carries it.
    pub consent_ms: u64,
    /// Maximum delay of a heartbeat; later ones are discarded.
    pub max_heartbeat_delay_ms: u64,
}

impl Default for ConsentSettings {
    fn default() -> Self {
        Self {
            consent_ms: 3_000,
            max_heartbeat_delay_ms: 500,
        }
    }
}

impl ConsentSettings {
    /// How long a router waits between its last consent to one steward and its first to another.
    pub fn handover_ms(&self) -> u64 {
        self.consent_ms + self.max_heartbeat_delay_ms
    }
}

/// The stewards that this router consents to.
#[derive(Debug)]
pub struct StewardConsents {
    settings: ConsentSettings,
    consents: BTreeMap<ServerId, Consent>,
}

/// The last consent for a server, and the steward in the router's current view.
#[derive(Clone, Copy, Debug)]
struct Consent {
    steward: RouterId,
    preferred: RouterId,
    /// When the consent was last sent; `None` if the steward cannot count it any more.
    sent_ms: Option<u64>,
}

impl StewardConsents {
    /// Creates a table without consents.
    pub fn new(settings: ConsentSettings) -> Self {
        Self {
            settings,
            consents: BTreeMap::new(),
        }
    }

    /// Sets the steward of a server in this router's current view.
    ///
    /// `may_begin` is false while the router does not see a majority of its cell. Then it gives no
    /// consent for a server that it has not consented for before.
    pub fn set_preferred(
        &mut self,
        server: ServerId,
        preferred: RouterId,
        may_begin: bool,
        now_ms: u64,
    ) {
        let handover_ms = self.settings.handover_ms();
        let Some(consent) = self.consents.get_mut(&server) else {
            if may_begin {
                let consent = Consent {
                    steward: preferred,
                    preferred,
                    sent_ms: Some(now_ms),
                };
                self.consents.insert(server, consent);
            }
            return;
        };
        consent.preferred = preferred;
        let is_valid = |sent_ms: u64| now_ms.saturating_sub(sent_ms) < handover_ms;
        if consent.steward != preferred && !consent.sent_ms.is_some_and(is_valid) {
            consent.steward = preferred;
        }
    }

    /// Records that a router's incarnation has ended or resigned and can grant nothing any more, so
    /// that consent to it does not have to expire. Returns whether this changes anything.
    ///
    /// A later incarnation of the router does not count consent that was sent to an earlier one.
    pub fn release(&mut self, router: RouterId) -> bool {
        let mut is_changed = false;
        for consent in self.consents.values_mut() {
            if consent.steward == router {
                is_changed |= consent.sent_ms.take().is_some();
            }
        }
        is_changed
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(ServerId) -> bool,
    {
        self.consents.retain(|server, _| keep(*server));
    }

    /// The router that a slot on the server is requested from.
    pub fn steward(&self, server: ServerId) -> Option<RouterId> {
        self.consents.get(&server).map(|consent| consent.steward)
    }

    /// The router that this router consents to now; `None` until an earlier consent has expired.
    pub fn consent(&self, server: ServerId) -> Option<RouterId> {
        let consent = self.consents.get(&server)?;
        (consent.steward == consent.preferred).then_some(consent.steward)
    }

    /// Records that a heartbeat with this router's consents is sent to this steward.
    pub fn note_sent(&mut self, steward: RouterId, now_ms: u64) {
        for consent in self.consents.values_mut() {
            if consent.steward == steward && consent.preferred == steward {
                consent.sent_ms = Some(now_ms);
            }
        }
    }
}
