//! Deletes expired claims at a limited rate, on one router of a cell at a time.

use std::time::Duration;

use sapphiretrack_core::{VmState, rendezvous_score};
use sapphiretrack_platform::ClaimStore;

use crate::clock::wall_clock_ms;
use crate::control::{ControlHandle, Snapshot};
use crate::events::Event;

/// The mean interval between sweeps.
const MEAN_SWEEP_INTERVAL_MS: u64 = 60_000;
/// The delay between two transactions of a sweep.
const PAGE_DELAY: Duration = Duration::from_secs(1);
/// How long one router sweeps before the next one takes over.
const TURN_MS: u64 = 60 * 60 * 1_000;

/// Sweeps until the process ends.
pub(crate) async fn sweep_claims(claims: ClaimStore, control: ControlHandle) {
    loop {
        // A random delay, so that routers of different cells do not sweep the same rows at once.
        let wait_ms = MEAN_SWEEP_INTERVAL_MS / 2 + rand::random::<u64>() % MEAN_SWEEP_INTERVAL_MS;
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
        // If nothing was deleted although more is left, another router is sweeping.
        if !swept.more || swept.deleted == 0 {
            break;
        }
        tokio::time::sleep(PAGE_DELAY).await;
    }
    if deleted > 0 {
        Event::CLAIMS_SWEPT.log(&[("claims", &deleted.to_string())]);
    }
}

/// Returns whether this router sweeps for its cell now; the turn changes every [`TURN_MS`].
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
