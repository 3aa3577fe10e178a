//! Finds out which version of servers' software began a stream that a caller takes up, by asking the routers
//! that keep its record, and answers such questions.

use std::fmt;
use std::sync::Arc;

use futures::future::join_all;
use http::Uri;
use sapphiretrack_routing::{
    Origin, OriginEvidence, RequestFacts, Route, SoftwareVersion, StreamKey, Unconfirmed,
    decide_origin,
};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::peer_hop::hop_address;
use crate::peer_hops::{MAX_ANSWER_BYTES, ask_router};
use crate::shared::Shared;
use crate::stream_origins::{evidence_of_history, holders};
use crate::version_proofs::checked_origin;

/// The path of the question for the origin of a stream, before the key of the stream.
pub(crate) const ORIGIN_PATH: &str = "/stream-origin/";
/// How long a router may take to answer the question.
const ASK_LIMIT_MS: u64 = 150;

/// Finds the version of the software that began the stream which a caller takes up: by the record here,
/// and otherwise by asking the routers that should have one.
pub(crate) async fn find_origin(
    shared: &Arc<Shared>,
    facts: &RequestFacts,
    path: &str,
    key: StreamKey,
    route: &Route,
) -> Option<Origin> {
    let asked_ms = Clock.now_ms();
    let own = own_evidence(shared, key, route);
    let evidence = match own {
        OriginEvidence::Recorded(_) => vec![own],
        _ => {
            let others = ask_holders(shared, facts, path, key).await;
            without_record(shared, route, own, others).await
        }
    };
    let decided = decide_origin(evidence.iter().copied());
    let origin = decided.and_then(|origin| checked_origin(shared, origin));
    let source = match (origin, &evidence[..]) {
        (None, _) => "unknown",
        (Some(_), [OriginEvidence::Recorded(_)]) => "own-record",
        (Some(_), evidence) => {
            let is_record = |one: &OriginEvidence| matches!(one, OriginEvidence::Recorded(_));
            match evidence.iter().any(is_record) {
                true => "record",
                false => "only-version",
            }
        }
    };
    shared.metrics.count_stream_origin(source);
    let list_age_ms = shared.servers_watch().state().age_ms(Clock.now_ms());
    note!(
        Event::STREAM_TAKEN_UP,
        id = facts.id,
        begun_by = facts.begun_by.as_deref().unwrap_or("-"),
        source = source,
        software = origin.map_or(0, |origin| origin.software.0),
        answers = evidence.len() - 1,
        list_age_ms = list_age_ms.map_or(-1, |age_ms| age_ms as i64),
        took_ms = Clock.now_ms().saturating_sub(asked_ms),
    );
    origin
}

/// Asks the routers that should have the record of a stream.
async fn ask_holders(
    shared: &Arc<Shared>,
    facts: &RequestFacts,
    path: &str,
    key: StreamKey,
) -> Vec<OriginEvidence> {
    let uri = question(key, &facts.host, path);
    let answers = holders(shared, key).into_iter().map(|address| {
        let uri = uri.clone();
        async move {
            let limit_ms = ASK_LIMIT_MS;
            let answer = ask_router(
                shared,
                hop_address(address),
                uri?,
                limit_ms,
                MAX_ANSWER_BYTES,
            )
            .await?;
            parse_evidence(std::str::from_utf8(&answer.1).ok()?)
        }
    });
    let answers = join_all(answers).await;
    answers.into_iter().flatten().collect()
}

/// The evidence about a stream that this router has no record of. Unless another one has, only what the store keeps
/// after the stream began shows that one version ran: a list may be older than the stream.
async fn without_record(
    shared: &Arc<Shared>,
    route: &Route,
    own: OriginEvidence,
    others: Vec<OriginEvidence>,
) -> Vec<OriginEvidence> {
    let is_decided =
        |one: &OriginEvidence| matches!(one, OriginEvidence::Recorded(_) | OriginEvidence::Several);
    let is_kept = shared.settings().attempts.sole_version_ms > 0;
    if !is_kept || others.iter().chain([&own]).any(is_decided) {
        return others.into_iter().chain([own]).collect();
    }
    let read = shared.stream_origins.stored.read_now().await;
    let stored = read.map(|read| {
        let history = shared.stream_origins.history();
        let versions = &read.stored.versions;
        history.stored_evidence(&route.targets, versions, read.store_now_ms, Clock.now_ms())
    });
    let others = others.into_iter().map(OriginEvidence::without_certainty);
    let own = stored.unwrap_or(own.without_certainty());
    others.chain([own]).collect()
}

/// What this router knows about the origin of a stream.
fn own_evidence(shared: &Shared, key: StreamKey, route: &Route) -> OriginEvidence {
    match shared.stream_origins.record_of(key) {
        Some(record) => record.evidence(),
        None => evidence_of_history(shared, route),
    }
}

/// The question for the origin of a stream: its key, and host and path, which select the route.
fn question(key: StreamKey, host: &str, path: &str) -> Option<Uri> {
    let key = key.0;
    format!("{ORIGIN_PATH}{key:032x}/{host}{path}").parse().ok()
}

/// Answers another router's question; none if it is malformed or this router has no such route.
pub(crate) fn answer_origin(shared: &Shared, question: &str) -> Option<String> {
    let (key, rest) = question.split_once('/')?;
    let key = StreamKey(u128::from_str_radix(key, 16).ok()?);
    let path_start = rest.find('/')?;
    let (host, path) = rest.split_at(path_start);
    let configuration = shared.configuration.load();
    let route = configuration.as_ref()?.route(host, path)?;
    let evidence = own_evidence(shared, key, route);
    Some(EvidenceText(evidence).to_string())
}

/// Formats evidence as one line of text: its kind, the version (0 for none), and for an unconfirmed record the
/// server and the time that it depends on.
struct EvidenceText(OriginEvidence);

impl fmt::Display for EvidenceText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |software: Option<SoftwareVersion>| software.map_or(0, |software| software.0);
        match self.0 {
            OriginEvidence::Recorded(Some(origin)) => {
                write!(formatter, "recorded {}", origin.software.0)?;
                match origin.unconfirmed {
                    Some(on) => write!(formatter, " {} {}", on.server, on.proven_store_ms),
                    None => Ok(()),
                }
            }
            OriginEvidence::Recorded(None) => write!(formatter, "recorded 0"),
            OriginEvidence::Only(software) => write!(formatter, "only {}", software.0),
            OriginEvidence::Lately(software) => write!(formatter, "lately {}", number(software)),
            OriginEvidence::Several => write!(formatter, "several 0"),
        }
    }
}

/// Parses the text of evidence.
fn parse_evidence(text: &str) -> Option<OriginEvidence> {
    let (kind, numbers) = text.split_once(' ')?;
    let numbers: Option<Vec<u64>> = numbers.split(' ').map(|one| one.parse().ok()).collect();
    let numbers = numbers?;
    let software = numbers.first().filter(|number| **number != 0);
    let software = software.map(|number| SoftwareVersion(*number));
    let unconfirmed = match numbers[..] {
        [_, server, proven_store_ms] => Some(Unconfirmed {
            server,
            proven_store_ms,
        }),
        _ => None,
    };
    let origin = software.map(|software| Origin {
        software,
        unconfirmed,
    });
    Some(match kind {
        "recorded" => OriginEvidence::Recorded(origin),
        "only" => OriginEvidence::Only(software?),
        "lately" => OriginEvidence::Lately(software),
        "several" => OriginEvidence::Several,
        _ => return None,
    })
}
