//! Describes why a request ended as it did.

use crate::LogLine;

const REFUSED: u16 = 640;
const SENT: u16 = 641;
const ATTEMPT_FAILED: u16 = 642;
const ANSWERED: u16 = 643;
const FAILED: u16 = 644;
const CALLER_LEFT: u16 = 645;
const CONFIGURATION_IN_FORCE: u16 = 610;
const STORE_LOST: u16 = 612;
const SERVER_LEAVING: u16 = 621;
const STOPPING: u16 = 601;

/// Describes why a request ended as it did, from the lines about the request itself and the lines
/// about the state of its routers and servers, both in order of time.
pub(crate) fn describe_cause(request_lines: &[&LogLine], context: &[&LogLine]) -> String {
    let ends = [REFUSED, ANSWERED, FAILED, CALLER_LEFT];
    let mut latest_first = request_lines.iter().rev();
    let Some(end) = latest_first.find(|line| ends.contains(&line.event)) else {
        let sent = request_lines.iter().rev().find(|line| line.event == SENT);
        let Some(sent) = sent else {
            return "Its end was not logged: it was answered, and the router logged only a part of the requests, or the router was killed or lost power.".to_owned();
        };
        let server = sent.field("server").unwrap_or("a server");
        return format!(
            "The logs end while it was at {server}: the router was killed or lost power, or the request is still running."
        );
    };
    let failed_attempts = describe_failed_attempts(request_lines, context);
    match end.event {
        ANSWERED => {
            let age_ms = end.field("age_ms").unwrap_or("?");
            let status = end.field("status").unwrap_or("?");
            let forwarded = forwarded_error(request_lines, status);
            let others: Vec<&LogLine> = request_lines
                .iter()
                .copied()
                .filter(|line| forwarded.is_none_or(|error| !std::ptr::eq(*line, error)))
                .collect();
            let failed_attempts = describe_failed_attempts(&others, context);
            let failure = forwarded.map_or_else(String::new, |error| {
                let server = error.field("server").unwrap_or("?");
                format!(" At {server}: the server failed, and its answer was passed on.")
            });
            format!("Answered with {status} after {age_ms} ms.{failed_attempts}{failure}")
        }
        REFUSED => describe_refusal(end, context),
        FAILED => {
            let reason = describe_reason(end.field("reason").unwrap_or("?"));
            let unbuffered = describe_unbuffered(end);
            format!("It failed and may have run: {reason}.{failed_attempts}{unbuffered}")
        }
        // The caller disconnected.
        _ => {
            let age_ms = end.field("age_ms").unwrap_or("?");
            format!(
                "The caller disconnected after {age_ms} ms, before its answer was complete.{failed_attempts}"
            )
        }
    }
}

fn describe_refusal(end: &LogLine, context: &[&LogLine]) -> String {
    let reason = end.field("reason").unwrap_or("?");
    let status = end.field("status").unwrap_or("?");
    let mut text = format!(
        "Refused with {status}, it has not run: {}.",
        describe_reason(reason)
    );
    let last = |event: u16| context.iter().rev().find(|line| line.event == event);
    let is_stale = matches!(reason, "keys-stale" | "configuration-stale");
    if is_stale && let Some(lost) = last(STORE_LOST) {
        let since_ms = end.time_ms.saturating_sub(lost.time_ms);
        text += &format!(" The router had lost the store {since_ms} ms before.");
    }
    let depends_on_version = matches!(reason, "unknown-key" | "no-route");
    if depends_on_version && let Some(version) = last(CONFIGURATION_IN_FORCE) {
        let since_ms = end.time_ms.saturating_sub(version.time_ms);
        let number = version.field("version").unwrap_or("?");
        text += &format!(" Version {number} had come into force {since_ms} ms before.");
    }
    if reason == "leaving" && last(STOPPING).is_some() {
        text += " The router was in a planned stop.";
    }
    text
}

/// Returns the line about the server error that was passed on as the answer, if one was.
fn forwarded_error<'a>(request_lines: &[&'a LogLine], status: &str) -> Option<&'a LogLine> {
    let is_failure = status.parse().is_ok_and(|status: u16| status >= 500);
    let mut latest_first = request_lines.iter().rev().copied();
    let found = latest_first
        .find(|line| line.event == ATTEMPT_FAILED && line.field("reason") == Some("server-error"));
    found.filter(|_| is_failure)
}

/// Describes an answer that broke off at its caller because it was passed on before it was complete.
fn describe_unbuffered(end: &LogLine) -> &'static str {
    match end.field("unbuffered") {
        Some("true") => {
            " A part had been passed on, as the router held too many answers for slow callers (event 664)."
        }
        _ => "",
    }
}

/// Describes the failed attempts at the servers that the request was sent to.
fn describe_failed_attempts(request_lines: &[&LogLine], context: &[&LogLine]) -> String {
    let failures = request_lines
        .iter()
        .filter(|line| line.event == ATTEMPT_FAILED);
    let mut text = String::new();
    for failure in failures {
        let server = failure.field("server").unwrap_or("?");
        let reason = describe_reason(failure.field("reason").unwrap_or("?"));
        text += &format!(" At {server}: {reason}.");
        let leaving = context
            .iter()
            .find(|line| line.event == SERVER_LEAVING && line.field("server") == Some(server));
        if let Some(leaving) = leaving {
            let reason = leaving.field("reason").unwrap_or("?");
            text += &format!(" That server was leaving or gone ({reason}).");
        }
    }
    text
}

/// Describes a reason code of the log in words; an unknown code is returned unchanged.
fn describe_reason(reason: &str) -> String {
    let words = match reason {
        "keys-stale" => "the router could not know whether the key was still good",
        "configuration-stale" => {
            "the router could not know whether its configuration was still the newest"
        }
        "configuration-replaced" => {
            "the router knew of a newer configuration and had not read it in time"
        }
        "servers-replaced" => {
            "the router knew of a newer list of backend servers and had not read it in time"
        }
        "crashes-servers" => {
            "copies of it, or requests with one of its prompt prefixes, crashed several backend servers (events 650 to 654)"
        }
        "no-configuration" => "the router had not read any configuration yet",
        "unknown-key" => "the configuration in force has no such key",
        "no-route" => "the configuration in force has no such route",
        "route-moved" => "its route had moved to another service in the meantime",
        "no-server" => "no backend server of its service was listed",
        "zone-evacuated" => "the servers that could serve it were in evacuated availability zones",
        "evacuations-stale" => {
            "the router knew of a newer evacuation order and had not read it in time"
        }
        "region-not-allowed" => "no server was in a region that its route and its tenant allow",
        "server-ended" => "another server had taken over the address",
        "server-cold" => "the server was cold and had got as many requests as it tolerates",
        "servers-cold" => {
            "all servers with capacity were cold and had got as many requests as they tolerate"
        }
        "server-leaving" => "the server had stated that it leaves",
        "server-paused" => "the server had asked the router for a pause",
        "servers-paused" => {
            "all servers that could serve it had asked the router for a pause (event 634)"
        }
        "line-full" => {
            "more requests of its service waited for slots than could be served on time (event 662)"
        }
        "grant-expired" => "the slot that it was given could not be used in time",
        "servers-full" => "all backend servers of its service were full",
        "workspace-share" => {
            "its workspace asked for more than its share, and the queues of its service were more than half full"
        }
        "engines-behind" => {
            "the engines of its service held so many requests that first events were slow (event 663)"
        }
        "servers-tried" => "all backend servers of its service had been tried",
        "server-refused" => "the server refused it without running it",
        "wrong-server" => "another server had taken over the address",
        "unreachable" => "no connection to the server could be made",
        "connections-used" => "this router's share of the server's connections was used up",
        "connection-broke" => "the connection broke before an answer came",
        "head-invalid" => "the server sent what is no answer in the protocol",
        "connection-closed" => "the server had closed the connection",
        "no-answer" => "the server gave no answer in time",
        "answer-broke-off" => "the server's answer broke off",
        "answer-not-whole" => "the server's answer was not complete in time",
        "stream-broke-off" => "the server's stream broke off",
        "event-broke-off" => "the server's stream ended in the middle of an event",
        "stream-not-whole" => "the server's stream was not complete in time",
        "events-out-of-order" => "an event of the stream was missing or duplicated",
        "answer-of-another-request" => "the answer belonged to another request",
        "answer-not-signed" => "the answer lacked the server's signature",
        "refusal-not-stated" => {
            "the server's status promises that the request has not run, and the server did not state that"
        }
        "server-error" => "the server failed",
        "retry-budget" => "the retry budget allowed no further attempt",
        "leaving" => "the router was shutting down",
        "router-stopped" => "the router was shut down before the server answered",
        "no-memory" => "too many request bodies were in memory",
        "no-time-left" => "the caller's deadline had passed",
        other => other,
    };
    words.to_owned()
}
