//! Paths of services: the rule of a non-idempotent path covers every accepted spelling of it.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sapphiretrack_core::{RefusalCode, check_path, prefix_covers};

/// The segments of a path in the interpretation of a lenient service.
fn lenient_segments(path: &str) -> Vec<String> {
    let mut bytes = Vec::new();
    let mut rest = path.as_bytes();
    while let [first, tail @ ..] = rest {
        let encoded = (*first == b'%')
            .then(|| tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok()))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        rest = if encoded.is_some() { &tail[2..] } else { tail };
        bytes.push(encoded.unwrap_or(*first).to_ascii_lowercase());
    }
    let text = String::from_utf8_lossy(&bytes).replace('\\', "/");
    let mut segments = Vec::new();
    for segment in text.split('/') {
        let segment = segment.split(';').next().unwrap_or_default();
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment.to_owned()),
        }
    }
    segments
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn an_accepted_path_is_covered_by_a_rule_if_a_lenient_service_interprets_it_so(
        pieces in prop::collection::vec(prop::sample::select(vec![
            "labels", "Labels", "print", "PRINT", "pr%69nt", "/", "//", "%2f", "%5C", "\\", ".",
            "..", "%2e%2e", ";x", "x", "%00", "%", "%252f", "/labels/print", "labels/print", "Labels/Print", "/Labels/Print",
        ]), 0..8),
    ) {
        let path = format!("/{}", pieces.concat());
        let segments = lenient_segments(&path);
        let is_rule_path = segments.len() >= 2 && segments[0] == "labels" && segments[1] == "print";
        if check_path(&path).is_ok() && is_rule_path {
            prop_assert!(prefix_covers("/labels/print", &path), "{path}");
            prop_assert!(prefix_covers("labels/print/", &path), "{path}");
        }
    }

    #[test]
    fn any_text_is_accepted_or_refused_as_a_bad_path(path in ".{0,64}") {
        if let Err(refusal) = check_path(&path) {
            prop_assert_eq!(refusal.code, RefusalCode::BadPath);
        }
    }
}

#[test]
fn ordinary_paths_are_accepted() {
    for path in [
        "/",
        "/pallets/17",
        "/pallets/",
        "/a%20b?x=//..",
        "/a-b_c~d.e",
        "/caf%C3%A9",
    ] {
        assert!(check_path(path).is_ok(), "{path}");
    }
}
