//! Checks the history of a soak for violated guarantees, without I/O.

use std::collections::{BTreeMap, BTreeSet};

use crate::load::{AttemptOutcome, RequestRecord, Violation, ViolationKind};
use crate::soak::evidence::{ChangeState, Evidence};

/// Returns the violations found during the soak and those in its history.
pub fn find_violations(evidence: &Evidence) -> Vec<Violation> {
    let mut found = evidence.violations.clone();
    found.extend(check_runs(evidence));
    found.extend(check_ends(&evidence.requests));
    found.extend(check_stops(evidence));
    found.extend(check_versions(evidence));
    found.extend(check_races(evidence));
    found.extend(check_changes(evidence));
    found
}

/// Checks that a non-idempotent order ran at most once, that it ran if it was answered as
/// complete, and that no request ran whose attempts were all reported as not run or could not
/// connect.
fn check_runs(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in &evidence.requests {
        let runs = if request.service {
            evidence.runs.get(&request.identity).copied().unwrap_or(0)
        } else {
            u32::from(evidence.started_chats.contains(&request.identity))
        };
        let kind = if request.non_idempotent && runs > 1 {
            ViolationKind::RanTwice
        } else if request.surely_not_run() && runs > 0 {
            ViolationKind::RanThoughNotRun
        } else if request.non_idempotent && request.complete() && runs == 0 {
            ViolationKind::CompleteWithoutRun
        } else {
            continue;
        };
        let detail = format!(
            "{runs} runs of {}: {:?}",
            request.identity, request.attempts
        );
        found.push(Violation::new(kind, detail));
    }
    found
}

/// Checks that every attempt ended.
fn check_ends(requests: &[RequestRecord]) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in requests {
        let without_end =
            |attempt: &&crate::load::Attempt| attempt.outcome == AttemptOutcome::NoEnd;
        if let Some(attempt) = request.attempts.iter().find(without_end) {
            let detail = format!("{} through {}", request.identity, attempt.router);
            found.push(Violation::new(ViolationKind::NoEnd, detail));
        }
    }
    found
}

/// Checks that every planned stop ended with exit code 0 and cut no request. Routers that were also
/// killed may have cut requests.
fn check_stops(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &evidence.stops {
        if stop.exit_code != Some(0) {
            let detail = format!("{} ended with {:?}", stop.router, stop.exit_code);
            found.push(Violation::new(ViolationKind::CutByPlannedStop, detail));
        }
    }
    let stopped: BTreeSet<&str> = evidence
        .stops
        .iter()
        .map(|stop| stop.router.as_str())
        .filter(|router| !evidence.killed.contains(*router))
        .collect();
    for request in &evidence.requests {
        for attempt in &request.attempts {
            if attempt.outcome == AttemptOutcome::Cut && stopped.contains(attempt.router.as_str()) {
                let detail = format!("{} through {}", request.identity, attempt.router);
                found.push(Violation::new(ViolationKind::CutByPlannedStop, detail));
            }
        }
    }
    found
}

/// Checks that no router process returned to an earlier configuration version.
fn check_versions(evidence: &Evidence) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for seen in &evidence.versions {
        let known = newest.entry(seen.process.as_str()).or_default();
        if seen.version < *known {
            let detail = format!("{} from {known} to {}", seen.process, seen.version);
            found.push(Violation::new(ViolationKind::ConfigurationWentBack, detail));
        }
        *known = (*known).max(seen.version);
    }
    found
}

/// Checks that of the changes based on the same version of a contract, at most one was accepted.
fn check_races(evidence: &Evidence) -> Vec<Violation> {
    let mut accepted: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    let mut found = Vec::new();
    for change in &evidence.changes {
        if !matches!(change.state, ChangeState::Accepted(_)) {
            continue;
        }
        let race = (change.customer.as_str(), change.seen_version);
        if let Some(other) = accepted.insert(race, &change.change_id) {
            let detail = format!("{other} and {} at {race:?}", change.change_id);
            found.push(Violation::new(ViolationKind::BothAccepted, detail));
        }
    }
    found
}

/// Checks that every router lists the accepted changes in its history and has the newest ones in
/// force, that no router lists a refused change, and that the outcome of each change is known.
fn check_changes(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut report = |detail: String| found.push(Violation::new(ViolationKind::ChangeLost, detail));
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for change in &evidence.changes {
        let id = &change.change_id;
        if let ChangeState::Accepted(version) = change.state {
            let known = newest.entry(change.customer.as_str()).or_default();
            *known = (*known).max(version);
        }
        for (router, history) in &evidence.histories {
            match change.state {
                ChangeState::Accepted(version) if history.get(&version) != Some(id) => {
                    report(format!("{router} does not list {id} at version {version}"));
                }
                ChangeState::Refused if history.values().any(|known| known == id) => {
                    report(format!("{router} lists {id}, which was refused"));
                }
                ChangeState::Unresolved => report(format!("the outcome of {id} is unknown")),
                _ => {}
            }
        }
    }
    for ((router, customer), version) in &evidence.contract_versions {
        let expected = newest.get(customer.as_str()).copied().unwrap_or_default();
        if *version != expected {
            report(format!(
                "{router} has {customer}'s contract of version {version}, not {expected}"
            ));
        }
    }
    found
}
