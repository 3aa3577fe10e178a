//! Chat answers as one JSON object: assembled from a stream, or replayed as one.

use sapphiretrack_caller::{Answer, BufferedAnswer, StreamEvent};
use sapphiretrack_core::{Chunk, ChunkChoice, Delta, Refusal, RefusalCode, Usage};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// A chat answer as one JSON object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ChatCompletion {
    id: String,
    object: String,
    model: String,
    choices: Vec<CompletionChoice>,
    usage: Usage,
}

/// The only choice of a chat completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct CompletionChoice {
    index: u32,
    message: CompletionMessage,
    finish_reason: Option<String>,
}

/// The message of a chat completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct CompletionMessage {
    role: String,
    content: String,
}

impl ChatCompletion {
    /// Creates a completion without text.
    pub(crate) fn new(id: &str, model: &str) -> Self {
        Self {
            id: id.to_owned(),
            object: String::from("chat.completion"),
            model: model.to_owned(),
            choices: vec![CompletionChoice {
                index: 0,
                message: CompletionMessage {
                    role: String::from("assistant"),
                    content: String::new(),
                },
                finish_reason: None,
            }],
            usage: Usage::default(),
        }
    }

    /// Appends the next chunk of the answer.
    pub(crate) fn append(&mut self, chunk: Chunk) {
        self.usage = chunk.usage.unwrap_or(self.usage);
        let Some(choice_so_far) = self.choices.first_mut() else {
            return;
        };
        for choice in chunk.choices {
            let text = choice.delta.content.unwrap_or_default();
            choice_so_far.message.content.push_str(&text);
            if choice.finish_reason.is_some() {
                choice_so_far.finish_reason = choice.finish_reason;
            }
        }
    }

    /// Serializes the completion as JSON.
    pub(crate) fn to_json(&self) -> String {
        // `serde_json::Value` sorts its keys, so that equal answers have the same text.
        serde_json::to_value(self).unwrap_or_default().to_string()
    }

    fn into_chunk(self) -> Chunk {
        let choice = self.choices.into_iter().next();
        let (content, finish_reason) = match choice {
            Some(choice) => (Some(choice.message.content), choice.finish_reason),
            None => (None, None),
        };
        Chunk {
            id: self.id,
            object: String::from("chat.completion.chunk"),
            model: self.model,
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta { content },
                finish_reason,
            }],
            usage: Some(self.usage),
        }
    }
}

/// Collects a stream into one object for a caller that did not request a stream.
pub(crate) async fn collect_completion(
    mut events: mpsc::Receiver<StreamEvent>,
    warm: String,
    model: &str,
) -> Answer {
    let mut completion = ChatCompletion::new("", model);
    loop {
        match events.recv().await {
            Some(StreamEvent::Chunk(chunk)) => {
                completion.id.clone_from(&chunk.id);
                completion.append(*chunk);
            }
            Some(StreamEvent::End) => break,
            Some(StreamEvent::Error(refusal)) => return Answer::Refused(refusal),
            None => {
                let message = "the answer ended without its end";
                return Answer::Refused(Refusal::unknown(RefusalCode::ServerFailed, message));
            }
        }
    }
    Answer::Buffered(BufferedAnswer {
        status: 200,
        content_type: String::from("application/json"),
        body: completion.to_json().into(),
        warm: Some(warm),
    })
}

/// Returns a recorded chat answer in the form that the caller requested.
pub(crate) fn replay_completion(recorded: BufferedAnswer, wants_stream: bool) -> Answer {
    if !wants_stream {
        return Answer::Buffered(recorded);
    }
    let completion: ChatCompletion = match serde_json::from_slice(&recorded.body) {
        Ok(completion) => completion,
        Err(error) => {
            let message = format!("the request ran; its recorded answer cannot be read: {error}");
            return Answer::Refused(Refusal::unknown(RefusalCode::AlreadyClaimed, message));
        }
    };
    let (events, receiver) = mpsc::channel(2);
    // The channel has capacity for both events.
    drop(events.try_send(StreamEvent::Chunk(Box::new(completion.into_chunk()))));
    drop(events.try_send(StreamEvent::End));
    Answer::Stream {
        warm: String::new(),
        events: receiver,
    }
}
