//! Settings and injected faults of the fake engine.

use std::net::SocketAddr;

use sapphiretrack_core::{FencingCheck, Incarnation};
use serde::{Deserialize, Serialize};

/// Behaviour of the fake without faults.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Incarnation that it reports.
    pub incarnation: Incarnation,
    /// Number of requests that run at the same time, as one batch.
    pub batch_slots: u32,
    /// Length of the queue; requests beyond it are rejected before they are started.
    pub queue_requests: u32,
    /// Time in microseconds to compute one uncached prompt token.
    pub prefill_us_per_token: u64,
    /// Time in milliseconds to generate one token of an answer.
    pub decode_ms: u64,
    /// Number of chats whose prefixes the cache holds.
    pub cached_chats: usize,
    /// Whether it rejects orders with an old fencing number.
    pub fencing_check: FencingCheck,
    /// Time in milliseconds to load weights.
    pub load_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            incarnation: 1,
            batch_slots: 16,
            queue_requests: 64,
            prefill_us_per_token: 50,
            decode_ms: 2,
            cached_chats: 1_000,
            fencing_check: FencingCheck::Checks,
            load_ms: 50,
        }
    }
}

/// Injected faults of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of next streams whose connections are closed before their end.
    pub cut_streams: u32,
    /// Number of tokens that a stream sends before an injected fault.
    pub cut_after_tokens: u32,
    /// Number of next streams that carry the id of another attempt.
    pub crossed: u32,
    /// Version of the software that it states; empty if it states none.
    pub software_version: String,
    /// Number of next requests that are rejected before they are started.
    pub refuse: u32,
    /// Streams, reports and orders wait until this is cleared.
    pub frozen: bool,
    /// The engine reports that it is about to stop.
    pub leaving: bool,
    /// The engine rejects new requests because it is about to stop, but does not report so.
    pub refuse_as_leaving: bool,
    /// Number of next streams that contain one chunk of another attempt.
    pub crossed_pieces: u32,
    /// Number of next streams that pause once and then go on.
    pub stalled_streams: u32,
    /// Length of such a pause in milliseconds.
    pub stall_ms: u64,
}
