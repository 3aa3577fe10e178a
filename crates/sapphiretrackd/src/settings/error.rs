//! Errors in settings.

use snafu::Snafu;

use crate::settings::flag::Flag;

/// An error in the settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// A value is invalid.
    #[snafu(display("{flag} (or {variable}) is {value:?}: {problem}; hint: {hint}"))]
    Value {
        /// The flag.
        flag: String,
        /// The environment variable.
        variable: String,
        /// The value.
        value: String,
        /// What is wrong with it.
        problem: String,
        /// A valid form of the value.
        hint: &'static str,
    },
    /// The command line cannot be parsed.
    #[snafu(display("cannot parse the command line: {source}; hint: see --help"))]
    CommandLine {
        /// The cause.
        source: pico_args::Error,
    },
    /// An argument is not a known flag.
    #[snafu(display("unknown argument {argument:?}; hint: see --help"))]
    UnknownArgument {
        /// The argument.
        argument: String,
    },
}

/// Returns the error for an invalid value of a flag.
pub(super) fn value_error<T>(flag: &Flag, value: &str, problem: &str) -> Result<T, SettingsError> {
    ValueSnafu {
        flag: flag.flag,
        variable: flag.variable(),
        value,
        problem,
        hint: flag.hint,
    }
    .fail()
}
