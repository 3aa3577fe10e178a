//! Deletes old claims, slowly: one router of a cell at a time.

use std::time::Duration;

use sapphiretrack_core::{VmState, rendezvous_score};
use sapphiretrack_platform::ClaimStore;

use crate::clock::wall_clock_ms;
use crate::control::{ControlHandle, Snapshot};
use crate::events::Event;

/// The mean time between two looks at the oldest claims.
const SWEEP_EVERY_MS: u64 = 60_000;
/// The pause between two transactions of a sweep.
const NEXT_PAGE: Duration = Duration::from_secs(1);
/// How long a router sweeps before another one's turn.
const TURN_MS: u64 = 60 * 60 * 1_000;

/// Sweeps until the process ends.
pub(crate) async fn sweep_claims(claims: ClaimStore, control: ControlHandle) {
    loop {
        // Spread, so that routers of many cells do not sweep the same rows at once.
        let wait_ms = SWEEP_EVERY_MS / 2 + rand::random::<u64>() % SWEEP_EVERY_MS;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if is_my_turn(&control.snapshot(), wall_clock_ms()) {
            sweep_all(&claims).await;
        }
    }
}

async fn sweep_all(claims: &ClaimStore) {
    let mut deleted = 0;
    while let Ok(swept) = claims.sweep(wall_clock_ms()).await {
        deleted += swept.deleted;
        // Nothing deleted though there is more: another router is at it.
        if !swept.more || swept.deleted == 0 {
            break;
        }
        tokio::time::sleep(NEXT_PAGE).await;
    }
    if deleted > 0 {
        Event::CLAIMS_SWEPT.log(&[("claims", &deleted.to_string())]);
    }
}

/// Whether this router sweeps for its cell now; the turn goes round by the hour.
fn is_my_turn(snapshot: &Snapshot, now_ms: u64) -> bool {
    let turn = now_ms / TURN_MS;
    snapshot
        .routers
        .iter()
        .filter(|router| router.state == VmState::Live)
        .max_by(|a, b| {
            rendezvous_score(turn, a.id.0, 1.0).total_cmp(&rendezvous_score(turn, b.id.0, 1.0))
        })
        .is_some_and(|router| router.id == snapshot.me)
}
