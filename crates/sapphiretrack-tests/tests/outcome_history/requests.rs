//! Requests of callers and the outcomes that they got.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_caller::{CallerClient, ClientError, ReceivedAnswer, RequestOptions};
use sapphiretrack_fakes::expected_answer;
use sapphiretrack_tests::CALLER_KEY;

use crate::{ANSWER_TOKENS, REQUESTS};

/// A kind of request; labels and order chats are not idempotent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    Label,
    Lookup,
    Chat,
    OrderChat,
}

/// The result of one try, as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) enum TryResult {
    Answer(ReceivedAnswer),
    Unreachable,
    /// The router at this URL closed the connection before the answer was complete.
    Broken(String),
}

/// One request with all its tries.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) kind: RequestKind,
    pub(crate) order: String,
    pub(crate) body: Bytes,
    pub(crate) tries: Vec<TryResult>,
}

/// State shared by the callers and the fault injection.
pub(crate) struct Shared {
    pub(crate) urls: Mutex<Vec<String>>,
    pub(crate) killed: Mutex<Vec<String>>,
    pub(crate) next: AtomicUsize,
    pub(crate) done: AtomicBool,
    pub(crate) records: Mutex<Vec<Record>>,
}

impl Shared {
    pub(crate) fn random_url(&self, random: &mut ChaCha8Rng) -> String {
        let urls = self.urls.lock().expect("no thread panicked");
        urls[random.random_range(0..urls.len())].clone()
    }
}

pub(crate) fn chat_body(model: &str, order: &str) -> Bytes {
    let body = serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{ "role": "user", "content": order }],
    });
    Bytes::from(body.to_string())
}

/// The messages by which an engine counts runs of a chat, and the words of the complete answer.
pub(crate) fn expected_chat(order: &str) -> (String, Vec<String>) {
    let messages = serde_json::json!([{ "role": "user", "content": order }]);
    let answer = expected_answer(&messages, ANSWER_TOKENS);
    let words = answer.split_whitespace().map(str::to_owned);
    (messages.to_string(), words.collect())
}

impl Record {
    pub(crate) fn new(number: usize, random: &mut ChaCha8Rng) -> Self {
        let kind = match random.random_range(0..100) {
            0..40 => RequestKind::Label,
            40..55 => RequestKind::Lookup,
            55..80 => RequestKind::Chat,
            _ => RequestKind::OrderChat,
        };
        let order = format!("order {number}");
        let body = match kind {
            RequestKind::Label | RequestKind::Lookup => Bytes::from(order.clone()),
            RequestKind::Chat => chat_body("assistant", &order),
            RequestKind::OrderChat => chat_body("dispatch", &order),
        };
        Self {
            kind,
            order,
            body,
            tries: Vec::new(),
        }
    }

    pub(crate) fn is_non_idempotent(&self) -> bool {
        matches!(self.kind, RequestKind::Label | RequestKind::OrderChat)
    }

    pub(crate) async fn send(&self, url: &str) -> TryResult {
        let options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            chat: Some(self.order.clone()),
            idempotency_key: self.is_non_idempotent().then(|| self.order.clone()),
            ..RequestOptions::default()
        };
        // A new connection: a reused one may be closed while the request is being sent.
        let client = CallerClient::new();
        let body = self.body.clone();
        let answer = match self.kind {
            RequestKind::Chat | RequestKind::OrderChat => {
                client.chat(url, body, &options, |_| {}).await
            }
            RequestKind::Label | RequestKind::Lookup => {
                let path = match self.kind {
                    RequestKind::Label => "plant/labels/print",
                    _ => "plant/pallets",
                };
                client
                    .service(url, http::Method::POST, path, body, &options)
                    .await
            }
        };
        match answer {
            Ok(answer) => TryResult::Answer(answer),
            Err(ClientError::Unreachable { .. }) => TryResult::Unreachable,
            Err(ClientError::Broken { url, .. }) => TryResult::Broken(url),
        }
    }

    /// Sends the request up to three times, and some requests to two routers at once before that.
    pub(crate) async fn run(&mut self, shared: &Shared, random: &mut ChaCha8Rng) {
        if random.random_bool(0.25) {
            let (first, second) = (shared.random_url(random), shared.random_url(random));
            let (first_result, second_result) = tokio::join!(self.send(&first), self.send(&second));
            self.tries.extend([first_result, second_result]);
        }
        for _ in 0..3 {
            let url = shared.random_url(random);
            let result = self.send(&url).await;
            let complete =
                matches!(&result, TryResult::Answer(answer) if answer.outcome == "complete");
            self.tries.push(result);
            if complete && random.random_bool(0.8) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..200))).await;
        }
    }

    /// Compares the results with how often the request ran; returns violations.
    pub(crate) fn check(&self, runs: &BTreeMap<String, u32>, killed: &[String]) -> Vec<String> {
        let mut violations = Vec::new();
        for result in &self.tries {
            if let TryResult::Broken(url) = result
                && !killed.contains(url)
            {
                violations.push(format!("cut by {url}, which was not killed"));
            }
        }
        let ran = runs.get(&self.run_key()).copied().unwrap_or(0);
        if self.is_non_idempotent() && ran > 1 {
            violations.push(format!("ran {ran} times"));
        }
        let all_refused = self.tries.iter().all(|result| match result {
            TryResult::Unreachable => true,
            TryResult::Broken(_) => false,
            TryResult::Answer(answer) => answer.outcome == "not-run",
        });
        if all_refused && ran > 0 {
            violations.push(format!("reported as not-run but ran {ran} times"));
        }
        for result in &self.tries {
            let TryResult::Answer(answer) = result else {
                continue;
            };
            if answer.outcome == "complete" && ran == 0 {
                violations.push(String::from("reported as complete but never ran"));
            }
            violations.extend(self.check_answer(answer));
        }
        violations
    }

    pub(crate) fn check_answer(&self, answer: &ReceivedAnswer) -> Option<String> {
        let complete = answer.outcome == "complete";
        let is_correct = match self.kind {
            RequestKind::Label | RequestKind::Lookup => {
                let value: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
                let order = value["order"].as_str().unwrap_or_default();
                !complete || order.ends_with(&format!(" {}", self.order))
            }
            RequestKind::Chat | RequestKind::OrderChat if answer.status == 200 => {
                let (_, words) = expected_chat(&self.order);
                let got: Vec<&str> = answer.body.split_whitespace().collect();
                words
                    .iter()
                    .map(String::as_str)
                    .take(got.len())
                    .eq(got.iter().copied())
                    && (!complete || got.len() == words.len())
            }
            _ => true,
        };
        (!is_correct).then(|| format!("a wrong answer: {answer:?}"))
    }

    pub(crate) fn run_key(&self) -> String {
        match self.kind {
            RequestKind::Label => format!("POST /labels/print {}", self.order),
            RequestKind::Lookup => format!("POST /pallets {}", self.order),
            RequestKind::Chat | RequestKind::OrderChat => expected_chat(&self.order).0,
        }
    }
}

pub(crate) async fn run_worker(shared: Arc<Shared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return;
        }
        let mut record = Record::new(number, &mut random);
        record.run(&shared, &mut random).await;
        shared
            .records
            .lock()
            .expect("no thread panicked")
            .push(record);
    }
}
