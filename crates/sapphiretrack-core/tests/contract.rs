//! Parsing of arbitrary and damaged contract texts.

use proptest::prelude::*;
use sapphiretrack_core::{Contract, parse_contract};

const EXAMPLE: &str = include_str!("../../../docs/examples/monterrey.toml");

/// Checks the properties of every accepted contract.
fn is_valid(contract: &Contract) -> bool {
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
    fn any_text_is_rejected_with_a_hint_or_valid(text in "\\PC{0,200}") {
        match parse_contract(&text) {
            Ok(contract) => prop_assert!(is_valid(&contract)),
            Err(error) => prop_assert!(error.to_string().contains("hint: ")),
        }
    }

    #[test]
    fn a_damaged_contract_is_rejected_with_a_hint_or_valid(
        start in 0..EXAMPLE.len(),
        length in 0_usize..40,
        inserted in "[-0-9a-z=\"\\[\\]\n. ]{0,8}",
    ) {
        let end = (start + length).min(EXAMPLE.len());
        prop_assume!(EXAMPLE.is_char_boundary(start) && EXAMPLE.is_char_boundary(end));
        let text = format!("{}{inserted}{}", &EXAMPLE[..start], &EXAMPLE[end..]);
        match parse_contract(&text) {
            Ok(contract) => {
                prop_assert!(is_valid(&contract));
                let written = toml::to_string(&contract).expect("a contract can be written");
                prop_assert_eq!(parse_contract(&written).expect("a written contract can be parsed"), contract);
            }
            Err(error) => prop_assert!(error.to_string().contains("hint: ")),
        }
    }
}
