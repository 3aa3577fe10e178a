//! Reports that come again are logged once, and the memory for them is bounded.

use sapphiretrack_routing::RecentReports;

#[test]
fn a_report_is_new_once_until_many_others_came() {
    let mut reports = RecentReports::default();
    assert!(reports.record(&["servers", "key", "reason"]));
    assert!(!reports.record(&["servers", "key", "reason"]));
    assert!(reports.record(&["servers", "key", "other"]));
    assert!(reports.record(&["servers", "keyr", "eason"]));
    for number in 0..RecentReports::MAX_KNOWN {
        assert!(reports.record(&["routers", &number.to_string(), "reason"]));
    }
    assert!(reports.record(&["servers", "key", "reason"]));
}
