//! Requests of callers, and what each was told.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphiretrack_caller::{CallerClient, ClientError, ReadAnswer, RequestOptions};
use sapphiretrack_fakes::expected_answer;
use sapphiretrack_tests::CALLER_KEY;

use crate::{ANSWER_TOKENS, REQUESTS};

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Label,
    Lookup,
    Chat,
    OrderChat,
}

/// What a caller was told about one try.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    Answer(ReadAnswer),
    NotReached,
    /// The router at this URL cut the connection.
    Broken(String),
}

/// One request with all its tries.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) kind: Kind,
    pub(crate) order: String,
    pub(crate) body: Bytes,
    pub(crate) tries: Vec<Told>,
}

/// What callers and the faults share.
pub(crate) struct Shared {
    pub(crate) urls: Mutex<Vec<String>>,
    pub(crate) killed: Mutex<Vec<String>>,
    pub(crate) next: AtomicUsize,
    pub(crate) done: AtomicBool,
    pub(crate) records: Mutex<Vec<Record>>,
}

impl Shared {
    pub(crate) fn pick(&self, random: &mut ChaCha8Rng) -> String {
        let urls = self.urls.lock().expect("no panic");
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

/// The messages as the engine counts them, and the words of the whole answer.
pub(crate) fn expected_chat(order: &str) -> (String, Vec<String>) {
    let messages = serde_json::json!([{ "role": "user", "content": order }]);
    let answer = expected_answer(&messages, ANSWER_TOKENS);
    let words = answer.split_whitespace().map(str::to_owned);
    (messages.to_string(), words.collect())
}

impl Record {
    pub(crate) fn new(number: usize, random: &mut ChaCha8Rng) -> Self {
        let kind = match random.random_range(0..100) {
            0..40 => Kind::Label,
            40..55 => Kind::Lookup,
            55..80 => Kind::Chat,
            _ => Kind::OrderChat,
        };
        let order = format!("order {number}");
        let body = match kind {
            Kind::Label | Kind::Lookup => Bytes::from(order.clone()),
            Kind::Chat => chat_body("assistant", &order),
            Kind::OrderChat => chat_body("dispatch", &order),
        };
        Self {
            kind,
            order,
            body,
            tries: Vec::new(),
        }
    }

    pub(crate) fn once(&self) -> bool {
        matches!(self.kind, Kind::Label | Kind::OrderChat)
    }

    pub(crate) async fn send(&self, url: &str) -> Told {
        let options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            chat: Some(self.order.clone()),
            idempotency_key: self.once().then(|| self.order.clone()),
            ..RequestOptions::default()
        };
        // A connection of its own: a kept one may be closed while the next request is on its way.
        let client = CallerClient::new();
        let body = self.body.clone();
        let answer = match self.kind {
            Kind::Chat | Kind::OrderChat => client.chat(url, body, &options, |_| {}).await,
            Kind::Label | Kind::Lookup => {
                let path = match self.kind {
                    Kind::Label => "plant/labels/print",
                    _ => "plant/pallets",
                };
                client
                    .service(url, http::Method::POST, path, body, &options)
                    .await
            }
        };
        match answer {
            Ok(answer) => Told::Answer(answer),
            Err(ClientError::Unreachable { .. }) => Told::NotReached,
            Err(ClientError::Broken { url, .. }) => Told::Broken(url),
        }
    }

    /// Sends up to three times; some keys at two routers at once.
    pub(crate) async fn run(&mut self, shared: &Shared, random: &mut ChaCha8Rng) {
        if random.random_bool(0.25) {
            let (first, second) = (shared.pick(random), shared.pick(random));
            let (one, other) = tokio::join!(self.send(&first), self.send(&second));
            self.tries.extend([one, other]);
        }
        for _ in 0..3 {
            let url = shared.pick(random);
            let told = self.send(&url).await;
            let complete = matches!(&told, Told::Answer(answer) if answer.outcome == "complete");
            self.tries.push(told);
            if complete && random.random_bool(0.8) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..200))).await;
        }
    }

    /// Checks what was told against how often it ran; returns flaws.
    pub(crate) fn check(&self, runs: &BTreeMap<String, u32>, killed: &[String]) -> Vec<String> {
        let mut flaws = Vec::new();
        for told in &self.tries {
            if let Told::Broken(url) = told
                && !killed.contains(url)
            {
                flaws.push(format!("cut by {url}, which was not killed"));
            }
        }
        let ran = runs.get(&self.run_key()).copied().unwrap_or(0);
        if self.once() && ran > 1 {
            flaws.push(format!("ran {ran} times"));
        }
        let all_not_run = self.tries.iter().all(|told| match told {
            Told::NotReached => true,
            Told::Broken(_) => false,
            Told::Answer(answer) => answer.outcome == "not-run",
        });
        if all_not_run && ran > 0 {
            flaws.push(format!("told not-run and ran {ran} times"));
        }
        for told in &self.tries {
            let Told::Answer(answer) = told else { continue };
            if answer.outcome == "complete" && ran == 0 {
                flaws.push(String::from("told complete and never ran"));
            }
            flaws.extend(self.check_answer(answer));
        }
        flaws
    }

    pub(crate) fn check_answer(&self, answer: &ReadAnswer) -> Option<String> {
        let complete = answer.outcome == "complete";
        let right = match self.kind {
            Kind::Label | Kind::Lookup => {
                let value: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
                let order = value["order"].as_str().unwrap_or_default();
                !complete || order.ends_with(&format!(" {}", self.order))
            }
            Kind::Chat | Kind::OrderChat if answer.status == 200 => {
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
        (!right).then(|| format!("a wrong answer: {answer:?}"))
    }

    pub(crate) fn run_key(&self) -> String {
        match self.kind {
            Kind::Label => format!("POST /labels/print {}", self.order),
            Kind::Lookup => format!("POST /pallets {}", self.order),
            Kind::Chat | Kind::OrderChat => expected_chat(&self.order).0,
        }
    }
}

pub(crate) async fn work(shared: Arc<Shared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if number >= REQUESTS {
            return;
        }
        let mut record = Record::new(number, &mut random);
        record.run(&shared, &mut random).await;
        shared.records.lock().expect("no panic").push(record);
    }
}
