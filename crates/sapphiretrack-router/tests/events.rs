//! The catalogue of the router's events.

use std::collections::BTreeSet;

use sapphiretrack_router::Event;

/// Lower numbers belong to the daemon, whose test compares them.
const FIRST_NUMBER: u16 = 600;
const CATALOGUE: &str = include_str!("../../../docs/events.md");

#[test]
fn the_catalogue_lists_exactly_the_events_of_the_code() {
    let mut documented = BTreeSet::new();
    for line in CATALOGUE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let number = cells.get(1).and_then(|cell| cell.parse::<u16>().ok());
        if let Some(number) = number.filter(|number| *number >= FIRST_NUMBER) {
            documented.insert((number, cells[2].to_owned(), cells[3].to_owned()));
        }
    }
    let coded: BTreeSet<_> = Event::ALL
        .iter()
        .map(|event| (event.number, event.level.to_string(), event.text.to_owned()))
        .collect();
    assert_eq!(documented, coded);
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number).collect();
    assert_eq!(
        numbers.len(),
        Event::ALL.len(),
        "each number has one meaning"
    );
    assert!(numbers.iter().all(|number| *number >= FIRST_NUMBER));
}
