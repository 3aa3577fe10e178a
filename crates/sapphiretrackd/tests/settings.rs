//! Tests of flags, environment variables, checks and the settings table in the documentation.

use std::ffi::OsString;

use pico_args::Arguments;
use sapphiretrackd::{Settings, SettingsError, flags, help_text, parse_settings};

const SETTINGS_PAGE: &str = include_str!("../../../docs/operators/settings.md");
const REQUIRED_ARGUMENTS: [&str; 1] = ["--cell-key=a key of the whole cell"];

fn parse(arguments: &[&str], variables: &[(&str, &str)]) -> Result<Settings, SettingsError> {
    let arguments = arguments.iter().map(OsString::from).collect();
    parse_settings(Arguments::from_vec(arguments), |name| {
        let found = variables.iter().find(|(variable, _)| *variable == name);
        found.map(|(_, value)| (*value).to_owned())
    })
}

fn parse_error(arguments: &[&str]) -> String {
    let all: Vec<&str> = REQUIRED_ARGUMENTS
        .iter()
        .chain(arguments)
        .copied()
        .collect();
    parse(&all, &[])
        .expect_err("the settings are invalid")
        .to_string()
}

#[test]
fn flags_take_precedence_over_variables_and_both_over_defaults() {
    let variables = [
        ("SAPPHIRETRACK_ZONE", "from-variable"),
        ("SAPPHIRETRACK_HEARTBEAT_MS", "300"),
    ];
    let settings = parse(&[REQUIRED_ARGUMENTS[0], "--zone=from-flag"], &variables)
        .expect("the settings are valid");
    assert_eq!(settings.zone, "from-flag");
    assert_eq!(settings.heartbeat_ms, 300);
    assert_eq!(settings.dead_after_ms, Settings::default().dead_after_ms);
}

#[test]
fn invalid_values_are_rejected_with_flag_value_and_hint() {
    let cases = [
        (
            "--caller-address=nowhere",
            "--caller-address (or SAPPHIRETRACK_CALLER_ADDRESS) is \"nowhere\"",
        ),
        ("--platform-url=ftp://x", "it is not http://IP:PORT"),
        ("--heartbeat-ms=0", "it is 0"),
        ("--heartbeat-ms=soon", "invalid digit"),
        (
            "--dead-after-ms=600",
            "hint: use at least three times --heartbeat-ms",
        ),
        ("--isolated-after-ms=1000", "it is too short"),
        ("--load-multiple=1", "it is not above 1"),
        ("--load-multiple=nan", "it is not above 1"),
        ("--ceiling-requests=1", "it is below the floor"),
        ("--stop-limit-ms=0", "it is 0"),
        (
            "--tls-cert=cert.pem",
            "--tls-cert and --tls-key must be set together",
        ),
        ("--operator-key-sha256=abc", "(hidden)"),
        ("--log-format=xml", "it is neither text nor json"),
        ("--log-level=loud", "--log-level"),
        ("--no-such-flag", "unknown argument \"--no-such-flag\""),
    ];
    for (argument, expected) in cases {
        let text = parse_error(&[argument]);
        assert!(text.contains(expected), "{argument}: {text}");
        assert!(text.contains("hint: "), "{argument}: {text}");
    }
}

#[test]
fn a_missing_or_short_cell_key_is_rejected_without_showing_it() {
    let text = parse(&["--cell-key=short"], &[])
        .expect_err("refused")
        .to_string();
    assert!(
        text.contains("--cell-key") && !text.contains("\"short\""),
        "{text}"
    );
    assert!(parse(&[], &[]).is_err());
}

#[test]
fn the_settings_page_and_the_help_list_exactly_the_flags_of_the_code() {
    let rows: Vec<String> = flags()
        .iter()
        .map(|flag| {
            let (name, variable) = (flag.flag, flag.variable());
            format!(
                "| `{name}` | `{variable}` | {} | {} |",
                flag.default_text(),
                flag.help
            )
        })
        .collect();
    let documented: Vec<&str> = SETTINGS_PAGE
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .collect();
    assert_eq!(documented, rows);
    for flag in flags() {
        assert!(help_text().contains(flag.flag), "{}", flag.flag);
    }
}
