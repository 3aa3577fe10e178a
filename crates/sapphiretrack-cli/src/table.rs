//! Output as tables for people and as JSON for scripts.

use serde::Serialize;

/// Formats rows as a table with a line of headings.
pub(crate) fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let headings: Vec<String> = headings
        .iter()
        .map(|heading| (*heading).to_owned())
        .collect();
    let mut text = String::new();
    for row in std::iter::once(&headings).chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a value as indented JSON with a trailing newline.
pub(crate) fn json<Value>(value: &Value) -> String
where
    Value: Serialize,
{
    match serde_json::to_string_pretty(value) {
        Ok(text) => text + "\n",
        Err(error) => format!("{{\"error\":{:?}}}\n", error.to_string()),
    }
}
