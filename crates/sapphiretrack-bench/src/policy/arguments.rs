//! Command-line arguments of `sapphiretrack-bench policy`.

use std::path::PathBuf;
use std::str::FromStr;

use pico_args::Arguments;

use super::{Policy, Scenario, ScenarioName};

/// The scenario, policies and seeds to run, and the output format.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    pub(crate) seeds: u64,
    pub(crate) policy: Option<Policy>,
    pub(crate) json: bool,
    pub(crate) plot: Option<PathBuf>,
}

impl Options {
    pub(crate) fn parse(mut arguments: Arguments) -> Result<Self, String> {
        let name = optional::<ScenarioName>(&mut arguments, "--scenario")?;
        let mut scenario = Scenario::named(name.unwrap_or(ScenarioName::Steady));
        override_if_given(&mut arguments, "--routers", &mut scenario.routers)?;
        override_if_given(&mut arguments, "--servers", &mut scenario.servers)?;
        override_if_given(&mut arguments, "--workspaces", &mut scenario.workspaces)?;
        override_if_given(&mut arguments, "--chats", &mut scenario.chats)?;
        override_if_given(&mut arguments, "--rate-per-s", &mut scenario.rate_per_s)?;
        override_if_given(&mut arguments, "--minutes", &mut scenario.minutes)?;
        let lag = &mut scenario.report_lag_ms;
        override_if_given(&mut arguments, "--report-lag-ms", lag)?;
        override_if_given(
            &mut arguments,
            "--joins-per-min",
            &mut scenario.joins_per_min,
        )?;
        override_if_given(
            &mut arguments,
            "--fails-per-min",
            &mut scenario.fails_per_min,
        )?;
        let load_multiple = &mut scenario.placement.bound.load_multiple;
        override_if_given(&mut arguments, "--load-multiple", load_multiple)?;
        let value_chance = &mut scenario.caller_value_chance;
        override_if_given(&mut arguments, "--caller-value-chance", value_chance)?;
        override_if_given(&mut arguments, "--heartbeat-ms", &mut scenario.heartbeat_ms)?;
        let subset = &mut scenario.placement.subset_servers;
        override_if_given(&mut arguments, "--subset-servers", subset)?;
        scenario.sticky = !arguments.contains("--no-sticky");
        let options = Self {
            seed: optional(&mut arguments, "--seed")?.unwrap_or(1),
            seeds: optional(&mut arguments, "--seeds")?.unwrap_or(1),
            policy: optional(&mut arguments, "--policy")?,
            plot: optional::<PathBuf>(&mut arguments, "--plot")?,
            json: arguments.contains("--json"),
            scenario,
        };
        let unused = arguments.finish();
        if let Some(argument) = unused.first() {
            return Err(format!("unknown argument {argument:?}; hint: see --help"));
        }
        options.scenario.check()?;
        Ok(options)
    }

    pub(crate) fn seeds(&self) -> std::ops::Range<u64> {
        self.seed..self.seed.saturating_add(self.seeds)
    }

    pub(crate) fn policies(&self) -> Vec<Policy> {
        self.policy
            .map_or_else(|| Policy::ALL.to_vec(), |one| vec![one])
    }
}

fn override_if_given<Value>(
    arguments: &mut Arguments,
    name: &'static str,
    target: &mut Value,
) -> Result<(), String>
where
    Value: FromStr,
    Value::Err: std::fmt::Display,
{
    if let Some(value) = optional(arguments, name)? {
        *target = value;
    }
    Ok(())
}

fn optional<Value>(arguments: &mut Arguments, name: &'static str) -> Result<Option<Value>, String>
where
    Value: FromStr,
    Value::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(name)
        .map_err(|error| format!("{name}: {error}"))
}
