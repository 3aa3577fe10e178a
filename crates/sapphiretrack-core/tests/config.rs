//! Contracts and configurations: what is refused, what follows on what, and that nothing goes back.

use std::sync::Arc;

use sapphiretrack_core::{
    Change, Contract, FleetConfig, HistoryEntry, KeyIndex, REPUBLISH_STEP, Refreshed,
    check_change_id, contract_differences, newer_config, parse_contract, sha256_hex,
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
    let mut contract = parse_contract(CONTRACT).expect("the contract is good");
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

fn set(version: u64, customer: &str) -> Arc<HistoryEntry> {
    let contract = Box::new(contract(customer, customer));
    let seen_version = 0;
    let change = Change::Contract {
        contract,
        seen_version,
    };
    entry(version, change)
}

fn after(versions: u64) -> FleetConfig {
    let entries: Vec<_> = (1..=versions).map(|v| set(v, &format!("c{v}"))).collect();
    FleetConfig::default()
        .after_all(&entries)
        .expect("the changes follow")
}

#[test]
fn an_unknown_key_is_refused_with_line_and_hint() {
    let text = CONTRACT.replace("in_flight = 4", "in_flight = 4\nin_flihgt = 5");
    let error = parse_contract(&text)
        .expect_err("a typing error")
        .to_string();
    for part in ["line 10", "in_flihgt", "in_flight", "hint"] {
        assert!(error.contains(part), "no {part:?} in {error}");
    }
}

#[test]
fn a_change_id_that_is_no_plain_name_is_refused() {
    for bad in ["", "a/b", "a b", "\u{e9}", &"x".repeat(65)] {
        assert!(check_change_id(bad).is_err(), "{bad:?}");
    }
    assert_eq!(check_change_id("0f-A_9.x"), Ok(()));
}

#[test]
fn a_change_is_taken_only_on_the_version_before_it() {
    let config = after(3);
    assert_eq!(config.after(&set(5, "c5")), None, "a gap");
    assert_eq!(config.after(&set(3, "c3")), None, "the same again");
    let next = config.after(&set(4, "c4")).expect("the next one");
    assert_eq!((next.version, next.contracts.len()), (4, 4));
}

#[test]
fn a_republished_version_follows_only_on_the_one_that_was_held() {
    let config = after(3);
    let republished = |held_version| {
        let change = Change::Republished { held_version };
        entry(held_version + REPUBLISH_STEP, change)
    };
    assert_eq!(config.after(&republished(2)), None);
    let next = config.after(&republished(3)).expect("it follows");
    assert_eq!(next.version, 3 + REPUBLISH_STEP);
    assert_eq!(next.contracts, config.contracts);
}

#[test]
fn changes_since_a_version_need_its_very_change() {
    let config = after(100);
    let changes = config.changes_since(97, "change-97").expect("known");
    assert_eq!(after(97).after_all(&changes), Some(config.clone()));
    assert_eq!(config.changes_since(97, "another"), None);
    assert_eq!(config.changes_since(20, "change-20"), None, "too long ago");
}

#[test]
fn a_version_never_goes_back() {
    let mut current = Arc::new(after(5));
    assert_eq!(newer_config(&mut current, after(4)), Refreshed::Kept);
    assert_eq!(newer_config(&mut current, after(5)), Refreshed::Kept);
    assert_eq!(current.version, 5);
    assert_eq!(newer_config(&mut current, after(6)), Refreshed::InForce);
    assert_eq!(current.version, 6);
}

#[test]
fn the_index_finds_each_key_and_no_other() {
    let config = after(50);
    let index = KeyIndex::new(&config);
    for number in 1..=50 {
        let name = format!("c{number}");
        let found = index.contract_of_key(&name).expect("the key is listed");
        assert_eq!(found.customer, name);
    }
    assert!(index.contract_of_key("c51").is_none());
}

#[test]
fn differences_name_each_field_with_old_and_new() {
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
fn contracts_with_equal_tables_share_them_once_they_are_read() {
    let text = toml::to_string(&after(3)).expect("it has a text form");
    let config: FleetConfig = toml::from_str(&text).expect("it reads back");
    assert_eq!(config, after(3));
    let mut contracts = config.contracts.values();
    let first = contracts.next().expect("there are three");
    for contract in contracts {
        assert!(Arc::ptr_eq(&contract.classes, &first.classes));
        assert!(Arc::ptr_eq(&contract.pools, &first.pools));
    }
}
