//! Tests of the soak's fault plan, the check of its history, and its report.

use sapphiretrack_bench::load::{Attempt, AttemptOutcome, RequestRecord, Violation, ViolationKind};
use sapphiretrack_bench::soak::{
    ChangeRecord, ChangeState, Evidence, SoakReport, SoakSettings, StopRecord, VersionSeen,
    find_violations, plan,
};

const ORDER: &str = "POST /labels/print 17";
const ROUTER: &str = "http://127.0.0.1:8080";

fn request(identity: &str, outcomes: &[AttemptOutcome]) -> RequestRecord {
    let attempts = outcomes.iter().map(|outcome| Attempt {
        router: String::from(ROUTER),
        outcome: outcome.clone(),
    });
    RequestRecord {
        identity: identity.to_owned(),
        service: identity.contains(' '),
        non_idempotent: identity.contains(' '),
        attempts: attempts.collect(),
    }
}

fn not_run() -> AttemptOutcome {
    AttemptOutcome::NotRun(String::from("overloaded"))
}

fn change(id: &str, seen_version: u64, state: ChangeState) -> ChangeRecord {
    ChangeRecord {
        change_id: id.to_owned(),
        customer: String::from("teranga"),
        seen_version,
        state,
    }
}

fn seen(version: u64) -> VersionSeen {
    VersionSeen {
        process: String::from("router-1"),
        version,
    }
}

/// Returns evidence without violations.
fn valid_evidence() -> Evidence {
    let mut evidence = Evidence {
        requests: vec![
            request(ORDER, &[not_run(), AttemptOutcome::Complete]),
            request("POST /labels/print 18", &[not_run(), not_run()]),
            request("00aa", &[AttemptOutcome::Complete]),
            request("00bb", &[not_run()]),
        ],
        stops: vec![StopRecord {
            router: String::from("http://127.0.0.1:9090"),
            exit_code: Some(0),
        }],
        versions: vec![seen(1), seen(1), seen(2)],
        changes: vec![
            change("a", 0, ChangeState::Accepted(1)),
            change("b", 1, ChangeState::Accepted(2)),
            change("c", 1, ChangeState::Refused),
        ],
        ..Evidence::default()
    };
    evidence.runs.insert(ORDER.to_owned(), 1);
    evidence.started_chats.insert(String::from("00aa"));
    let history = [(1, String::from("a")), (2, String::from("b"))];
    evidence
        .histories
        .insert(String::from("router-1"), history.into());
    let in_force = (String::from("router-1"), String::from("teranga"));
    evidence.contract_versions.insert(in_force, 2);
    evidence
}

/// Returns the kinds of the violations in the valid evidence after a modification.
fn kinds<Modify>(modify: Modify) -> Vec<ViolationKind>
where
    Modify: FnOnce(&mut Evidence),
{
    let mut evidence = valid_evidence();
    modify(&mut evidence);
    let found = find_violations(&evidence);
    found.into_iter().map(|violation| violation.kind).collect()
}

#[test]
fn a_correct_history_has_no_violations() {
    assert_eq!(kinds(|_| ()), []);
}

#[test]
fn run_counts_that_violate_a_guarantee_are_detected() {
    let twice = kinds(|evidence| {
        evidence.runs.insert(ORDER.to_owned(), 2);
    });
    assert_eq!(twice, [ViolationKind::RanTwice]);
    let ran = kinds(|evidence| {
        let order = String::from("POST /labels/print 18");
        evidence.runs.insert(order, 1);
    });
    assert_eq!(ran, [ViolationKind::RanThoughNotRun]);
    let started = kinds(|evidence| {
        evidence.started_chats.insert(String::from("00bb"));
    });
    assert_eq!(started, [ViolationKind::RanThoughNotRun]);
    let nowhere = kinds(|evidence| evidence.runs.clear());
    assert_eq!(nowhere, [ViolationKind::CompleteWithoutRun]);
}

#[test]
fn a_run_after_an_unknown_outcome_is_no_violation() {
    let unknown = AttemptOutcome::Unknown(String::from("server_failed"));
    for outcome in [unknown, AttemptOutcome::Cut] {
        let found = kinds(|evidence| {
            let order = "POST /labels/print 19";
            evidence
                .requests
                .push(request(order, &[outcome, not_run()]));
            evidence.runs.insert(order.to_owned(), 1);
        });
        assert_eq!(found, []);
    }
}

#[test]
fn an_attempt_without_an_end_is_a_violation() {
    let without_end = kinds(|evidence| {
        let request = request("00cc", &[AttemptOutcome::NoEnd]);
        evidence.requests.push(request);
    });
    assert_eq!(without_end, [ViolationKind::NoEnd]);
}

#[test]
fn a_request_cut_by_a_planned_stop_is_a_violation_unless_the_router_was_killed() {
    for exit_code in [None, Some(3)] {
        let unclean = kinds(|evidence| evidence.stops[0].exit_code = exit_code);
        assert_eq!(unclean, [ViolationKind::CutByPlannedStop]);
    }
    let cut = |evidence: &mut Evidence| {
        evidence.stops[0].router = String::from(ROUTER);
        let request = request("00cc", &[AttemptOutcome::Cut]);
        evidence.requests.push(request);
    };
    assert_eq!(kinds(cut), [ViolationKind::CutByPlannedStop]);
    let killed = kinds(|evidence| {
        cut(evidence);
        evidence.killed.insert(String::from(ROUTER));
    });
    assert_eq!(killed, []);
}

#[test]
fn an_earlier_configuration_version_of_the_same_process_is_a_violation() {
    let back = kinds(|evidence| evidence.versions.push(seen(1)));
    assert_eq!(back, [ViolationKind::ConfigurationWentBack]);
    let another_process = kinds(|evidence| {
        evidence.versions.push(VersionSeen {
            process: String::from("router-1, restarted"),
            version: 0,
        });
    });
    assert_eq!(another_process, []);
}

#[test]
fn lost_changes_and_applied_refused_changes_are_violations() {
    let lost = kinds(|evidence| {
        let history = evidence
            .histories
            .get_mut("router-1")
            .expect("the history of router-1");
        history.remove(&1);
    });
    assert_eq!(lost, [ViolationKind::ChangeLost]);
    let holds = kinds(|evidence| {
        let history = evidence
            .histories
            .get_mut("router-1")
            .expect("the history of router-1");
        history.insert(3, String::from("c"));
    });
    assert_eq!(holds, [ViolationKind::ChangeLost]);
    let unresolved = kinds(|evidence| evidence.changes[2].state = ChangeState::Unresolved);
    assert_eq!(unresolved, [ViolationKind::ChangeLost]);
    let old = kinds(|evidence| {
        for version in evidence.contract_versions.values_mut() {
            *version = 1;
        }
    });
    assert_eq!(old, [ViolationKind::ChangeLost]);
    let both = kinds(|evidence| {
        let history = evidence
            .histories
            .get_mut("router-1")
            .expect("the history of router-1");
        history.insert(3, String::from("c"));
        evidence.changes[2].state = ChangeState::Accepted(3);
        evidence
            .contract_versions
            .values_mut()
            .for_each(|version| *version = 3);
    });
    assert_eq!(both, [ViolationKind::BothAccepted]);
}

#[test]
fn the_plan_is_deterministic_and_contains_every_fault() {
    let settings = SoakSettings {
        fault_mean_ms: 500.0,
        ..SoakSettings::default()
    };
    let planned = plan(&settings);
    assert_eq!(planned, plan(&settings));
    assert!(planned.is_sorted_by_key(|fault| fault.at_ms));
    let names: std::collections::BTreeSet<_> =
        planned.iter().map(|planned| planned.fault.name()).collect();
    assert_eq!(names.len(), 18, "{names:?}");
    let bounded = SoakSettings {
        max_faults: 5,
        ..settings
    };
    assert_eq!(plan(&bounded), planned[..5]);
}

#[test]
fn the_failure_line_names_each_kind_of_violation() {
    let settings = SoakSettings::default();
    let clean = SoakReport::new(&settings, &valid_evidence(), &[]);
    assert!(clean.passed());
    let found = [Violation::new(ViolationKind::RanTwice, "order 17")];
    let broken = SoakReport::new(&settings, &valid_evidence(), &found);
    assert!(!broken.passed());
    let line = broken.failure_line();
    assert_eq!(
        line,
        "seed 1 minutes 10 routers 9: RanTwice x 1 (first: order 17)"
    );
}
