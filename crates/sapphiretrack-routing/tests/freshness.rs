//! The proof of a configuration's freshness never claims more than the store's answers show.

use proptest::prelude::*;
use sapphiretrack_routing::Freshness;

/// One call in milliseconds: the pause before it, the way to the store, the time at the store, and
/// the way back.
type Call = (u64, u64, u64, u64);

proptest! {
    #[test]
    fn a_proof_is_never_later_than_the_answer_of_the_store(
        calls in prop::collection::vec((0_u64..5_000, 0_u64..800, 0_u64..3_000, 0_u64..800), 1..40),
        offset in 0_u64..1_000_000,
    ) {
        let mut freshness = Freshness::default();
        let mut now_ms = 2_000_000;
        let mut last_answered_ms = 0;
        for (pause, outbound, at_store, inbound) in calls as Vec<Call> {
            let sent_ms = now_ms + pause;
            let answered_ms = sent_ms + outbound + at_store;
            now_ms = answered_ms + inbound;
            last_answered_ms = answered_ms;
            freshness.record_answer(sent_ms, now_ms, answered_ms - offset);
            let age_ms = freshness.age_ms(now_ms).expect("an answer was received");
            prop_assert!(now_ms - age_ms <= answered_ms, "the proof is later than the answer");
            prop_assert!(now_ms - age_ms >= sent_ms, "the proof is earlier than the call");
        }
        prop_assert!(
            freshness.age_ms(now_ms).expect("an answer was received") >= now_ms - last_answered_ms
        );
    }

    #[test]
    fn a_store_clock_that_restarts_or_jumps_does_not_make_proofs_newer(
        before in 10_000_u64..1_000_000,
        after in 0_u64..2_000_000,
    ) {
        let mut freshness = Freshness::default();
        freshness.record_answer(3_000_000, 3_000_004, before);
        // The next call takes from 3,010,000 to 3,010,004 on the local clock.
        freshness.record_answer(3_010_000, 3_010_004, after);
        let age_ms = freshness.age_ms(3_010_004).expect("an answer was received");
        prop_assert!(age_ms <= 4);
        // A late answer with the store time of the last one proves nothing newer.
        freshness.record_answer(3_010_000, 3_015_000, after);
        prop_assert!(freshness.age_ms(3_015_000).expect("an answer was received") >= 4_990);
    }
}

#[test]
fn nothing_is_proven_before_the_first_answer() {
    assert_eq!(Freshness::default().age_ms(1_000), None);
}

#[test]
fn a_watch_answer_proves_its_end_once_the_clock_offset_is_known() {
    let mut freshness = Freshness::default();
    freshness.record_answer(1_000, 1_004, 50_002);
    freshness.record_answer(1_010, 4_014, 53_012);
    let age_ms = freshness.age_ms(4_014).expect("an answer was received");
    assert!(age_ms <= 8, "the proof is {age_ms} ms old");
}
