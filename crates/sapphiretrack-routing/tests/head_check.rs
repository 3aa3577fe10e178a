//! Heads of answers that are checked as they arrive, in pieces of any length.

use proptest::prelude::*;
use sapphiretrack_routing::{HeadCheck, HeadFault};

/// Checks a head in pieces of this many bytes.
fn check(bytes: &[u8], piece_bytes: usize) -> Result<(), HeadFault> {
    let mut check = HeadCheck::default();
    let mut pieces = bytes.chunks(piece_bytes);
    pieces.try_for_each(|piece| check.push(piece))
}

fn assert_checked(text: &str, expected: Result<(), HeadFault>) {
    for piece_bytes in [1, 2, 5, usize::MAX] {
        assert_eq!(check(text.as_bytes(), piece_bytes), expected, "{text:?}");
    }
}

#[test]
fn heads_of_answers_pass_and_what_follows_them_is_not_checked() {
    for text in [
        "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody\n\rHTTP/1.1 999 X\n",
        "HTTP/1.0 599\r\n\r\n",
        "HTTP/1.1 503 \r\n\r\n",
        "\r\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n",
        "HTTP/1.1 101 Switching\r\n\r\n\n",
        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nUpgrade: HTTP/1.1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: caf\u{e9}\r\n\r\n",
    ] {
        assert_checked(text, Ok(()));
    }
}

#[test]
fn line_feeds_and_returns_alone_are_found() {
    for text in [
        "HTTP/1.1 200 OK\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n\n",
        "HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n",
        "HTTP/1.1 200 OK\r\r\n\r\n",
        "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\n",
        "\n",
    ] {
        assert_checked(text, Err(HeadFault::LineEnd));
    }
}

#[test]
fn only_statuses_from_100_to_599_pass() {
    for status in 0..1_000_u16 {
        let expected = (100..600).contains(&status);
        let expected = expected.then_some(()).ok_or(HeadFault::Status);
        assert_checked(&format!("HTTP/1.1 {status:03} X\r\n\r\n"), expected);
        assert_checked(
            &format!("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 {status:03}\r\n\r\n"),
            expected,
        );
    }
    for text in [
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 20\r\n",
        "HTTP/2.0 200 OK",
        "HTTP/1.1 -20 OK",
        "x\r\n",
    ] {
        assert_checked(&format!("{text}\r\n"), Err(HeadFault::Status));
    }
}

#[test]
fn an_answer_that_begins_within_a_line_is_found() {
    for text in [
        "HTTP/1.1 503 ServiHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nSeal: aHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n\r\n",
    ] {
        assert_checked(text, Err(HeadFault::Joined));
    }
}

#[test]
fn an_answer_that_begins_at_any_place_is_found_in_any_pieces() {
    for before in 0..30 {
        let line = "/".repeat(before % 3) + &"f".repeat(before);
        let text = format!("HTTP/1.1 200 OK\r\nX-Fill: {line}HTTP/1.1 500");
        for piece_bytes in 1..30 {
            let checked = check(text.as_bytes(), piece_bytes);
            assert_eq!(checked, Err(HeadFault::Joined), "{text:?}, {piece_bytes}");
        }
    }
}

proptest! {
    /// Guards against a verdict that depends on how the bytes arrive.
    #[test]
    fn pieces_of_any_length_give_the_same_verdict(
        text in "(HTTP/1\\.1 [0-9]{2,4} [a-z]{0,3}|[A-Z]: [a-z]{0,2}|\r|\n|\r\n){1,8}",
        piece_bytes in 1..9_usize,
    ) {
        let whole = check(text.as_bytes(), usize::MAX);
        prop_assert_eq!(check(text.as_bytes(), piece_bytes), whole);
    }
}
