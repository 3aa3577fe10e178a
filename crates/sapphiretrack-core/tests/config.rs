//! Contracts and configurations: rejected texts, the order of changes and increasing versions.

use std::sync::Arc;

use sapphiretrack_core::{
    Change, ConfigOffer, Contract, FleetConfig, HistoryEntry, KeyIndex, REPUBLISH_STEP,
    adopt_if_newer, check_change_id, contract_differences, parse_contract, sha256_hex,
};

const CONTRACT: &str = r#"customer = "plant-a"
caller_keys_sha256 = []
pools = ["assistant"]
default_class = "floor"

[limits]
requests_per_s = 10
tokens_per_s = 1000
in_flight = 4

[classes.floor]
priority = 1
deadline_ms = 20000
"#;

fn contract(customer: &str, key: &str) -> Contract {
    let mut contract = parse_contract(CONTRACT).expect("the contract is valid");
    contract.customer = customer.to_owned();
    contract.caller_keys_sha256 = vec![sha256_hex(key)];
    contract
}

fn entry(version: u64, change: Change) -> Arc<HistoryEntry> {
    Arc::new(HistoryEntry {
        version,
        change_id: format!("change-{version}"),
        operator: String::from("amina"),
        at_ms: 0,
        change,
    })
}

fn contract_entry(version: u64, customer: &str) -> Arc<HistoryEntry> {
    let contract = Box::new(contract(customer, customer));
    let seen_version = 0;
    let change = Change::Contract {
        contract,
        seen_version,
    };
    entry(version, change)
}

fn config_of_version(version: u64) -> FleetConfig {
    let entries: Vec<_> = (1..=version)
        .map(|v| contract_entry(v, &format!("c{v}")))
        .collect();
    FleetConfig::default()
        .with_changes(&entries)
        .expect("the changes are consecutive")
}

#[test]
fn an_unknown_key_is_rejected_with_line_and_hint() {
    let text = CONTRACT.replace("in_flight = 4", "in_flight = 4\nin_flihgt = 5");
    let error = parse_contract(&text)
        .expect_err("the key is misspelled")
        .to_string();
    for part in ["line 10", "in_flihgt", "in_flight", "hint"] {
        assert!(error.contains(part), "no {part:?} in {error}");
    }
}

#[test]
fn an_invalid_change_id_is_rejected() {
    for bad in ["", "a/b", "a b", "\u{e9}", &"x".repeat(65)] {
        assert!(check_change_id(bad).is_err(), "{bad:?}");
    }
    assert_eq!(check_change_id("0f-A_9.x"), Ok(()));
}

#[test]
fn a_change_applies_only_to_the_version_before_it() {
    let config = config_of_version(3);
    assert_eq!(config.with_change(&contract_entry(5, "c5")), None, "a gap");
    assert_eq!(
        config.with_change(&contract_entry(3, "c3")),
        None,
        "the same version"
    );
    let next = config
        .with_change(&contract_entry(4, "c4"))
        .expect("the next version");
    assert_eq!((next.version, next.contracts.len()), (4, 4));
}

#[test]
fn a_republished_version_applies_only_to_the_held_version() {
    let config = config_of_version(3);
    let republished = |held_version| {
        let change = Change::Republished { held_version };
        entry(held_version + REPUBLISH_STEP, change)
    };
    assert_eq!(config.with_change(&republished(2)), None);
    let next = config
        .with_change(&republished(3))
        .expect("the version is the held one");
    assert_eq!(next.version, 3 + REPUBLISH_STEP);
    assert_eq!(next.contracts, config.contracts);
}

#[test]
fn changes_since_a_version_require_its_change_id() {
    let config = config_of_version(100);
    let changes = config.changes_since(97, "change-97").expect("known");
    assert_eq!(
        config_of_version(97).with_changes(&changes),
        Some(config.clone())
    );
    assert_eq!(config.changes_since(97, "another"), None);
    assert_eq!(
        config.changes_since(20, "change-20"),
        None,
        "the version is too old"
    );
}

#[test]
fn the_version_never_decreases() {
    let mut current = Arc::new(config_of_version(5));
    assert_eq!(
        adopt_if_newer(&mut current, config_of_version(4)),
        ConfigOffer::Ignored
    );
    assert_eq!(
        adopt_if_newer(&mut current, config_of_version(5)),
        ConfigOffer::Ignored
    );
    assert_eq!(current.version, 5);
    assert_eq!(
        adopt_if_newer(&mut current, config_of_version(6)),
        ConfigOffer::Adopted
    );
    assert_eq!(current.version, 6);
}

#[test]
fn the_index_finds_all_listed_keys_and_no_others() {
    let config = config_of_version(50);
    let index = KeyIndex::new(&config);
    for number in 1..=50 {
        let name = format!("c{number}");
        let found = index.contract_of_key(&name).expect("the key is listed");
        assert_eq!(found.customer, name);
    }
    assert!(index.contract_of_key("c51").is_none());
}

#[test]
fn differences_list_each_field_with_its_old_and_new_value() {
    let old = contract("plant-a", "k");
    let mut new = old.clone();
    new.limits.in_flight = 9;
    Arc::make_mut(&mut new.pools).insert(String::from("plant"));
    let expected = [
        "limits.in_flight: 4 -> 9",
        "pools: [\"assistant\"] -> [\"assistant\", \"plant\"]",
    ];
    assert_eq!(contract_differences(&old, &new), expected);
}

#[test]
fn parsed_contracts_share_equal_tables() {
    let text = toml::to_string(&config_of_version(3)).expect("a configuration can be written");
    let config: FleetConfig = toml::from_str(&text).expect("a written configuration can be parsed");
    assert_eq!(config, config_of_version(3));
    let mut contracts = config.contracts.values();
    let first = contracts.next().expect("there are three contracts");
    for contract in contracts {
        assert!(Arc::ptr_eq(&contract.classes, &first.classes));
        assert!(Arc::ptr_eq(&contract.pools, &first.pools));
    }
}
