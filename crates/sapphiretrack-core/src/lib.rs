//! Every decision of the router fleet as pure functions and state machines.
//!
//! Nothing in this crate does I/O, reads a clock or draws global randomness: time and random
//! numbers are passed in. The daemon and the policy measurements run the same code.

mod attempt;
mod bound;
mod budget;
mod change;
mod chat;
mod claim;
mod config;
mod contract;
mod fair_share;
mod held_budget;
mod ids;
mod ledger;
mod limits;
mod membership;
mod outcome;
mod outlier;
mod overload;
mod path;
mod placement;
mod pool_load;
mod rendezvous;
mod retry;
mod stewardship;

pub use attempt::{
    AttemptFailure, AttemptLog, NextStep, Repeatable, first_token_timeout_ms, idle_timeout_ms,
};
pub use bound::{LoadBound, PoolLoad, SHED_BELOW_SHARE, server_limit};
pub use budget::{
    Amounts, BUDGET_LEASE_MS, BudgetAsk, BudgetGrant, BudgetReply, CustomerBudget, HELD_SHARE,
    Needed, UNSURE_SHARE,
};
pub use change::{Change, HistoryEntry, NameError, check_change_id, check_server_name};
pub use chat::{Chunk, ChunkChoice, Delta, STREAM_END, Usage};
pub use claim::{
    CLAIM_RETENTION_MS, Claim, ClaimDecision, ClaimState, RecordedAnswer, RecordedBody,
    claim_expired, decide_claim,
};
pub use config::{FleetConfig, KeyIndex, REPUBLISH_STEP, Refreshed, newer_config};
pub use contract::{
    ClassPolicy, Contract, ContractError, Limits, NonIdempotentRule, contract_differences,
    parse_contract, sha256_hex,
};
pub use fair_share::{Demand, FULL_FOR_MS, PoolShares, fair_shares};
pub use held_budget::{Admission, HeldBudget, NO_STEWARD_RETRY_MS, Shortage};
pub use ids::{AttemptId, ChatKey, ReservationId, RouterId, ServerId, WorkspaceKey, hash_parts};
pub use ledger::{CellView, Grant, HeldSlots, Ledger, ReserveRequest, Settings as LedgerSettings};
pub use limits::RateLimiter;
pub use membership::{
    Incarnation, LoadReport, PoolKind, PoolView, RouterView, ServerView, VmRecord, VmRole, VmState,
    steward_of,
};
pub use outcome::{Outcome, Refusal, RefusalCode};
pub use outlier::{OutlierDetector, OutlierSettings};
pub use overload::{DrainRate, ShedControl};
pub use path::{check_path, prefix_covers};
pub use placement::{
    Candidate, MEMORY_BYTES_PER_CHAT, PlacementMemory, PlacementRequest, PlacementSettings,
    SentTokens, WaitSettings, WarmHint, WorkspaceShares, backlog_tokens, rank_servers,
    wait_for_room,
};
pub use pool_load::{DrainSettings, HeardLoad, pool_load};
pub use rendezvous::rendezvous_score;
pub use retry::{RetryBudget, backoff_ms};
pub use stewardship::{ConsentSettings, StewardNames};
