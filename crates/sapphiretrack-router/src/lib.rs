//! Forwards opaque requests to backend servers: the request path that all interfaces share.

mod admission;
mod answer;
mod attempt;
mod clock;
mod connect;
mod control;
mod crashes;
mod discovery;
mod dispatch;
mod events;
mod front;
mod http_call;
mod job;
mod loads;
mod logging;
mod lookups;
mod metrics;
mod peer_listings;
mod peer_messages;
mod placing;
mod policy;
mod ports;
mod prefixes;
mod refusal;
mod relay;
mod router;
mod server_pool;
mod settings;
mod shared;
mod snapshots;
mod watch;

pub use clock::Clock;
pub use events::{Event, LOG_TARGET};
pub use http_call::{CallError, CallLimits, HttpCaller};
pub use logging::{dropped_log_lines, start_logging};
pub use policy::{POLICY, PolicyError, PolicyKey, policy_help, set_policy};
pub use ports::{
    AnswerFacts, AttemptHeaders, BadRequest, Interface, KeepCrashes, ListPrefixes, Listing, Lookup,
    Ports, ReadSettings, Record, StoreAnswer, StoreError, StorePort, WatchCall,
};
pub use router::{RunError, run};
pub use settings::{AttemptSettings, RouterSettings, Times};
