//! The subcommand `slopes`: its flags, and the tables that it prints.

use std::path::PathBuf;

use pico_args::Arguments;

use crate::load::append_json_line;
use crate::slopes::line::Slope;
use crate::slopes::measures::Measure;

const HELP: &str = "\
sapphiretrack-bench slopes: resource usage of a router per peer, server, contract, request, ...

  --measure NAME  peers, servers, contracts, requests, tokens, orders, streams or chats; may be
                  repeated; all of them by default
  --json FILE     appends each slope to a file as a JSON line

The programs `sapphiretrackd` and `sapphiretrack-fakes` have to be in the folder of this one.
";

/// Runs the subcommand; an error says what is wrong.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let with_hint = |error: pico_args::Error| format!("{error}; hint: see --help");
    let names: Vec<String> = arguments.values_from_str("--measure").map_err(with_hint)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json").map_err(with_hint)?;
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument {argument:?}; hint: see --help"));
    }
    let measures = measures_by_name(&names)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    for measure in measures {
        let slope = runtime.block_on(measure.run())?;
        print!("{}", format_table(&slope));
        if let Some(path) = &json {
            append_json_line(path, &slope)?;
        }
    }
    Ok(())
}

fn measures_by_name(names: &[String]) -> Result<Vec<Measure>, String> {
    if names.is_empty() {
        return Ok(Measure::ALL.to_vec());
    }
    let find = |name: &String| {
        let found = Measure::ALL.into_iter().find(|m| m.name() == name);
        found.ok_or_else(|| format!("unknown measure {name:?}; hint: see --help"))
    };
    names.iter().map(find).collect()
}

fn format_table(slope: &Slope) -> String {
    let mut text = format!(
        "{}: each one adds {:.2} us/s of CPU time, {:.0} bytes, {:.4} platform reads/s, \
         {:.4} writes/s\n",
        slope.of,
        slope.cpu_us_per_s,
        slope.memory_bytes,
        slope.platform_reads_per_s,
        slope.platform_writes_per_s,
    );
    for point in &slope.points {
        text.push_str(&format!(
            "  {:>8} {:>10.0} us/s {:>8.2} MB {:>7.2} reads/s {:>7.2} writes/s\n",
            point.size,
            point.cpu_us_per_s,
            point.memory_bytes / 1e6,
            point.platform_reads_per_s,
            point.platform_writes_per_s,
        ));
    }
    text
}
