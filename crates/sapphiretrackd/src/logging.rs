//! The log: one line per event on standard error.

use std::collections::BTreeMap;
use std::time::SystemTime;

use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::events::LOG_TARGET;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// `TIME LEVEL TEXT event="N" key="value"`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Installs the logger of this process, which writes to standard error.
///
/// Events of the daemon are logged from `level` on, records of libraries from `Warn` on. Fails if a
/// logger is already installed.
pub fn start_logging(format: LogFormat, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(LOG_TARGET, level)
        .format(move |out, _, record| {
            let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let time_ms = since.map_or(0, |since| since.as_millis() as u64);
            out.finish(format_args!("{}", log_line(format, time_ms, record)));
        })
        .chain(std::io::stderr())
        .apply()
}

/// Formats a record as a log line; `time_ms` counts from the Unix epoch.
pub fn log_line(format: LogFormat, time_ms: u64, record: &Record<'_>) -> String {
    let mut fields = Fields::default();
    // `Fields` only collects strings and never returns an error.
    drop(record.key_values().visit(&mut fields));
    match format {
        LogFormat::Text => {
            let fields = fields
                .in_order
                .iter()
                .map(|(key, value)| format!(" {key}={value:?}"));
            let fields: String = fields.collect();
            format!("{time_ms} {} {}{fields}", record.level(), record.args())
        }
        LogFormat::Json => {
            let fields: BTreeMap<_, _> = fields.in_order.into_iter().collect();
            serde_json::json!({
                "time_ms": time_ms,
                "level": record.level().as_str(),
                "text": record.args().to_string(),
                "fields": fields,
            })
            .to_string()
        }
    }
}

/// The fields of a record, in their order.
#[derive(Default)]
struct Fields {
    in_order: Vec<(String, String)>,
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.in_order.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
