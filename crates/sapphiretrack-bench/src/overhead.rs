//! The latency that a router adds to a chat: chats through a router compared with chats sent
//! directly to an engine, in one run.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use pico_args::Arguments;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::LoadBound;

use crate::run::{block_on, reject_unused_arguments};
use crate::site::{CALLER_KEY, Site, SiteSettings};

/// Requests sent one after another on each path.
const UNLOADED_REQUESTS: usize = 300;
/// Concurrent streams on each path under load.
const LOADED_STREAMS: usize = 200;
/// Requests sent one after another by each of these streams.
const REQUESTS_PER_STREAM: usize = 10;
/// Tokens per answer.
const ANSWER_TOKENS: u32 = 8;
/// The engines' time between two tokens.
const DECODE_MS: u64 = 5;
/// The chat of all requests. On the direct path the engine sees no chat key and all requests share
/// one cache entry, so the prefix is cached; one chat makes it cached through the router as well.
const CHAT: &str = "chat";

/// Latency histograms of one path.
struct Latencies {
    first_token_us: Histogram<u64>,
    token_gap_us: Histogram<u64>,
    total_us: Histogram<u64>,
}

/// Latencies of one request.
#[derive(Default)]
struct RequestLatencies {
    first_token: Duration,
    token_gaps: Vec<Duration>,
    total: Duration,
}

/// One path to an engine, either direct or through a router.
#[derive(Clone)]
struct RequestPath {
    name: &'static str,
    url: String,
    http: CallerClient,
}

/// Runs the measurement and prints its table, or one JSON object per line with `--json`.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    let json = arguments.contains("--json");
    reject_unused_arguments(arguments)?;
    block_on(4, measure(json))
}

async fn measure(json: bool) -> Result<(), String> {
    // All streams start at the same time. The load bound is set high enough not to delay them, as
    // the measurement is of the path alone.
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
    let direct = RequestPath {
        name: "direct",
        url: format!("http://{}", site.engines()[0].address()),
        http: CallerClient::new(),
    };
    let router = RequestPath {
        name: "router",
        url: router_urls[0].clone(),
        http: CallerClient::new(),
    };
    if !json {
        println!(
            "load        path    first token p50   p99   token gap p50   p99   total p50   p99 (ms)"
        );
    }
    let mut unloaded = [Latencies::new()?, Latencies::new()?];
    for _ in 0..UNLOADED_REQUESTS {
        for (path, times) in [&direct, &router].into_iter().zip(&mut unloaded) {
            times.add(&path.send().await?);
        }
    }
    print_paths("unloaded", [&direct, &router], &unloaded, json);
    let loaded = [
        measure_under_load(&direct).await?,
        measure_under_load(&router).await?,
    ];
    print_paths("200 streams", [&direct, &router], &loaded, json);
    site.stop_all().await
}

async fn measure_under_load(path: &RequestPath) -> Result<Latencies, String> {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..LOADED_STREAMS {
        let path = path.clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            for _ in 0..REQUESTS_PER_STREAM {
                times.push(path.send().await?);
            }
            Ok::<_, String>(times)
        });
    }
    let mut merged = Latencies::new()?;
    while let Some(joined) = tasks.join_next().await {
        for times in joined.map_err(|error| error.to_string())?? {
            merged.add(&times);
        }
    }
    Ok(merged)
}

impl RequestPath {
    async fn send(&self) -> Result<RequestLatencies, String> {
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
                "{}: the answer is not complete: {answer:?}",
                self.name
            ));
        }
        Ok(RequestLatencies {
            first_token: tokens.first().copied().unwrap_or_default(),
            token_gaps: tokens.windows(2).map(|pair| pair[1] - pair[0]).collect(),
            total: started.elapsed(),
        })
    }
}

impl Latencies {
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
            total_us: histogram()?,
        })
    }

    fn add(&mut self, request: &RequestLatencies) {
        self.first_token_us += request.first_token.as_micros() as u64;
        for gap in &request.token_gaps {
            self.token_gap_us += gap.as_micros() as u64;
        }
        self.total_us += request.total.as_micros() as u64;
    }
}

fn print_paths(load: &str, paths: [&RequestPath; 2], times: &[Latencies; 2], json: bool) {
    let ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    for (path, times) in paths.iter().zip(times) {
        let first = [0.5, 0.99].map(|quantile| ms(&times.first_token_us, quantile));
        let gap = [0.5, 0.99].map(|quantile| ms(&times.token_gap_us, quantile));
        let total = [0.5, 0.99].map(|quantile| ms(&times.total_us, quantile));
        if json {
            let line = serde_json::json!({
                "bench": "overhead",
                "load": load,
                "way": path.name,
                "first_token_p50_ms": first[0],
                "first_token_p99_ms": first[1],
                "token_gap_p50_ms": gap[0],
                "token_gap_p99_ms": gap[1],
                "whole_p50_ms": total[0],
                "whole_p99_ms": total[1],
            });
            println!("{line}");
            continue;
        }
        println!(
            "{load:<12}{:<8}{:>15.2}{:>6.2}{:>16.2}{:>6.2}{:>12.2}{:>6.2}",
            path.name, first[0], first[1], gap[0], gap[1], total[0], total[1]
        );
    }
    if !json {
        let [direct, router] = times;
        let ratio = |quantile| ms(&router.total_us, quantile) / ms(&direct.total_us, quantile);
        println!(
            "{load:<12}ratio of total latency: p50 {:.3}, p99 {:.3}",
            ratio(0.5),
            ratio(0.99)
        );
    }
}
