//! Decides which requests a router that stops as planned accepts, and when it may close its endpoints.

/// Maximum wait until no more requests arrive, in multiples of the lookup's time to live. It limits
/// the wait for callers that do not respect the time to live.
const MAX_QUIET_WAITS: u64 = 2;

/// Timing of a planned stop.
///
/// Closing the endpoints breaks connections on which a request may be arriving. So they are closed
/// when callers that respect the time to live of a lookup no longer send requests. The last lookup
/// that names the router is answered by the last peer that is informed of the stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTiming {
    /// How long callers use the addresses from a lookup.
    pub entry_ttl_ms: u64,
    /// Time after which every peer is informed of the stop or no longer returns this router in
    /// lookups.
    pub peers_informed_ms: u64,
}

impl StopTiming {
    /// Whether to accept a request `stopping_ms` after the start of a stop that ends after `limit_ms` at
    /// the latest, if the request may take `deadline_ms`.
    ///
    /// Once lookups no longer name the router, a request that could still run at the limit, and would be
    /// cut then, is refused.
    pub fn accepts(&self, stopping_ms: u64, limit_ms: u64, deadline_ms: u64) -> bool {
        let named_ms = self.last_lookup_expiry_ms().min(limit_ms / 2);
        stopping_ms < named_ms || stopping_ms.saturating_add(deadline_ms) <= limit_ms
    }

    /// Whether the endpoints may be closed `stopping_ms` after the start of the stop and `quiet_ms`
    /// after the last request arrived.
    pub fn may_close(&self, stopping_ms: u64, quiet_ms: u64, in_flight: u64) -> bool {
        let last_lookup_expiry_ms = self.last_lookup_expiry_ms();
        if in_flight > 0 || stopping_ms < last_lookup_expiry_ms {
            return false;
        }
        let waited_ms = stopping_ms - last_lookup_expiry_ms;
        quiet_ms >= self.entry_ttl_ms || waited_ms >= MAX_QUIET_WAITS * self.entry_ttl_ms
    }

    fn last_lookup_expiry_ms(&self) -> u64 {
        self.peers_informed_ms + self.entry_ttl_ms
    }
}
