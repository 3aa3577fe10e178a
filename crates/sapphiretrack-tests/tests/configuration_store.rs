//! The configuration in the platform's table: concurrent operators, lost replies, restored states.

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
        .expect("the fake platform starts")
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
    parse_contract(&contract_toml(requests_per_s)).expect("the contract is valid")
}

fn contract_change(requests_per_s: u32, seen_version: u64) -> Change {
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

/// Applies a change that must be accepted and returns the new configuration.
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
        other => panic!("{change_id} was not accepted: {other:?}"),
    }
}

/// An operation on the contract of one customer; the result is none while it is not known.
#[derive(Clone, Debug)]
enum ContractOperation {
    Apply {
        seen: u64,
        requests_per_s: u32,
        /// The version that the change made, or the current version if it was refused.
        result: Option<Result<u64, u64>>,
    },
    Load {
        /// The version of the configuration, and the rate of the contract or 0 if there is none.
        result: Option<(u64, u32)>,
    },
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct ContractState {
    version: u64,
    requests_per_s: u32,
}

/// Specification of one contract that is changed by compare-and-swap. Without other contracts, its
/// version is that of the configuration.
struct ContractSpecification;

impl Specification for ContractSpecification {
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
                let matches = *seen == state.version;
                match result {
                    Some(Ok(version)) => (matches && *version == next.version, next),
                    Some(Err(current)) => (!matches && *current == state.version, *state),
                    None => (true, if matches { next } else { *state }),
                }
            }
            ContractOperation::Load { result } => {
                let seen = (state.version, state.requests_per_s);
                (result.is_none_or(|result| result == seen), *state)
            }
        }
    }
}

fn contract_rate(config: &FleetConfig) -> u32 {
    let contract = config.contracts.get("teranga");
    contract.map_or(0, |contract| contract.limits.requests_per_s as u32)
}

/// Reads and changes the configuration repeatedly, as an operator does.
async fn run_operator(
    store: ConfigurationStore,
    recorder: HistoryRecorder<ContractOperation>,
    number: u32,
) {
    let mut held = FleetConfig::default();
    for round in 0..8 {
        let load = recorder.call(ContractOperation::Load { result: None });
        match store.load_since(&held).await {
            Ok(config) => {
                let result = Some((config.version, contract_rate(&config)));
                load.respond(ContractOperation::Load { result });
                assert!(config.version >= held.version, "the version went back");
                held = config;
            }
            Err(_) => load.withdraw(),
        }
        let requests_per_s = 1 + number * 100 + round;
        let change = contract_change(requests_per_s, held.version);
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

async fn check_history_under_faults(faults: &[PlatformFaults]) {
    let platform = platform().await;
    let recorder = HistoryRecorder::new();
    let operators: Vec<_> = (0..4)
        .map(|number| tokio::spawn(run_operator(store(&platform), recorder.clone(), number)))
        .collect();
    for fault in faults.iter().cycle().take(faults.len() * 6) {
        platform.set_faults(fault.clone());
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    platform.set_faults(PlatformFaults::default());
    for operator in operators {
        operator.await.expect("the operator does not panic");
    }
    assert!(recorder.len() >= 4, "only {} operations", recorder.len());
    assert!(
        recorder.is_linearizable::<ContractSpecification>(),
        "not linearizable: {recorder:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_operators_are_linearizable_while_the_platform_is_slow() {
    let slow = |delay_ms| PlatformFaults {
        delay_ms,
        ..PlatformFaults::default()
    };
    check_history_under_faults(&[slow(0), slow(3), slow(1)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_operators_are_linearizable_while_replies_are_lost() {
    let lose = |lose_replies, lose_requests| PlatformFaults {
        lose_replies,
        lose_requests,
        delay_ms: 1,
        ..PlatformFaults::default()
    };
    check_history_under_faults(&[lose(2, 0), lose(0, 1), lose(1, 1)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_operators_are_linearizable_while_the_platform_fails() {
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let up = PlatformFaults {
        delay_ms: 1,
        ..PlatformFaults::default()
    };
    check_history_under_faults(&[up.clone(), up, down]).await;
}

#[tokio::test]
async fn a_refused_change_reports_what_changed_and_who_changed_it() {
    let platform = platform().await;
    let store = store(&platform);
    let first = accept(
        &store,
        "a",
        &contract_change(10, 0),
        &FleetConfig::default(),
    )
    .await;
    accept(&store, "b", &contract_change(20, 1), &first).await;
    let outcome = apply(&store, "c", &contract_change(30, 1), &first).await;
    let expected = ChangeOutcome::Refused {
        current_version: 2,
        changed_by: String::from("amina"),
        differences: vec![String::from("limits.requests_per_s: 10.0 -> 20.0")],
    };
    assert_eq!(outcome.expect("the platform answers"), expected);
    assert_eq!(
        contract_rate(&store.load().await.expect("the configuration loads")),
        20
    );
}

#[tokio::test]
async fn a_lost_reply_is_resolved_by_reading_back_and_a_lost_request_is_unknown() {
    let platform = platform().await;
    let store = store(&platform);
    platform.set_faults(PlatformFaults {
        lose_replies: 1,
        ..PlatformFaults::default()
    });
    let first = accept(
        &store,
        "a",
        &contract_change(10, 0),
        &FleetConfig::default(),
    )
    .await;
    platform.set_faults(PlatformFaults {
        lose_requests: 1,
        ..PlatformFaults::default()
    });
    let lost = apply(&store, "b", &contract_change(20, 1), &first).await;
    assert!(matches!(lost, Err(ApplyError::Unknown { .. })), "{lost:?}");
    assert_eq!(
        store.outcome_of("b").await.expect("the platform answers"),
        None
    );
    accept(&store, "b", &contract_change(20, 1), &first).await;
    let again = apply(&store, "b", &contract_change(20, 1), &first).await;
    let Ok(ChangeOutcome::Accepted { version: 2, .. }) = again else {
        panic!("the same change id must have the same outcome: {again:?}");
    };
    assert_eq!(store.head_version().await.expect("the platform answers"), 2);
}

#[tokio::test]
async fn a_configuration_lost_in_a_platform_restore_is_written_back() {
    let platform = platform().await;
    let store = store(&platform);
    let old = accept(
        &store,
        "a",
        &contract_change(10, 0),
        &FleetConfig::default(),
    )
    .await;
    platform.save();
    let held = accept(&store, "b", &contract_change(20, 1), &old).await;
    platform.restore();

    let refused = apply(&store, "c", &contract_change(30, 1), &held).await;
    let Err(ApplyError::NotApplied {
        source: PlatformError::OlderState { .. },
    }) = refused
    else {
        panic!("a change on an older state was not refused: {refused:?}");
    };
    let settled = store.settled_outcome_of("b", held.version).await;
    assert!(
        settled.is_err(),
        "change b is in force on routers: {settled:?}"
    );

    let written = store.republish(&held, "router-1", 8).await;
    let written = written
        .expect("the platform answers")
        .expect("the configuration is written back");
    assert_eq!(written.version, held.version + REPUBLISH_STEP);
    assert_eq!(written.contracts, held.contracts);
    let loaded = store.load().await.expect("the configuration loads");
    assert_eq!(
        (loaded.version, &loaded.contracts),
        (written.version, &held.contracts)
    );
    let settled = store.settled_outcome_of("b", written.version).await;
    assert_eq!(
        settled.expect("the platform answers").map(|b| b.version),
        Some(2)
    );
    let next = accept(&store, "c", &contract_change(30, 2), &written).await;
    assert_eq!(next.version, written.version + 1);
    let again = store.republish(&held, "router-2", 9).await;
    assert_eq!(again.expect("the platform answers"), None);
}

#[tokio::test]
async fn outdated_or_corrupt_reads_change_nothing() {
    let platform = platform().await;
    let store = store(&platform);
    let first = accept(
        &store,
        "a",
        &contract_change(10, 0),
        &FleetConfig::default(),
    )
    .await;
    let older = PlatformFaults {
        older_reads: true,
        ..PlatformFaults::default()
    };
    platform.set_faults(older);
    // The platform accepts this write, but its reads still return the state before it.
    let held = accept(&store, "b", &contract_change(20, 1), &first).await;
    let rows = platform.rows();
    let written = store.republish(&held, "router-1", 8).await;
    assert_eq!(written.expect("the platform answers"), None);
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
    store
        .write_snapshot(&config)
        .await
        .expect("the snapshot is written");
    let last = accept(&store, "last", &contract_change(20, 0), &config).await;
    let before = calls.calls().0;
    assert_eq!(store.load().await.expect("the configuration loads"), last);
    assert_eq!(calls.calls().0 - before, 3, "head, snapshot, newer changes");

    // A digit is wrong, but the text is still a valid configuration.
    let object = calls.get_object("config-snapshot").await;
    let object = object
        .expect("the platform answers")
        .expect("there is a snapshot");
    let text = String::from_utf8(object.to_vec()).expect("the snapshot is text");
    let damaged = text.replacen("\"in_flight\":200", "\"in_flight\":900", 1);
    assert_ne!(damaged, text);
    let put = calls.put_object("config-snapshot", damaged.into()).await;
    put.expect("the object is written");
    let from_rows = store.load().await.expect("the configuration loads");
    assert_eq!(from_rows.contracts, last.contracts);
    assert_eq!(from_rows.version, last.version);
}

#[tokio::test]
async fn a_version_number_used_twice_is_not_replayed_on_the_wrong_change() {
    let platform = platform().await;
    let store = store(&platform);
    let first = accept(
        &store,
        "a",
        &contract_change(10, 0),
        &FleetConfig::default(),
    )
    .await;
    platform.save();
    let lost = accept(&store, "lost", &drain_change("engine-1"), &first).await;
    platform.restore();
    // This caller does not know the lost version, so the store assigns its number again.
    let second = accept(&store, "b", &contract_change(20, 1), &first).await;
    assert_eq!(second.version, lost.version);
    let third = accept(&store, "c", &contract_change(30, 2), &second).await;
    let loaded = store
        .load_since(&lost)
        .await
        .expect("the configuration loads");
    assert_eq!(loaded.version, 3);
    assert_eq!(loaded.draining, third.draining);
    assert_eq!(loaded.contracts, third.contracts);
}

fn drain_change(server: &str) -> Change {
    Change::Drain {
        server: server.to_owned(),
        draining: true,
    }
}
