//! The report of a soak: a table, and a JSON line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::{LoadReport, Violation, ViolationKind};
use crate::soak::evidence::{ChangeState, Evidence};
use crate::soak::settings::SoakSettings;

/// The violations of one kind that are told one by one.
const TOLD_OF_A_KIND: usize = 5;

/// The report of a soak.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SoakReport {
    /// Always `soak`.
    pub kind: String,
    /// The seed.
    pub seed: u64,
    /// How long load and faults came.
    pub minutes: f64,
    /// Routers.
    pub routers: usize,
    /// Faults that were caused, by name.
    pub faults: BTreeMap<String, u64>,
    /// The load of each customer.
    pub loads: BTreeMap<String, LoadReport>,
    /// Requests, all customers together.
    pub requests: usize,
    /// Runs of orders at the plain services.
    pub runs: u64,
    /// Planned stops, and those with exit code 0.
    pub stops: StopCount,
    /// Operators' changes by what came of them.
    pub changes: ChangeCount,
    /// Configuration versions that were read.
    pub versions_seen: usize,
    /// Broken promises, by kind.
    pub violations: BTreeMap<ViolationKind, Vec<String>>,
}

/// Planned stops.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StopCount {
    /// All.
    pub all: usize,
    /// Those that ended with exit code 0.
    pub clean: usize,
}

/// Operators' changes by what came of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChangeCount {
    /// Accepted.
    pub accepted: usize,
    /// Refused.
    pub refused: usize,
    /// Not settled.
    pub unsettled: usize,
}

impl SoakReport {
    /// The report of the evidence and its violations.
    pub fn new(settings: &SoakSettings, evidence: &Evidence, found: &[Violation]) -> Self {
        let changes = |wanted: fn(&ChangeState) -> bool| {
            let states = evidence.changes.iter().map(|change| &change.state);
            states.filter(|state| wanted(state)).count()
        };
        let mut violations: BTreeMap<ViolationKind, Vec<String>> = BTreeMap::new();
        for violation in found {
            let details = violations.entry(violation.kind).or_default();
            details.push(violation.detail.clone());
        }
        Self {
            kind: String::from("soak"),
            seed: settings.seed,
            minutes: settings.minutes,
            routers: settings.routers,
            faults: BTreeMap::new(),
            loads: BTreeMap::new(),
            requests: evidence.requests.len(),
            runs: evidence.runs.values().copied().map(u64::from).sum(),
            stops: StopCount {
                all: evidence.stops.len(),
                clean: evidence
                    .stops
                    .iter()
                    .filter(|stop| stop.exit_code == Some(0))
                    .count(),
            },
            changes: ChangeCount {
                accepted: changes(|state| matches!(state, ChangeState::Accepted(_))),
                refused: changes(|state| *state == ChangeState::Refused),
                unsettled: changes(|state| *state == ChangeState::Unsettled),
            },
            versions_seen: evidence.versions.len(),
            violations,
        }
    }

    /// Whether every promise held.
    pub fn held(&self) -> bool {
        self.violations.is_empty()
    }

    /// What failed, in one line.
    pub fn failure_line(&self) -> String {
        let kinds: Vec<String> = self
            .violations
            .iter()
            .map(|(kind, details)| {
                let first = details.first().map_or("", String::as_str);
                format!("{kind:?} x {} (first: {first})", details.len())
            })
            .collect();
        format!(
            "seed {} minutes {} routers {}: {}",
            self.seed,
            self.minutes,
            self.routers,
            kinds.join("; ")
        )
    }

    /// The report as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "soak: seed {}, {} minutes, {} routers\n",
            self.seed, self.minutes, self.routers
        );
        for (customer, load) in &self.loads {
            text.push_str(&format!("\n{customer}\n{}", load.table()));
        }
        text.push_str("\nfaults\n");
        for (name, count) in &self.faults {
            text.push_str(&format!("  {name:<24} {count:>6}\n"));
        }
        text.push_str(&format!(
            "\nrequests checked {}, order runs {}, planned stops {} ({} with exit code 0)\n\
             changes accepted {}, refused {}, unsettled {}; configuration versions read {}\n",
            self.requests,
            self.runs,
            self.stops.all,
            self.stops.clean,
            self.changes.accepted,
            self.changes.refused,
            self.changes.unsettled,
            self.versions_seen,
        ));
        for (kind, details) in &self.violations {
            text.push_str(&format!("VIOLATED {kind:?}: {}\n", details.len()));
            for detail in details.iter().take(TOLD_OF_A_KIND) {
                text.push_str(&format!("  {detail}\n"));
            }
        }
        let verdict = if self.held() { "all held" } else { "broken" };
        text.push_str(&format!("verdict: {verdict}\n"));
        text
    }
}
