//! The state of a request during the simulation.

use sapphiretrack_core::{FullServer, ReservationId};

use crate::policy::router::Attempt;

/// The state of a request from its arrival to its end.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    pub(super) attempts: Vec<Attempt>,
    pub(super) next_attempt: usize,
    /// Attempts that were refused because the server is full, until the second round.
    pub(super) full_refusals: Vec<(Attempt, FullServer)>,
    pub(super) is_second_round: bool,
    pub(super) reservation: Option<ReservationId>,
    pub(super) steward: Option<usize>,
    pub(super) placed_on: usize,
    pub(super) import_from: Option<usize>,
    pub(super) cached_tokens: u32,
    pub(super) first_token_us: u64,
    pub(super) retries: u32,
    /// When its server failed after the first token had been sent.
    pub(super) interrupted_us: Option<u64>,
    pub(super) waited_ms: u64,
    pub(super) had_capacity: bool,
}

impl Pending {
    pub(super) fn new() -> Self {
        Self {
            first_token_us: u64::MAX,
            ..Self::default()
        }
    }
}
