//! The check of a soak's whole history, as pure code.

use std::collections::{BTreeMap, BTreeSet};

use crate::load::{AttemptOutcome, RequestRecord, Violation, ViolationKind};
use crate::soak::evidence::{ChangeState, Evidence};

/// The promises that the history breaks.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let mut found = evidence.violations.clone();
    found.extend(judge_runs(evidence));
    found.extend(judge_ends(&evidence.requests));
    found.extend(judge_stops(evidence));
    found.extend(judge_versions(evidence));
    found.extend(judge_races(evidence));
    found.extend(judge_changes(evidence));
    found
}

/// An order runs at most once, and what was told as not run did not run.
fn judge_runs(evidence: &Evidence) -> Vec<Violation> {
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

/// Every attempt has an end.
fn judge_ends(requests: &[RequestRecord]) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in requests {
        let endless = |attempt: &&crate::load::Attempt| attempt.outcome == AttemptOutcome::NoEnd;
        if let Some(attempt) = request.attempts.iter().find(endless) {
            let detail = format!("{} through {}", request.identity, attempt.router);
            found.push(Violation::new(ViolationKind::NoEnd, detail));
        }
    }
    found
}

/// A planned stop ends with exit code 0 and cuts no request.
fn judge_stops(evidence: &Evidence) -> Vec<Violation> {
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

/// No router goes back to an earlier configuration.
fn judge_versions(evidence: &Evidence) -> Vec<Violation> {
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

/// Of the changes of one contract that saw the same version, at most one is accepted.
fn judge_races(evidence: &Evidence) -> Vec<Violation> {
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

/// Accepted changes are in every router's history and in force; refused ones are not.
fn judge_changes(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut lost = |detail: String| found.push(Violation::new(ViolationKind::ChangeLost, detail));
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for change in &evidence.changes {
        let id = &change.change_id;
        if let ChangeState::Accepted(version) = change.state {
            let known = newest.entry(change.customer.as_str()).or_default();
            *known = (*known).max(version);
        }
        for (router, told) in &evidence.told {
            match change.state {
                ChangeState::Accepted(version) if told.get(&version) != Some(id) => {
                    lost(format!("{router} does not tell {id} at version {version}"));
                }
                ChangeState::Refused if told.values().any(|known| known == id) => {
                    lost(format!("{router} tells {id}, which was refused"));
                }
                ChangeState::Unsettled => lost(format!("{id} could not be settled")),
                _ => {}
            }
        }
    }
    for ((router, customer), version) in &evidence.contract_versions {
        let expected = newest.get(customer.as_str()).copied().unwrap_or_default();
        if *version != expected {
            lost(format!(
                "{router} has {customer}'s contract of version {version}, not {expected}"
            ));
        }
    }
    found
}
