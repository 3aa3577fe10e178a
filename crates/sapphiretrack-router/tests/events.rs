//! Tests the table of the router's log events.

use std::collections::BTreeSet;

use sapphiretrack_router::Event;

/// Lower numbers belong to the daemon, whose own test compares them.
const FIRST_NUMBER: u16 = 600;
const EVENTS_PAGE: &str = include_str!("../../../docs/events.md");

#[test]
fn the_page_lists_exactly_the_events_of_the_code() {
    let mut documented = BTreeSet::new();
    for line in EVENTS_PAGE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let number = cells.get(1).and_then(|cell| cell.parse::<u16>().ok());
        if let Some(number) = number.filter(|number| *number >= FIRST_NUMBER) {
            documented.insert((number, cells[2].to_owned(), cells[3].to_owned()));
        }
    }
    let defined: BTreeSet<_> = Event::ALL
        .iter()
        .map(|event| (event.number, event.level.to_string(), event.text.to_owned()))
        .collect();
    assert_eq!(documented, defined);
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), Event::ALL.len(), "two events share a number");
    assert!(numbers.iter().all(|number| *number >= FIRST_NUMBER));
}
