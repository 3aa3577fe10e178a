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
pub use slot_retry::{FullServer, ask_again, with_most_servers};
pub use steward_backoff::{AskMemory, AskSettings};
pub use wait::{WaitSettings, wait_for_room, wait_for_steward};
pub use warm_list::{WarmChat, WarmList, keep_newest};
pub use warmth::WarmHint;
