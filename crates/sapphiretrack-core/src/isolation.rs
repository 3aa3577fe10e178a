//! Detects that a router is isolated and has to refuse new work.

/// When a router last had contact with its peers and the platform.
#[derive(Clone, Copy, Debug)]
pub struct Contacts {
    /// Whether the platform's list or the settings name other routers.
    pub expects_others: bool,
    /// When a peer's heartbeat was last received.
    pub peer_seen_ms: u64,
    /// When the platform was last reached, if ever.
    pub platform_reached_ms: Option<u64>,
}

impl Contacts {
    /// Whether the platform was reached within the last `within_ms`.
    pub fn platform_reached(&self, within_ms: u64, now_ms: u64) -> bool {
        self.platform_reached_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < within_ms)
    }

    /// Whether the router had contact with neither platform nor peers for `after_ms`.
    ///
    /// Never true if no other routers are expected.
    pub fn is_isolated(&self, after_ms: u64, now_ms: u64) -> bool {
        self.expects_others
            && now_ms.saturating_sub(self.peer_seen_ms) >= after_ms
            && !self.platform_reached(after_ms, now_ms)
    }
}
