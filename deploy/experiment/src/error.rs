//! Errors of experiments.

use std::path::PathBuf;

use snafu::Snafu;

/// Error that ends an experiment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExperimentError {
    /// An argument is malformed.
    #[snafu(display("{text:?} is not a valid {what} (hint: {hint})"))]
    Argument {
        /// The argument as given.
        text: String,
        /// Name of the expected value.
        what: &'static str,
        /// Expected format.
        hint: &'static str,
    },
    /// A file or folder cannot be read, written or copied.
    #[snafu(display("cannot access {}: {source}", path.display()))]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// A program cannot be started.
    #[snafu(display(
        "cannot start {program}: {source} (hint: --bench takes the path of the bench's program)"
    ))]
    Start {
        /// Path of the program.
        program: String,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// The bench ran a day but wrote no report.
    #[snafu(display("run {run} wrote no report; end of the bench's output: {output}"))]
    NoReport {
        /// Name of the run.
        run: String,
        /// End of the bench's standard output.
        output: String,
    },
    /// A report cannot be parsed.
    #[snafu(display("cannot parse report {}: {source} (hint: remove it to run the day again)", path.display()))]
    Report {
        /// Path of the report.
        path: PathBuf,
        /// Cause of the error.
        source: serde_json::Error,
    },
    /// A site file cannot be parsed.
    #[snafu(display("cannot parse site file {}: {source} (hint: --site takes the site file of the run)", path.display()))]
    Site {
        /// Path of the site file.
        path: PathBuf,
        /// Cause of the error.
        source: toml::de::Error,
    },
}
