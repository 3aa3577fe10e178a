//! Counts and logs rows of the platform that cannot be used.

use std::sync::{Arc, Mutex, PoisonError};

use sapphiretrack_platform::UnusableRowReporter;
use sapphiretrack_routing::RecentReports;

use crate::clock::Clock;
use crate::events::Event;
use crate::metrics::Metrics;

/// The longest key and reason in the log, in characters.
const MAX_LOGGED_CHARS: usize = 200;

/// Returns a reporter that counts each row, and logs it unless the same was logged lately.
pub(crate) fn row_reporter(metrics: &Arc<Metrics>, clock: Clock) -> UnusableRowReporter {
    let (metrics, logged) = (metrics.clone(), Mutex::<RecentReports>::default());
    UnusableRowReporter::new(move |key, reason| {
        metrics.unusable_rows.inc();
        let [key, reason] = [key, reason].map(shorten);
        let mut logged = logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.record(&[&key, &reason], clock.now_ms()) {
            Event::ROW_UNUSABLE.log(&[("row", &key), ("reason", &reason)]);
        }
    })
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
