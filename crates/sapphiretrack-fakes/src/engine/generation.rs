//! Generation of answers by the fake engine, and the faults of streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use sapphiretrack_core::{Chunk, ChunkChoice, Delta, STREAM_END, Usage};
use tokio::sync::mpsc;

use super::request::ChatRequest;
use super::state::{Shared, StreamFaults};
use crate::answer::token_text;
use crate::kv::import_prefix;

/// Sender of the body frames of an answer.
pub(super) type FrameSender = mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>;

impl Shared {
    /// Generates an answer: waits for a batch slot, computes the prompt and streams the tokens.
    /// Returns early when the receiver is gone or a fault ends the stream.
    pub(super) async fn generate(
        self: &Arc<Self>,
        chat: &ChatRequest,
        attempt: &str,
        frames: FrameSender,
    ) {
        let _slot = self.acquire_slot(chat).await;
        self.import_cached_prefix(chat).await;
        let cached_tokens = self.lock().cached_tokens(chat);
        let uncached_tokens = u64::from(chat.prompt_tokens - cached_tokens);
        let prefill_us = uncached_tokens * self.settings.prefill_us_per_token;
        tokio::time::sleep(Duration::from_micros(prefill_us)).await;
        let faults = self.take_stream_faults();
        for index in chat.resume_tokens..chat.answer_tokens {
            self.wait_while_frozen().await;
            if index - chat.resume_tokens == faults.after_tokens
                && !inject_faults(&faults, chat, &frames).await
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(self.settings.decode_ms)).await;
            let text = token_text(chat.answer_tag, index);
            let chunk = new_chunk(attempt, chat, Some(text), None);
            if !send_event(&frames, &chunk).await {
                return;
            }
        }
        self.lock().cache_chat(chat, self.settings.cached_chats);
        let usage = Usage {
            prompt_tokens: chat.prompt_tokens,
            cached_tokens,
            completion_tokens: chat.answer_tokens,
        };
        if send_event(&frames, &new_chunk(attempt, chat, None, Some(usage))).await {
            let end = Bytes::from(format!("data: {STREAM_END}\n\n"));
            drop(frames.send(Ok(Frame::data(end))).await);
        }
    }

    /// Imports the chat's prefix if the request names an engine whose prefix is longer than the
    /// cached one.
    async fn import_cached_prefix(&self, chat: &ChatRequest) {
        let Some(source) = chat.import_from else {
            return;
        };
        let Some(prefix) = import_prefix(source, &chat.chat).await else {
            return;
        };
        let capacity = self.settings.cached_chats;
        let mut state = self.lock();
        if state.cache.get(&chat.chat).copied().unwrap_or(0) < prefix.tokens {
            state.cache_prefix(&chat.chat, prefix.tokens, capacity);
        }
    }
}

/// Injects the faults of a stream; returns whether the stream goes on.
async fn inject_faults(faults: &StreamFaults, chat: &ChatRequest, frames: &FrameSender) -> bool {
    if let Some(stall) = faults.stall {
        tokio::time::sleep(stall).await;
    }
    if faults.foreign_chunk {
        let foreign = new_chunk(
            "another-attempt",
            chat,
            Some(String::from("foreign ")),
            None,
        );
        if !send_event(frames, &foreign).await {
            return false;
        }
    }
    if faults.cut {
        let error = std::io::Error::other("connection closed by an injected fault");
        drop(frames.send(Err(error)).await);
    }
    !faults.cut
}

fn new_chunk(
    attempt: &str,
    chat: &ChatRequest,
    text: Option<String>,
    usage: Option<Usage>,
) -> Chunk {
    Chunk {
        id: attempt.to_owned(),
        object: String::from("chat.completion.chunk"),
        model: chat.model.clone(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { content: text },
            finish_reason: usage.map(|_| String::from("stop")),
        }],
        usage,
    }
}

/// Sends a chunk as a server-sent event; returns whether the receiver still listens.
async fn send_event(frames: &FrameSender, chunk: &Chunk) -> bool {
    let Ok(data) = serde_json::to_string(chunk) else {
        return false;
    };
    frames
        .send(Ok(Frame::data(Bytes::from(format!("data: {data}\n\n")))))
        .await
        .is_ok()
}
