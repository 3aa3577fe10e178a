//! Choice of the backend server for a request.

mod backlog;
mod lost_routers;
mod memory;
mod ranking;
mod settings;
mod shares;
mod slot_retry;
mod steward_backoff;
mod subset;
mod wait;
mod warm_list;
mod warmth;

pub use backlog::{SentTokens, backlog_tokens};
pub use lost_routers::LostRouters;
pub use memory::{MEMORY_BYTES_PER_CHAT, PlacementMemory};
pub use ranking::{Candidate, PlacementRequest, rank_servers};
pub use settings::PlacementSettings;
pub use shares::WorkspaceShares;
pub use slot_retry::{FullServer, load_for_repeated_request, raise_live_servers_to_max};
pub use steward_backoff::{StewardBackoff, StewardBackoffSettings};
pub use wait::{WaitSettings, capacity_retry_delay_ms, steward_retry_delay_ms};
pub use warm_list::{WarmChat, WarmList, keep_newest};
pub use warmth::WarmHint;
