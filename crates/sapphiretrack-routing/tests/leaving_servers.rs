//! Servers that state that they leave: the statement is final, and forgotten only long after the server was listed.

use std::collections::HashSet;

use sapphiretrack_routing::{Incarnation, LeavingServers};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

#[test]
fn a_statement_concerns_one_incarnation_and_is_new_once() {
    let mut leaving = LeavingServers::default();
    assert!(!leaving.may_be_listed());
    assert!(leaving.record(A, 0));
    assert!(leaving.may_be_listed());
    assert!(!leaving.record(A, 10));
    assert!(leaving.contains(A));
    assert!(!leaving.contains(B));
}

/// Guards against taking a server back that stays listed for long, or whose entry is restored after an outage.
#[test]
fn a_statement_is_remembered_while_the_server_is_listed_and_long_after() {
    let mut leaving = LeavingServers::default();
    leaving.record(A, 0);
    leaving.record(B, 0);
    leaving.retain_listed(&HashSet::from([A]), 700_000);
    assert!(leaving.contains(A) && leaving.may_be_listed());
    assert!(!leaving.contains(B));
    leaving.retain_listed(&HashSet::new(), 1_299_999);
    assert!(leaving.contains(A) && !leaving.may_be_listed());
    leaving.retain_listed(&HashSet::from([A]), 1_299_999);
    assert!(leaving.contains(A) && leaving.may_be_listed());
    leaving.retain_listed(&HashSet::new(), 1_899_999);
    assert!(!leaving.contains(A) && !leaving.may_be_listed());
}
