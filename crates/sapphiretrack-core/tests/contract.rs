//! Contracts as text from outside.

use proptest::prelude::*;
use sapphiretrack_core::{Contract, parse_contract};

const GOOD: &str = include_str!("../../../docs/examples/monterrey.toml");

/// What holds of every contract that is taken.
fn is_sound(contract: &Contract) -> bool {
    contract.classes.contains_key(&contract.default_class)
        && contract.limits.requests_per_s > 0.0
        && contract.limits.requests_per_s.is_finite()
        && contract.limits.in_flight > 0
        && contract.classes.values().all(|class| class.deadline_ms > 0)
        && contract
            .non_idempotent
            .iter()
            .all(|rule| contract.pools.contains(&rule.pool))
}

proptest! {
    #[test]
    fn any_text_is_refused_with_a_hint_or_sound(text in "\\PC{0,200}") {
        match parse_contract(&text) {
            Ok(contract) => prop_assert!(is_sound(&contract)),
            Err(error) => prop_assert!(error.to_string().contains("hint: ")),
        }
    }

    #[test]
    fn a_damaged_contract_is_refused_with_a_hint_or_sound(
        at in 0..GOOD.len(),
        length in 0_usize..40,
        put in "[-0-9a-z=\"\\[\\]\n. ]{0,8}",
    ) {
        let end = (at + length).min(GOOD.len());
        prop_assume!(GOOD.is_char_boundary(at) && GOOD.is_char_boundary(end));
        let text = format!("{}{put}{}", &GOOD[..at], &GOOD[end..]);
        match parse_contract(&text) {
            Ok(contract) => {
                prop_assert!(is_sound(&contract));
                let written = toml::to_string(&contract).expect("a contract can be written");
                prop_assert_eq!(parse_contract(&written).expect("and read again"), contract);
            }
            Err(error) => prop_assert!(error.to_string().contains("hint: ")),
        }
    }
}
