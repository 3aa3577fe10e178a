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

  --entry URL            a router that is asked for addresses; may be given again
  --key KEY              a key of the customer's contract
  --rate N               arrivals a second [20]
  --duration-s N         how long arrivals come [30]
  --requests N           the most arrivals; 0 for no bound [0]
  --seed N               what all random choices come from [1]
  --zone NAME            the availability zone that lookups name
  --model NAME           the model [assistant]
  --service NAME         the plain service [plant]
  --order-path PATH      its non-idempotent path [labels/print]
  --lookup-path PATH     its idempotent path [pallets]
  --callers N            processes of callers, each with addresses of its own [16]
  --workspaces N         workspaces [10]
  --zipf N               how steeply their shares fall [1.2]
  --class NAME=SHARE:MS  a class, its share, when it is late; may be given again
  --returning-share N    share of chat arrivals that are due chats coming back [0.6]
  --warm-share N         share of them that send the warm value back [0.8]
  --pause-mean-ms N      pause of a chat [2000]
  --max-turns N          turns after which a chat is over [8]
  --service-share N      share of calls of the plain service [0.2]
  --order-share N        share of non-idempotent orders among those [0.5]
  --preamble-bytes N     text that a workspace's chats share [4000]
  --turn-bytes N         text that each turn adds [600]
  --answer-tokens N      tokens of an answer [24]
  --max-in-flight N      requests in flight; later ones wait, and that counts [1000]
  --max-attempts N       attempts of a request [6]
  --answer-limit-ms N    when an attempt without an end is given up [60000]
  --json FILE            adds the report to a file as a JSON line
  --plot FILE.svg        writes the distribution of the time to the first token
  --quiet                no progress

Times count from the scheduled arrival. The exit code is 1 if an answer broke a promise: the
check knows the answers of the stand-in engines and services only.
";

/// Runs the subcommand; an error says what is wrong, `false` that a promise was broken.
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

/// Adds a value to a file of JSON lines.
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
