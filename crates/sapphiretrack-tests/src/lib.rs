//! What tests of the whole share: a fleet of separate processes on loopback.

mod fleet;
mod history;
mod http_call;
mod process;
mod recorder;
mod settle;

pub use fleet::{CALLER_KEY, Fleet, FleetSettings, Member, OPERATOR_KEY, contract_toml};
pub use history::{HistoryRecorder, OpenCall};
pub use http_call::{get_json, get_text, post_json};
pub use process::{ChildProcess, binary};
pub use recorder::{Recorder, redact};
