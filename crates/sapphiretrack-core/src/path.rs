//! Checks of paths on plain services, so that alternative spellings cannot bypass path rules.

use crate::{Refusal, RefusalCode};

/// Refuses a path that a service could treat as equivalent to a differently spelled one.
///
/// This covers empty, `.` and `..` segments, backslashes, `#`, characters outside of printable
/// ASCII, parameters after `;`, malformed percent-encoding, and percent-encoded characters that
/// need no encoding, separate segments or are control characters. The query is not checked.
pub fn check_path(path: &str) -> Result<(), Refusal> {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let Some(rest) = path.strip_prefix('/') else {
        return Err(refused("does not start with `/`"));
    };
    if path.contains(['\\', ';', '#']) || path.chars().any(|c| !c.is_ascii_graphic()) {
        return Err(refused("has a character that paths may not have"));
    }
    let segments: Vec<&str> = rest.split('/').collect();
    for (index, segment) in segments.iter().enumerate() {
        let is_last = index + 1 == segments.len();
        if matches!(*segment, "." | "..") || (segment.is_empty() && !is_last) {
            return Err(refused("has an empty, `.` or `..` segment"));
        }
        check_encoding(segment)?;
    }
    Ok(())
}

/// Whether a rule's prefix covers a path, ignoring ASCII case, slashes at both ends of the prefix
/// and leading slashes of the path.
pub fn prefix_covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_matches('/').as_bytes();
    let path = path.trim_start_matches('/').as_bytes();
    path.get(..prefix.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(prefix))
}

fn check_encoding(segment: &str) -> Result<(), Refusal> {
    for after in segment.split('%').skip(1) {
        let byte = after
            .get(..2)
            .filter(|digits| digits.bytes().all(|digit| digit.is_ascii_hexdigit()))
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        let Some(byte) = byte else {
            return Err(refused("has a `%` without two hex digits"));
        };
        let is_needless = byte.is_ascii_alphanumeric() || b"-._~/\\;%".contains(&byte);
        if is_needless || byte.is_ascii_control() {
            return Err(refused("encodes a character that must not be encoded"));
        }
    }
    Ok(())
}

fn refused(problem: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadPath, format!("the path {problem}"))
}
