//! Runs the days of a plan with the bench, several at a time.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use snafu::ResultExt;

use crate::error::{ExperimentError, FileSnafu, ReportSnafu, StartSnafu};
use crate::plan::{Plan, Run};
use crate::report::Outcome;
use crate::scratch::ScratchCopy;

/// Settings of the runs.
#[derive(Clone, Debug)]
pub struct RunnerSettings {
    /// Path of the bench's program.
    pub bench: PathBuf,
    /// Repository that is copied for each variant.
    pub repository: PathBuf,
    /// Folder of the copies and reports.
    pub folder: PathBuf,
    /// Number of days that are run at the same time.
    pub jobs: usize,
    /// Number of cores that the bench uses for one day; if `None`, the bench chooses. A day of hundreds
    /// of VMs takes several cores and gigabytes of memory, so such days must run one at a time.
    pub cores: Option<usize>,
    /// Whether the bench charges processor time as a price.
    pub charge_cpu: bool,
    /// Note that the bench writes to the journal.
    pub journal_note: String,
}

/// Number of characters of the bench's output that an error message shows.
const MAX_OUTPUT_CHARS: usize = 400;

/// Runs all days of a plan. A run whose report exists in the folder is not repeated, so that an
/// interrupted experiment continues where it stopped. The results are in the order of
/// [`Plan::runs`].
pub fn run_all(
    plan: &Plan,
    settings: &RunnerSettings,
) -> Result<Vec<(Run, Outcome)>, ExperimentError> {
    let reports = settings.folder.join("reports");
    fs::create_dir_all(&reports).context(FileSnafu { path: &reports })?;
    let variants = plan.variants.iter();
    let copies = variants
        .map(|variant| ScratchCopy::create(&settings.repository, &settings.folder, variant));
    let copies = copies.collect::<Result<Vec<_>, _>>()?;
    let runs = plan.runs();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..settings.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = runs.get(index) else {
                        return;
                    };
                    let name = plan.name(run);
                    let copy = &copies[run.variant];
                    let outcome = run_one(settings, copy, run, &name, &reports);
                    eprintln!("{} of {}: {name}", index + 1, runs.len());
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((index, outcome));
                }
            });
        }
    });
    for copy in &copies {
        copy.export_journal(&settings.repository)?;
    }
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    let outcomes = results.into_iter();
    let outcomes = outcomes.map(|(index, outcome)| Ok((runs[index].clone(), outcome?)));
    outcomes.collect()
}

fn run_one(
    settings: &RunnerSettings,
    copy: &ScratchCopy,
    run: &Run,
    name: &str,
    reports: &Path,
) -> Result<Outcome, ExperimentError> {
    let report = reports.join(format!("{name}.json"));
    if !report.exists() {
        let mut bench = Command::new(&settings.bench);
        bench
            .current_dir(&copy.path)
            .arg("run")
            .arg(&run.day.site)
            .arg(&run.day.day)
            .args(["--seed", &run.seed.to_string()])
            .args(["--why", &format!("trial: {name} {}", settings.journal_note)])
            .arg("--report")
            .arg(&report);
        if let Some(cores) = settings.cores {
            bench.args(["--jobs", &cores.to_string()]);
        }
        if !settings.charge_cpu {
            bench.arg("--no-cpu");
        }
        let program = settings.bench.display().to_string();
        let output = bench.output().context(StartSnafu { program })?;
        if !report.exists() {
            let text = String::from_utf8_lossy(&output.stdout);
            let skipped = text.chars().count().saturating_sub(MAX_OUTPUT_CHARS);
            return Err(ExperimentError::NoReport {
                run: name.to_owned(),
                output: text.chars().skip(skipped).collect(),
            });
        }
    }
    let text = fs::read(&report).context(FileSnafu { path: &report })?;
    serde_json::from_slice(&text).context(ReportSnafu { path: report })
}
