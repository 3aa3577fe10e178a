//! Runs a case of the review: `review-standin CASE PROGRAM RECORD`, where PROGRAM is the router and RECORD the
//! file for what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod caller;
mod case_late_refusal;
mod case_slow_reader;
mod case_spoilt_event;
mod case_take_up;
mod case_uploads;
mod http;
mod json;
mod node;
mod record;
mod server;
mod store;
mod words;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// What a case needs to run.
pub struct Setting {
    pub program: PathBuf,
    /// A temporary folder, removed at the end.
    pub folder: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

/// What a case shows.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record_path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-standin-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        eprintln!("no temporary folder");
        return ExitCode::from(2);
    }
    let setting = Setting {
        program: PathBuf::from(program),
        folder: folder.clone(),
        record: Record::new(),
        has_trouble: std::env::var("TROUBLE")
            .is_ok_and(|value| value == "0")
            .eq(&false),
    };
    let record = setting.record.clone();
    let run = match case.as_str() {
        "late-refusal" => case_late_refusal::run,
        "spoilt-event" => case_spoilt_event::run,
        "take-up" => case_take_up::run,
        "uploads" => case_uploads::run,
        "slow-reader" => case_slow_reader::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let verdict = std::panic::catch_unwind(|| run(&setting)).unwrap_or(Verdict::CouldNotRun);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.sum(text.to_owned());
    if record.write(Path::new(record_path)).is_err() {
        eprintln!("the record cannot be written");
    }
    drop(std::fs::remove_dir_all(&folder));
    ExitCode::from(code)
}
