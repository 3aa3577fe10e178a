//! The claim store on a platform that loses requests and replies: a key runs at most once.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sapphiretrack_core::{
    CLAIM_RETENTION_MS, Claim, ClaimDecision, ClaimState, RecordedAnswer, RecordedBody,
    decide_claim,
};
use sapphiretrack_fakes::{FakePlatform, PlatformFaults, PlatformSettings};
use sapphiretrack_platform::{ClaimStore, ClaimWriteResult, PlatformClient, Settings};
use tokio::runtime::Runtime;

const CUSTOMER: &str = "teranga";
const HASH: u64 = 7;

/// One step of any of several routers.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives, and its router writes a claim under this fault of the platform.
    Arrive { key: u8, fault: Fault },
    /// A router that holds a claim sends the request to a server.
    Send { key: u8 },
    /// Claims whose requests were not sent are withdrawn.
    Withdraw { key: u8, fault: Fault },
    /// A router that sent the request records the answer.
    Finish { key: u8, fault: Fault },
    /// The routers that hold a claim of the key are killed.
    Kill { key: u8 },
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    RequestLost,
    ReplyLost,
}

struct ClaimMachine;

/// There is no model state: all invariants concern the store itself.
impl ReferenceStateMachine for ClaimMachine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            3 => Just(Fault::None),
            1 => Just(Fault::RequestLost),
            1 => Just(Fault::ReplyLost),
        ];
        let key = 0..2_u8;
        prop_oneof![
            4 => (key.clone(), fault.clone()).prop_map(|(key, fault)| Step::Arrive { key, fault }),
            2 => key.clone().prop_map(|key| Step::Send { key }),
            1 => (key.clone(), fault.clone()).prop_map(|(key, fault)| Step::Withdraw { key, fault }),
            2 => (key.clone(), fault).prop_map(|(key, fault)| Step::Finish { key, fault }),
            1 => key.prop_map(|key| Step::Kill { key }),
        ]
        .boxed()
    }

    fn apply(state: (), _step: &Step) -> Self::State {
        state
    }
}

/// A router that holds the claim of a key.
struct Holder {
    claim: Claim,
    row_version: u64,
    sent: bool,
}

struct TestState {
    runtime: Runtime,
    platform: FakePlatform,
    store: ClaimStore,
    next_claim: u64,
    holders: BTreeMap<u8, Vec<Holder>>,
    unsettled: BTreeMap<u8, Vec<Claim>>,
    runs: BTreeMap<u8, u32>,
}

impl TestState {
    fn call<Value>(&self, fault: Fault, work: impl Future<Output = Value>) -> Value {
        self.platform.set_faults(PlatformFaults {
            lose_requests: u32::from(matches!(fault, Fault::RequestLost)),
            lose_replies: u32::from(matches!(fault, Fault::ReplyLost)),
            ..PlatformFaults::default()
        });
        let value = self.runtime.block_on(work);
        self.platform.set_faults(PlatformFaults::default());
        value
    }

    fn arrive(&mut self, key: u8, fault: Fault) {
        self.next_claim += 1;
        let claim = claim(self.next_claim, 1);
        let written = self.call(fault, self.store.write(CUSTOMER, &key.to_string(), &claim));
        let ran = self.runs.get(&key).copied().unwrap_or(0);
        match written {
            Ok(ClaimWriteResult::Acquired { row_version }) => {
                self.holders.entry(key).or_default().push(Holder {
                    claim,
                    row_version,
                    sent: false,
                });
            }
            Ok(ClaimWriteResult::Existing(found)) => {
                let decision = decide_claim(&found, &claim.claim_id, HASH);
                assert_ne!(
                    decision,
                    ClaimDecision::Send,
                    "another router's claim does not permit sending"
                );
                if matches!(decision, ClaimDecision::Replay(_)) {
                    assert_eq!(ran, 1, "an answer is recorded only for a request that ran");
                }
            }
            Ok(ClaimWriteResult::Unreadable) => {}
            // The write has an unknown result. The router reports that the request did not run,
            // does not send it and withdraws the claim later.
            Err(_) => self.unsettled.entry(key).or_default().push(claim),
        }
    }

    fn take_holder(&mut self, key: u8, sent: bool) -> Option<Holder> {
        let holders = self.holders.get_mut(&key)?;
        let index = holders.iter().position(|holder| holder.sent == sent)?;
        Some(holders.remove(index))
    }

    fn add_holder(&mut self, key: u8, holder: Holder) {
        self.holders.entry(key).or_default().push(holder);
    }
}

fn claim(number: u64, claimed_at_ms: u64) -> Claim {
    Claim {
        claim_id: format!("claim-{number}"),
        request_hash: HASH,
        claimed_at_ms,
        state: ClaimState::Claimed,
    }
}

fn finished(claim: &Claim) -> Claim {
    Claim {
        state: ClaimState::Finished(RecordedAnswer {
            status: 200,
            content_type: String::from("text/plain"),
            body: RecordedBody::Text(String::from("printed")),
        }),
        ..claim.clone()
    }
}

impl StateMachineTest for ClaimMachine {
    type SystemUnderTest = TestState;
    type Reference = ClaimMachine;

    fn init_test(_state: &()) -> TestState {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let (platform, store) = runtime.block_on(start());
        TestState {
            runtime,
            platform,
            store,
            next_claim: 0,
            holders: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            runs: BTreeMap::new(),
        }
    }

    fn apply(mut system: TestState, _state: &(), step: Step) -> TestState {
        match step {
            Step::Arrive { key, fault } => system.arrive(key, fault),
            Step::Send { key } => {
                if let Some(holder) = system.take_holder(key, false) {
                    *system.runs.entry(key).or_default() += 1;
                    system.add_holder(
                        key,
                        Holder {
                            sent: true,
                            ..holder
                        },
                    );
                }
            }
            Step::Withdraw { key, fault } => {
                let unsettled = system.unsettled.get_mut(&key).and_then(Vec::pop);
                let held = system.take_holder(key, false).map(|holder| holder.claim);
                for claim in unsettled.into_iter().chain(held) {
                    let name = key.to_string();
                    let work = system.store.withdraw(CUSTOMER, &name, &claim);
                    drop(system.call(fault, work));
                }
            }
            Step::Finish { key, fault } => {
                if let Some(holder) = system.take_holder(key, true) {
                    let (name, done) = (key.to_string(), finished(&holder.claim));
                    let store = &system.store;
                    let work = store.finish(CUSTOMER, &name, holder.row_version, &done);
                    match system.call(fault, work) {
                        Ok(recorded) => assert!(recorded, "no other router may change the claim"),
                        Err(_) => system.add_holder(key, holder),
                    }
                }
            }
            Step::Kill { key } => drop(system.holders.remove(&key)),
        }
        system
    }

    fn check_invariants(system: &TestState, _state: &()) {
        assert!(
            system.runs.values().all(|runs| *runs <= 1),
            "{:?}",
            system.runs
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(6), ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_whatever_the_platform_loses(sequential 1..40 => ClaimMachine);
}

async fn start() -> (FakePlatform, ClaimStore) {
    start_with(PlatformSettings::default()).await
}

async fn start_with(settings: PlatformSettings) -> (FakePlatform, ClaimStore) {
    let platform = FakePlatform::start(settings)
        .await
        .expect("the fake platform starts");
    let client = PlatformClient::new(Settings {
        url: platform.url(),
        ..Settings::default()
    });
    (platform, ClaimStore::new(client))
}

#[tokio::test]
async fn a_sweep_deletes_only_claims_past_their_retention() {
    let (platform, store) = start().await;
    for number in 0..120 {
        // Every third claim is recent.
        let at = if number % 3 == 0 { 500_000 } else { number };
        let written = store
            .write(CUSTOMER, &number.to_string(), &claim(number, at))
            .await;
        assert!(matches!(written, Ok(ClaimWriteResult::Acquired { .. })));
    }
    let now_ms = CLAIM_RETENTION_MS + 400_000;
    let mut deleted = Vec::new();
    loop {
        let swept = store.sweep(now_ms).await.expect("a sweep");
        deleted.push(swept.deleted);
        if !swept.more {
            break;
        }
    }
    assert_eq!(deleted, [50, 30], "one transaction for each page");
    let rows = platform.rows();
    assert_eq!(rows.len(), 80, "40 recent claims with their age rows");
    let repeat = store.write(CUSTOMER, "3", &claim(1_000, 500_001)).await;
    assert!(
        matches!(repeat, Ok(ClaimWriteResult::Existing(_))),
        "{repeat:?}"
    );
    let again = store.write(CUSTOMER, "1", &claim(1_001, 500_001)).await;
    assert!(
        matches!(again, Ok(ClaimWriteResult::Acquired { .. })),
        "{again:?}"
    );
}

#[tokio::test]
async fn a_sweep_never_deletes_a_later_claim_of_the_same_key() {
    let (platform, store) = start().await;
    let old = claim(1, 10);
    store.write(CUSTOMER, "key", &old).await.expect("written");
    assert_eq!(platform.rows().len(), 2, "the claim and its age row");
    assert!(
        store
            .withdraw(CUSTOMER, "key", &old)
            .await
            .expect("withdrawn")
    );
    let recent = claim(2, 500_000);
    store
        .write(CUSTOMER, "key", &recent)
        .await
        .expect("written");
    let swept = store
        .sweep(CLAIM_RETENTION_MS + 100)
        .await
        .expect("a sweep");
    assert_eq!(swept.deleted, 0);
    let repeat = store.write(CUSTOMER, "key", &claim(3, 500_001)).await;
    assert_eq!(repeat.expect("read"), ClaimWriteResult::Existing(recent));
}

#[tokio::test]
async fn different_keys_do_not_share_a_claim() {
    let (_platform, store) = start().await;
    for (number, key) in ["a", "A", "a ", "a/b", "%61", "ä"].into_iter().enumerate() {
        let written = store.write(CUSTOMER, key, &claim(number as u64, 1)).await;
        assert!(
            matches!(written, Ok(ClaimWriteResult::Acquired { .. })),
            "{key:?}"
        );
    }
}

/// Guards against a key whose request was never sent and that stays claimed: the refusal of the read says nothing
/// about the effect of the write before it.
#[tokio::test]
async fn a_refused_read_after_a_lost_reply_does_not_promise_that_the_claim_has_no_effect() {
    let (platform, store) = start_without_reads().await;
    platform.set_faults(PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    });
    let written = store.write(CUSTOMER, "key", &claim(1, 1)).await;
    assert_eq!(platform.rows().len(), 2, "the write took effect");
    let error = written.expect_err("the reply was lost");
    assert!(!error.is_without_effect(), "{error}");
}

/// Guards against REFUSED: a request whose key is claimed may have run, also if the claim cannot be read.
#[tokio::test]
async fn a_claim_that_cannot_be_read_exists_all_the_same() {
    let (_platform, store) = start_without_reads().await;
    let first = store.write(CUSTOMER, "key", &claim(1, 1)).await;
    assert!(
        matches!(first, Ok(ClaimWriteResult::Acquired { .. })),
        "{first:?}"
    );
    let repeat = store.write(CUSTOMER, "key", &claim(2, 1)).await;
    assert_eq!(repeat.expect("a result"), ClaimWriteResult::Unreadable);
}

/// Starts a platform that refuses every read for its rate.
async fn start_without_reads() -> (FakePlatform, ClaimStore) {
    start_with(PlatformSettings {
        reads_per_s: 0,
        ..PlatformSettings::default()
    })
    .await
}
