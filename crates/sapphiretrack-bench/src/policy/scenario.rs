//! Scenarios of the policy simulation: sizes, load and faults.

use std::str::FromStr;

use sapphiretrack_core::PlacementSettings;

use super::ReplacementMode;

/// The predefined scenarios.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScenarioName {
    /// Constant load without faults.
    Steady,
    /// Servers join, leave, fail, flap, and restart with an empty cache.
    Churn,
    /// Two large workspaces send more requests in the middle third of the run.
    Surge,
    /// Routers are partitioned from each other for seconds and see different server lists.
    Disagree,
    /// The shared assistant of Cacao Teranga: long chats that return often.
    Teranga,
    /// The language model service of Monterrey: many urgent requests.
    Monterrey,
    /// One cell of the design size.
    Fleet,
}

impl ScenarioName {
    /// All scenarios.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Churn,
        Self::Surge,
        Self::Disagree,
        Self::Teranga,
        Self::Monterrey,
        Self::Fleet,
    ];

    /// Returns the name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Churn => "churn",
            Self::Surge => "surge",
            Self::Disagree => "disagree",
            Self::Teranga => "teranga",
            Self::Monterrey => "monterrey",
            Self::Fleet => "fleet",
        }
    }
}

impl FromStr for ScenarioName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|known| known.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("unknown scenario {text:?}; hint: one of {names}")
        })
    }
}

/// Sizes, load, faults and settings of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The predefined scenario that this one is based on.
    pub name: ScenarioName,
    /// Number of routers in the cell.
    pub routers: usize,
    /// Number of backend servers in the cell.
    pub servers: usize,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of concurrent chats; each chat that ends is followed by a new one.
    pub chats: usize,
    /// Requests per second of all chats together.
    pub rate_per_s: f64,
    /// Duration of the load, in minutes.
    pub minutes: f64,
    /// Interval between the servers' load reports, and so the greatest age of a report.
    pub report_lag_ms: u64,
    /// Servers that join or leave, per minute.
    pub joins_per_min: f64,
    /// Servers that fail and restart with an empty cache, per minute; some of them fail twice.
    pub fails_per_min: f64,
    /// Partitions between two routers, or between one and all others, per minute; above 0, routers
    /// also learn of server states up to 5 s late instead of 1 s.
    pub partitions_per_min: f64,
    /// Factor by which two large workspaces send more requests in the middle third of the run.
    pub surge_multiple: f64,
    /// Fraction of the requests that are urgent.
    pub urgent_fraction: f64,
    /// Fraction of the requests of returning chats that send the chat's value back.
    pub caller_value_chance: f64,
    /// Interval between the heartbeats of a router.
    pub heartbeat_ms: u64,
    /// One-way delay between routers.
    pub peer_delay_us: u64,
    /// Mean pause between two requests of a chat, in seconds; unused, since the pause follows from
    /// `chats` and `rate_per_s`.
    pub pause_s: f64,
    /// Mean number of requests of a chat.
    pub turns: f64,
    /// Capacity of an engine's prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Whether routers use what callers and their own memory tell of where a chat is cached.
    pub sticky: bool,
    /// Settings of the placement.
    pub placement: PlacementSettings,
    /// What happens to the memory of a router that is replaced halfway through the run; `None` if
    /// none is replaced.
    pub replacement_mode: Option<ReplacementMode>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: ScenarioName::Steady,
            routers: 9,
            servers: 12,
            workspaces: 10,
            chats: 700,
            rate_per_s: 30.0,
            minutes: 4.0,
            report_lag_ms: 1_000,
            joins_per_min: 0.0,
            fails_per_min: 0.0,
            partitions_per_min: 0.0,
            surge_multiple: 1.0,
            urgent_fraction: 0.1,
            caller_value_chance: 0.9,
            heartbeat_ms: 1_000,
            peer_delay_us: 500,
            pause_s: 20.0,
            turns: 8.0,
            cache_tokens: 300_000,
            sticky: true,
            placement: PlacementSettings::default(),
            replacement_mode: None,
        }
    }
}

impl Scenario {
    /// Returns the predefined scenario of this name.
    pub fn named(name: ScenarioName) -> Self {
        let base = Self {
            name,
            ..Self::default()
        };
        match name {
            ScenarioName::Steady => base,
            ScenarioName::Churn => Self {
                joins_per_min: 2.0,
                fails_per_min: 2.0,
                ..base
            },
            ScenarioName::Surge => Self {
                surge_multiple: 3.0,
                ..base
            },
            ScenarioName::Disagree => Self {
                joins_per_min: 2.0,
                fails_per_min: 1.0,
                partitions_per_min: 6.0,
                ..base
            },
            ScenarioName::Teranga => Self {
                servers: 9,
                rate_per_s: 22.0,
                joins_per_min: 1.0,
                fails_per_min: 1.0,
                turns: 16.0,
                ..base
            },
            ScenarioName::Monterrey => Self {
                joins_per_min: 1.0,
                fails_per_min: 1.0,
                urgent_fraction: 0.3,
                turns: 6.0,
                ..base
            },
            ScenarioName::Fleet => Self {
                routers: 8,
                servers: 40,
                workspaces: 500,
                chats: 2_400,
                rate_per_s: 100.0,
                minutes: 2.0,
                joins_per_min: 1.0,
                fails_per_min: 1.0,
                ..base
            },
        }
    }

    /// Returns an error if the scenario cannot be run.
    pub(crate) fn check(&self) -> Result<(), String> {
        let sizes = [self.routers, self.servers, self.workspaces, self.chats];
        if sizes.contains(&0) {
            return Err(String::from(
                "--routers, --servers, --workspaces and --chats must be above 0",
            ));
        }
        if self.routers > MAX_ROUTERS || self.servers > MAX_SERVERS {
            return Err(format!(
                "a cell has at most {MAX_ROUTERS} routers and {MAX_SERVERS} servers; hint: run each cell alone"
            ));
        }
        let rates = [self.rate_per_s, self.minutes];
        if rates.iter().any(|rate| !rate.is_finite() || *rate <= 0.0) {
            return Err(String::from("--rate-per-s and --minutes must be above 0"));
        }
        if self.requests() > MAX_REQUESTS {
            return Err(format!(
                "more than {MAX_REQUESTS} requests; hint: fewer --minutes"
            ));
        }
        let faults = [self.joins_per_min, self.fails_per_min];
        if faults
            .iter()
            .any(|rate| !(0.0..=MAX_FAULTS_PER_MIN).contains(rate))
        {
            return Err(format!(
                "--joins-per-min and --fails-per-min must be 0 to {MAX_FAULTS_PER_MIN}"
            ));
        }
        if !(0.0..=1.0).contains(&self.caller_value_chance) {
            return Err(String::from("--caller-value-chance must be 0 to 1"));
        }
        if self.heartbeat_ms == 0 || self.report_lag_ms == 0 {
            return Err(String::from(
                "--heartbeat-ms and --report-lag-ms must be above 0",
            ));
        }
        if self.placement.bound.load_multiple <= 1.0 || self.placement.subset_servers == 0 {
            let hint = "--load-multiple must be above 1 and --subset-servers above 0";
            return Err(String::from(hint));
        }
        Ok(())
    }

    fn requests(&self) -> f64 {
        self.rate_per_s * self.minutes * 60.0
    }

    /// Returns the time from the first requests to the end of the load.
    pub(crate) fn end_us(&self) -> u64 {
        (self.minutes * 60e6) as u64
    }
}

const MAX_ROUTERS: usize = 64;
const MAX_SERVERS: usize = 2_000;
const MAX_REQUESTS: f64 = 5e6;
const MAX_FAULTS_PER_MIN: f64 = 600.0;
