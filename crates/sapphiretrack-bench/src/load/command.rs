//! The subcommand `load`.

use std::io::Write;
use std::path::Path;

use pico_args::Arguments;

use crate::load::callers::Load;
use crate::load::entries::KnownRouters;
use crate::load::plot::plot_svg;
use crate::load::report::LoadReport;
use crate::load::settings::parse_load_settings;

const HELP: &str = "\
sapphiretrack-bench load: open-loop load against running routers

  --entry URL            a router for address lookups; may be repeated
  --key KEY              a caller key of the customer's contract
  --rate N               mean arrivals per second [20]
  --duration-s N         duration of the arrivals [30]
  --requests N           maximum number of arrivals; 0 for no limit [0]
  --seed N               seed of all random choices [1]
  --zone NAME            availability zone named in lookups
  --model NAME           the model [assistant]
  --service NAME         the plain service [plant]
  --order-path PATH      path of its non-idempotent requests [labels/print]
  --lookup-path PATH     path of its idempotent requests [pallets]
  --callers N            caller processes, each with its own cached router addresses [16]
  --workspaces N         number of workspaces [10]
  --zipf N               exponent of the Zipf distribution of their shares [1.2]
  --class NAME=SHARE:MS  a class, its share, and when its answers are late; may be repeated
  --returning-share N    share of chat arrivals that continue a paused chat, if one is due [0.6]
  --warm-share N         share of chat requests that return the warm value, if there is one [0.8]
  --pause-mean-ms N      mean pause between two turns of a chat [2000]
  --max-turns N          maximum number of turns of a chat [8]
  --service-share N      share of requests to the plain service [0.2]
  --order-share N        share of non-idempotent orders among these [0.5]
  --preamble-bytes N     length of the text shared by a workspace's chats [4000]
  --turn-bytes N         length of the text that each turn adds [600]
  --answer-tokens N      tokens per answer [24]
  --max-in-flight N      maximum requests in flight; others wait, and their wait counts [1000]
  --max-attempts N       maximum attempts per request [6]
  --answer-limit-ms N    time limit of an attempt [60000]
  --json FILE            appends the report to a file as a JSON line
  --plot FILE.svg        writes the distribution of the time to the first token
  --quiet                prints no progress

Times count from the scheduled arrival. The exit code is 1 if an answer violated a guarantee. The
check only understands the answers of the fake engines and services of sapphiretrack-fakes.
";

/// Runs the subcommand. Returns `false` if a guarantee was violated, and an error if the command
/// line is invalid or a result cannot be written.
pub fn run(mut arguments: Arguments) -> Result<bool, String> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(true);
    }
    let settings = parse_load_settings(arguments).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let known = KnownRouters::new(settings.entries.clone());
    let outcome = runtime.block_on(Load::new(settings.clone(), &known).run());
    let report = LoadReport::new(&settings, &outcome);
    print!("{}", report.table());
    if let Some(path) = &settings.json {
        append_json_line(path, &report)?;
    }
    if let Some(path) = &settings.plot {
        plot_svg(path, &outcome.statistics)?;
    }
    Ok(report.violation_count == 0)
}

/// Appends a value to a file of JSON lines.
pub(crate) fn append_json_line<Value>(path: &Path, value: &Value) -> Result<(), String>
where
    Value: serde::Serialize,
{
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let line = serde_json::to_string(value).map_err(|error| with_path(&error))?;
    let mut file = std::fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(path)
        .map_err(|error| with_path(&error))?;
    writeln!(file, "{line}").map_err(|error| with_path(&error))
}
