//! The faults of the soak.

use serde::{Deserialize, Serialize};

/// A fault. Indices are taken modulo the number of the routers, servers or deployments that
/// exist when the fault is injected.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A router is killed, and started again later.
    KillRouter {
        /// The router.
        router: usize,
        /// Time until it is started again.
        gone_ms: u64,
    },
    /// A router process is paused by a signal.
    PauseRouter {
        /// The router.
        router: usize,
        /// Duration of the fault.
        pause_ms: u64,
    },
    /// A router makes a planned stop and is replaced by a new one.
    StopRouter {
        /// The router.
        router: usize,
        /// Whether an operator's request stops it; otherwise a signal does.
        by_operator: bool,
    },
    /// An engine cuts the streams of some answers.
    CutStreams {
        /// The engine.
        engine: usize,
        /// Number of streams.
        streams: u32,
        /// Number of tokens sent before the cut.
        after_tokens: u32,
    },
    /// An engine answers some requests with the id of another attempt.
    CrossReplies {
        /// The engine.
        engine: usize,
        /// Number of replies.
        replies: u32,
    },
    /// An engine refuses some requests before it runs them.
    RefuseRequests {
        /// The engine.
        engine: usize,
        /// Number of requests.
        requests: u32,
    },
    /// An engine stops responding for a while.
    FreezeEngine {
        /// The engine.
        engine: usize,
        /// Duration of the fault.
        frozen_ms: u64,
    },
    /// An engine announces that it is leaving, and is later restarted as a new incarnation.
    LeaveEngine {
        /// The engine.
        engine: usize,
        /// Time until it is restarted.
        leaving_ms: u64,
    },
    /// An engine is killed and restarted as a new incarnation.
    RestartEngine {
        /// The engine.
        engine: usize,
    },
    /// A plain service runs some requests and loses the replies.
    LoseServiceReplies {
        /// The service.
        service: usize,
        /// Number of replies.
        replies: u32,
    },
    /// A plain service answers some requests with the id of another attempt.
    CrossServiceReplies {
        /// The service.
        service: usize,
        /// Number of replies.
        replies: u32,
    },
    /// A plain service refuses some requests before it runs them.
    RefuseCalls {
        /// The service.
        service: usize,
        /// Number of requests.
        calls: u32,
    },
    /// A plain service stops responding for a while.
    FreezeService {
        /// The service.
        service: usize,
        /// Duration of the fault.
        frozen_ms: u64,
    },
    /// The platform is unavailable.
    PlatformDown {
        /// Duration of the fault.
        down_ms: u64,
    },
    /// The platform answers slowly.
    PlatformSlow {
        /// Duration of the fault.
        slow_ms: u64,
        /// Delay of each call.
        delay_ms: u64,
    },
    /// The platform applies some writes and loses the replies.
    LosePlatformReplies {
        /// Number of replies.
        replies: u32,
    },
    /// The platform loses some writes before it applies them.
    LosePlatformRequests {
        /// Number of requests.
        requests: u32,
    },
    /// Two operators change the same contract concurrently.
    RaceOperators {
        /// The routers to which they send their changes.
        routers: [usize; 2],
        /// The deployment whose contract is changed.
        deployment: usize,
    },
}

impl Fault {
    /// Returns the fault's name, under which it is counted in the report.
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
