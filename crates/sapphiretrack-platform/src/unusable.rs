//! Reports of rows and records that cannot be used, so that one does not hide the others.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

use crate::wire::Row;

/// Receives the key of a row that cannot be used, and the reason.
type OnUnusable = dyn Fn(&str, &str) + Send + Sync;

/// Receives the rows that cannot be used, each time they are read. The default ignores them.
#[derive(Clone)]
pub struct UnusableRowReporter(Arc<OnUnusable>);

impl UnusableRowReporter {
    /// Creates a reporter that calls `report` with the key of a row and the reason why it cannot be used. The call must not
    /// block.
    pub fn new<Report>(report: Report) -> Self
    where
        Report: Fn(&str, &str) + Send + Sync + 'static,
    {
        Self(Arc::new(report))
    }

    pub(crate) fn report(&self, key: &str, reason: &str) {
        (self.0)(key, reason);
    }

    /// Parses the values of rows. Those that cannot be read are reported and skipped.
    pub(crate) fn read_rows<'rows, Value>(
        &self,
        rows: &'rows [Row],
    ) -> impl Iterator<Item = (&'rows Row, Value)>
    where
        Value: for<'value> Deserialize<'value>,
    {
        rows.iter()
            .filter_map(|row| match serde_json::from_str(&row.value) {
                Ok(value) => Some((row, value)),
                Err(error) => {
                    self.report(&row.key, &error.to_string());
                    None
                }
            })
    }
}

impl Default for UnusableRowReporter {
    fn default() -> Self {
        Self::new(|_, _| {})
    }
}

impl fmt::Debug for UnusableRowReporter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("UnusableRowReporter")
    }
}
