//! State machine test of the attempt log against a model that records which attempts actually ran.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sapphiretrack_core::{
    AttemptFailure, AttemptLog, NextStep, Outcome, RefusalCode, Repeatable, ServerId,
};

/// A step of the model. Not all of its effects are visible to the log.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The request is sent.
    Begin(u64),
    /// A token arrives, which proves that the request runs.
    Token,
    /// The attempt fails before the request ran.
    FailBeforeRun,
    /// The attempt fails, and the log has no information on whether the request ran.
    FailUnknown { ran: bool },
    /// The request already has its final answer.
    Finished,
}

#[derive(Clone, Debug)]
struct Model {
    non_idempotent: bool,
    is_sending: bool,
    is_run_counted: bool,
    runs: u32,
    tokens: u32,
    is_finished: bool,
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        any::<bool>()
            .prop_map(|non_idempotent| Model {
                non_idempotent,
                is_sending: false,
                is_run_counted: false,
                runs: 0,
                tokens: 0,
                is_finished: false,
            })
            .boxed()
    }

    fn transitions(state: &Model) -> BoxedStrategy<Step> {
        if state.is_finished {
            return Just(Step::Finished).boxed();
        }
        if !state.is_sending {
            return (0..4_u64).prop_map(Step::Begin).boxed();
        }
        prop_oneof![
            3 => Just(Step::Token),
            2 => Just(Step::FailBeforeRun),
            2 => any::<bool>().prop_map(|ran| Step::FailUnknown { ran }),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Begin(_) => (state.is_sending, state.is_run_counted) = (true, false),
            Step::Token => {
                state.runs += u32::from(!state.is_run_counted);
                state.is_run_counted = true;
                state.tokens += 1;
            }
            Step::Finished => {}
            Step::FailBeforeRun => {
                state.is_sending = false;
                state.is_finished |= state.non_idempotent && state.runs > 0;
            }
            Step::FailUnknown { ran } => {
                state.is_sending = false;
                state.runs += u32::from(*ran && !state.is_run_counted);
                state.is_finished |= state.non_idempotent;
            }
        }
        state
    }

    fn preconditions(state: &Model, step: &Step) -> bool {
        match step {
            Step::Begin(_) => !state.is_sending && !state.is_finished,
            Step::Token | Step::FailUnknown { .. } => state.is_sending,
            // A server that sent a token cannot report that the request did not run.
            Step::FailBeforeRun => state.is_sending && !state.is_run_counted,
            Step::Finished => state.is_finished,
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = AttemptLog;
    type Reference = Machine;

    fn init_test(model: &Model) -> AttemptLog {
        AttemptLog::new(if model.non_idempotent {
            Repeatable::OnlyIfNotRun
        } else {
            Repeatable::Always
        })
    }

    fn apply(mut log: AttemptLog, model: &Model, step: Step) -> AttemptLog {
        match step {
            Step::Begin(server) => log.begin(ServerId(server)),
            Step::Token => log.deliver(),
            Step::Finished => {}
            Step::FailBeforeRun | Step::FailUnknown { .. } => {
                let failure = match step {
                    Step::FailBeforeRun => AttemptFailure::NotRun,
                    _ => AttemptFailure::MayHaveRun,
                };
                let next = log.fail(failure);
                if model.is_finished {
                    assert_eq!(
                        next,
                        NextStep::GiveUp,
                        "it may have run and must not run again"
                    );
                }
                if log.attempts() >= 4 {
                    assert_eq!(next, NextStep::GiveUp);
                }
            }
        }
        log
    }

    fn check_invariants(log: &AttemptLog, model: &Model) {
        if log.outcome() == Outcome::NotRun {
            assert_eq!((model.runs, model.is_sending), (0, false));
        }
        assert!(!model.non_idempotent || model.runs <= 1, "{model:?}");
        assert_eq!(log.delivered_tokens(), model.tokens);
        assert_eq!(log.tried().len() as u32, log.attempts());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn the_log_never_reports_not_run_for_a_request_that_ran(sequential 1..16 => Machine);
}

#[test]
fn a_request_whose_attempts_all_failed_before_running_is_not_run() {
    let mut log = AttemptLog::new(Repeatable::Always);
    for server in 0..3 {
        log.begin(ServerId(server));
        assert_eq!(log.fail(AttemptFailure::NotRun), NextStep::Retry);
    }
    let refusal = log.refusal(RefusalCode::DeadlinePassed, "late");
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

#[test]
fn an_overload_refusal_after_a_failed_attempt_has_an_unknown_outcome() {
    let mut log = AttemptLog::new(Repeatable::Always);
    log.begin(ServerId(1));
    log.fail(AttemptFailure::MayHaveRun);
    let full = sapphiretrack_core::Refusal::not_run(RefusalCode::Overloaded, "full");
    let corrected = log.adapt_refusal(full.retry_after(700));
    assert_eq!(
        (corrected.code, corrected.outcome, corrected.retry_after_ms),
        (RefusalCode::ServerFailed, Outcome::Unknown, Some(700))
    );
}
