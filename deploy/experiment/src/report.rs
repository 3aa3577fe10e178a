//! Results of runs and the table that compares them.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Deserialize;

use crate::plan::{Plan, Run};
use crate::statistics::paired_difference;

/// The fields of the bench's report that are compared.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Outcome {
    /// Worth of the day after prices; larger is better.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Fraction of all requests that were not served.
    pub unserved: f64,
    /// The bench's rules that were broken.
    #[serde(default)]
    pub breaks: BTreeMap<String, serde_json::Value>,
    /// Prices: resource, amount used, and deduction from the worth.
    #[serde(default)]
    pub prices: Vec<(String, f64, f64)>,
}

impl Outcome {
    /// Sum of the deductions of all prices.
    pub fn total_price(&self) -> f64 {
        self.prices.iter().map(|(_, _, price)| price).sum()
    }
}

/// Seed of the bootstrap, so that the same results give the same intervals.
const BOOTSTRAP_SEED: u64 = 1;

/// Markdown table with a row for each site and variant. `outcomes` must be in the order of
/// [`Plan::runs`], because runs are paired by position.
pub fn comparison_table(plan: &Plan, outcomes: &[(Run, Outcome)]) -> String {
    let header = "| site | variant | runs | worth | difference | 95 % interval | served | prices \
         | broken rules |\n";
    let mut table = header.to_owned() + "|---|---|---|---|---|---|---|---|---|\n";
    let mut sites: Vec<String> = plan.days.iter().map(|day| day.site_name()).collect();
    sites.dedup();
    for site in sites {
        let outcomes_of = |variant: usize| -> Vec<&Outcome> {
            let results = outcomes.iter();
            let results = results.filter(|(run, _)| run.variant == variant);
            let results = results.filter(|(run, _)| run.day.site_name() == site);
            results.map(|(_, outcome)| outcome).collect()
        };
        let baseline = outcomes_of(0);
        for (index, variant) in plan.variants.iter().enumerate() {
            let row = row(&site, &variant.name, &baseline, &outcomes_of(index));
            table.push_str(&row);
        }
    }
    table
}

fn row(site: &str, variant: &str, baseline: &[&Outcome], outcomes: &[&Outcome]) -> String {
    let worths = |outcomes: &[&Outcome]| -> Vec<f64> {
        outcomes.iter().map(|outcome| outcome.worth).collect()
    };
    let mean = |value: fn(&Outcome) -> f64| {
        outcomes.iter().map(|outcome| value(outcome)).sum::<f64>() / outcomes.len().max(1) as f64
    };
    let broken = outcomes
        .iter()
        .filter(|outcome| !outcome.breaks.is_empty())
        .count();
    let mut row = format!("| {site} | {variant} | {} ", outcomes.len());
    // Writing to a `String` never fails.
    let _ = write!(row, "| {:.3} ", mean(|outcome| outcome.worth));
    let _ = match paired_difference(&worths(baseline), &worths(outcomes), BOOTSTRAP_SEED) {
        Some(difference) => write!(
            row,
            "| {:+.3} | {:+.3} to {:+.3} ",
            difference.mean, difference.low, difference.high
        ),
        None => write!(row, "| - | - "),
    };
    let served = mean(|outcome| 1.0 - outcome.unserved);
    let _ = writeln!(
        row,
        "| {served:.3} | {:.3} | {broken} |",
        mean(Outcome::total_price)
    );
    row
}
