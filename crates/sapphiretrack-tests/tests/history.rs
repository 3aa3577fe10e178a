//! The history recorder accepts linearizable histories and rejects all others.

use sapphiretrack_tests::HistoryRecorder;
use todc_utils::specifications::Specification;

/// An operation on a register; the value of a read is none while its result is not known.
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
fn a_read_of_an_overwritten_value_is_not_linearizable() {
    let recorder = HistoryRecorder::new();
    recorder.call(Write(1)).respond(Write(1));
    recorder.call(Write(2)).respond(Write(2));
    recorder.call(Read(None)).respond(Read(Some(1)));
    assert!(!recorder.is_linearizable::<Register>());
}

#[test]
fn a_write_with_an_unknown_outcome_may_take_effect_late_but_is_not_undone() {
    let history = HistoryRecorder::new();
    let pending = history.call(Write(7));
    history.call(Read(None)).respond(Read(Some(0)));
    history.call(Read(None)).respond(Read(Some(7)));
    assert!(history.is_linearizable::<Register>());
    history.call(Read(None)).respond(Read(Some(0)));
    assert!(!history.is_linearizable::<Register>());
    pending.withdraw();
    assert_eq!(history.len(), 3);
    assert!(
        !history.is_linearizable::<Register>(),
        "no operation wrote 7"
    );
}
