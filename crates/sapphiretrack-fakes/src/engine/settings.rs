//! How the stand-in engine behaves, and its switches for faults.

use std::net::SocketAddr;

use sapphiretrack_core::{FencingCheck, Incarnation};
use serde::{Deserialize, Serialize};

/// How the stand-in behaves without faults.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Requests in a batch.
    pub batch_slots: u32,
    /// Requests that may wait; more are refused before they start.
    pub queue_requests: u32,
    /// Time to compute one uncached prompt token.
    pub prefill_us_per_token: u64,
    /// Time between two tokens.
    pub decode_ms: u64,
    /// Chats whose prefix the cache holds.
    pub cached_chats: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing_check: FencingCheck,
    /// How long weights take to load.
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

/// The faults of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// So many of the next streams are cut.
    pub cut_streams: u32,
    /// After how many tokens they are cut.
    pub cut_after_tokens: u32,
    /// So many of the next streams carry another attempt's id.
    pub crossed: u32,
    /// So many of the next requests are refused before they start.
    pub refuse: u32,
    /// Streams and reports wait until this is taken back.
    pub frozen: bool,
    /// The engine says that it is leaving.
    pub leaving: bool,
    /// The engine refuses new requests because it is leaving, without its reports saying so.
    pub refuse_as_leaving: bool,
    /// So many of the next streams carry a piece of another attempt in their middle.
    pub crossed_pieces: u32,
    /// So many of the next streams stand still in their middle, and go on late.
    pub stalled_streams: u32,
    /// How long they stand still.
    pub stall_ms: u64,
}
