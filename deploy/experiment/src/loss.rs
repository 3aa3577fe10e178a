//! Breakdowns of a day's lost credit by request class, last attempt and time. The parts of each
//! breakdown add up to the whole loss.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The fields of the bench's report that a loss is computed from.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct BenchReport {
    /// Worth of the day after prices; larger is better.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Parts of the worth: name, weight and value. The first one is the credit of the whole day.
    pub parts: Vec<(String, f64, f64)>,
    /// Prices: resource, amount used, and deduction from the worth.
    pub prices: Vec<(String, f64, f64)>,
    /// Counts by request class.
    pub classes: Vec<RequestCounts>,
    /// Counts by time window; the name is the second at which the window starts.
    pub windows: Vec<RequestCounts>,
    /// Requests that were not served: result of the last attempt, number of requests, examples.
    pub unserved_by: Vec<(String, u64, Vec<String>)>,
}

/// Counts of requests by outcome.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct RequestCounts {
    /// Name of the request class or time window.
    pub name: String,
    /// All requests.
    pub n: u64,
    /// Served within the target time.
    pub in_aim: u64,
    /// Served, but after the target time.
    pub late: u64,
    /// Refused, the last attempt included.
    pub refused: u64,
    /// Failed, the last attempt included.
    pub failed: u64,
    /// Requests that are not owed an answer and therefore earn no credit.
    pub not_owed: u64,
    /// Fraction of the credit that was earned.
    pub worth: f64,
}

impl RequestCounts {
    fn owed(&self) -> f64 {
        self.n.saturating_sub(self.not_owed) as f64
    }

    /// Lost credit, in units of the credit of one request.
    pub fn lost(&self) -> f64 {
        self.owed() * (1.0 - self.worth)
    }

    fn not_served(&self) -> f64 {
        (self.refused + self.failed) as f64
    }
}

/// One part of a breakdown.
#[derive(Clone, Debug, PartialEq)]
pub struct LossPart {
    /// Name of the part.
    pub name: String,
    /// Number of requests.
    pub requests: f64,
    /// Lost credit, as a fraction of the whole day's credit.
    pub credit: f64,
}

/// Lost credit of a day in three breakdowns, each of which adds up to [`Loss::credit`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loss {
    /// Fraction of the whole day's credit that was lost.
    pub credit: f64,
    /// By request class, and by late or not served.
    pub by_class: Vec<LossPart>,
    /// By result of the last attempt. Credit is split by number of requests, whatever their class.
    pub by_last_attempt: Vec<LossPart>,
    /// By time window: its start in seconds since the start of the day, and its part.
    pub by_window: Vec<(f64, LossPart)>,
}

/// Name of the part that makes up for rounding: the report's figures are rounded, so that the other
/// parts don't add up exactly.
pub const ROUNDING_REMAINDER: &str = "rounding in the report";

impl Loss {
    /// Computes the breakdowns of a report. `credits` maps each class to the credit of one request;
    /// a class that is not in it counts 1.
    pub fn new(report: &BenchReport, credits: &BTreeMap<String, f64>) -> Self {
        let credit_of = |class: &RequestCounts| credits.get(&class.name).copied().unwrap_or(1.0);
        let classes = report.classes.iter();
        let total_credit: f64 = classes.map(|class| class.owed() * credit_of(class)).sum();
        let total_credit = total_credit.max(f64::MIN_POSITIVE);
        let earned = report.parts.first().map_or(1.0, |(_, _, value)| *value);
        let credit = 1.0 - earned;

        let mut by_class = Vec::new();
        let (mut not_served, mut not_served_credit, mut late, mut late_credit) =
            (0.0, 0.0, 0.0, 0.0);
        for class in &report.classes {
            let credit_per_request = credit_of(class) / total_credit;
            let lost_not_served = class.not_served().min(class.lost().max(0.0));
            let lost_late = class.lost() - lost_not_served;
            by_class.push(LossPart {
                name: format!("{}: not served", class.name),
                requests: class.not_served(),
                credit: lost_not_served * credit_per_request,
            });
            by_class.push(LossPart {
                name: format!("{}: late", class.name),
                requests: class.late as f64,
                credit: lost_late * credit_per_request,
            });
            not_served += class.not_served();
            not_served_credit += lost_not_served * credit_per_request;
            late += class.late as f64;
            late_credit += lost_late * credit_per_request;
        }

        let counted: u64 = report.unserved_by.iter().map(|(_, count, _)| count).sum();
        let mut by_last_attempt: Vec<LossPart> = report
            .unserved_by
            .iter()
            .map(|(result, count, _)| LossPart {
                name: format!("not served, last attempt: {result}"),
                requests: *count as f64,
                credit: not_served_credit * *count as f64 / counted.max(1) as f64,
            })
            .collect();
        if counted == 0 {
            by_last_attempt.push(LossPart {
                name: "not served".to_owned(),
                requests: not_served,
                credit: not_served_credit,
            });
        }
        by_last_attempt.push(LossPart {
            name: "late".to_owned(),
            requests: late,
            credit: late_credit,
        });

        let windows = report.windows.iter();
        let lost_in_windows: f64 = windows.clone().map(RequestCounts::lost).sum();
        let by_window = windows.map(|window| {
            let part = LossPart {
                name: window.name.clone(),
                requests: window.not_served() + window.late as f64,
                // The report counts a window's loss in requests, whose credits differ by class.
                // The whole loss is therefore split in proportion.
                credit: credit * window.lost() / lost_in_windows.max(f64::MIN_POSITIVE),
            };
            (window.name.parse().unwrap_or(f64::NAN), part)
        });
        let mut loss = Self {
            credit,
            by_class,
            by_last_attempt,
            by_window: by_window.collect(),
        };
        add_rounding_remainder(&mut loss.by_class, credit);
        add_rounding_remainder(&mut loss.by_last_attempt, credit);
        loss
    }
}

/// Adds the difference between the whole loss and the sum of its parts as another part.
fn add_rounding_remainder(parts: &mut Vec<LossPart>, credit: f64) {
    let sum: f64 = parts.iter().map(|part| part.credit).sum();
    parts.push(LossPart {
        name: ROUNDING_REMAINDER.to_owned(),
        requests: 0.0,
        credit: credit - sum,
    });
}
