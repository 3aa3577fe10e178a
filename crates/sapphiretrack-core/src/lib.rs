//! Every decision of the router fleet as pure functions and state machines.
//!
//! Nothing in this crate does I/O, reads a clock or draws global randomness: time and random
//! numbers are passed in. The daemon and the policy measurements run the same code.

mod attempt;
mod bound;
mod budget;
mod cell;
mod change;
mod chat;
mod claim;
mod config;
mod contract;
mod emergency;
mod ended_incarnations;
mod entry;
mod fair_share;
mod flap;
mod held_budget;
mod ids;
mod isolation;
mod lease;
mod ledger;
mod membership;
mod orders;
mod outcome;
mod outlier;
mod overload;
mod path;
mod pause;
mod peer_heartbeat;
mod peer_roster;
mod placement;
mod pool_load;
mod rate_limiter;
mod rendezvous;
mod resignation;
mod retry;
mod server_roster;
mod shared_tables;
mod stewardship;
mod stop;

pub use attempt::{
    AttemptFailure, AttemptLog, NextStep, Repeatable, first_token_timeout_ms, idle_timeout_ms,
};
pub use bound::{LoadBound, PoolLoad, RequesterLoad, SHED_BELOW_SHARE, server_limit};
pub use budget::{
    Amounts, BUDGET_LEASE_MS, BudgetGrant, BudgetReply, BudgetRequest, CustomerBudget, HELD_SHARE,
    NEW_STEWARD_SHARE, NeedDecision,
};
pub use cell::{Cell, CellId, cell_of_chat, cells_of_workspace, routers_of_workspace};
pub use change::{Change, HistoryEntry, NameError, check_change_id, check_server_name};
pub use chat::{Chunk, ChunkChoice, Delta, STREAM_END, Usage};
pub use claim::{
    CLAIM_RETENTION_MS, Claim, ClaimDecision, ClaimState, RecordedAnswer, RecordedBody,
    claim_expired, decide_claim,
};
pub use config::{ConfigOffer, FleetConfig, KeyIndex, REPUBLISH_STEP, adopt_if_newer};
pub use contract::{
    ClassPolicy, Contract, ContractError, Limits, NonIdempotentRule, contract_differences,
    parse_contract, sha256_hex,
};
pub use emergency::{EMERGENCY_MS, EMERGENCY_SHARE, EmergencyPart};
pub use ended_incarnations::EndedIncarnations;
pub use entry::{EntryCandidate, entry_addresses};
pub use fair_share::{Demand, FULL_FOR_MS, PoolShares, fair_shares};
pub use flap::{Damping, FlapHistory};
pub use held_budget::{Admission, HeldBudget, NO_STEWARD_RETRY_MS, Shortage};
pub use ids::{AttemptId, ChatKey, ReservationId, RouterId, ServerId, WorkspaceKey, hash_parts};
pub use isolation::Contacts;
pub use lease::{Fencing, HeldLease, LeaseKeeper, LeaseRow, LeaseStep, LeaseTerms};
pub use ledger::{CellView, Grant, HeldSlots, Ledger, ReserveRequest, Settings as LedgerSettings};
pub use membership::{
    Incarnation, LoadReport, PoolKind, PoolView, RouterView, ServerView, UNKNOWN_INCARNATION,
    VmRecord, VmRole, VmState, steward_of,
};
pub use orders::{
    EngineGoal, EngineOrder, EngineRole, EngineState, FencingCheck, MAX_ORDER_DELAY_MS,
    WeightBudget, first_order_ms, next_order,
};
pub use outcome::{Outcome, Refusal, RefusalCode};
pub use outlier::{OutlierDetector, OutlierSettings};
pub use overload::{DrainRate, ShedControl};
pub use path::{check_path, prefix_covers};
pub use pause::{MAX_ITERATION_GAP_MS, PauseDetector};
pub use peer_heartbeat::{HeartbeatResult, PeerHeartbeat, RouterProfile};
pub use peer_roster::{ListedRouter, PeerRoster, PeerRosterSettings, RosterPeer};
pub use placement::{
    Candidate, FullServer, LostRouters, MEMORY_BYTES_PER_CHAT, PlacementMemory, PlacementRequest,
    PlacementSettings, SentTokens, StewardBackoff, StewardBackoffSettings, WaitSettings, WarmChat,
    WarmHint, WarmList, WorkspaceShares, backlog_tokens, capacity_retry_delay_ms, keep_newest,
    load_for_repeated_request, raise_live_servers_to_max, rank_servers, steward_retry_delay_ms,
};
pub use pool_load::{DrainSettings, JOIN_SETTLE_MS, RouterLoad, pool_load};
pub use rate_limiter::RateLimiter;
pub use rendezvous::{rendezvous_score, top_by_rendezvous};
pub use resignation::Resignation;
pub use retry::{RetryBudget, backoff_ms};
pub use server_roster::{
    RosterChange, RosterServer, ServerRoster, ServerRosterSettings, ServerSighting,
};
pub use stewardship::{ConsentSettings, StewardConsents};
pub use stop::StopTiming;
