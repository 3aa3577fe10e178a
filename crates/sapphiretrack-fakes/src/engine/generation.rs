//! How the stand-in engine generates an answer, and what goes wrong with it.

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

/// Where the frames of an answer go.
pub(super) type Frames = mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>;

impl Shared {
    /// Generates an answer, in the batch.
    pub(super) async fn generate(
        self: &Arc<Self>,
        chat: &ChatRequest,
        attempt: &str,
        frames: Frames,
    ) {
        let _slot = self.take_slot(chat).await;
        self.import(chat).await;
        let cached_tokens = self.lock().cached_tokens(chat);
        let uncached = u64::from(chat.prompt_tokens - cached_tokens);
        let prefill_us = uncached * self.settings.prefill_us_per_token;
        tokio::time::sleep(Duration::from_micros(prefill_us)).await;
        let faults = self.take_stream_faults();
        for index in chat.resume_tokens..chat.answer_tokens {
            self.wait_unfrozen().await;
            if index - chat.resume_tokens == faults.after_tokens
                && !go_wrong(&faults, chat, &frames).await
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(self.settings.decode_ms)).await;
            let text = token_text(chat.answer_tag, index);
            let chunk = chunk(attempt, chat, Some(text), None);
            if !send_event(&frames, &chunk).await {
                return;
            }
        }
        self.lock().remember(chat, self.settings.cached_chats);
        let usage = Usage {
            prompt_tokens: chat.prompt_tokens,
            cached_tokens,
            completion_tokens: chat.answer_tokens,
        };
        if send_event(&frames, &chunk(attempt, chat, None, Some(usage))).await {
            let end = Bytes::from(format!("data: {STREAM_END}\n\n"));
            drop(frames.send(Ok(Frame::data(end))).await);
        }
    }

    /// Imports the chat's prefix, if the request names where it is and it is longer there.
    async fn import(&self, chat: &ChatRequest) {
        let Some(source) = chat.import_from else {
            return;
        };
        let Some(prefix) = import_prefix(source, &chat.chat).await else {
            return;
        };
        let capacity = self.settings.cached_chats;
        let mut state = self.lock();
        if state.cache.get(&chat.chat).copied().unwrap_or(0) < prefix.tokens {
            state.store(&chat.chat, prefix.tokens, capacity);
        }
    }
}

/// Does what goes wrong in the middle of a stream; false if the stream is over.
async fn go_wrong(faults: &StreamFaults, chat: &ChatRequest, frames: &Frames) -> bool {
    if let Some(stall) = faults.stall {
        tokio::time::sleep(stall).await;
    }
    if faults.crossed_piece {
        let piece = chunk(
            "another-attempt",
            chat,
            Some(String::from("foreign ")),
            None,
        );
        if !send_event(frames, &piece).await {
            return false;
        }
    }
    if faults.cut {
        let error = std::io::Error::other("cut by the stand-in");
        drop(frames.send(Err(error)).await);
    }
    !faults.cut
}

fn chunk(attempt: &str, chat: &ChatRequest, text: Option<String>, usage: Option<Usage>) -> Chunk {
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

async fn send_event(frames: &Frames, chunk: &Chunk) -> bool {
    let Ok(text) = serde_json::to_string(chunk) else {
        return false;
    };
    frames
        .send(Ok(Frame::data(Bytes::from(format!("data: {text}\n\n")))))
        .await
        .is_ok()
}
