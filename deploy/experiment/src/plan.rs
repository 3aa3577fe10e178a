//! The plan of an experiment: variants, days and seeds.

use std::path::{Path, PathBuf};

use snafu::OptionExt;

use crate::error::{ArgumentSnafu, ExperimentError};

/// A variant of the request path: the settings that it changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Variant {
    /// Name in tables and file names.
    pub name: String,
    /// Changed settings as `KEY=VALUE`, each for one `--policy` flag.
    pub policy: Vec<String>,
}

/// A day of the bench on one site.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SiteDay {
    /// Path of the site file.
    pub site: PathBuf,
    /// Name of the day, or path of a file that describes one.
    pub day: String,
}

/// A run of one day with one variant and one seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Index of the variant in the plan.
    pub variant: usize,
    /// Day that is run.
    pub day: SiteDay,
    /// Seed that the bench gets.
    pub seed: u64,
}

/// All variants, days and seeds of an experiment, which are run in every combination.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Variants; the others are compared with the first one.
    pub variants: Vec<Variant>,
    /// Days that are run with each variant.
    pub days: Vec<SiteDay>,
    /// Seeds that each day is run with.
    pub seeds: Vec<u64>,
}

impl Variant {
    /// Parses `NAME` or `NAME:KEY=VALUE,KEY=VALUE`.
    pub fn parse(text: &str) -> Result<Self, ExperimentError> {
        let (name, policy) = text.split_once(':').unwrap_or((text, ""));
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let has_name = !name.is_empty() && name.chars().all(is_plain);
        let policy = policy.split(',').filter(|entry| !entry.is_empty());
        let policy: Vec<String> = policy.map(str::to_owned).collect();
        let has_values = policy.iter().all(|entry| entry.contains('='));
        (has_name && has_values)
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

impl SiteDay {
    /// Parses `SITE:DAY,DAY`: a site file and one or more of its days.
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

    /// Name of the site: its file name without the extension.
    pub fn site_name(&self) -> String {
        stem(&self.site)
    }
}

impl Plan {
    /// All runs. Those of one day and seed, which are compared with each other, are adjacent.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for day in &self.days {
            for &seed in &self.seeds {
                runs.extend((0..self.variants.len()).map(|variant| Run {
                    variant,
                    day: day.clone(),
                    seed,
                }));
            }
        }
        runs
    }

    /// Name of a run, for file names: site, day, seed and variant.
    pub fn name(&self, run: &Run) -> String {
        let variant = &self.variants[run.variant].name;
        let (site, day) = (run.day.site_name(), stem(Path::new(&run.day.day)));
        format!("{site}.{day}.{}.{variant}", run.seed)
    }
}

fn stem(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}
