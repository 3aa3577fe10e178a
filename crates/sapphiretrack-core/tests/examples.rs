//! The example contracts of the docs.

use sapphiretrack_core::parse_contract;

#[test]
fn both_examples_are_good_contracts() {
    let teranga = parse_contract(include_str!("../../../docs/examples/teranga.toml"));
    let teranga = teranga.expect("the example is good");
    assert!(
        teranga
            .non_idempotent_rule("plant", "/labels/print")
            .is_some()
    );
    assert!(teranga.non_idempotent_rule("plant", "/pallets/7").is_none());
    let monterrey = parse_contract(include_str!("../../../docs/examples/monterrey.toml"));
    let monterrey = monterrey.expect("the example is good");
    let rule = monterrey
        .non_idempotent_rule("crew", "/notices/5")
        .expect("a rule");
    assert!(rule.key_optional);
    assert_eq!(
        monterrey.class(None).map(|(name, _)| name),
        Some("fin-check")
    );
}
