//! What a day gave, and tables of it.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Deserialize;

use crate::plan::{Plan, Play};
use crate::statistics::paired_difference;

/// What the bench reports of a day, as far as it is compared.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Outcome {
    /// The day's worth after prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// The part of all requests that were not served.
    pub unserved: f64,
    /// Rules that were broken.
    #[serde(default)]
    pub breaks: BTreeMap<String, serde_json::Value>,
    /// Prices: what for, how much of it, and what it takes off the worth.
    #[serde(default)]
    pub prices: Vec<(String, f64, f64)>,
}

impl Outcome {
    /// What all prices take off the worth.
    pub fn priced(&self) -> f64 {
        self.prices.iter().map(|(_, _, price)| price).sum()
    }
}

/// The seed of the draws behind intervals, so that a table comes out the same again.
const DRAWS_SEED: u64 = 1;

/// A table with a row for each variant on each site.
pub fn comparison(plan: &Plan, outcomes: &[(Play, Outcome)]) -> String {
    let head =
        "| site | variant | plays | worth | difference | 95 % | served | prices | broken |\n";
    let mut table = head.to_owned() + "|---|---|---|---|---|---|---|---|---|\n";
    let mut sites: Vec<String> = plan.days.iter().map(|day| day.site_name()).collect();
    sites.dedup();
    for site in sites {
        let of = |variant: usize| -> Vec<&Outcome> {
            let plays = outcomes.iter();
            let plays = plays.filter(|(play, _)| play.variant == variant);
            let plays = plays.filter(|(play, _)| play.day.site_name() == site);
            plays.map(|(_, outcome)| outcome).collect()
        };
        let base = of(0);
        for (index, variant) in plan.variants.iter().enumerate() {
            let row = row(&site, &variant.name, &base, &of(index));
            table.push_str(&row);
        }
    }
    table
}

fn row(site: &str, variant: &str, base: &[&Outcome], own: &[&Outcome]) -> String {
    let worths = |outcomes: &[&Outcome]| -> Vec<f64> {
        outcomes.iter().map(|outcome| outcome.worth).collect()
    };
    let mean = |value: fn(&Outcome) -> f64| {
        own.iter().map(|one| value(one)).sum::<f64>() / own.len().max(1) as f64
    };
    let broken = own.iter().filter(|one| !one.breaks.is_empty()).count();
    let mut row = format!("| {site} | {variant} | {} ", own.len());
    // Writing to a text never fails.
    let _ = write!(row, "| {:.3} ", mean(|one| one.worth));
    let _ = match paired_difference(&worths(base), &worths(own), DRAWS_SEED) {
        Some(one) => write!(
            row,
            "| {:+.3} | {:+.3} to {:+.3} ",
            one.mean, one.low, one.high
        ),
        None => write!(row, "| - | - "),
    };
    let served = mean(|one| 1.0 - one.unserved);
    let _ = writeln!(
        row,
        "| {served:.3} | {:.3} | {broken} |",
        mean(Outcome::priced)
    );
    row
}
