//! Draws reuse against skew, and both over time.

use std::path::Path;

use super::arguments::Options;

/// Draws the plot of the options' scenario and seeds.
pub(crate) fn draw(_options: &Options, path: &Path) -> Result<(), String> {
    Err(format!("{}: not drawn", path.display()))
}
