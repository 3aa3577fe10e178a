//! Reports records of the store that its listings cannot use.

use std::sync::Mutex;

use sapphiretrack_routing::RecentReports;

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::ports::{Listing, Record};

/// The records that were reported.
#[derive(Debug, Default)]
pub(crate) struct UnusableRecords {
    reported: Mutex<RecentReports>,
}

impl UnusableRecords {
    /// Counts a record that cannot be used, and logs it unless the same was logged lately.
    pub(crate) fn report(&self, metrics: &Metrics, listing: Listing, key: &str, reason: &str) {
        let listing = listing.as_str();
        metrics.count_unusable_record(listing);
        if lock(&self.reported).record(&[listing, key, reason], Clock.now_ms()) {
            note!(
                Event::RECORD_UNREADABLE,
                key = key,
                listing = listing,
                reason = reason,
            );
        }
    }

    /// The same for a record that its listing does not apply.
    pub(crate) fn report_record(&self, metrics: &Metrics, listing: Listing, record: &Record) {
        match record {
            Record::Unusable { key, reason } => self.report(metrics, listing, key, reason),
            Record::Configuration(_)
            | Record::Evacuation(_)
            | Record::Server(_)
            | Record::Cold(_)
            | Record::Router(_)
            | Record::Crashes(_)
            | Record::SoleVersions(_) => {
                self.report(metrics, listing, "?", "of another listing");
            }
        }
    }
}
