//! Policy settings: agreement of the table with its documentation, accepted ranges and error
//! messages.

use sapphiretrack_router::{POLICY, PolicyError, RouterSettings, policy_help, set_policy};

const PAGE: &str = include_str!("../../../docs/operators/policy.md");

#[test]
fn documentation_contains_the_table() {
    assert!(
        PAGE.contains(&policy_help()),
        "docs/operators/policy.md differs from --policy help"
    );
}

#[test]
fn each_setting_accepts_its_limits_and_nothing_beyond() {
    for key in POLICY {
        let mut settings = RouterSettings::default();
        let default = key.value(&settings);
        assert!(
            (key.min..=key.max).contains(&default),
            "{}: default {default}",
            key.name
        );
        for limit in [key.min, key.max] {
            assert_eq!(
                set_policy(&mut settings, &format!("{}={limit}", key.name)),
                Ok(())
            );
            assert_eq!(key.value(&settings), limit, "{}", key.name);
        }
        let beyond = set_policy(&mut settings, &format!("{}={}", key.name, key.max * 2.0));
        assert!(
            matches!(beyond, Err(PolicyError::Range { .. })),
            "{}: {beyond:?}",
            key.name
        );
        assert_eq!(key.value(&settings), key.max, "{} changed", key.name);
    }
}

#[test]
fn names_are_unique() {
    for (index, key) in POLICY.iter().enumerate() {
        let duplicate = POLICY[..index].iter().find(|other| other.name == key.name);
        assert!(duplicate.is_none(), "{} is defined twice", key.name);
    }
}

#[test]
fn errors_explain_the_mistake() {
    let refused = |text: &str| {
        let mut settings = RouterSettings::default();
        let error = set_policy(&mut settings, text).expect_err(text);
        assert_eq!(
            settings,
            RouterSettings::default(),
            "{text} changed the settings"
        );
        error.to_string()
    };
    assert!(refused("offers").contains("hint: KEY=VALUE"));
    assert!(refused("colour=1").contains("--policy help"));
    assert!(refused("keep-parts=9").contains("renamed to \"keep-prefixes\""));
    assert!(refused("beat=100").contains("renamed to \"heartbeat\""));
    assert!(refused("least-beat=5").contains("--policy least-heartbeat=VALUE"));
    assert!(refused("offers=many").contains("not a number"));
    assert!(refused("offers=NaN").contains("out of range"));
    assert!(refused("offers=0").contains("hint: 1 to 16 servers"));
}
