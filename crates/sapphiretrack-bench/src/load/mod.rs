//! Open-loop load over real sockets against running routers.

mod arrivals;
mod callers;
mod check;
mod command;
mod entries;
mod history;
mod plot;
mod report;
mod request;
mod settings;
mod shared;
mod statistics;
mod texts;

pub use arrivals::{Arrival, Arrivals, Work};
pub use callers::{Load, LoadOutcome};
pub use check::{AnswerCheck, Violation, ViolationKind, check_service_answer};
pub(crate) use command::append_json_line;
pub use command::run;
pub use entries::{AddressCache, KnownRouters};
pub use history::{Attempt, AttemptOutcome, RequestRecord};
pub use plot::plot_svg;
pub use report::LoadReport;
pub use settings::{ClassMix, LoadSettings, SettingsError, parse_load_settings};
pub use statistics::{ClassCounts, ClassStatistics, Statistics};
