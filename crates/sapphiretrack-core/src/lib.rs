//! Every decision of the router fleet as pure functions and state machines.
//!
//! Nothing in this crate does I/O, reads a clock or draws global randomness: time and random
//! numbers are passed in. The daemon and the policy measurements run the same code.

mod bound;
mod chat;
mod claim;
mod config;
mod contract;
mod ids;
mod ledger;
mod limits;
mod membership;
mod outcome;
mod placement;
mod pool_load;
mod rendezvous;
mod retry;
mod stewardship;

pub use bound::{LoadBound, PoolLoad, server_limit};
pub use chat::{Chunk, ChunkChoice, Delta, STREAM_END, Usage};
pub use claim::{CLAIM_RETENTION_MS, Claim, ClaimDecision, ClaimState, decide_claim};
pub use config::{FleetConfig, Refreshed, newer_config};
pub use contract::{
    ClassPolicy, Contract, ContractError, Limits, NonIdempotentRule, parse_contract, sha256_hex,
};
pub use ids::{AttemptId, ChatKey, ReservationId, RouterId, ServerId, WorkspaceKey, hash_parts};
pub use ledger::{CellView, Grant, HeldSlots, Ledger, ReserveRequest, Settings as LedgerSettings};
pub use limits::{InFlightGate, RateLimiter};
pub use membership::{
    Incarnation, LoadReport, PoolKind, PoolView, RouterView, ServerView, VmRecord, VmRole, VmState,
    steward_of,
};
pub use outcome::{Outcome, Refusal, RefusalCode};
pub use placement::{
    Candidate, MEMORY_BYTES_PER_CHAT, PlacementMemory, PlacementRequest, PlacementSettings,
    SentTokens, WaitSettings, WarmHint, WorkspaceShares, backlog_tokens, rank_servers,
    wait_for_room,
};
pub use pool_load::{DrainSettings, HeardLoad, pool_load};
pub use rendezvous::rendezvous_score;
pub use retry::RetryBudget;
pub use stewardship::{ConsentSettings, StewardNames};
