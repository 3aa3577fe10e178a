//! What an experiment plays.

use std::path::{Path, PathBuf};

use snafu::OptionExt;

use crate::error::{ArgumentSnafu, ExperimentError};

/// The settings of the request path that one variant changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Variant {
    /// Its name in tables and files.
    pub name: String,
    /// What it changes, as `--policy` takes it.
    pub policy: Vec<String>,
}

/// A day of a site.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DayOfSite {
    /// The site file.
    pub site: PathBuf,
    /// The day's name, or a file with a day.
    pub day: String,
}

/// One day with one variant and one seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Play {
    /// The variant's place in the plan.
    pub variant: usize,
    /// The day.
    pub day: DayOfSite,
    /// The seed.
    pub seed: u64,
}

/// All that is played; the first variant is the one that others are compared with.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// The variants.
    pub variants: Vec<Variant>,
    /// The days.
    pub days: Vec<DayOfSite>,
    /// The seeds.
    pub seeds: Vec<u64>,
}

impl Variant {
    /// Reads `NAME` or `NAME:KEY=VALUE,KEY=VALUE`.
    pub fn parse(text: &str) -> Result<Self, ExperimentError> {
        let (name, policy) = text.split_once(':').unwrap_or((text, ""));
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let named = !name.is_empty() && name.chars().all(is_plain);
        let policy = policy.split(',').filter(|entry| !entry.is_empty());
        let policy: Vec<String> = policy.map(str::to_owned).collect();
        let set = policy.iter().all(|entry| entry.contains('='));
        (named && set)
            .then(|| Self {
                name: name.to_owned(),
                policy,
            })
            .context(ArgumentSnafu {
                text,
                what: "variant",
                hint: "NAME or NAME:KEY=VALUE,KEY=VALUE",
            })
    }
}

impl DayOfSite {
    /// Reads `SITE:DAY,DAY`: a site file and some of its days.
    pub fn parse(text: &str) -> Result<Vec<Self>, ExperimentError> {
        let (site, days) = text.split_once(':').context(ArgumentSnafu {
            text,
            what: "list of days",
            hint: "SITE:DAY,DAY",
        })?;
        let days = days.split(',').filter(|day| !day.is_empty());
        Ok(days
            .map(|day| Self {
                site: PathBuf::from(site),
                day: day.to_owned(),
            })
            .collect())
    }

    /// The site's name: that of its file.
    pub fn site_name(&self) -> String {
        stem(&self.site)
    }
}

impl Plan {
    /// All plays, those that are compared with each other in a row.
    pub fn plays(&self) -> Vec<Play> {
        let mut plays = Vec::new();
        for day in &self.days {
            for &seed in &self.seeds {
                plays.extend((0..self.variants.len()).map(|variant| Play {
                    variant,
                    day: day.clone(),
                    seed,
                }));
            }
        }
        plays
    }

    /// The name of a play, fit for a file.
    pub fn name(&self, play: &Play) -> String {
        let variant = &self.variants[play.variant].name;
        let (site, day) = (play.day.site_name(), stem(Path::new(&play.day.day)));
        format!("{site}.{day}.{}.{variant}", play.seed)
    }
}

fn stem(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
