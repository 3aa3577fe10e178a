//! Reports that come again are logged once, and the memory and the lines for them are bounded.

use sapphiretrack_routing::RecentReports;

const MINUTE_MS: u64 = 60_000;

#[test]
fn a_report_is_logged_once_until_many_others_came() {
    let mut reports = RecentReports::default();
    assert!(reports.record(&["servers", "key", "reason"], 0));
    assert!(!reports.record(&["servers", "key", "reason"], 0));
    assert!(reports.record(&["servers", "key", "other"], 0));
    assert!(reports.record(&["servers", "keyr", "eason"], 0));
    for number in 0..RecentReports::MAX_KNOWN {
        let now_ms = (1 + number as u64) * MINUTE_MS;
        assert!(reports.record(&["routers", &number.to_string(), "reason"], now_ms));
    }
    assert!(reports.record(&["servers", "key", "reason"], 0));
}

/// Guards against a log that thousands of odd rows fill each time they are read.
#[test]
fn thousands_of_reports_fill_no_log() {
    let mut reports = RecentReports::default();
    let mut read_all = |now_ms: u64| {
        let rows = 0..5_000;
        rows.filter(|row| reports.record(&["servers", &row.to_string(), "reason"], now_ms))
            .count()
    };
    assert_eq!(read_all(5), RecentReports::MAX_LOGGED);
    assert_eq!(read_all(MINUTE_MS - 1), 0);
    assert_eq!(read_all(MINUTE_MS), RecentReports::MAX_LOGGED);
}
