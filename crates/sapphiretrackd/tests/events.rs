//! Tests of the event list in `docs/events.md` and of the format of log lines.

use std::collections::BTreeSet;

use log::{Level, Record};
use sapphiretrackd::{Event, LogFormat, log_line};

/// Numbers from here on belong to `sapphiretrack-router`, whose own test compares them.
const ROUTER_EVENTS: u16 = 600;
const EVENT_LIST: &str = include_str!("../../../docs/events.md");

#[test]
fn the_event_list_matches_the_code() {
    let mut documented = BTreeSet::new();
    for line in EVENT_LIST.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let Some(number) = cells.get(1).and_then(|cell| cell.parse::<u16>().ok()) else {
            continue;
        };
        if number < ROUTER_EVENTS {
            documented.insert((number, cells[2].to_owned(), cells[3].to_owned()));
        }
    }
    let implemented: BTreeSet<_> = Event::ALL
        .iter()
        .map(|event| (event.number, event.level.to_string(), event.text.to_owned()))
        .collect();
    assert_eq!(
        implemented.len(),
        Event::ALL.len(),
        "two events share number, level and text"
    );
    assert_eq!(documented, implemented);
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
    assert!(numbers.iter().all(|number| *number < ROUTER_EVENTS));
}

#[test]
fn log_lines_contain_the_number_and_the_fields_in_both_formats() {
    let fields = [("event", "400"), ("server", "engine \"1\"")];
    let record = |format| {
        log_line(
            format,
            17,
            &Record::builder()
                .level(Level::Info)
                .args(format_args!("backend server joined"))
                .key_values(&fields.as_slice())
                .build(),
        )
    };
    assert_eq!(
        record(LogFormat::Text),
        r#"17 INFO backend server joined event="400" server="engine \"1\"""#
    );
    assert_eq!(
        record(LogFormat::Json),
        r#"{"fields":{"event":"400","server":"engine \"1\""},"level":"INFO","text":"backend server joined","time_ms":17}"#
    );
}
