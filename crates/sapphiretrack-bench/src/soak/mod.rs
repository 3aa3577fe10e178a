//! The soak: a fleet of processes under load and random faults, and the check of its history.

mod command;
mod deployment;
mod evidence;
mod faults;
mod injector;
mod operators;
mod plan;
mod report;
mod settings;
mod stand_in_faults;
mod verdict;
mod watch;

pub use command::run;
pub(crate) use deployment::DEPLOYMENTS;
pub use evidence::{ChangeRecord, ChangeState, Evidence, StopRecord, VersionSeen};
pub use faults::Fault;
pub(crate) use operators::Change;
pub use plan::{PlannedFault, plan};
pub use report::SoakReport;
pub use settings::{SoakSettings, parse_soak_settings};
pub use verdict::judge;
