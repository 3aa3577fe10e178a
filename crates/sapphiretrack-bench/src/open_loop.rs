//! Open-loop load: chats arrive as a Poisson process, whether or not earlier ones have ended.

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
    /// Its share of the requests; the shares of all classes add up to 1.
    pub(crate) share: f64,
    /// The deadline of the class in the contract.
    pub(crate) deadline_ms: u64,
}

/// The load of one run.
#[derive(Clone, Debug)]
pub(crate) struct OfferedLoad {
    /// The mean arrival rate.
    pub(crate) requests_per_s: f64,
    /// The duration.
    pub(crate) seconds: f64,
    /// Tokens per answer.
    pub(crate) answer_tokens: u32,
    /// The classes.
    pub(crate) classes: Vec<OfferedClass>,
    /// The seed of arrival times, classes and routers.
    pub(crate) seed: u64,
}

/// The outcomes of the requests of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassResult {
    /// Requests sent.
    pub(crate) offered: u32,
    /// Complete answers within the deadline.
    pub(crate) in_time: u32,
    /// Complete answers after the deadline, and requests that failed with `deadline_passed`.
    pub(crate) late: u32,
    /// Requests with the outcome `not-run`, without those that failed with `deadline_passed`.
    pub(crate) refused: u32,
    /// Requests with any other outcome.
    pub(crate) other: u32,
    /// Times to the end of complete answers.
    pub(crate) times_ms: Vec<u64>,
    /// Times to the refusals counted in `refused`.
    pub(crate) refusal_ms: Vec<u64>,
}

/// Offers the load and waits for the last answer; returns the outcomes by class.
pub(crate) async fn offer_load(
    fleet: &SmallFleet,
    offered: &OfferedLoad,
) -> BTreeMap<&'static str, ClassResult> {
    let mut random = ChaCha8Rng::seed_from_u64(offered.seed);
    let client = CallerClient::new();
    let mut running = JoinSet::new();
    let started = Instant::now();
    let mut arrival_s = 0.0;
    let mut number = 0_usize;
    loop {
        let draw: f64 = random.random();
        arrival_s += -(1.0 - draw).ln() / offered.requests_per_s;
        if arrival_s >= offered.seconds {
            break;
        }
        let class = sample_class(&offered.classes, random.random());
        let url = fleet.caller_urls[random.random_range(0..fleet.caller_urls.len())].clone();
        number += 1;
        let (client, tokens) = (client.clone(), offered.answer_tokens);
        tokio::time::sleep_until((started + Duration::from_secs_f64(arrival_s)).into()).await;
        running
            .spawn(async move { (class, send_chat(&client, &url, class, number, tokens).await) });
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

/// The value at a quantile (0 to 1), by the nearest rank; 0 if there are no values.
pub(crate) fn quantile(values: &mut [u64], at: f64) -> u64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values
        .get((last as f64 * at).round() as usize)
        .copied()
        .unwrap_or(0)
}

async fn send_chat(
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

fn sample_class(classes: &[OfferedClass], draw: f64) -> OfferedClass {
    let mut cumulative = 0.0;
    for class in classes {
        cumulative += class.share;
        if draw < cumulative {
            return *class;
        }
    }
    classes[classes.len() - 1]
}
