//! The faults of the soak.

use serde::{Deserialize, Serialize};

/// A fault; indices count what is there at the time, modulo its number.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A router is killed and starts again.
    KillRouter {
        /// The router.
        router: usize,
        /// How long it is gone.
        gone_ms: u64,
    },
    /// A router is paused.
    PauseRouter {
        /// The router.
        router: usize,
        /// How long.
        pause_ms: u64,
    },
    /// A router is stopped as planned and replaced.
    StopRouter {
        /// The router.
        router: usize,
        /// Whether an operator asks for it, or else a signal.
        by_operator: bool,
    },
    /// An engine cuts streams.
    CutStreams {
        /// The engine.
        engine: usize,
        /// How many.
        streams: u32,
        /// After how many tokens.
        after_tokens: u32,
    },
    /// An engine answers under another attempt's id.
    CrossReplies {
        /// The engine.
        engine: usize,
        /// How many.
        replies: u32,
    },
    /// An engine refuses requests before they start.
    RefuseRequests {
        /// The engine.
        engine: usize,
        /// How many.
        requests: u32,
    },
    /// An engine freezes.
    FreezeEngine {
        /// The engine.
        engine: usize,
        /// How long.
        frozen_ms: u64,
    },
    /// An engine says that it is leaving, and later starts again as another incarnation.
    LeaveEngine {
        /// The engine.
        engine: usize,
        /// How long it is leaving.
        leaving_ms: u64,
    },
    /// An engine is killed and starts again as another incarnation.
    RestartEngine {
        /// The engine.
        engine: usize,
    },
    /// A plain service runs calls and loses the replies.
    LoseServiceReplies {
        /// The service.
        service: usize,
        /// How many.
        replies: u32,
    },
    /// A plain service answers under another attempt's id.
    CrossServiceReplies {
        /// The service.
        service: usize,
        /// How many.
        replies: u32,
    },
    /// A plain service refuses calls before they start.
    RefuseCalls {
        /// The service.
        service: usize,
        /// How many.
        calls: u32,
    },
    /// A plain service freezes.
    FreezeService {
        /// The service.
        service: usize,
        /// How long.
        frozen_ms: u64,
    },
    /// The platform is down.
    PlatformDown {
        /// How long.
        down_ms: u64,
    },
    /// The platform is slow.
    PlatformSlow {
        /// How long.
        slow_ms: u64,
        /// How much longer each call takes.
        delay_ms: u64,
    },
    /// The platform takes writes and loses the replies.
    LosePlatformReplies {
        /// How many.
        replies: u32,
    },
    /// The platform loses writes before they take effect.
    LosePlatformRequests {
        /// How many.
        requests: u32,
    },
    /// Two operators change one contract, each without seeing the other's change.
    RaceOperators {
        /// The routers through which they do.
        routers: [usize; 2],
        /// Which deployment's contract.
        deployment: usize,
    },
}

impl Fault {
    /// The fault's name, for counts.
    pub fn name(self) -> &'static str {
        match self {
            Self::KillRouter { .. } => "kill_router",
            Self::PauseRouter { .. } => "pause_router",
            Self::StopRouter { .. } => "stop_router",
            Self::CutStreams { .. } => "cut_streams",
            Self::CrossReplies { .. } => "cross_replies",
            Self::RefuseRequests { .. } => "refuse_requests",
            Self::FreezeEngine { .. } => "freeze_engine",
            Self::LeaveEngine { .. } => "leave_engine",
            Self::RestartEngine { .. } => "restart_engine",
            Self::LoseServiceReplies { .. } => "lose_service_replies",
            Self::CrossServiceReplies { .. } => "cross_service_replies",
            Self::RefuseCalls { .. } => "refuse_calls",
            Self::FreezeService { .. } => "freeze_service",
            Self::PlatformDown { .. } => "platform_down",
            Self::PlatformSlow { .. } => "platform_slow",
            Self::LosePlatformReplies { .. } => "lose_platform_replies",
            Self::LosePlatformRequests { .. } => "lose_platform_requests",
            Self::RaceOperators { .. } => "race_operators",
        }
    }
}
