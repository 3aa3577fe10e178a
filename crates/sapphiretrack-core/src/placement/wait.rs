//! How long a request waits for capacity, and when it is refused without waiting.

/// Limits on the time that requests wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitSettings {
    /// Upper estimate of the time that a request holds a slot.
    pub max_hold_ms: u64,
    /// Maximum total wait of a request.
    pub max_total_ms: u64,
    /// Fraction of the time to the deadline that waiting may take. When waiting for capacity, it
    /// limits the total wait, relative to the time to the deadline before the first wait. When
    /// waiting for a steward, it limits each wait, relative to the remaining time.
    pub deadline_fraction: f64,
    /// Minimum time between two attempts.
    pub min_wait_ms: u64,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            max_hold_ms: 10_000,
            max_total_ms: 2_000,
            deadline_fraction: 0.8,
            min_wait_ms: 40,
        }
    }
}

/// Time until a request that found no capacity should try again, in milliseconds; `None` if it
/// should be refused now.
///
/// A request only waits if one of the pool's requests in flight is expected to end within the wait.
/// The more requests are in flight, the sooner one of them ends.
pub fn capacity_retry_delay_ms(
    settings: &WaitSettings,
    pool_in_flight: u32,
    waited_ms: u64,
    left_ms: u64,
) -> Option<u64> {
    if pool_in_flight == 0 {
        return None;
    }
    let next_end_ms = settings.max_hold_ms / u64::from(pool_in_flight);
    let wait_ms = next_end_ms.max(settings.min_wait_ms);
    // A fraction of the remaining time on each attempt would add up to almost all of it.
    let total_ms = waited_ms.saturating_add(left_ms);
    let max_wait_ms = (total_ms as f64 * settings.deadline_fraction) as u64;
    let by_deadline_ms = max_wait_ms.saturating_sub(waited_ms);
    let allowed_ms = settings.max_total_ms.saturating_sub(waited_ms);
    (wait_ms <= allowed_ms.min(by_deadline_ms)).then_some(wait_ms)
}

/// Time until a request should try again after it found a server without a steward, in
/// milliseconds; `None` if it should be refused now.
///
/// A server has no steward while its steward is changing. The waits double, since a change either
/// ends soon or takes long.
pub fn steward_retry_delay_ms(
    settings: &WaitSettings,
    waited_ms: u64,
    left_ms: u64,
) -> Option<u64> {
    let wait_ms = waited_ms.max(settings.min_wait_ms);
    let by_deadline_ms = (left_ms as f64 * settings.deadline_fraction) as u64;
    let allowed_ms = settings.max_total_ms.saturating_sub(waited_ms);
    (wait_ms <= allowed_ms.min(by_deadline_ms)).then_some(wait_ms)
}
