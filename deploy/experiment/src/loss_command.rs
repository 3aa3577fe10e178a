//! The `loss` command: reads the files of a run and prints the breakdowns of its lost credit.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::ResultExt;

use crate::error::{ExperimentError, FileSnafu, ReportSnafu, SiteSnafu};
use crate::log_causes::{LoggedFailure, count_causes, parse_log_line};
use crate::loss::{BenchReport, Loss, LossPart};

/// Input files of the command.
#[derive(Clone, Debug, Default)]
pub struct LossInputs {
    /// The bench's report of the day.
    pub report: PathBuf,
    /// The site file, which sets the credit of one request of each class.
    pub site: PathBuf,
    /// The bench's output with `--log`, which contains the logs of the routers.
    pub log: Option<PathBuf>,
}

/// The part of a site file that the command needs.
#[derive(Debug, Deserialize)]
struct Site {
    classes: Vec<SiteClass>,
}

#[derive(Debug, Deserialize)]
struct SiteClass {
    name: String,
    worth: f64,
}

/// Report, lost credit and logged failures of a day.
#[derive(Clone, Debug, Default)]
pub struct DayLoss {
    /// The bench's report.
    pub report: BenchReport,
    /// Breakdowns of the lost credit.
    pub loss: Loss,
    /// Refused and failed requests and failed attempts in the logs.
    pub failures: Vec<LoggedFailure>,
}

impl DayLoss {
    /// Reads the input files. Fails if a file cannot be read or parsed. Log lines of other events are
    /// skipped.
    pub fn read(inputs: &LossInputs) -> Result<Self, ExperimentError> {
        let text = read_text(&inputs.report)?;
        let report: BenchReport = serde_json::from_str(&text).context(ReportSnafu {
            path: &inputs.report,
        })?;
        let text = read_text(&inputs.site)?;
        let site: Site = toml::from_str(&text).context(SiteSnafu { path: &inputs.site })?;
        let classes = site.classes.into_iter();
        let credits: BTreeMap<String, f64> =
            classes.map(|class| (class.name, class.worth)).collect();
        let mut failures = Vec::new();
        if let Some(path) = &inputs.log {
            let file = File::open(path).context(FileSnafu { path })?;
            for line in BufReader::new(file).split(b'\n') {
                let line = line.context(FileSnafu { path })?;
                failures.extend(parse_log_line(&String::from_utf8_lossy(&line)));
            }
        }
        Ok(Self {
            loss: Loss::new(&report, &credits),
            report,
            failures,
        })
    }

    /// The tables as text, for standard output.
    pub fn tables(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` never fails.
        let _ = writeln!(text, "worth {:.3}: 1 minus these parts", self.report.worth);
        for (name, weight, value) in &self.report.parts {
            let _ = writeln!(text, "{:>9.4}  {name}: {value:.4}", weight * (1.0 - value));
        }
        for (name, amount, price) in &self.report.prices {
            if *price > 0.0 {
                let _ = writeln!(text, "{price:>9.4}  {name}: {amount}");
            }
        }
        let _ = writeln!(
            text,
            "\nthe whole day lost {:.4} of its credit\n\nby request class",
            self.loss.credit
        );
        write_parts(&mut text, &self.loss.by_class, self.loss.credit);
        let _ = writeln!(text, "\nby result of the last attempt");
        write_parts(&mut text, &self.loss.by_last_attempt, self.loss.credit);
        let _ = writeln!(text, "\nby start of the time window in seconds");
        let windows = self.loss.by_window.iter();
        let windows: Vec<LossPart> = windows.map(|(_, part)| part.clone()).collect();
        write_parts(&mut text, &windows, self.loss.credit);
        if !self.failures.is_empty() {
            let _ = writeln!(text, "\nlogged failures: lines, routers, cause");
            for (cause, lines, routers) in count_causes(&self.failures) {
                let _ = writeln!(text, "{lines:>9} {routers:>5}  {cause}");
            }
        }
        text
    }
}

fn read_text(path: &Path) -> Result<String, ExperimentError> {
    fs::read_to_string(path).context(FileSnafu { path })
}

/// Writes a line for each part: its credit, its percentage of the loss, its requests and its name.
fn write_parts(text: &mut String, parts: &[LossPart], total: f64) {
    for part in parts {
        let percent = 100.0 * part.credit / total.max(f64::MIN_POSITIVE);
        let _ = writeln!(
            text,
            "{:>9.4} {percent:>5.1}% {:>8}  {}",
            part.credit, part.requests, part.name
        );
    }
    let sum: f64 = parts.iter().map(|part| part.credit).sum();
    let _ = writeln!(text, "{sum:>9.4}  total");
}
