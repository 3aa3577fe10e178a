//! What the requests of the stand-in engine share: batch, queue, cache, counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::request::ChatRequest;
use super::settings::{EngineFaults, EngineSettings};
use crate::http_server::take;
use crate::orders::OrderBook;

/// The most different requests whose runs are counted.
const MAX_COUNTED_REQUESTS: usize = 100_000;

/// All of the stand-in engine, behind its clones.
pub(super) struct Shared {
    pub(super) settings: EngineSettings,
    pub(super) state: Mutex<State>,
    pub(super) orders: Mutex<OrderBook>,
    pub(super) slot_freed: Notify,
}

/// What changes.
#[derive(Default)]
pub(super) struct State {
    pub(super) faults: EngineFaults,
    pub(super) running: u32,
    pub(super) waiting: BTreeSet<(u8, u64)>,
    pub(super) next_ticket: u64,
    pub(super) queued_prompt_tokens: u64,
    pub(super) cache: BTreeMap<String, u32>,
    pub(super) cache_order: VecDeque<String>,
    pub(super) started_requests: u64,
    /// The hashes of the messages of the requests that were started.
    pub(super) started_chats: BTreeSet<u64>,
    pub(super) runs: BTreeMap<String, u32>,
}

/// What goes wrong with a stream, and after how many of its tokens.
#[derive(Default)]
pub(super) struct StreamFaults {
    pub(super) after_tokens: u32,
    pub(super) cut: bool,
    pub(super) crossed_piece: bool,
    pub(super) stall: Option<Duration>,
}

impl Shared {
    /// Whether a request is started, or waits for its start.
    pub(super) fn take_in(&self, chat: &ChatRequest) -> bool {
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

    pub(super) fn echoed_attempt(&self, attempt: &str) -> String {
        let mut state = self.lock();
        if state.faults.crossed > 0 {
            state.faults.crossed -= 1;
            return String::from("another-attempt");
        }
        attempt.to_owned()
    }

    /// Waits for a place in the batch; the most urgent waiter goes first.
    pub(super) async fn take_slot(self: &Arc<Self>, chat: &ChatRequest) -> RunningSlot {
        let ticket = {
            let mut state = self.lock();
            let ticket = (chat.priority, state.next_ticket);
            state.next_ticket += 1;
            state.waiting.insert(ticket);
            state.queued_prompt_tokens += u64::from(chat.prompt_tokens);
            ticket
        };
        let waiting = WaitingTicket {
            shared: self.clone(),
            ticket,
            prompt_tokens: chat.prompt_tokens,
        };
        loop {
            let freed = self.slot_freed.notified();
            {
                let mut state = self.lock();
                let first = state.waiting.first() == Some(&ticket);
                if first && state.running < self.settings.batch_slots {
                    state.running += 1;
                    break;
                }
            }
            // The timeout covers a wake-up that went to a waiter that left.
            drop(tokio::time::timeout(Duration::from_millis(5), freed).await);
        }
        drop(waiting);
        RunningSlot {
            shared: self.clone(),
        }
    }

    pub(super) fn take_stream_faults(&self) -> StreamFaults {
        let faults = &mut self.lock().faults;
        let stall = take(&mut faults.stalled_streams);
        StreamFaults {
            after_tokens: faults.cut_after_tokens,
            cut: take(&mut faults.cut_streams),
            crossed_piece: take(&mut faults.crossed_pieces),
            stall: stall.then(|| Duration::from_millis(faults.stall_ms)),
        }
    }

    pub(super) async fn wait_unfrozen(&self) {
        const POLL: Duration = Duration::from_millis(5);
        while self.lock().faults.frozen {
            tokio::time::sleep(POLL).await;
        }
    }

    pub(super) fn lock_orders(&self) -> MutexGuard<'_, OrderBook> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    pub(super) fn cached_tokens(&self, chat: &ChatRequest) -> u32 {
        self.cache
            .get(&chat.chat)
            .copied()
            .unwrap_or(0)
            .min(chat.prompt_tokens)
    }

    pub(super) fn remember(&mut self, chat: &ChatRequest, capacity: usize) {
        let tokens = chat.prompt_tokens + chat.answer_tokens;
        self.store(&chat.chat, tokens, capacity);
    }

    pub(super) fn store(&mut self, chat: &str, tokens: u32, capacity: usize) {
        if self.cache.insert(chat.to_owned(), tokens).is_some() {
            self.cache_order.retain(|known| known != chat);
        }
        self.cache_order.push_back(chat.to_owned());
        if self.cache_order.len() > capacity
            && let Some(oldest) = self.cache_order.pop_front()
        {
            self.cache.remove(&oldest);
        }
    }
}

/// A request that waits for a place in the batch.
pub(super) struct WaitingTicket {
    pub(super) shared: Arc<Shared>,
    pub(super) ticket: (u8, u64),
    pub(super) prompt_tokens: u32,
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.waiting.remove(&self.ticket);
        state.queued_prompt_tokens -= u64::from(self.prompt_tokens);
        drop(state);
        self.shared.slot_freed.notify_waiters();
    }
}

/// A place in the batch.
pub(super) struct RunningSlot {
    pub(super) shared: Arc<Shared>,
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
        self.shared.slot_freed.notify_waiters();
    }
}
