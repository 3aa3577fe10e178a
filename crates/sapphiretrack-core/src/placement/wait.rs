//! Whether a request that found no room waits a moment or is refused at once.

/// How long requests wait for room.
#[derive(Clone, Copy, Debug)]
pub struct WaitSettings {
    /// How long a request holds a slot, at the most.
    pub hold_ms: u64,
    /// The longest time that a request waits for room altogether.
    pub longest_ms: u64,
    /// The part of the time to the deadline, as it was before the first wait, that may go into
    /// waiting altogether.
    pub deadline_part: f64,
    /// The shortest time between two tries.
    pub shortest_ms: u64,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            hold_ms: 10_000,
            longest_ms: 2_000,
            deadline_part: 0.8,
            shortest_ms: 40,
        }
    }
}

/// After how long a request that found no room tries again; none if it is refused at once.
///
/// A wait is only entered when a slot of the pool is expected to end within it: the more
/// requests are in flight, the sooner one of them ends.
pub fn wait_for_room(
    settings: &WaitSettings,
    pool_in_flight: u32,
    waited_ms: u64,
    left_ms: u64,
) -> Option<u64> {
    if pool_in_flight == 0 {
        return None;
    }
    let next_end_ms = settings.hold_ms / u64::from(pool_in_flight);
    let wait_ms = next_end_ms.max(settings.shortest_ms);
    // A part of what is left, try by try, would add up to almost all of it.
    let whole_ms = waited_ms.saturating_add(left_ms);
    let for_waiting_ms = (whole_ms as f64 * settings.deadline_part) as u64;
    let by_deadline_ms = for_waiting_ms.saturating_sub(waited_ms);
    let allowed_ms = settings.longest_ms.saturating_sub(waited_ms);
    (wait_ms <= allowed_ms.min(by_deadline_ms)).then_some(wait_ms)
}

/// After how long a request tries again that found a server whose slots nobody counts just now:
/// its steward is changing. None if it is refused.
///
/// The tries get rarer, since a change is over soon or takes long.
pub fn wait_for_steward(settings: &WaitSettings, waited_ms: u64, left_ms: u64) -> Option<u64> {
    let wait_ms = waited_ms.max(settings.shortest_ms);
    let by_deadline_ms = (left_ms as f64 * settings.deadline_part) as u64;
    let allowed_ms = settings.longest_ms.saturating_sub(waited_ms);
    (wait_ms <= allowed_ms.min(by_deadline_ms)).then_some(wait_ms)
}
