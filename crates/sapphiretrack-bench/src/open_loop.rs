//! Requests that come at random times whether earlier ones have ended or not.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use tokio::task::JoinSet;

use crate::small_fleet::{CALLER_KEY, SmallFleet};

/// A class of the offered load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferedClass {
    /// Its name in the contract.
    pub(crate) name: &'static str,
    /// Its part of the requests.
    pub(crate) part: f64,
    /// Its deadline.
    pub(crate) deadline_ms: u64,
}

/// The load of one run.
#[derive(Clone, Debug)]
pub(crate) struct Offered {
    /// Requests a second, on average.
    pub(crate) requests_per_s: f64,
    /// For how long.
    pub(crate) seconds: f64,
    /// Tokens of each answer.
    pub(crate) answer_tokens: u32,
    /// The classes.
    pub(crate) classes: Vec<OfferedClass>,
    /// The seed of the times and classes.
    pub(crate) seed: u64,
}

/// What came of the requests of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassResult {
    /// Requests.
    pub(crate) offered: u32,
    /// Whole answers within the deadline.
    pub(crate) in_time: u32,
    /// Answers after the deadline, and requests given up at it.
    pub(crate) late: u32,
    /// Refused as not run.
    pub(crate) refused: u32,
    /// All else.
    pub(crate) other: u32,
    /// Times of whole answers.
    pub(crate) times_ms: Vec<u64>,
    /// Times to refusals.
    pub(crate) refusal_ms: Vec<u64>,
}

/// Offers the load and waits for the last answer.
pub(crate) async fn offer(
    fleet: &SmallFleet,
    offered: &Offered,
) -> BTreeMap<&'static str, ClassResult> {
    let mut random = ChaCha8Rng::seed_from_u64(offered.seed);
    let client = CallerClient::new();
    let mut running = JoinSet::new();
    let started = Instant::now();
    let mut at_s = 0.0;
    let mut number = 0_usize;
    loop {
        let draw: f64 = random.random();
        at_s += -(1.0 - draw).ln() / offered.requests_per_s;
        if at_s >= offered.seconds {
            break;
        }
        let class = draw_class(&offered.classes, random.random());
        let url = fleet.caller_urls[random.random_range(0..fleet.caller_urls.len())].clone();
        number += 1;
        let (client, tokens) = (client.clone(), offered.answer_tokens);
        tokio::time::sleep_until((started + Duration::from_secs_f64(at_s)).into()).await;
        running.spawn(async move { (class, one(&client, &url, class, number, tokens).await) });
    }
    let mut results: BTreeMap<&'static str, ClassResult> = BTreeMap::new();
    while let Some(Ok((class, (outcome, code, took_ms)))) = running.join_next().await {
        let result = results.entry(class.name).or_default();
        result.offered += 1;
        match (outcome.as_str(), code.as_str()) {
            ("complete", _) => {
                result.times_ms.push(took_ms);
                if took_ms <= class.deadline_ms {
                    result.in_time += 1;
                } else {
                    result.late += 1;
                }
            }
            (_, "deadline_passed") => result.late += 1,
            ("not-run", _) => {
                result.refused += 1;
                result.refusal_ms.push(took_ms);
            }
            _ => result.other += 1,
        }
    }
    results
}

/// The value below which a share of the values lies; 0 for none.
pub(crate) fn quantile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values
        .get((last as f64 * share).round() as usize)
        .copied()
        .unwrap_or(0)
}

async fn one(
    client: &CallerClient,
    url: &str,
    class: OfferedClass,
    number: usize,
    tokens: u32,
) -> (String, String, u64) {
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": format!("question {number}") }],
    });
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        workspace: Some(format!("workspace-{}", number % 10)),
        chat: Some(format!("chat-{number}")),
        class: Some(class.name.to_owned()),
        ..RequestOptions::default()
    };
    let started = Instant::now();
    let answer = client
        .chat(url, Bytes::from(body.to_string()), &options, |_| {})
        .await;
    let took_ms = started.elapsed().as_millis() as u64;
    match answer {
        Ok(answer) => {
            let code = answer.error.map(|body| body.error.code);
            (answer.outcome, code.unwrap_or_default(), took_ms)
        }
        Err(error) => (String::from("broken"), error.to_string(), took_ms),
    }
}

fn draw_class(classes: &[OfferedClass], draw: f64) -> OfferedClass {
    let mut below = 0.0;
    for class in classes {
        below += class.part;
        if draw < below {
            return *class;
        }
    }
    classes[classes.len() - 1]
}
