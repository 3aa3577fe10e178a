//! Forwards opaque requests to backend servers: the request path that all interfaces share.

mod activity;
mod admission;
mod answer;
mod answer_check;
mod answer_relay;
mod attempt;
mod attempt_request;
mod attempts;
mod caller_listener;
mod client_limits;
mod clock;
mod cold_servers;
mod connect;
mod connection_pool;
mod crash_probes;
mod crashes;
mod discovery;
mod dispatch;
mod draining_servers;
mod eligible_servers;
mod ended_servers;
mod endpoints;
mod evacuation;
mod events;
mod final_answer;
mod held_answers;
mod http_call;
mod incarnation_checks;
mod job;
mod late_answer;
mod listing_updates;
mod load_exchange;
mod lock;
mod logging;
mod metrics;
mod origin_lookup;
mod peer_hop;
mod peer_hops;
mod peer_listings;
mod peer_messages;
mod placement;
mod placement_limits;
mod planned_stop;
mod policy;
mod ports;
mod prefix_recovery;
mod refusal;
mod relay;
mod relayed_requests;
mod resumed_reads;
mod router;
mod server_paths;
mod settings;
mod shared;
mod slot_placement;
mod slot_scheduling;
mod slot_task;
mod snapshots;
mod software_versions;
mod sole_versions_text;
mod stated_availability;
mod stored_versions;
mod stream_origins;
mod stream_versions;
mod traffic;
mod unusable_records;
mod version_proofs;
mod watch;

pub use clock::Clock;
pub use events::{Event, LOG_TARGET};
pub use http_call::{CallError, CallLimits, HttpCaller};
pub use logging::{dropped_log_lines, start_logging};
pub use policy::{POLICY, PolicyError, PolicyKey, policy_help, set_policy};
pub use ports::{
    AnswerFacts, AttemptHeaders, BadRequest, ConnectServer, IncarnationAnswer, Interface,
    ListPrefixes, Listing, Lookup, Ports, PrefixAnswer, ReadIncarnation, ReadSettings, Record,
    SaveCrashes, StatedAvailability, StoreAnswer, StoreError, StorePort, WatchCall, WriteVersions,
    connect_directly,
};
pub use router::{RunError, run};
pub use settings::{AttemptSettings, RouterSettings, Times};
