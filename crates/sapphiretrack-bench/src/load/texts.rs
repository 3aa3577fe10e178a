//! The texts of requests: a function of the settings and the arrival alone.

use serde_json::json;

use crate::load::arrivals::{Arrival, Work};
use crate::load::settings::LoadSettings;

/// The messages of a chat's turn: each turn starts with all that the turn before had.
pub(crate) fn messages(
    settings: &LoadSettings,
    arrival: &Arrival,
    chat: u64,
    turn: u32,
) -> serde_json::Value {
    // The model tells the texts of two loads of one seed apart.
    let model = &settings.model;
    let opening = format!("{model}: notes of workspace {}; ", arrival.workspace);
    let preamble = filled(&opening, settings.preamble_bytes);
    let mut messages = vec![json!({ "role": "system", "content": preamble })];
    for number in 0..=turn {
        let opening = format!(
            "{model}: load {} chat {chat} turn {number}; ",
            settings.seed
        );
        let content = filled(&opening, settings.turn_bytes);
        messages.push(json!({ "role": "user", "content": content }));
    }
    // A turn that was refused is asked again by a later arrival: the number tells them apart.
    let content = format!("request {}", arrival.number);
    messages.push(json!({ "role": "user", "content": content }));
    serde_json::Value::from(messages)
}

/// The path of a service call at its service.
pub(crate) fn service_path(settings: &LoadSettings, arrival: &Arrival) -> String {
    match arrival.work {
        Work::Order => settings.order_path.clone(),
        _ => format!(
            "{}/{}-{}",
            settings.lookup_path, settings.seed, arrival.number
        ),
    }
}

/// The body of a service call; orders differ by their bodies.
pub(crate) fn service_body(settings: &LoadSettings, arrival: &Arrival) -> String {
    match arrival.work {
        Work::Order => json!({ "load": settings.seed, "order": arrival.number }).to_string(),
        _ => String::new(),
    }
}

/// A service call as the stand-in service names it.
pub(crate) fn service_order(settings: &LoadSettings, arrival: &Arrival) -> String {
    let method = match arrival.work {
        Work::Order => "POST",
        _ => "GET",
    };
    let (path, body) = (
        service_path(settings, arrival),
        service_body(settings, arrival),
    );
    format!("{method} /{path} {body}")
}

/// Text of so many bytes, made of an opening again and again; the opening is always whole.
fn filled(opening: &str, bytes: usize) -> String {
    let mut text = opening.repeat(bytes.div_ceil(opening.len()).max(1));
    text.truncate(bytes.max(opening.len()));
    text
}
