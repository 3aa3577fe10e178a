//! The soak test: runs a fleet of processes under load and random faults and checks its history.

mod command;
mod deployment;
mod evidence;
mod fake_faults;
mod faults;
mod injector;
mod operators;
mod plan;
mod report;
mod settings;
mod violations;
mod watch;

pub use command::run;
pub(crate) use deployment::DEPLOYMENTS;
pub use evidence::{ChangeRecord, ChangeState, Evidence, StopRecord, VersionSeen};
pub use faults::Fault;
pub(crate) use operators::Change;
pub use plan::{PlannedFault, plan};
pub use report::SoakReport;
pub use settings::{SoakSettings, parse_soak_settings};
pub use violations::find_violations;
