//! Time limits that leave a router that was suspended time to read what has arrived meanwhile.

use std::time::Duration;

use tokio::time::timeout;

use crate::clock::Clock;

/// How much later than due a time limit passes, in milliseconds, if the router was suspended. A busy
/// router is rarely as late.
const SUSPENDED_MS: u64 = 200;
/// How long a router that was suspended waits for each piece that has arrived meanwhile: the connection
/// has to read it first.
const RESUMED_READ: Duration = Duration::from_millis(50);

/// Reads the pieces of one answer within time limits.
#[derive(Debug, Default)]
pub(crate) struct ResumedReads {
    /// Whether a time limit passed while the router was suspended.
    has_resumed: bool,
}

impl ResumedReads {
    /// Waits for the next piece for at most `limit`. If the router was suspended until after a time
    /// limit, pieces that have arrived meanwhile are read before the limit counts.
    pub(crate) async fn read<Reading>(
        &mut self,
        reading: &mut Reading,
        limit: Duration,
    ) -> Option<Reading::Output>
    where
        Reading: Future + Unpin,
    {
        let since_ms = Clock.now_ms();
        if let Ok(read) = timeout(limit, &mut *reading).await {
            return Some(read);
        }
        let over_ms = Clock
            .now_ms()
            .saturating_sub(since_ms + limit.as_millis() as u64);
        self.has_resumed |= over_ms >= SUSPENDED_MS;
        if !self.has_resumed {
            return None;
        }
        timeout(RESUMED_READ, reading).await.ok()
    }
}
