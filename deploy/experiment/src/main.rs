//! Compares variants of the request path on the users' bench, and breaks down a day's lost credit.

use std::path::PathBuf;
use std::process::ExitCode;

use sapphiretrack_experiment::{
    DayLoss, LossInputs, Plan, RunnerSettings, SiteDay, Variant, comparison_table, plot_loss,
    run_all,
};

const HELP: &str = "\
sapphiretrack-experiment: runs days with several variants, paired by seed, and compares them

  --bench PROGRAM       path of the bench's program
  --variant NAME[:KEY=VALUE,...]  a variant; repeatable. The others are compared with the first
  --days SITE:DAY,...   a site file and its days; repeatable
  --seeds 11,12,13      the seeds (default: 11,12,13)
  --jobs N              days that run at the same time (default: 4; use 1 for days of hundreds of VMs)
  --cores N             cores that the bench uses for one day (default: the bench chooses)
  --folder DIR          folder for copies and reports (default: target/experiment)
  --no-cpu              do not charge processor time
  --why TEXT            note for the journal
  --help                print this

sapphiretrack-experiment loss: breaks down a day's lost credit by request class, last attempt, time and
logged cause

  --report FILE         report that the bench wrote with --report
  --site FILE           site file of the run
  --log FILE            output of the bench with --log (optional)
  --svg FILE            writes a plot of lost credit and causes over time (optional)

Run it in the repository. Runs whose reports exist in the folder are not repeated. Tables go to standard
output.";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sapphiretrack-experiment: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        println!("{HELP}");
        return Ok(());
    }
    let message = |error: pico_args::Error| error.to_string();
    if arguments.subcommand().map_err(message)?.as_deref() == Some("loss") {
        return run_loss(arguments);
    }
    let repository = std::env::current_dir().map_err(|error| error.to_string())?;
    let folder: Option<PathBuf> = arguments.opt_value_from_str("--folder").map_err(message)?;
    let folder = folder.unwrap_or_else(|| PathBuf::from("target/experiment"));
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds").map_err(message)?;
    let seeds = seeds.unwrap_or_else(|| "11,12,13".to_owned());
    let seeds = seeds.split(',').map(|seed| {
        let parsed = seed.trim().parse::<u64>();
        parsed.map_err(|_| format!("{seed:?} is not a seed (hint: integers separated by commas)"))
    });
    let variants: Vec<String> = arguments.values_from_str("--variant").map_err(message)?;
    let days: Vec<String> = arguments.values_from_str("--days").map_err(message)?;
    let variants = variants.iter().map(|text| Variant::parse(text));
    let days = days.iter().map(|text| SiteDay::parse(text));
    let plan = Plan {
        variants: variants
            .collect::<Result<_, _>>()
            .map_err(|error| error.to_string())?,
        days: days
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| error.to_string())?
            .concat(),
        seeds: seeds.collect::<Result<_, _>>()?,
    };
    if plan.runs().is_empty() {
        return Err("nothing to run (hint: give --variant and --days)".to_owned());
    }
    let jobs: Option<usize> = arguments.opt_value_from_str("--jobs").map_err(message)?;
    let journal_note: Option<String> = arguments.opt_value_from_str("--why").map_err(message)?;
    let settings = RunnerSettings {
        bench: arguments.value_from_str("--bench").map_err(message)?,
        folder: repository.join(folder),
        repository,
        jobs: jobs.unwrap_or(4),
        cores: arguments.opt_value_from_str("--cores").map_err(message)?,
        charge_cpu: !arguments.contains("--no-cpu"),
        journal_note: journal_note.unwrap_or_default(),
    };
    reject_unknown(arguments)?;
    let outcomes = run_all(&plan, &settings).map_err(|error| error.to_string())?;
    print!("{}", comparison_table(&plan, &outcomes));
    Ok(())
}

fn run_loss(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let message = |error: pico_args::Error| error.to_string();
    let inputs = LossInputs {
        report: arguments.value_from_str("--report").map_err(message)?,
        site: arguments.value_from_str("--site").map_err(message)?,
        log: arguments.opt_value_from_str("--log").map_err(message)?,
    };
    let svg: Option<PathBuf> = arguments.opt_value_from_str("--svg").map_err(message)?;
    reject_unknown(arguments)?;
    let day = DayLoss::read(&inputs).map_err(|error| error.to_string())?;
    print!("{}", day.tables());
    match svg {
        Some(path) => plot_loss(&path, &day.loss, &day.failures),
        None => Ok(()),
    }
}

fn reject_unknown(arguments: pico_args::Arguments) -> Result<(), String> {
    let rest = arguments.finish();
    match rest.is_empty() {
        true => Ok(()),
        false => Err(format!(
            "unknown arguments {rest:?} (hint: --help lists them)"
        )),
    }
}
