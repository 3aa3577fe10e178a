//! The router daemon: the control thread, the dispatch of requests and the endpoints.

mod client_limits;
mod clock;
mod components;
mod control;
mod daemon;
mod dispatch;
mod entry;
mod error;
mod events;
mod goals;
mod hand_over;
mod limits;
mod logging;
mod metrics;
mod operations;
mod settings;
mod signals;
mod stopping;
mod sweep;
mod unusable_rows;
mod warm_memory;
mod warm_snapshots;

pub use daemon::{Daemon, StopReport};
pub use error::DaemonError;
pub use events::Event;
pub use logging::{LogFormat, log_line, start_logging};
pub use settings::{Flag, Settings, SettingsError, flags, help_text, parse_settings};
