//! The report of a soak, as a table or a JSON line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::{LoadReport, Violation, ViolationKind};
use crate::soak::evidence::{ChangeState, Evidence};
use crate::soak::settings::SoakSettings;

/// Maximum number of violations of each kind that the table lists.
const MAX_LISTED_PER_KIND: usize = 5;

/// The report of a soak.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SoakReport {
    /// Always `soak`.
    pub kind: String,
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Configured duration of the load and the faults.
    pub minutes: f64,
    /// Number of routers.
    pub routers: usize,
    /// Number of injected faults, by name.
    pub faults: BTreeMap<String, u64>,
    /// The report of each customer's load.
    pub loads: BTreeMap<String, LoadReport>,
    /// Number of requests of all customers.
    pub requests: usize,
    /// Number of runs at the plain services.
    pub runs: u64,
    /// Counts of planned stops, and of those with exit code 0.
    pub stops: StopCount,
    /// Counts of operators' changes by outcome.
    pub changes: ChangeCount,
    /// Number of configuration versions read from routers.
    pub versions_seen: usize,
    /// Descriptions of the violated guarantees, by kind.
    pub violations: BTreeMap<ViolationKind, Vec<String>>,
}

/// Counts of planned stops of routers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StopCount {
    /// All planned stops.
    pub all: usize,
    /// Those that ended with exit code 0.
    pub clean: usize,
}

/// Counts of operators' changes by outcome.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChangeCount {
    /// Accepted changes.
    pub accepted: usize,
    /// Refused changes.
    pub refused: usize,
    /// Changes with an unknown outcome.
    pub unsettled: usize,
}

impl SoakReport {
    /// Creates the report of the evidence and its violations, without faults and loads.
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
                unsettled: changes(|state| *state == ChangeState::Unresolved),
            },
            versions_seen: evidence.versions.len(),
            violations,
        }
    }

    /// Whether no guarantee was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// Describes the violations in one line, for the list of failing seeds.
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

    /// Formats the report as a table.
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
            for detail in details.iter().take(MAX_LISTED_PER_KIND) {
                text.push_str(&format!("  {detail}\n"));
            }
        }
        let verdict = if self.passed() { "all held" } else { "broken" };
        text.push_str(&format!("verdict: {verdict}\n"));
        text
    }
}
