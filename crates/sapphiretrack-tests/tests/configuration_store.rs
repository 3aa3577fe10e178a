//! The configuration in the platform's table: racing operators, lost replies, restored states.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_core::{Change, Contract, FleetConfig, REPUBLISH_STEP, parse_contract};
use sapphiretrack_fakes::{FakePlatform, PlatformFaults, PlatformSettings};
use sapphiretrack_platform::{
    ApplyError, ChangeOutcome, ConfigurationStore, KnownConfig, PlatformClient, PlatformError,
    Settings,
};
use sapphiretrack_tests::{HistoryRecorder, contract_toml};
use todc_utils::specifications::Specification;

async fn platform() -> FakePlatform {
    let settings = PlatformSettings {
        writes_per_s: 100_000,
        reads_per_s: 100_000,
        ..PlatformSettings::default()
    };
    FakePlatform::start(settings)
        .await
        .expect("the platform starts")
}

fn client(platform: &FakePlatform) -> PlatformClient {
    PlatformClient::new(Settings {
        url: platform.url(),
        timeout_ms: 20_000,
    })
}

fn store(platform: &FakePlatform) -> ConfigurationStore {
    ConfigurationStore::new(client(platform))
}

fn contract(requests_per_s: u32) -> Contract {
    parse_contract(&contract_toml(requests_per_s)).expect("the contract is good")
}

fn set(requests_per_s: u32, seen_version: u64) -> Change {
    let contract = Box::new(contract(requests_per_s));
    Change::Contract {
        contract,
        seen_version,
    }
}

fn known(config: &FleetConfig) -> KnownConfig {
    KnownConfig {
        config: Arc::new(config.clone()),
        newest_version: config.version,
    }
}

async fn apply(
    store: &ConfigurationStore,
    change_id: &str,
    change: &Change,
    held: &FleetConfig,
) -> Result<ChangeOutcome, ApplyError> {
    store
        .apply(change_id, "amina", change, 7, &known(held))
        .await
}

/// Applies a change that must be accepted, and returns the configuration.
async fn accept(
    store: &ConfigurationStore,
    change_id: &str,
    change: &Change,
    held: &FleetConfig,
) -> FleetConfig {
    match apply(store, change_id, change, held).await {
        Ok(ChangeOutcome::Accepted {
            config: Some(config),
            ..
        }) => config.as_ref().clone(),
        other => panic!("{change_id} is not accepted: {other:?}"),
    }
}

/// An operation on the contract of one customer; open results are none.
#[derive(Clone, Debug)]
enum ContractOperation {
    Apply {
        seen: u64,
        requests_per_s: u32,
        /// The version that it made, or the one at which the contract stood.
        result: Option<Result<u64, u64>>,
    },
    Load {
        /// The configuration's version, and the contract's rate or 0 without one.
        result: Option<(u64, u32)>,
    },
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct ContractState {
    version: u64,
    requests_per_s: u32,
}

/// One contract that is changed by compare-and-swap; here its version is the configuration's.
struct OneContract;

impl Specification for OneContract {
    type State = ContractState;
    type Operation = ContractOperation;

    fn init() -> ContractState {
        ContractState::default()
    }

    fn apply(operation: &ContractOperation, state: &ContractState) -> (bool, ContractState) {
        match operation {
            ContractOperation::Apply {
                seen,
                requests_per_s,
                result,
            } => {
                let next = ContractState {
                    version: state.version + 1,
                    requests_per_s: *requests_per_s,
                };
                let fits = *seen == state.version;
                match result {
                    Some(Ok(version)) => (fits && *version == next.version, next),
                    Some(Err(current)) => (!fits && *current == state.version, *state),
                    None => (true, if fits { next } else { *state }),
                }
            }
            ContractOperation::Load { result } => {
                let seen = (state.version, state.requests_per_s);
                (result.is_none_or(|result| result == seen), *state)
            }
        }
    }
}

fn rate(config: &FleetConfig) -> u32 {
    let contract = config.contracts.get("teranga");
    contract.map_or(0, |contract| contract.limits.requests_per_s as u32)
}

/// An operator: reads the configuration, changes it, again and again.
async fn operate(
    store: ConfigurationStore,
    recorder: HistoryRecorder<ContractOperation>,
    number: u32,
) {
    let mut held = FleetConfig::default();
    for round in 0..8 {
        let load = recorder.call(ContractOperation::Load { result: None });
        match store.load_since(&held).await {
            Ok(config) => {
                let result = Some((config.version, rate(&config)));
                load.respond(ContractOperation::Load { result });
                assert!(config.version >= held.version, "it went back");
                held = config;
            }
            Err(_) => load.withdraw(),
        }
        let requests_per_s = 1 + number * 100 + round;
        let change = set(requests_per_s, held.version);
        let operation = |result| ContractOperation::Apply {
            seen: held.version,
            requests_per_s,
            result,
        };
        let call = recorder.call(operation(None));
        let change_id = format!("change-{number}-{round}");
        match apply(&store, &change_id, &change, &held).await {
            Ok(ChangeOutcome::Accepted { version, .. }) => {
                call.respond(operation(Some(Ok(version))))
            }
            Ok(ChangeOutcome::Refused {
                current_version, ..
            }) => call.respond(operation(Some(Err(current_version)))),
            Err(ApplyError::NotApplied { .. }) => call.withdraw(),
            Err(ApplyError::Unknown { .. }) => drop(call),
        }
    }
}

async fn checked_history(faults: &[PlatformFaults]) {
    let platform = platform().await;
    let recorder = HistoryRecorder::new();
    let operators: Vec<_> = (0..4)
        .map(|number| tokio::spawn(operate(store(&platform), recorder.clone(), number)))
        .collect();
    for fault in faults.iter().cycle().take(faults.len() * 6) {
        platform.set_faults(fault.clone());
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    platform.set_faults(PlatformFaults::default());
    for operator in operators {
        operator.await.expect("the operator ends");
    }
    assert!(recorder.len() >= 4, "{} operations", recorder.len());
    assert!(
        recorder.is_linearizable::<OneContract>(),
        "no order explains {recorder:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_operators_are_linearizable_while_the_platform_is_slow() {
    let slow = |delay_ms| PlatformFaults {
        delay_ms,
        ..PlatformFaults::default()
    };
    checked_history(&[slow(0), slow(3), slow(1)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_operators_are_linearizable_while_replies_are_lost() {
    let lose = |lose_replies, lose_requests| PlatformFaults {
        lose_replies,
        lose_requests,
        delay_ms: 1,
        ..PlatformFaults::default()
    };
    checked_history(&[lose(2, 0), lose(0, 1), lose(1, 1)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_operators_are_linearizable_while_the_platform_goes_down() {
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let up = PlatformFaults {
        delay_ms: 1,
        ..PlatformFaults::default()
    };
    checked_history(&[up.clone(), up, down]).await;
}

#[tokio::test]
async fn the_loser_of_a_race_is_told_what_changed_and_by_whom() {
    let platform = platform().await;
    let store = store(&platform);
    let first = accept(&store, "a", &set(10, 0), &FleetConfig::default()).await;
    accept(&store, "b", &set(20, 1), &first).await;
    let outcome = apply(&store, "c", &set(30, 1), &first).await;
    let expected = ChangeOutcome::Refused {
        current_version: 2,
        changed_by: String::from("amina"),
        differences: vec![String::from("limits.requests_per_s: 10.0 -> 20.0")],
    };
    assert_eq!(outcome.expect("an answer"), expected);
    assert_eq!(rate(&store.load().await.expect("it loads")), 20);
}

#[tokio::test]
async fn a_lost_reply_is_settled_by_reading_back_and_a_lost_request_is_unknown() {
    let platform = platform().await;
    let store = store(&platform);
    platform.set_faults(PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    });
    let first = accept(&store, "a", &set(10, 0), &FleetConfig::default()).await;
    platform.set_faults(PlatformFaults {
        lose_requests: 1,
        ..PlatformFaults::default()
    });
    let lost = apply(&store, "b", &set(20, 1), &first).await;
    assert!(matches!(lost, Err(ApplyError::Unknown { .. })), "{lost:?}");
    assert_eq!(store.outcome_of("b").await.expect("an answer"), None);
    accept(&store, "b", &set(20, 1), &first).await;
    let again = apply(&store, "b", &set(20, 1), &first).await;
    let Ok(ChangeOutcome::Accepted { version: 2, .. }) = again else {
        panic!("the same id has the same outcome: {again:?}");
    };
    assert_eq!(store.head_version().await.expect("an answer"), 2);
}

#[tokio::test]
async fn a_platform_restored_to_an_older_state_is_written_back() {
    let platform = platform().await;
    let store = store(&platform);
    let old = accept(&store, "a", &set(10, 0), &FleetConfig::default()).await;
    platform.save();
    let held = accept(&store, "b", &set(20, 1), &old).await;
    platform.restore();

    let refused = apply(&store, "c", &set(30, 1), &held).await;
    let Err(ApplyError::NotApplied {
        source: PlatformError::OlderState { .. },
    }) = refused
    else {
        panic!("a change on an older state: {refused:?}");
    };
    let settled = store.settled_outcome_of("b", held.version).await;
    assert!(settled.is_err(), "b holds on routers: {settled:?}");

    let written = store.republish(&held, "router-1", 8).await;
    let written = written.expect("an answer").expect("it is written back");
    assert_eq!(written.version, held.version + REPUBLISH_STEP);
    assert_eq!(written.contracts, held.contracts);
    let loaded = store.load().await.expect("it loads");
    assert_eq!(
        (loaded.version, &loaded.contracts),
        (written.version, &held.contracts)
    );
    let settled = store.settled_outcome_of("b", written.version).await;
    assert_eq!(settled.expect("an answer").map(|b| b.version), Some(2));
    let next = accept(&store, "c", &set(30, 2), &written).await;
    assert_eq!(next.version, written.version + 1);
    let again = store.republish(&held, "router-2", 9).await;
    assert_eq!(again.expect("an answer"), None);
}

#[tokio::test]
async fn reads_that_are_older_or_wrong_change_nothing() {
    let platform = platform().await;
    let store = store(&platform);
    let first = accept(&store, "a", &set(10, 0), &FleetConfig::default()).await;
    let older = PlatformFaults {
        older_reads: true,
        ..PlatformFaults::default()
    };
    platform.set_faults(older);
    // The platform takes this write, but its reads go on showing the state before.
    let held = accept(&store, "b", &set(20, 1), &first).await;
    let rows = platform.rows();
    let written = store.republish(&held, "router-1", 8).await;
    assert_eq!(written.expect("an answer"), None);
    assert_eq!(platform.rows(), rows);
    platform.set_faults(PlatformFaults {
        wrong_reads: true,
        ..PlatformFaults::default()
    });
    assert!(store.load_since(&held).await.is_err());
    assert!(store.republish(&held, "router-1", 8).await.is_err());
    assert_eq!(platform.rows(), rows);
}

#[tokio::test]
async fn a_configuration_of_many_customers_loads_from_the_snapshot() {
    let platform = platform().await;
    let calls = client(&platform);
    let store = ConfigurationStore::new(calls.clone());
    let mut config = FleetConfig::default();
    for number in 0..1_200_u32 {
        let mut contract = contract(10);
        contract.customer = format!("customer-{number}");
        let change = Change::Contract {
            contract: Box::new(contract),
            seen_version: 0,
        };
        config = accept(&store, &format!("change-{number}"), &change, &config).await;
    }
    store.write_snapshot(&config).await.expect("it is written");
    let last = accept(&store, "last", &set(20, 0), &config).await;
    let before = calls.calls().0;
    assert_eq!(store.load().await.expect("it loads"), last);
    assert_eq!(calls.calls().0 - before, 3, "head, snapshot, newer changes");

    // One digit is wrong, and the text is still a configuration.
    let object = calls.get_object("config-snapshot").await;
    let object = object.expect("an answer").expect("the snapshot");
    let text = String::from_utf8(object.to_vec()).expect("text");
    let damaged = text.replacen("\"in_flight\":200", "\"in_flight\":900", 1);
    assert_ne!(damaged, text);
    let put = calls.put_object("config-snapshot", damaged.into()).await;
    put.expect("it is written");
    let from_rows = store.load().await.expect("it loads");
    assert_eq!(from_rows.contracts, last.contracts);
    assert_eq!(from_rows.version, last.version);
}

#[tokio::test]
async fn a_version_number_given_twice_is_not_replayed_on_the_other_change() {
    let platform = platform().await;
    let store = store(&platform);
    let first = accept(&store, "a", &set(10, 0), &FleetConfig::default()).await;
    platform.save();
    let lost = accept(&store, "lost", &drain("engine-1"), &first).await;
    platform.restore();
    // Nobody who is asked holds the lost version, so its number is given again.
    let second = accept(&store, "b", &set(20, 1), &first).await;
    assert_eq!(second.version, lost.version);
    let third = accept(&store, "c", &set(30, 2), &second).await;
    let loaded = store.load_since(&lost).await.expect("it loads");
    assert_eq!(loaded.version, 3);
    assert_eq!(loaded.draining, third.draining);
    assert_eq!(loaded.contracts, third.contracts);
}

fn drain(server: &str) -> Change {
    Change::Drain {
        server: server.to_owned(),
        draining: true,
    }
}
