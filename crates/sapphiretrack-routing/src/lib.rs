//! Routing decisions on opaque requests as pure code: time and random numbers are passed in.

mod answer_status;
mod answer_times;
mod brittle_servers;
mod broadcast;
mod change_log;
mod client_budget;
mod cold_limit;
mod cold_servers;
mod configuration;
mod configuration_change;
mod connection_table;
mod crash_evidence;
mod crash_suspicion;
mod discovery;
mod eligibility;
mod ended_servers;
mod engine_admission;
mod evacuation;
mod event_stream;
mod expected_returns;
mod fair_queue;
mod fingerprint;
mod freshness;
mod head_check;
mod heartbeat_pace;
mod held_answers;
mod incarnation_proofs;
mod leaving_servers;
mod listing_readers;
mod listing_source;
mod load_digest;
mod log_sampling;
mod peer_loads;
mod peers;
mod placement;
mod plain_share;
mod prefix_index;
mod prefix_recovery;
mod recent_reports;
mod request;
mod retry_share;
mod scheduled_services;
mod send_rate;
mod server_cache;
mod server_health;
mod server_list;
mod server_paths;
mod server_pauses;
mod slot_messages;
mod slot_queue;
mod slot_requests;
mod slot_routers;
mod slot_servers;
mod slot_state;
mod slot_view;
mod slot_window;
mod software_version;
mod sole_versions;
mod stop;
mod stream_origins;
mod version_history;
mod watch_state;
mod workspace_demand;
mod write_queue;

pub use answer_status::{can_pass_on, promises_not_run};
pub use brittle_servers::{BrittleServers, SlotShare};
pub use broadcast::{BroadcastPlan, Recipient};
pub use change_log::{ChangeLog, ChangesAssembly, ChangesFragment};
pub use client_budget::{ClientBudget, MachineLimits, UploadGrant};
pub use cold_limit::{ColdLimit, ColdPace, ColdShare};
pub use cold_servers::{ColdReport, ColdServers};
pub use configuration::{ClientLimits, Configuration, Route, RouteError, Service, Target, Tenant};
pub use configuration_change::{ConfigurationChange, ConfigurationLog};
pub use connection_table::{ConnectionPhase, ConnectionTable};
pub use crash_evidence::{CrashEvidence, CrashLimits, CrashRecord};
pub use crash_suspicion::Suspicion;
pub use discovery::sample_addresses;
pub use eligibility::{EligibilityView, Exclusion};
pub use ended_servers::{EndEvidence, EndReport, EndedServers};
pub use engine_admission::{
    AdmissionRank, AwaitedEvent, EngineAdmission, EngineAdmissionSettings, EngineLoad,
};
pub use evacuation::{EvacuatedZones, EvacuationChanges, EvacuationOrder};
pub use event_stream::{EventSplitter, StreamEvent, StreamFault};
pub use fingerprint::{Fingerprint, Outline, RequestIdentity};
pub use freshness::Freshness;
pub use head_check::{HeadCheck, HeadFault};
pub use heartbeat_pace::HeartbeatPace;
pub use held_answers::{HeldAnswer, HeldAnswers, HeldBytes, HeldPiece};
pub use incarnation_proofs::{IncarnationProofs, StatedIncarnation};
pub use leaving_servers::LeavingServers;
pub use listing_readers::{ListingReader, ListingReaders};
pub use listing_source::{ListingNeed, ListingSource, ListingStep, ListingView};
pub use load_digest::{
    CollectedLoads, LoadCollector, LoadDigest, LoadEntry, LoadReport, LoadReporter, LoadsByServer,
    ZoneLoads, router_tag,
};
pub use log_sampling::LogSampling;
pub use peer_loads::{PeerLoads, ServiceTime};
pub use peers::{
    Heartbeat, Holder, ListedRouter, PeerTable, RankKey, RouterMessage, RouterState,
    SchedulerCandidate, ServerChanges, ServerLoad,
};
pub use placement::{
    Candidate, Distance, PlacementCosts, choose_server, choose_server_among, draining_source,
    fetch_source, home_count, home_server, mean_load, sample_candidates, sample_server,
};
pub use plain_share::{PlainShare, PlainShareSettings};
pub use prefix_index::{PrefixIndex, SentPrefix, SentPrompts, SentTokens, WarmSettings};
pub use prefix_recovery::{PrefixRecovery, PrefixReplyLimiter, PrefixStep};
pub use recent_reports::RecentReports;
pub use request::{PromptPrefix, RequestFacts, RequestKind};
pub use retry_share::{RetrySettings, RetryShare};
pub use scheduled_services::ScheduledServices;
pub use server_health::{ServerHealth, ServerHealthSettings};
pub use server_list::{
    Incarnation, ListedServer, ServerChange, ServerEntry, ServerList, ServerState,
};
pub use server_paths::{PathChange, ServerPathSettings, ServerPaths};
pub use server_pauses::ServerPauses;
pub use slot_messages::{
    EndedRequest, HeldSlot, SlotOutcome, SlotReply, SlotUpdate, WaitingRequest,
};
pub use slot_queue::{SlotQueue, SlotQueueSettings, SlotQueueStats};
pub use slot_requests::{SlotActions, SlotDecision, SlotRequests};
pub use slot_view::SchedulerView;
pub use software_version::SoftwareVersion;
pub use sole_versions::{
    KnownRow, ReadVersions, SoleVersion, SoleVersions, StoredRoutes, StoredVersions,
    VersionClearance,
};
pub use stop::{StopPhase, StopTimes};
pub use stream_origins::{
    Origin, OriginEvidence, OriginRecord, StreamKey, StreamOrigins, Unconfirmed, decide_origin,
};
pub use version_history::{ListedChange, VersionHistory};
pub use watch_state::{ListingAdvert, WatchAnswer, WatchState};
pub use workspace_demand::WorkspaceDemand;
pub use write_queue::WriteQueue;
