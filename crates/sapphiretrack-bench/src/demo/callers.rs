//! The demo's callers: returning chats from several workspaces, and label orders.

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

/// Workspaces and how many chats each keeps going; the first one is large and surges.
const CHATS_BY_WORKSPACE: [usize; 6] = [16, 4, 4, 3, 3, 2];
/// Chats that join the first workspace in the surge.
const SURGE_CHATS: usize = 40;
/// Callers that order labels.
const LABEL_CALLERS: usize = 4;
/// The share of callers that do not send the warm value back.
const FORGETFUL_SHARE: f64 = 0.25;
/// Words that each turn adds to a chat; about 7 bytes each.
const WORDS_PER_TURN: usize = 300;
/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 40;
/// The deadline of the demo's slowest class.
const DEADLINE: Duration = Duration::from_secs(15);

/// Who calls, and until when.
pub(crate) struct CallerPlan {
    pub(crate) seed: u64,
    pub(crate) entries: Vec<String>,
    pub(crate) surge: Range<Duration>,
    pub(crate) end: Duration,
}

/// One caller with its own view of where to connect.
struct Caller {
    rng: StdRng,
    http: CallerClient,
    entries: Arc<Vec<String>>,
    lookup: Option<(EntryReply, Instant)>,
    tally: Arc<Tally>,
    end: Instant,
}

/// Runs all callers until the end of the plan.
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
            tasks.spawn(caller(plan.end).keep_chatting(workspace, name, Duration::ZERO));
        }
    }
    for number in 0..SURGE_CHATS {
        let name = format!("surge-{number}");
        tasks.spawn(caller(plan.surge.end).keep_chatting(0, name, plan.surge.start));
    }
    for number in 0..LABEL_CALLERS {
        tasks.spawn(caller(plan.end).keep_ordering(number));
    }
    while tasks.join_next().await.is_some() {}
}

impl Caller {
    /// A chat that returns again and again, each time with a longer history.
    async fn keep_chatting(mut self, workspace: usize, name: String, start_after: Duration) {
        tokio::time::sleep(start_after).await;
        let mut options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            workspace: Some(format!("workspace-{workspace}")),
            chat: Some(name.clone()),
            class: (workspace == 1).then(|| String::from("urgent")),
            ..RequestOptions::default()
        };
        let forgetful = self.rng.random_bool(FORGETFUL_SHARE);
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
            let url = self.router().await;
            let sent = Instant::now();
            let body = Bytes::from(body.to_string());
            let result = self.http.chat(&url, body, &options, |_| {}).await;
            let on_time = sent.elapsed() <= DEADLINE;
            match result {
                Ok(answer) if answer.outcome == "complete" => {
                    let own = answer.body == expected_answer(&messages, ANSWER_TOKENS);
                    self.tally.whole(&answer, own, on_time, seen_tokens);
                    seen_tokens = answer.prompt_tokens;
                    if !forgetful {
                        options.warm = answer.warm;
                    }
                    turn += 1;
                }
                Ok(answer) => {
                    self.tally.refused(&answer);
                    let retry_after = Duration::from_secs(answer.retry_after_s.unwrap_or(0));
                    tokio::time::sleep(retry_after).await;
                }
                Err(error) => self.tally.failed(&error),
            }
            let pause_ms = self.rng.random_range(100..500);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Orders labels, each one twice, as an impatient caller would.
    async fn keep_ordering(mut self, number: usize) {
        let mut order = 0;
        while Instant::now() < self.end {
            let body = Bytes::from(format!("{{\"label\":\"{number}-{order}\"}}"));
            let options = RequestOptions {
                key: CALLER_KEY.to_owned(),
                idempotency_key: Some(format!("label-{number}-{order}")),
                ..RequestOptions::default()
            };
            for _ in 0..2 {
                let url = self.router().await;
                let path = "plant/labels/print";
                let post = http::Method::POST;
                let result = self
                    .http
                    .service(&url, post, path, body.clone(), &options)
                    .await;
                match result {
                    Ok(answer) if answer.status == 200 => self.tally.ordered(),
                    Ok(answer) => self.tally.refused(&answer),
                    Err(error) => self.tally.failed(&error),
                }
            }
            order += 1;
            tokio::time::sleep(Duration::from_millis(self.rng.random_range(200..600))).await;
        }
    }

    /// The router to use now: the lookup is kept for its time to live.
    async fn router(&mut self) -> String {
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
