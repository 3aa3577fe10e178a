//! Scratch copies of the repository, one per variant.

use std::fs;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{ExperimentError, FileSnafu};
use crate::plan::Variant;

/// Top-level folders of the repository that are not copied. The copy builds its own `target` and
/// starts its own `journal`.
const NOT_COPIED: [&str; 3] = [".git", "target", "journal"];

/// Copy of the repository in which the bench runs one variant.
#[derive(Clone, Debug)]
pub struct ScratchCopy {
    /// Path of the copy.
    pub path: PathBuf,
}

impl ScratchCopy {
    /// Copies the repository to the folder `under` and adds the variant's settings to the copy's deploy
    /// file. Build results of an earlier copy are kept.
    pub fn create(
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
        let text = add_policy_flags(&text, &variant.policy);
        fs::write(&file, text).context(FileSnafu { path: &file })?;
        Ok(Self { path })
    }

    /// Copies this copy's journal entries to the repository's journal.
    pub fn export_journal(&self, repository: &Path) -> Result<(), ExperimentError> {
        copy_folder(&self.path.join("journal"), &repository.join("journal"), &[])
    }
}

/// Returns the deploy file's text with a `--policy` flag for each setting on the command line of each
/// role.
pub fn add_policy_flags(text: &str, policy: &[String]) -> String {
    let flags: String = policy
        .iter()
        .map(|entry| format!(" --policy {entry}"))
        .collect();
    let with_flags = |line: &str| match line.strip_prefix("run = \"") {
        Some(command) => format!("run = \"{}{flags}\"\n", command.trim_end_matches('"')),
        None => format!("{line}\n"),
    };
    text.lines().map(with_flags).collect()
}

/// Copies changed files recursively. `excluded` names entries of `from` itself that are left out.
fn copy_folder(from: &Path, to: &Path, excluded: &[&str]) -> Result<(), ExperimentError> {
    fs::create_dir_all(to).context(FileSnafu { path: to })?;
    let entries = fs::read_dir(from).context(FileSnafu { path: from })?;
    for entry in entries {
        let entry = entry.context(FileSnafu { path: from })?;
        let name = entry.file_name();
        if excluded.iter().any(|folder| name == *folder) {
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

/// Whether the copy differs from its source or is missing. Equal files are not copied: they keep their
/// modification time, so that nothing is rebuilt.
fn is_changed(source: &Path, copy: &Path) -> bool {
    match (fs::read(source), fs::read(copy)) {
        (Ok(source), Ok(copy)) => source != copy,
        _ => true,
    }
}
