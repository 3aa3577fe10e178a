//! Shared state of the fake engine: batch slots, queue, prefix cache and counters.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::request::ChatRequest;
use super::settings::{EngineFaults, EngineSettings};
use crate::http_server::take_one;
use crate::orders::OrderHandler;

/// Limit of distinct requests in the counts of executions; counting stops when it is reached.
const MAX_COUNTED_REQUESTS: usize = 100_000;

/// State that all clones of a fake engine share.
pub(super) struct Shared {
    pub(super) settings: EngineSettings,
    pub(super) state: Mutex<State>,
    pub(super) orders: Mutex<OrderHandler>,
    /// Wakes queued requests when a batch slot or a place in the queue is freed.
    pub(super) slot_freed: Notify,
}

/// Mutable state of the engine, apart from its orders.
#[derive(Default)]
pub(super) struct State {
    pub(super) faults: EngineFaults,
    pub(super) running: u32,
    /// Queued requests as (priority, ticket); the smallest is next.
    pub(super) waiting: BTreeSet<(u8, u64)>,
    pub(super) next_ticket: u64,
    pub(super) queued_prompt_tokens: u64,
    /// Cached prefix length in tokens by chat.
    pub(super) cache: BTreeMap<String, u32>,
    /// Cached chats, the one stored longest ago first.
    pub(super) cache_order: VecDeque<String>,
    pub(super) started_requests: u64,
    /// Hashes of the messages of all accepted requests.
    pub(super) started_chats: BTreeSet<u64>,
    /// Number of executions by request, identified by its messages.
    pub(super) runs: BTreeMap<String, u32>,
}

/// Faults of one stream, which are injected after `after_tokens` of its tokens.
#[derive(Default)]
pub(super) struct StreamFaults {
    pub(super) after_tokens: u32,
    pub(super) cut: bool,
    pub(super) foreign_chunk: bool,
    pub(super) stall: Option<Duration>,
}

impl Shared {
    /// Accepts and counts a request, or rejects it because of a fault or a full queue.
    pub(super) fn admit(&self, chat: &ChatRequest) -> bool {
        let mut state = self.lock();
        if state.faults.refuse_as_leaving {
            return false;
        }
        if state.faults.refuse > 0 {
            state.faults.refuse -= 1;
            return false;
        }
        if state.waiting.len() as u32 >= self.settings.queue_requests {
            return false;
        }
        state.started_requests += 1;
        state.started_chats.insert(chat.messages_hash);
        if state.runs.len() < MAX_COUNTED_REQUESTS {
            *state.runs.entry(chat.messages.clone()).or_default() += 1;
        }
        true
    }

    /// The attempt id that the answer carries: that of the request, unless a fault replaces it.
    pub(super) fn reply_attempt(&self, attempt: &str) -> String {
        let mut state = self.lock();
        if state.faults.crossed > 0 {
            state.faults.crossed -= 1;
            return String::from("another-attempt");
        }
        attempt.to_owned()
    }

    /// Waits for a batch slot. The request with the lowest priority value goes first, and among
    /// equals the one that was queued first.
    pub(super) async fn acquire_slot(self: &Arc<Self>, chat: &ChatRequest) -> BatchSlot {
        let ticket = {
            let mut state = self.lock();
            let ticket = (chat.priority, state.next_ticket);
            state.next_ticket += 1;
            state.waiting.insert(ticket);
            state.queued_prompt_tokens += u64::from(chat.prompt_tokens);
            ticket
        };
        let queued = QueueTicket {
            shared: self.clone(),
            ticket,
            prompt_tokens: chat.prompt_tokens,
        };
        loop {
            let freed = self.slot_freed.notified();
            {
                let mut state = self.lock();
                let is_first = state.waiting.first() == Some(&ticket);
                if is_first && state.running < self.settings.batch_slots {
                    state.running += 1;
                    break;
                }
            }
            // Checks again after a timeout in case a notification is missed, such as one that woke a
            // request that was then cancelled.
            drop(tokio::time::timeout(Duration::from_millis(5), freed).await);
        }
        drop(queued);
        BatchSlot {
            shared: self.clone(),
        }
    }

    pub(super) fn take_stream_faults(&self) -> StreamFaults {
        let faults = &mut self.lock().faults;
        let stall = take_one(&mut faults.stalled_streams);
        StreamFaults {
            after_tokens: faults.cut_after_tokens,
            cut: take_one(&mut faults.cut_streams),
            foreign_chunk: take_one(&mut faults.crossed_pieces),
            stall: stall.then(|| Duration::from_millis(faults.stall_ms)),
        }
    }

    pub(super) async fn wait_while_frozen(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().faults.frozen {
            tokio::time::sleep(POLL).await;
        }
    }

    pub(super) fn lock_orders(&self) -> MutexGuard<'_, OrderHandler> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Number of the request's prompt tokens that the cache holds.
    pub(super) fn cached_tokens(&self, chat: &ChatRequest) -> u32 {
        self.cache
            .get(&chat.chat)
            .copied()
            .unwrap_or(0)
            .min(chat.prompt_tokens)
    }

    /// Caches the request's prompt and answer as the prefix of its chat.
    pub(super) fn cache_chat(&mut self, chat: &ChatRequest, capacity: usize) {
        let tokens = chat.prompt_tokens + chat.answer_tokens;
        self.cache_prefix(&chat.chat, tokens, capacity);
    }

    /// Caches a chat's prefix and evicts the chat stored longest ago beyond `capacity` chats.
    pub(super) fn cache_prefix(&mut self, chat: &str, tokens: u32, capacity: usize) {
        if self.cache.insert(chat.to_owned(), tokens).is_some() {
            self.cache_order.retain(|cached| cached != chat);
        }
        self.cache_order.push_back(chat.to_owned());
        if self.cache_order.len() > capacity
            && let Some(oldest) = self.cache_order.pop_front()
        {
            self.cache.remove(&oldest);
        }
    }
}

/// Queued request; removed from the queue when dropped.
pub(super) struct QueueTicket {
    pub(super) shared: Arc<Shared>,
    pub(super) ticket: (u8, u64),
    pub(super) prompt_tokens: u32,
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.waiting.remove(&self.ticket);
        state.queued_prompt_tokens -= u64::from(self.prompt_tokens);
        drop(state);
        self.shared.slot_freed.notify_waiters();
    }
}

/// Occupied batch slot; freed when dropped.
pub(super) struct BatchSlot {
    pub(super) shared: Arc<Shared>,
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
        self.shared.slot_freed.notify_waiters();
    }
}
