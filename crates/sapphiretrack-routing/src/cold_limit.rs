//! Divides the requests that a cold backend server tolerates among the routers, without messages
//! between them.

/// The most requests that a cold server may get within any second, from all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests in any period of one second.
    pub requests_per_s: f64,
}

/// The part of a [`ColdLimit`] that each owner of a server may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdShare {
    /// Number of routers that may send requests to the server.
    pub owners: usize,
    /// Least time between two requests of one owner in milliseconds.
    pub interval_ms: u64,
}

impl ColdLimit {
    /// How many groups of routers may choose the owners by different views: those that a partition
    /// separates from the majority, and the majority.
    const VIEWS: usize = 2;
    /// Added to each interval in milliseconds, for clocks that round down.
    const ROUNDING_MS: u64 = 2;

    /// Returns the share of each owner in a fleet; `None` if the limit is too low to be divided, so
    /// that nothing may be sent. There are as many owners as possible, since the requests of a
    /// router that owns no server of a cold service cannot be served.
    pub fn share(self, routers: usize) -> Option<ColdShare> {
        let per_view = self.requests_per_s.max(0.0) as usize / Self::VIEWS;
        let owners = per_view.min(routers.max(1));
        if owners == 0 {
            return None;
        }
        let per_owner_and_s = (per_view / owners) as u64;
        Some(ColdShare {
            owners,
            interval_ms: 1_000 / per_owner_and_s + Self::ROUNDING_MS,
        })
    }
}

/// Paces one owner's requests to one cold server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPace {
    /// Whether this router was an owner when it was last asked; `None` before.
    is_owner: Option<bool>,
    checked_ms: u64,
    next_ms: u64,
}

impl ColdPace {
    /// Time in milliseconds for which a router relies on having been an owner, or not, since finding
    /// out takes time in proportion to the size of the fleet.
    const CHECK_INTERVAL_MS: u64 = 500;

    /// Returns whether it has to be found out whether this router is an owner.
    pub fn needs_check(&self, now_ms: u64) -> bool {
        self.is_owner.is_none() || now_ms >= self.checked_ms + Self::CHECK_INTERVAL_MS
    }

    /// Returns whether this router was an owner when that was last checked.
    pub fn is_owner(&self) -> bool {
        self.is_owner == Some(true)
    }

    /// Records whether this router is an owner of the server. One that becomes an owner waits for
    /// an interval, since the former owner may have sent a request just before. The same holds for
    /// a router that has only just started (`is_new`): it may have been an owner before.
    pub fn record_owner(&mut self, is_owner: bool, is_new: bool, share: ColdShare, now_ms: u64) {
        let was_owner = self.is_owner.unwrap_or(!is_new);
        if is_owner && !was_owner {
            self.next_ms = self.next_ms.max(now_ms + share.interval_ms);
        }
        self.is_owner = Some(is_owner);
        self.checked_ms = now_ms;
    }

    /// Returns whether a request may be sent now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.is_owner() && now_ms >= self.next_ms
    }

    /// Returns when the next request may be sent; `None` if this router is no owner.
    pub fn next_ms(&self) -> Option<u64> {
        self.is_owner().then_some(self.next_ms)
    }

    /// Counts a request that is sent now. Returns false if it may not be sent.
    pub fn try_send(&mut self, share: ColdShare, now_ms: u64) -> bool {
        let is_due = self.is_due(now_ms);
        if is_due {
            self.next_ms = now_ms + share.interval_ms;
        }
        is_due
    }
}
