//! The history recorder: it accepts what some order explains, and refuses what none does.

use sapphiretrack_tests::HistoryRecorder;
use todc_utils::specifications::Specification;

/// A register; a read without a value has an open result.
#[derive(Clone, Debug)]
enum RegisterOperation {
    Read(Option<u32>),
    Write(u32),
}

struct Register;

impl Specification for Register {
    type State = u32;
    type Operation = RegisterOperation;

    fn init() -> u32 {
        0
    }

    fn apply(operation: &RegisterOperation, state: &u32) -> (bool, u32) {
        match operation {
            RegisterOperation::Read(value) => (value.is_none_or(|value| value == *state), *state),
            RegisterOperation::Write(value) => (true, *value),
        }
    }
}

use RegisterOperation::{Read, Write};

#[test]
fn a_read_of_a_value_that_was_overwritten_before_is_refused() {
    let recorder = HistoryRecorder::new();
    recorder.call(Write(1)).respond(Write(1));
    recorder.call(Write(2)).respond(Write(2));
    recorder.call(Read(None)).respond(Read(Some(1)));
    assert!(!recorder.is_linearizable::<Register>());
}

#[test]
fn a_write_of_unknown_outcome_may_be_seen_or_not_but_not_come_and_go() {
    let seen = HistoryRecorder::new();
    let open = seen.call(Write(7));
    seen.call(Read(None)).respond(Read(Some(0)));
    seen.call(Read(None)).respond(Read(Some(7)));
    assert!(seen.is_linearizable::<Register>());
    seen.call(Read(None)).respond(Read(Some(0)));
    assert!(!seen.is_linearizable::<Register>());
    open.withdraw();
    assert_eq!(seen.len(), 3);
    assert!(!seen.is_linearizable::<Register>(), "nobody wrote 7");
}
