//! Runs one request of a load, with retries where they are safe.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{ClientError, ReceivedAnswer, RequestOptions};
use sapphiretrack_fakes::messages_hash;
use serde_json::json;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::load::arrivals::{Arrival, Work};
use crate::load::check::{AnswerCheck, Violation, check_service_answer};
use crate::load::entries::AddressCache;
use crate::load::history::{Attempt, AttemptOutcome, RequestRecord};
use crate::load::shared::{Shared, lock};
use crate::load::statistics::ClassStatistics;
use crate::load::texts::{chat_messages, service_body, service_order, service_path};

/// Delay before a retry if the answer names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before a retry, also if the answer asks for more.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A request of a load.
pub(crate) struct Request {
    pub(crate) shared: Arc<Shared>,
    pub(crate) arrival: Arrival,
    /// Time of the scheduled arrival, from which latencies are measured.
    pub(crate) due: Instant,
}

/// The outcome of an attempt and the delay before a retry.
struct AttemptResult {
    outcome: AttemptOutcome,
    retry_delay: Duration,
}

impl Request {
    /// Makes the request's attempts and records them. Each request in flight holds a permit.
    pub(crate) async fn run(self, permits: Arc<Semaphore>) {
        let permit = self.acquire_permit(permits).await;
        let mut record = self.new_record();
        for attempt in 0..self.shared.settings.max_attempts {
            let Some(router) = self.address_cache().router_url().await else {
                tokio::time::sleep(DEFAULT_RETRY_DELAY).await;
                continue;
            };
            let result = self.attempt(&router).await;
            self.count_outcome(&result.outcome);
            if matches!(
                result.outcome,
                AttemptOutcome::Unreachable | AttemptOutcome::Cut | AttemptOutcome::NoEnd
            ) {
                self.address_cache().mark_failed(&router);
            }
            let outcome = result.outcome;
            let retries = self.is_retried_after(&outcome);
            record.attempts.push(Attempt { router, outcome });
            if !retries || attempt + 1 == self.shared.settings.max_attempts {
                break;
            }
            tokio::time::sleep(result.retry_delay.min(MAX_RETRY_DELAY)).await;
        }
        lock(&self.shared.history).push(record);
        drop(permit);
    }

    async fn acquire_permit(&self, permits: Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let available = permits.clone().try_acquire_owned().ok();
        self.with_class(|class| {
            class.counts.sent += 1;
            class.counts.delayed += u64::from(available.is_none());
        });
        match available {
            Some(permit) => Some(permit),
            None => permits.acquire_owned().await.ok(),
        }
    }

    /// Requests that may have run are retried only if they are orders: their idempotency key makes
    /// a retry safe.
    fn is_retried_after(&self, outcome: &AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Complete => false,
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unreachable => true,
            AttemptOutcome::Unknown(_) | AttemptOutcome::Cut | AttemptOutcome::NoEnd => {
                self.arrival.work == Work::Order
            }
        }
    }

    async fn attempt(&self, router: &str) -> AttemptResult {
        let limit = Duration::from_millis(self.shared.settings.answer_limit_ms);
        let result = async {
            match self.arrival.work {
                Work::Chat {
                    chat,
                    turn,
                    sends_warm,
                } => self.try_chat(router, chat, turn, sends_warm).await,
                Work::Lookup | Work::Order => self.try_service(router).await,
            }
        };
        let no_end = |_| AttemptResult::new(AttemptOutcome::NoEnd);
        tokio::time::timeout(limit, result)
            .await
            .unwrap_or_else(no_end)
    }

    async fn try_chat(
        &self,
        router: &str,
        chat: u64,
        turn: u32,
        sends_warm: bool,
    ) -> AttemptResult {
        let settings = &self.shared.settings;
        let messages = chat_messages(settings, &self.arrival, chat, turn);
        let mut check = AnswerCheck::new(&messages, settings.answer_tokens);
        let mut options = self.options();
        options.chat = Some(format!("chat-{}-{chat}", settings.seed));
        options.warm = sends_warm
            .then(|| lock(&self.shared.warm).get(&chat).cloned())
            .flatten();
        let body = json!({
            "model": settings.model,
            "stream": true,
            "max_tokens": settings.answer_tokens,
            "messages": messages,
        });
        let mut times = TokenTimes::default();
        let reply = self
            .shared
            .client
            .chat(router, Bytes::from(body.to_string()), &options, |text| {
                if !text.is_empty() {
                    check.push_text(text);
                    times.record(Instant::now());
                }
            })
            .await;
        let complete = reply
            .as_ref()
            .is_ok_and(|answer| answer.outcome == "complete");
        self.record_violation(check.finish(complete), router);
        if complete && let Ok(answer) = &reply {
            self.record_chat(answer, chat, turn, &times);
        }
        AttemptResult::of(&reply)
    }

    async fn try_service(&self, router: &str) -> AttemptResult {
        let settings = &self.shared.settings;
        let order = self.arrival.work == Work::Order;
        let path = format!(
            "{}/{}",
            settings.service,
            service_path(settings, &self.arrival)
        );
        let mut options = self.options();
        if order {
            options.idempotency_key = Some(format!("{}-{}", settings.seed, self.arrival.number));
        }
        let method = if order {
            http::Method::POST
        } else {
            http::Method::GET
        };
        let reply = self
            .shared
            .client
            .service(
                router,
                method,
                &path,
                Bytes::from(service_body(settings, &self.arrival)),
                &options,
            )
            .await;
        if let Ok(answer) = &reply
            && answer.outcome == "complete"
        {
            let violation =
                check_service_answer(&answer.body, &service_order(settings, &self.arrival), order);
            self.record_violation(violation, router);
            self.with_class(|class| class.record_whole(self.elapsed_us()));
        }
        AttemptResult::of(&reply)
    }

    fn record_chat(&self, answer: &ReceivedAnswer, chat: u64, turn: u32, times: &TokenTimes) {
        if let Some(warm) = &answer.warm {
            lock(&self.shared.warm).insert(chat, warm.clone());
        }
        self.with_class(|class| {
            class.record_whole(self.elapsed_us());
            if let Some(first) = times.first {
                let first_us = (first - self.due).as_micros() as u64;
                class.first_token_us.saturating_record(first_us);
            }
            for gap_us in &times.gaps_us {
                class.between_tokens_us.saturating_record(*gap_us);
            }
        });
        let mut statistics = lock(&self.shared.statistics);
        let prompt = u64::from(answer.prompt_tokens);
        let cached = u64::from(answer.cached_tokens);
        statistics.prompt_tokens += prompt;
        statistics.cached_tokens += cached;
        if turn > 0 {
            statistics.returning_prompt_tokens += prompt;
            statistics.returning_cached_tokens += cached;
        }
    }

    fn count_outcome(&self, outcome: &AttemptOutcome) {
        self.with_class(|class| match outcome {
            AttemptOutcome::Complete => {}
            AttemptOutcome::NotRun(code) => {
                *class.counts.refused.entry(code.clone()).or_default() += 1;
            }
            AttemptOutcome::Unknown(code) => {
                *class.counts.unknown.entry(code.clone()).or_default() += 1;
            }
            AttemptOutcome::Unreachable => class.counts.unreachable += 1,
            AttemptOutcome::Cut => class.counts.cut += 1,
            AttemptOutcome::NoEnd => class.counts.no_end += 1,
        });
    }

    fn new_record(&self) -> RequestRecord {
        let settings = &self.shared.settings;
        let identity = match self.arrival.work {
            Work::Chat { chat, turn, .. } => {
                let messages = chat_messages(settings, &self.arrival, chat, turn);
                format!("{:016x}", messages_hash(&messages))
            }
            Work::Lookup | Work::Order => service_order(settings, &self.arrival),
        };
        RequestRecord {
            identity,
            service: !matches!(self.arrival.work, Work::Chat { .. }),
            non_idempotent: self.arrival.work == Work::Order,
            attempts: Vec::new(),
        }
    }

    fn options(&self) -> RequestOptions {
        let settings = &self.shared.settings;
        RequestOptions {
            key: settings.key.clone(),
            workspace: Some(format!("workspace-{}", self.arrival.workspace)),
            class: Some(settings.classes[self.arrival.class].name.clone()),
            ..RequestOptions::default()
        }
    }

    fn address_cache(&self) -> &AddressCache {
        &self.shared.address_caches[self.arrival.number as usize % self.shared.address_caches.len()]
    }

    fn elapsed_us(&self) -> u64 {
        self.due.elapsed().as_micros() as u64
    }

    fn record_violation(&self, found: Option<Violation>, router: &str) {
        let Some(mut violation) = found else { return };
        let (number, seed) = (self.arrival.number, self.shared.settings.seed);
        violation.detail = format!(
            "request {number} of seed {seed} through {router}: {}",
            violation.detail
        );
        lock(&self.shared.statistics).record_violation(violation);
    }

    fn with_class<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut ClassStatistics),
    {
        change(&mut lock(&self.shared.statistics).classes[self.arrival.class]);
    }
}

impl AttemptResult {
    fn new(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            retry_delay: DEFAULT_RETRY_DELAY,
        }
    }

    fn of(reply: &Result<ReceivedAnswer, ClientError>) -> Self {
        let answer = match reply {
            Ok(answer) => answer,
            Err(ClientError::Unreachable { .. }) => return Self::new(AttemptOutcome::Unreachable),
            Err(ClientError::Broken { .. }) => return Self::new(AttemptOutcome::Cut),
        };
        let error = answer.error.as_ref().map(|body| &body.error);
        let code = error.map_or_else(|| answer.status.to_string(), |error| error.code.clone());
        let outcome = match answer.outcome.as_str() {
            "complete" => AttemptOutcome::Complete,
            "not-run" => AttemptOutcome::NotRun(code),
            _ => AttemptOutcome::Unknown(code),
        };
        let requested_ms = error
            .and_then(|error| error.retry_after_ms)
            .or_else(|| answer.retry_after_s.map(|seconds| seconds * 1_000));
        Self {
            retry_delay: requested_ms.map_or(DEFAULT_RETRY_DELAY, Duration::from_millis),
            outcome,
        }
    }
}

/// Arrival times of the pieces of an answer.
#[derive(Default)]
struct TokenTimes {
    first: Option<Instant>,
    last: Option<Instant>,
    gaps_us: Vec<u64>,
}

impl TokenTimes {
    fn record(&mut self, now: Instant) {
        if let Some(last) = self.last {
            self.gaps_us.push((now - last).as_micros() as u64);
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}
