//! Scratch copies of the repository, one for each variant.

use std::fs;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{ExperimentError, FileSnafu};
use crate::plan::Variant;

/// Folders of the repository that a copy does without, or has of its own.
const NOT_COPIED: [&str; 3] = [".git", "target", "journal"];

/// A copy of the repository in which one variant is played.
#[derive(Clone, Debug)]
pub struct Scratch {
    /// Where it lies.
    pub path: PathBuf,
}

impl Scratch {
    /// Copies the repository and puts the variant's settings into its deploy file. What an earlier
    /// copy has built is kept.
    pub fn make(
        repository: &Path,
        under: &Path,
        variant: &Variant,
    ) -> Result<Self, ExperimentError> {
        let path = under.join(&variant.name);
        copy_folder(repository, &path, &NOT_COPIED)?;
        let journal = path.join("journal");
        fs::create_dir_all(&journal).context(FileSnafu { path: &journal })?;
        let file = path.join("deploy/system.toml");
        let text = fs::read_to_string(&file).context(FileSnafu { path: &file })?;
        let text = with_policy(&text, &variant.policy);
        fs::write(&file, text).context(FileSnafu { path: &file })?;
        Ok(Self { path })
    }

    /// Copies the journal's entries of this copy into the repository's journal.
    pub fn keep_journal(&self, repository: &Path) -> Result<(), ExperimentError> {
        copy_folder(&self.path.join("journal"), &repository.join("journal"), &[])
    }
}

/// The deploy file's text with these settings on the command line of each role.
pub fn with_policy(text: &str, policy: &[String]) -> String {
    let flags: String = policy
        .iter()
        .map(|entry| format!(" --policy {entry}"))
        .collect();
    let line = |line: &str| match line.strip_prefix("run = \"") {
        Some(rest) => format!("run = \"{}{flags}\"\n", rest.trim_end_matches('"')),
        None => format!("{line}\n"),
    };
    text.lines().map(line).collect()
}

fn copy_folder(from: &Path, to: &Path, but: &[&str]) -> Result<(), ExperimentError> {
    fs::create_dir_all(to).context(FileSnafu { path: to })?;
    let entries = fs::read_dir(from).context(FileSnafu { path: from })?;
    for entry in entries {
        let entry = entry.context(FileSnafu { path: from })?;
        let name = entry.file_name();
        if but.iter().any(|one| name == *one) {
            continue;
        }
        let (source, copy) = (entry.path(), to.join(&name));
        if source.is_dir() {
            copy_folder(&source, &copy, &[])?;
        } else if is_changed(&source, &copy) {
            fs::copy(&source, &copy).context(FileSnafu { path: &source })?;
        }
    }
    Ok(())
}

/// Whether a copy differs: an equal one keeps its time, so that nothing is built again.
fn is_changed(source: &Path, copy: &Path) -> bool {
    match (fs::read(source), fs::read(copy)) {
        (Ok(source), Ok(copy)) => source != copy,
        _ => true,
    }
}
