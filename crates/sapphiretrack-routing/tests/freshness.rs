//! The proof that a configuration is new never claims more than the store said.

use proptest::prelude::*;
use sapphiretrack_routing::Freshness;

/// One call: the pause before it, the way there, the store's wait, the way back.
type Call = (u64, u64, u64, u64);

proptest! {
    #[test]
    fn a_proof_is_never_later_than_the_answer_was_made(
        calls in prop::collection::vec((0_u64..5_000, 0_u64..800, 0_u64..3_000, 0_u64..800), 1..40),
        offset in 0_u64..1_000_000,
    ) {
        let mut freshness = Freshness::default();
        let mut now_ms = 2_000_000;
        let mut latest_made_ms = 0;
        for (pause, there, wait, back) in calls as Vec<Call> {
            let sent_ms = now_ms + pause;
            let made_ms = sent_ms + there + wait;
            now_ms = made_ms + back;
            latest_made_ms = made_ms;
            freshness.note_answer(sent_ms, now_ms, made_ms - offset);
            let age_ms = freshness.age_ms(now_ms).expect("there was an answer");
            prop_assert!(now_ms - age_ms <= made_ms, "claims a moment after the answer");
            prop_assert!(now_ms - age_ms >= sent_ms, "forgets what the call proves");
        }
        prop_assert!(freshness.age_ms(now_ms).expect("known") >= now_ms - latest_made_ms);
    }

    #[test]
    fn a_store_clock_that_starts_anew_or_jumps_does_not_make_proofs_younger(
        before in 10_000_u64..1_000_000,
        after in 0_u64..2_000_000,
    ) {
        let mut freshness = Freshness::default();
        freshness.note_answer(3_000_000, 3_000_004, before);
        // The next answer is made at 3,010,002 on the local clock.
        freshness.note_answer(3_010_000, 3_010_004, after);
        let age_ms = freshness.age_ms(3_010_004).expect("known");
        prop_assert!(age_ms <= 4);
        // A late answer of a watch that was made before the last one proves nothing more.
        freshness.note_answer(3_010_000, 3_015_000, after);
        prop_assert!(freshness.age_ms(3_015_000).expect("known") >= 4_990);
    }
}

#[test]
fn nothing_is_proven_before_the_first_answer() {
    assert_eq!(Freshness::default().age_ms(1_000), None);
}

#[test]
fn an_open_watch_proves_its_end_once_the_clocks_are_matched() {
    let mut freshness = Freshness::default();
    freshness.note_answer(1_000, 1_004, 50_002);
    freshness.note_answer(1_010, 4_014, 53_012);
    let age_ms = freshness.age_ms(4_014).expect("known");
    assert!(age_ms <= 8, "the proof is {age_ms} ms old");
}
