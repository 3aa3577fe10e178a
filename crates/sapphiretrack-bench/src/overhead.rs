//! What a router adds to a chat: through a router against straight to the engine, in one run.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use pico_args::Arguments;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::LoadBound;

use crate::run::{block_on, check_all_read};
use crate::site::{CALLER_KEY, Site, SiteSettings};

/// Requests sent one after another, each way.
const UNLOADED_REQUESTS: usize = 300;
/// Streams at a time, each way, under load.
const LOADED_STREAMS: usize = 200;
/// Requests of each such stream.
const REQUESTS_PER_STREAM: usize = 10;
/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 8;
/// The engines' time between two tokens.
const DECODE_MS: u64 = 5;
/// The one chat of all requests: straight to the engine there is none, and so its prefix is
/// always cached; through the router it has to be as well.
const CHAT: &str = "chat";

/// Times of one way.
struct Times {
    first_token_us: Histogram<u64>,
    token_gap_us: Histogram<u64>,
    whole_us: Histogram<u64>,
}

/// Times of one request.
#[derive(Default)]
struct RequestTimes {
    first_token: Duration,
    token_gaps: Vec<Duration>,
    whole: Duration,
}

/// One way to an engine.
#[derive(Clone)]
struct Way {
    name: &'static str,
    url: String,
    http: CallerClient,
}

/// Runs the measurement and prints its table, or a JSON object a line with `--json`.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    let json = arguments.contains("--json");
    check_all_read(arguments)?;
    block_on(4, measure(json))
}

async fn measure(json: bool) -> Result<(), String> {
    // All streams start at once here: the measurement is of the path, not of the load bound.
    let load_bound = LoadBound {
        floor_requests: 128,
        ceiling_requests: 256,
        ..LoadBound::default()
    };
    let mut site = Site::start(SiteSettings {
        load_bound,
        decode_ms: DECODE_MS,
        batch_slots: 256,
    })
    .await?;
    site.apply_contract().await?;
    let router_urls = site.caller_urls();
    let direct = Way {
        name: "direct",
        url: format!("http://{}", site.engines()[0].address()),
        http: CallerClient::new(),
    };
    let router = Way {
        name: "router",
        url: router_urls[0].clone(),
        http: CallerClient::new(),
    };
    if !json {
        println!(
            "load        way     first token p50   p99   token gap p50   p99   whole p50   p99 (ms)"
        );
    }
    let mut unloaded = [Times::new()?, Times::new()?];
    for _ in 0..UNLOADED_REQUESTS {
        for (way, times) in [&direct, &router].into_iter().zip(&mut unloaded) {
            times.add(&way.send().await?);
        }
    }
    print_pair("unloaded", [&direct, &router], &unloaded, json);
    let loaded = [under_load(&direct).await?, under_load(&router).await?];
    print_pair("200 streams", [&direct, &router], &loaded, json);
    site.stop_all().await
}

async fn under_load(way: &Way) -> Result<Times, String> {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..LOADED_STREAMS {
        let way = way.clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            for _ in 0..REQUESTS_PER_STREAM {
                times.push(way.send().await?);
            }
            Ok::<_, String>(times)
        });
    }
    let mut all = Times::new()?;
    while let Some(joined) = tasks.join_next().await {
        for times in joined.map_err(|error| error.to_string())?? {
            all.add(&times);
        }
    }
    Ok(all)
}

impl Way {
    async fn send(&self) -> Result<RequestTimes, String> {
        let body = serde_json::json!({
            "model": "assistant",
            "stream": true,
            "max_tokens": ANSWER_TOKENS,
            "messages": [{ "role": "user", "content": "is the line clear" }],
        });
        let options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            chat: Some(CHAT.to_owned()),
            ..RequestOptions::default()
        };
        let started = Instant::now();
        let mut tokens = Vec::new();
        let body = Bytes::from(body.to_string());
        let answer = self
            .http
            .chat(&self.url, body, &options, |_| {
                tokens.push(started.elapsed())
            })
            .await
            .map_err(|error| error.to_string())?;
        if answer.outcome != "complete" {
            return Err(format!(
                "{}: the answer is not whole: {answer:?}",
                self.name
            ));
        }
        Ok(RequestTimes {
            first_token: tokens.first().copied().unwrap_or_default(),
            token_gaps: tokens.windows(2).map(|pair| pair[1] - pair[0]).collect(),
            whole: started.elapsed(),
        })
    }
}

impl Times {
    fn new() -> Result<Self, String> {
        const SIGNIFICANT_DIGITS: u8 = 3;
        let histogram = || {
            let mut histogram =
                Histogram::new(SIGNIFICANT_DIGITS).map_err(|error| error.to_string())?;
            histogram.auto(true);
            Ok::<_, String>(histogram)
        };
        Ok(Self {
            first_token_us: histogram()?,
            token_gap_us: histogram()?,
            whole_us: histogram()?,
        })
    }

    fn add(&mut self, request: &RequestTimes) {
        self.first_token_us += request.first_token.as_micros() as u64;
        for gap in &request.token_gaps {
            self.token_gap_us += gap.as_micros() as u64;
        }
        self.whole_us += request.whole.as_micros() as u64;
    }
}

fn print_pair(load: &str, ways: [&Way; 2], times: &[Times; 2], json: bool) {
    let ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    for (way, times) in ways.iter().zip(times) {
        let first = [0.5, 0.99].map(|quantile| ms(&times.first_token_us, quantile));
        let gap = [0.5, 0.99].map(|quantile| ms(&times.token_gap_us, quantile));
        let whole = [0.5, 0.99].map(|quantile| ms(&times.whole_us, quantile));
        if json {
            let line = serde_json::json!({
                "bench": "overhead",
                "load": load,
                "way": way.name,
                "first_token_p50_ms": first[0],
                "first_token_p99_ms": first[1],
                "token_gap_p50_ms": gap[0],
                "token_gap_p99_ms": gap[1],
                "whole_p50_ms": whole[0],
                "whole_p99_ms": whole[1],
            });
            println!("{line}");
            continue;
        }
        println!(
            "{load:<12}{:<8}{:>15.2}{:>6.2}{:>16.2}{:>6.2}{:>12.2}{:>6.2}",
            way.name, first[0], first[1], gap[0], gap[1], whole[0], whole[1]
        );
    }
    if !json {
        let [direct, router] = times;
        let ratio = |quantile| ms(&router.whole_us, quantile) / ms(&direct.whole_us, quantile);
        println!(
            "{load:<12}ratio of the whole time: p50 {:.3}, p99 {:.3}",
            ratio(0.5),
            ratio(0.99)
        );
    }
}
