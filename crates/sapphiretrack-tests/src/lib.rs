//! Shared code of the system tests, which run a fleet of separate processes on loopback.

mod crowd;
mod fleet;
mod history;
mod http_call;
mod process;
mod recorder;
mod settle;

pub use crowd::{Crowd, Peaks, StatedLimits};
pub use fleet::{CALLER_KEY, Fleet, FleetSettings, Member, OPERATOR_KEY, contract_toml};
pub use history::{HistoryRecorder, PendingCall};
pub use http_call::{get_json, get_text, post_json};
pub use process::{ChildProcess, program_path};
pub use recorder::{SessionRecorder, redact};
