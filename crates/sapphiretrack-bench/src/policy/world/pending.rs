//! A request on its way.

use sapphiretrack_core::{FullServer, ReservationId};

use crate::policy::router::Try;

/// A request on its way.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending {
    pub(super) order: Vec<Try>,
    pub(super) next: usize,
    /// Servers whose stewards refused for want of room, until they are asked again.
    pub(super) full: Vec<(Try, FullServer)>,
    pub(super) asks_again: bool,
    pub(super) reservation: Option<ReservationId>,
    pub(super) steward: Option<usize>,
    pub(super) placed_on: usize,
    pub(super) import_from: Option<usize>,
    pub(super) cached_tokens: u32,
    pub(super) first_token_us: u64,
    pub(super) retries: u32,
    /// When its server failed after the first token had gone out.
    pub(super) resumed_us: Option<u64>,
    pub(super) waited_ms: u64,
    pub(super) had_room: bool,
}

impl Pending {
    pub(super) fn new() -> Self {
        Self {
            first_token_us: u64::MAX,
            ..Self::default()
        }
    }
}
