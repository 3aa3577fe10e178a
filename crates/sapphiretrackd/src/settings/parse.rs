//! Reads settings from the command line and the environment.

use pico_args::Arguments;
use snafu::ResultExt;

use crate::settings::Settings;
use crate::settings::check::check;
use crate::settings::error::{CommandLineSnafu, SettingsError, UnknownArgumentSnafu, value_error};
use crate::settings::flag::flags;

/// Reads and checks the settings. A flag takes precedence over an environment variable, and both
/// over the default.
///
/// Fails on the first invalid value or unknown argument.
pub fn parse_settings<Variable>(
    mut arguments: Arguments,
    variable: Variable,
) -> Result<Settings, SettingsError>
where
    Variable: Fn(&str) -> Option<String>,
{
    let check_settings = arguments.contains("--check-settings");
    let mut settings = Settings {
        check_settings,
        ..Settings::default()
    };
    for flag in flags() {
        let given: Option<String> = arguments
            .opt_value_from_str(flag.flag)
            .context(CommandLineSnafu)?;
        let Some(value) = given.or_else(|| variable(&flag.variable())) else {
            continue;
        };
        if let Err(problem) = (flag.set)(&mut settings, &value) {
            return value_error(&flag, &value, &problem);
        }
    }
    if let Some(argument) = arguments.finish().first() {
        return UnknownArgumentSnafu {
            argument: argument.to_string_lossy(),
        }
        .fail();
    }
    check(&settings)?;
    Ok(settings)
}

/// Returns the text of `--help`.
pub fn help_text() -> String {
    let mut text = String::from(
        "sapphiretrackd: a router of the fleet\n\n\
         Each flag can also be set by the environment variable in parentheses.\n\n",
    );
    for flag in flags() {
        text.push_str(&format!(
            "  {:<26} {} [{}] ({})\n",
            flag.flag,
            flag.help,
            flag.default_text(),
            flag.variable()
        ));
    }
    text.push_str(
        "  --check-settings           check the settings and exit\n  \
         --help                     print this text\n  \
         --version                  print the version\n\n\
         Exit codes: 0 stopped as planned, 1 cannot start, 2 bad settings, 3 stop limit reached\n",
    );
    text
}
