//! The callers of the demo: multi-turn chats from several workspaces, and label orders.

use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sapphiretrack_caller::{CallerClient, EntryReply, RequestOptions};
use sapphiretrack_fakes::expected_answer;

use crate::demo::tally::Tally;
use crate::site::CALLER_KEY;

/// Number of concurrent chats per workspace; the first workspace is the largest and gets the surge.
const CHATS_BY_WORKSPACE: [usize; 6] = [16, 4, 4, 3, 3, 2];
/// Number of chats that the surge adds to the first workspace.
const SURGE_CHATS: usize = 40;
/// Number of callers that order labels.
const LABEL_CALLERS: usize = 4;
/// Share of chats that never return the warm value of earlier answers.
const NO_WARM_VALUE_SHARE: f64 = 0.25;
/// Words that each turn adds to a chat. A word has 10 to 13 bytes.
const WORDS_PER_TURN: usize = 300;
/// Number of tokens per answer.
const ANSWER_TOKENS: u32 = 40;
/// Deadline of the slowest class in the demo's contract.
const DEADLINE: Duration = Duration::from_secs(15);

/// The seed, the entry routers and the schedule of the callers. Times count from the start.
pub(crate) struct CallerPlan {
    pub(crate) seed: u64,
    pub(crate) entries: Vec<String>,
    pub(crate) surge: Range<Duration>,
    pub(crate) end: Duration,
}

/// A caller with its own cached lookup of the router addresses.
struct Caller {
    rng: StdRng,
    http: CallerClient,
    entries: Arc<Vec<String>>,
    lookup: Option<(EntryReply, Instant)>,
    tally: Arc<Tally>,
    end: Instant,
}

/// Runs all callers until the plan's end; the surge's chats stop when the surge ends.
pub(crate) async fn run_callers(plan: CallerPlan, started: Instant, tally: Arc<Tally>) {
    let entries = Arc::new(plan.entries);
    let mut seeds = StdRng::seed_from_u64(plan.seed);
    let mut caller = |end: Duration| Caller {
        rng: StdRng::seed_from_u64(seeds.random()),
        http: CallerClient::new(),
        entries: entries.clone(),
        lookup: None,
        tally: tally.clone(),
        end: started + end,
    };
    let mut tasks = tokio::task::JoinSet::new();
    for (workspace, chats) in CHATS_BY_WORKSPACE.into_iter().enumerate() {
        for number in 0..chats {
            let name = format!("chat-{workspace}-{number}");
            tasks.spawn(caller(plan.end).run_chat(workspace, name, Duration::ZERO));
        }
    }
    for number in 0..SURGE_CHATS {
        let name = format!("surge-{number}");
        tasks.spawn(caller(plan.surge.end).run_chat(0, name, plan.surge.start));
    }
    for number in 0..LABEL_CALLERS {
        tasks.spawn(caller(plan.end).run_label_orders(number));
    }
    while tasks.join_next().await.is_some() {}
}

impl Caller {
    /// Sends the turns of a chat, each with a longer history, until `self.end`.
    async fn run_chat(mut self, workspace: usize, name: String, start_after: Duration) {
        tokio::time::sleep(start_after).await;
        let mut options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            workspace: Some(format!("workspace-{workspace}")),
            chat: Some(name.clone()),
            class: (workspace == 1).then(|| String::from("urgent")),
            ..RequestOptions::default()
        };
        let drops_warm_value = self.rng.random_bool(NO_WARM_VALUE_SHARE);
        let mut history = String::new();
        let mut turn = 0;
        let mut seen_tokens = 0;
        while Instant::now() < self.end {
            history.push_str(&format!("{name}-{turn} ").repeat(WORDS_PER_TURN));
            let messages = serde_json::json!([{ "content": history, "role": "user" }]);
            let body = serde_json::json!({
                "model": "assistant",
                "stream": true,
                "max_tokens": ANSWER_TOKENS,
                "messages": messages,
            });
            let url = self.router_url().await;
            let sent = Instant::now();
            let body = Bytes::from(body.to_string());
            let result = self.http.chat(&url, body, &options, |_| {}).await;
            let on_time = sent.elapsed() <= DEADLINE;
            match result {
                Ok(answer) if answer.outcome == "complete" => {
                    let correct = answer.body == expected_answer(&messages, ANSWER_TOKENS);
                    self.tally
                        .record_complete(&answer, correct, on_time, seen_tokens);
                    seen_tokens = answer.prompt_tokens;
                    if !drops_warm_value {
                        options.warm = answer.warm;
                    }
                    turn += 1;
                }
                Ok(answer) => {
                    self.tally.record_refusal(&answer);
                    let retry_after = Duration::from_secs(answer.retry_after_s.unwrap_or(0));
                    tokio::time::sleep(retry_after).await;
                }
                Err(error) => self.tally.record_error(&error),
            }
            let pause_ms = self.rng.random_range(100..500);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Orders labels until `self.end`. Each order is sent twice with the same idempotency key.
    async fn run_label_orders(mut self, number: usize) {
        let mut order = 0;
        while Instant::now() < self.end {
            let body = Bytes::from(format!("{{\"label\":\"{number}-{order}\"}}"));
            let options = RequestOptions {
                key: CALLER_KEY.to_owned(),
                idempotency_key: Some(format!("label-{number}-{order}")),
                ..RequestOptions::default()
            };
            for _ in 0..2 {
                let url = self.router_url().await;
                let path = "plant/labels/print";
                let post = http::Method::POST;
                let result = self
                    .http
                    .service(&url, post, path, body.clone(), &options)
                    .await;
                match result {
                    Ok(answer) if answer.status == 200 => self.tally.record_order(),
                    Ok(answer) => self.tally.record_refusal(&answer),
                    Err(error) => self.tally.record_error(&error),
                }
            }
            order += 1;
            tokio::time::sleep(Duration::from_millis(self.rng.random_range(200..600))).await;
        }
    }

    /// Returns the URL of the router to use. The lookup is cached for its time to live.
    async fn router_url(&mut self) -> String {
        loop {
            if let Some((entry, at)) = &self.lookup
                && at.elapsed() < Duration::from_millis(entry.ttl_ms)
                && let Some(address) = entry.addresses.first()
            {
                return format!("http://{address}");
            }
            let first = self.rng.random_range(0..self.entries.len());
            if let Ok(entry) = self.http.entry(&self.entries[first], None).await {
                self.lookup = Some((entry, Instant::now()));
            }
        }
    }
}
