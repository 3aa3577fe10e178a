//! The texts of requests, which depend only on the settings and the arrival.

use serde_json::json;

use crate::load::arrivals::{Arrival, Work};
use crate::load::settings::LoadSettings;

/// Returns the messages of a chat's turn. They start with the texts of all earlier turns.
pub(crate) fn chat_messages(
    settings: &LoadSettings,
    arrival: &Arrival,
    chat: u64,
    turn: u32,
) -> serde_json::Value {
    // The model's name makes the texts of two loads with the same seed differ.
    let model = &settings.model;
    let prefix = format!("{model}: notes of workspace {}; ", arrival.workspace);
    let preamble = repeat_to_length(&prefix, settings.preamble_bytes);
    let mut messages = vec![json!({ "role": "system", "content": preamble })];
    for number in 0..=turn {
        let prefix = format!(
            "{model}: load {} chat {chat} turn {number}; ",
            settings.seed
        );
        let content = repeat_to_length(&prefix, settings.turn_bytes);
        messages.push(json!({ "role": "user", "content": content }));
    }
    // The arrival's number makes the messages, and so their hash in the history, unique.
    let content = format!("request {}", arrival.number);
    messages.push(json!({ "role": "user", "content": content }));
    serde_json::Value::from(messages)
}

/// Returns the path of a service request at its service.
pub(crate) fn service_path(settings: &LoadSettings, arrival: &Arrival) -> String {
    match arrival.work {
        Work::Order => settings.order_path.clone(),
        _ => format!(
            "{}/{}-{}",
            settings.lookup_path, settings.seed, arrival.number
        ),
    }
}

/// Returns the body of a service request. Each order has a different body.
pub(crate) fn service_body(settings: &LoadSettings, arrival: &Arrival) -> String {
    match arrival.work {
        Work::Order => json!({ "load": settings.seed, "order": arrival.number }).to_string(),
        _ => String::new(),
    }
}

/// Returns a service request's method, path and body as the fake service writes them.
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

/// Repeats a text up to a length in bytes. The result has the text at least once, even if that is longer.
fn repeat_to_length(pattern: &str, bytes: usize) -> String {
    let mut text = pattern.repeat(bytes.div_ceil(pattern.len()).max(1));
    text.truncate(bytes.max(pattern.len()));
    text
}
