//! Chat answers that are put together whole, and whole ones that are given as a stream.

use sapphiretrack_caller::{Answer, StreamEvent, WholeAnswer};
use sapphiretrack_core::{Chunk, ChunkChoice, Delta, Refusal, RefusalCode, Usage};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// A chat answer as one JSON object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WholeChat {
    id: String,
    object: String,
    model: String,
    choices: Vec<WholeChoice>,
    usage: Usage,
}

/// The one choice of a whole chat answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct WholeChoice {
    index: u32,
    message: WholeMessage,
    finish_reason: Option<String>,
}

/// The message of a whole chat answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct WholeMessage {
    role: String,
    content: String,
}

impl WholeChat {
    /// An answer without text yet.
    pub(crate) fn new(id: &str, model: &str) -> Self {
        Self {
            id: id.to_owned(),
            object: String::from("chat.completion"),
            model: model.to_owned(),
            choices: vec![WholeChoice {
                index: 0,
                message: WholeMessage {
                    role: String::from("assistant"),
                    content: String::new(),
                },
                finish_reason: None,
            }],
            usage: Usage::default(),
        }
    }

    /// Takes in the next part of the answer.
    pub(crate) fn add(&mut self, chunk: Chunk) {
        self.usage = chunk.usage.unwrap_or(self.usage);
        let Some(whole) = self.choices.first_mut() else {
            return;
        };
        for choice in chunk.choices {
            let text = choice.delta.content.unwrap_or_default();
            whole.message.content.push_str(&text);
            if choice.finish_reason.is_some() {
                whole.finish_reason = choice.finish_reason;
            }
        }
    }

    /// The answer's JSON.
    pub(crate) fn to_json(&self) -> String {
        // By way of a value, whose keys are sorted: the same text for the same answer.
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

/// Puts a stream together for a caller that wants the answer whole.
pub(crate) async fn collect_whole(
    mut events: mpsc::Receiver<StreamEvent>,
    warm: String,
    model: &str,
) -> Answer {
    let mut whole = WholeChat::new("", model);
    loop {
        match events.recv().await {
            Some(StreamEvent::Chunk(chunk)) => {
                whole.id.clone_from(&chunk.id);
                whole.add(*chunk);
            }
            Some(StreamEvent::End) => break,
            Some(StreamEvent::Error(refusal)) => return Answer::Refused(refusal),
            None => {
                let message = "the answer ended without its end";
                return Answer::Refused(Refusal::unknown(RefusalCode::ServerFailed, message));
            }
        }
    }
    Answer::Whole(WholeAnswer {
        status: 200,
        content_type: String::from("application/json"),
        body: whole.to_json().into(),
        warm: Some(warm),
    })
}

/// Gives a recorded chat answer in the form that the caller asked for.
pub(crate) fn replay_chat(recorded: WholeAnswer, wants_stream: bool) -> Answer {
    if !wants_stream {
        return Answer::Whole(recorded);
    }
    let whole: WholeChat = match serde_json::from_slice(&recorded.body) {
        Ok(whole) => whole,
        Err(error) => {
            let message = format!("the request ran; its recorded answer cannot be read: {error}");
            return Answer::Refused(Refusal::unknown(RefusalCode::AlreadyClaimed, message));
        }
    };
    let (events, receiver) = mpsc::channel(2);
    // Both fit into the channel.
    drop(events.try_send(StreamEvent::Chunk(Box::new(whole.into_chunk()))));
    drop(events.try_send(StreamEvent::End));
    Answer::Stream {
        warm: String::new(),
        events: receiver,
    }
}
