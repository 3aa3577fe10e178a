//! Runs days of the bench with several variants of the request path, paired by seed, and compares
//! the variants; breaks down where a day lost its credit.
//!
//! A day is one scenario of the bench on one site. The bench rates a day by its worth: the part of
//! the requests' credit that was earned and other rated parts, less the prices of what the run
//! used, such as machines and calls.

mod error;
mod log_causes;
mod loss;
mod loss_command;
mod loss_plot;
mod plan;
mod report;
mod runner;
mod scratch;
mod statistics;

pub use error::ExperimentError;
pub use log_causes::{LoggedFailure, count_causes, parse_log_line};
pub use loss::{BenchReport, Loss, LossPart, ROUNDING_REMAINDER, RequestCounts};
pub use loss_command::{DayLoss, LossInputs};
pub use loss_plot::plot_loss;
pub use plan::{Plan, Run, SiteDay, Variant};
pub use report::{Outcome, comparison_table};
pub use runner::{RunnerSettings, run_all};
pub use scratch::{ScratchCopy, add_policy_flags};
pub use statistics::{Difference, paired_difference};
