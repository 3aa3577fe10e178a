//! The refusal codes in the code and in docs/callers.md are the same.

use std::collections::BTreeSet;

use sapphiretrack_core::RefusalCode;

const PAGE: &str = include_str!("../../../docs/callers.md");

#[test]
fn the_callers_page_lists_every_code_with_its_status_and_nothing_else() {
    let mut listed = BTreeSet::new();
    for code in RefusalCode::ALL {
        let row = format!("| `{}` | {} |", code.as_str(), code.http_status());
        assert!(
            PAGE.contains(&row),
            "docs/callers.md has no row that starts with {row:?}"
        );
        assert!(
            listed.insert(code.as_str()),
            "{} is listed twice",
            code.as_str()
        );
        assert!(!code.hint().is_empty());
    }
    let rows = PAGE.lines().filter(|line| {
        line.starts_with("| `") && line.contains("` | 4")
            || line.starts_with("| `") && line.contains("` | 5")
    });
    for row in rows {
        let code = row
            .trim_start_matches("| `")
            .split('`')
            .next()
            .unwrap_or_default();
        assert!(
            listed.contains(code),
            "docs/callers.md lists {code:?}, which is not a refusal code"
        );
    }
}
