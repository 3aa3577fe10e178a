//! What tests of the whole share: a fleet of separate processes on loopback.

mod fleet;
mod history;
mod process;
mod recorder;

pub use fleet::{
    CALLER_KEY, Fleet, FleetSettings, Member, OPERATOR_KEY, contract_toml, get_json, get_text,
    post_json,
};
pub use history::{HistoryRecorder, OpenCall};
pub use process::{ChildProcess, binary};
pub use recorder::{Recorder, redact};
