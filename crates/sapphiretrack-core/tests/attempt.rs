//! The state machine of attempts against a model that knows what really ran.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sapphiretrack_core::{
    AttemptFailure, AttemptLog, NextStep, Outcome, RefusalCode, Repeatable, ServerId,
};

/// What the world did: the log sees only a part of it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The request is sent.
    Begin(u64),
    /// A token comes, so the request runs.
    Token,
    /// The attempt fails before it started.
    FailBefore,
    /// The attempt fails; whether it ran is not seen.
    FailUnseen { ran: bool },
    /// The request has its final answer.
    Rest,
}

#[derive(Clone, Debug)]
struct World {
    once: bool,
    sending: bool,
    counted: bool,
    runs: u32,
    tokens: u32,
    over: bool,
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = World;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<World> {
        any::<bool>()
            .prop_map(|once| World {
                once,
                sending: false,
                counted: false,
                runs: 0,
                tokens: 0,
                over: false,
            })
            .boxed()
    }

    fn transitions(state: &World) -> BoxedStrategy<Step> {
        if state.over {
            return Just(Step::Rest).boxed();
        }
        if !state.sending {
            return (0..4_u64).prop_map(Step::Begin).boxed();
        }
        prop_oneof![
            3 => Just(Step::Token),
            2 => Just(Step::FailBefore),
            2 => any::<bool>().prop_map(|ran| Step::FailUnseen { ran }),
        ]
        .boxed()
    }

    fn apply(mut state: World, step: &Step) -> World {
        match step {
            Step::Begin(_) => (state.sending, state.counted) = (true, false),
            Step::Token => {
                state.runs += u32::from(!state.counted);
                state.counted = true;
                state.tokens += 1;
            }
            Step::Rest => {}
            Step::FailBefore => {
                state.sending = false;
                state.over |= state.once && state.runs > 0;
            }
            Step::FailUnseen { ran } => {
                state.sending = false;
                state.runs += u32::from(*ran && !state.counted);
                state.over |= state.once;
            }
        }
        state
    }

    fn preconditions(state: &World, step: &Step) -> bool {
        match step {
            Step::Begin(_) => !state.sending && !state.over,
            Step::Token | Step::FailUnseen { .. } => state.sending,
            // A server that sent a token cannot say that it did not start.
            Step::FailBefore => state.sending && !state.counted,
            Step::Rest => state.over,
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = AttemptLog;
    type Reference = Machine;

    fn init_test(world: &World) -> AttemptLog {
        AttemptLog::new(if world.once {
            Repeatable::OnlyIfNotRun
        } else {
            Repeatable::Always
        })
    }

    fn apply(mut log: AttemptLog, world: &World, step: Step) -> AttemptLog {
        match step {
            Step::Begin(server) => log.begin(ServerId(server)),
            Step::Token => log.deliver(),
            Step::Rest => {}
            Step::FailBefore | Step::FailUnseen { .. } => {
                let failure = match step {
                    Step::FailBefore => AttemptFailure::NotRun,
                    _ => AttemptFailure::MayHaveRun,
                };
                let next = log.fail(failure);
                if world.over {
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

    fn check_invariants(log: &AttemptLog, world: &World) {
        if log.outcome() == Outcome::NotRun {
            assert_eq!((world.runs, world.sending), (0, false));
        }
        assert!(!world.once || world.runs <= 1, "{world:?}");
        assert_eq!(log.delivered_tokens(), world.tokens);
        assert_eq!(log.tried().len() as u32, log.attempts());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn a_log_never_says_not_run_of_a_request_that_ran(sequential 1..16 => Machine);
}

#[test]
fn a_request_of_which_no_attempt_started_is_not_run_whatever_ends_it() {
    let mut log = AttemptLog::new(Repeatable::Always);
    for server in 0..3 {
        log.begin(ServerId(server));
        assert_eq!(log.fail(AttemptFailure::NotRun), NextStep::Retry);
    }
    let refusal = log.refusal(RefusalCode::DeadlinePassed, "late");
    assert_eq!(refusal.outcome, Outcome::NotRun);
}

#[test]
fn a_refusal_for_want_of_room_after_a_broken_attempt_is_unknown() {
    let mut log = AttemptLog::new(Repeatable::Always);
    log.begin(ServerId(1));
    log.fail(AttemptFailure::MayHaveRun);
    let full = sapphiretrack_core::Refusal::not_run(RefusalCode::Overloaded, "full");
    let told = log.correct(full.retry_after(700));
    assert_eq!(
        (told.code, told.outcome, told.retry_after_ms),
        (RefusalCode::ServerFailed, Outcome::Unknown, Some(700))
    );
}
