//! Plays days with several variants of the request path, paired by seed, and compares them.

mod error;
mod plan;
mod play;
mod report;
mod scratch;
mod statistics;

pub use error::ExperimentError;
pub use plan::{DayOfSite, Plan, Play, Variant};
pub use play::{Settings, play_all};
pub use report::{Outcome, comparison};
pub use scratch::{Scratch, with_policy};
pub use statistics::{Difference, paired_difference};
