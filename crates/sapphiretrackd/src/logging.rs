//! The log: one line an event, to standard error.

use std::time::SystemTime;

use fern::Dispatch;
use log::LevelFilter;

/// How a log line looks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// `TIME LEVEL event=N text="…" key="value"`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Starts the log of this process.
pub fn start_logging(format: LogFormat, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("sapphiretrackd", level)
        .format(move |out, message, record| {
            let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let time_ms = since.map_or(0, |since| since.as_millis() as u64);
            match format {
                LogFormat::Text => {
                    out.finish(format_args!("{time_ms} {} {message}", record.level()));
                }
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "time_ms": time_ms,
                        "level": record.level().as_str(),
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
}
