//! What a policy run goes through: sizes, load and faults.

use std::str::FromStr;

use sapphiretrack_core::PlacementSettings;

use super::Replaced;

/// The scenarios by name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScenarioName {
    /// Nothing changes.
    Steady,
    /// Servers join, leave, flap, and restart with an empty cache.
    Churn,
    /// A few large workspaces surge at once.
    Surge,
    /// For seconds, routers see different lists of servers and of routers.
    Disagree,
    /// The shared assistant of Cacao Teranga: long sessions that return.
    Teranga,
    /// The language model service of Monterrey: many urgent calls.
    Monterrey,
    /// One cell of the design size.
    Fleet,
}

impl ScenarioName {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Churn,
        Self::Surge,
        Self::Disagree,
        Self::Teranga,
        Self::Monterrey,
        Self::Fleet,
    ];

    /// As the command line names it.
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
            format!("no scenario {text:?}; hint: one of {names}")
        })
    }
}

/// Sizes, load and faults of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Which one it started as.
    pub name: ScenarioName,
    /// Routers of a cell.
    pub routers: usize,
    /// Backend servers of a cell.
    pub servers: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// Chats at a time; each one that ends is followed by a new one.
    pub chats: usize,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long the load lasts.
    pub minutes: f64,
    /// How old servers' load reports are when routers read them.
    pub report_lag_ms: u64,
    /// Servers that join, and then again leave.
    pub joins_per_min: f64,
    /// Servers that fail and come back with an empty cache.
    pub fails_per_min: f64,
    /// Router pairs that lose each other for seconds, and lists that differ.
    pub splits_per_min: f64,
    /// The part of the run in which a few workspaces send more, and how many times more.
    pub surge_multiple: f64,
    /// Part of the requests that are urgent.
    pub urgent_part: f64,
    /// Part of the returning requests that send the chat's value back.
    pub caller_value_chance: f64,
    /// Time between heartbeats of a router.
    pub heartbeat_ms: u64,
    /// One-way delay between routers.
    pub peer_delay_us: u64,
    /// Mean pause of a chat between two requests.
    pub pause_s: f64,
    /// Mean number of requests of a chat.
    pub turns: f64,
    /// Tokens that an engine's prefix cache holds.
    pub cache_tokens: u64,
    /// Whether returning chats are placed by evidence of where they are warm.
    pub sticky: bool,
    /// How placement decides.
    pub placement: PlacementSettings,
    /// Whether a router is replaced in the middle of the run, and what becomes of its memory.
    pub replaced: Option<Replaced>,
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
            splits_per_min: 0.0,
            surge_multiple: 1.0,
            urgent_part: 0.1,
            caller_value_chance: 0.9,
            heartbeat_ms: 1_000,
            peer_delay_us: 500,
            pause_s: 20.0,
            turns: 8.0,
            cache_tokens: 300_000,
            sticky: true,
            placement: PlacementSettings::default(),
            replaced: None,
        }
    }
}

impl Scenario {
    /// The scenario of this name with its own sizes.
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
                splits_per_min: 6.0,
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
                urgent_part: 0.3,
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

    /// An error for sizes that cannot be run.
    pub(crate) fn check(&self) -> Result<(), String> {
        let sizes = [self.routers, self.servers, self.workspaces, self.chats];
        if sizes.contains(&0) {
            return Err(String::from("a size is 0; hint: at least 1 of each"));
        }
        if self.routers > MAX_ROUTERS || self.servers > MAX_SERVERS {
            return Err(format!(
                "a cell has at most {MAX_ROUTERS} routers and {MAX_SERVERS} servers; hint: run cell by cell"
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
            return Err(format!("faults must be 0 to {MAX_FAULTS_PER_MIN} a minute"));
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

    /// When the load ends.
    pub(crate) fn end_us(&self) -> u64 {
        (self.minutes * 60e6) as u64
    }
}

const MAX_ROUTERS: usize = 64;
const MAX_SERVERS: usize = 2_000;
const MAX_REQUESTS: f64 = 5e6;
const MAX_FAULTS_PER_MIN: f64 = 600.0;
