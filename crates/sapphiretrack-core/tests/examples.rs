//! The example contracts of the documentation.

use sapphiretrack_core::parse_contract;

#[test]
fn both_examples_are_valid_contracts() {
    let teranga = parse_contract(include_str!("../../../docs/examples/teranga.toml"));
    let teranga = teranga.expect("the example is valid");
    assert!(
        teranga
            .non_idempotent_rule("plant", "/labels/print")
            .is_some()
    );
    assert!(teranga.non_idempotent_rule("plant", "/pallets/7").is_none());
    let monterrey = parse_contract(include_str!("../../../docs/examples/monterrey.toml"));
    let monterrey = monterrey.expect("the example is valid");
    let rule = monterrey
        .non_idempotent_rule("crew", "/notices/5")
        .expect("the path has a rule");
    assert!(rule.key_optional);
    assert_eq!(
        monterrey.class(None).map(|(name, _)| name),
        Some("fin-check")
    );
}
