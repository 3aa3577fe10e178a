//! The settings of a router, independent of the file or flags that they come from.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use sapphiretrack_routing::{
    CrashLimits, Distance, EngineAdmissionSettings, MachineLimits, PlacementCosts,
    PlainShareSettings, RetrySettings, ServerHealthSettings, WarmSettings,
};

/// The settings of a router at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The router's name, unique in the fleet.
    pub name: String,
    /// The router's availability zone.
    pub zone: String,
    /// The region of each availability zone.
    pub regions: BTreeMap<String, String>,
    /// The CPU time available to the process, in thousandths of a core.
    pub cpu_millicores: u32,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address of the readiness check.
    pub ready_address: SocketAddr,
    /// The address on which callers look up router addresses; none if lookups are not served.
    pub lookup_address: Option<SocketAddr>,
    /// The address on which messages of other routers are received. Requests that they pass on are
    /// received on the next port.
    pub peer_address: SocketAddr,
    /// The address on which metrics are served; none if they are not.
    pub metrics_address: Option<SocketAddr>,
    /// How long a key may still be used after its removal was accepted, by the operators' contract.
    pub key_bound_ms: u64,
    /// How long a configuration may still be applied to requests after a newer one was accepted, by
    /// the operators' contract.
    pub configuration_bound_ms: u64,
    /// How long requests may still be sent to a backend server after its draining was accepted, by
    /// the operators' contract.
    pub drain_bound_ms: u64,
    /// How long requests may still be sent to the backend servers of an availability zone after
    /// the order to evacuate it was accepted, by the operators' contract.
    pub evacuation_bound_ms: u64,
    /// The most requests that a cold backend server may get in any second, as a multiple of the
    /// rate that its service states, by the operators' contract.
    pub cold_overrun: f64,
    /// The number of requests on top of that.
    pub cold_slack: f64,
    /// How long callers may cache the result of a lookup, in seconds.
    pub lookup_ttl_s: u64,
    /// The time from the stop signal until the process is killed.
    pub grace_ms: u64,
    /// Whether the whole fleet starts for the first time, so that no server has cached anything.
    pub is_first_start: bool,
    /// The fleet's retry budget.
    pub retry: RetrySettings,
    /// The costs that placement compares.
    pub costs: PlacementCosts,
    /// The assumptions about the caches of servers.
    pub warm: WarmSettings,
    /// Limits on the attempts for one request.
    pub attempts: AttemptSettings,
    /// When the engines of a service hold too many requests.
    pub engine_admission: EngineAdmissionSettings,
    /// How much of the queues of plain servers is kept from workspaces above their share.
    pub plain_share: PlainShareSettings,
    /// When a backend server is considered unhealthy.
    pub health: ServerHealthSettings,
    /// Intervals and time limits of calls, connections and heartbeats.
    pub times: Times,
    /// The memory and the descriptors of the process, from which follows what clients may make it hold.
    pub machine: MachineLimits,
    /// The memory for answers that callers have not taken yet, in MiB; 0 if it is not limited. Beyond
    /// it, answers are read only as fast as their callers take them.
    pub held_answers_mib: usize,
}

/// Limits on the attempts for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSettings {
    /// The most servers that are tried for one request. Beyond that, the caller is better served by
    /// a later retry.
    pub max_offers: u32,
    /// The number of servers that may be unreachable, or have no connection left for this router,
    /// without counting towards `max_offers`: nothing was sent to them.
    pub max_unreachable: u32,
    /// The most other routers that a request is passed to without being served; 0 if requests are not
    /// passed on.
    pub max_declines: usize,
    /// How long a report of another router that a server refuses connections or is silent counts, in
    /// milliseconds: about the time until the entry of a crashed server lapses.
    pub reported_ms: u64,
    /// The number of servers that a request may crash before it is refused.
    pub max_crashes: usize,
    /// The number of servers that requests with a prompt prefix may crash before they are refused.
    pub max_prefix_crashes: usize,
    /// How long a service must have had servers of one software version only before the store keeps that, in
    /// milliseconds; 0 if nothing is kept. A router that is in touch uses no server for as long after it has left
    /// the list.
    pub sole_version_ms: u64,
    /// The time after which an attempt at an unresponsive server is abandoned, as a multiple of the
    /// route's objective. It applies only to requests that may run again.
    pub silent_objectives: f64,
    /// The number of requests that a plain service's server may hold, as a multiple of its slots.
    /// With 3, queued requests are served within two more service times, which meets the usual
    /// objective.
    pub plain_queue_factor: u32,
    /// Slots of a plain service for each router below which a scheduler assigns them; 0 if slots are
    /// never assigned. With fewer slots than routers, no router can use them well on its own.
    pub slot_queue_factor: f64,
    /// The number of requests that an engine may hold, as a multiple of its slots.
    pub engine_queue_factor: f64,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            max_offers: 3,
            max_unreachable: 6,
            max_declines: 2,
            reported_ms: 3_000,
            max_crashes: 3,
            max_prefix_crashes: 5,
            sole_version_ms: 5_000,
            silent_objectives: 2.0,
            plain_queue_factor: 3,
            slot_queue_factor: 1.0,
            engine_queue_factor: 1.0,
        }
    }
}

impl AttemptSettings {
    /// The numbers of servers that may crash before requests are refused.
    pub(crate) fn crash_limits(&self) -> CrashLimits {
        CrashLimits {
            request: self.max_crashes,
            prefix: self.max_prefix_crashes,
        }
    }
}

/// Intervals and time limits of calls, connections and heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// The time limit for connecting to a backend server: less than the 1 s after which TCP
    /// retransmits a lost SYN packet.
    pub connect_ms: u64,
    /// How long a watch waits at the store. Its end proves to all routers that there was no change,
    /// so that it must be well below the time within which a configuration must be in force.
    pub watch_ms: u64,
    /// The age of the last proof at which the watchers are considered lost and other routers call
    /// the store themselves: the duration of a watch, the network delay and a heartbeat interval,
    /// with a margin for one lost heartbeat.
    pub relay_ms: u64,
    /// How much longer than the requested wait the store may take to begin its answer, and to send
    /// each further part of it.
    pub store_slack_ms: u64,
    /// The time limit for an answer of the store that keeps arriving. The size grows with the
    /// number of listed records, and links may be slow.
    pub store_answer_ms: u64,
    /// The time limit for a registration. The store serializes writes, so that the registrations of
    /// a whole fleet that starts at once are queued.
    pub register_ms: u64,
    /// The delay before the next watch after a change, so that many changes in a row cost few
    /// calls. It must be far below the time within which a configuration must be in force.
    pub change_pause_ms: u64,
    /// The base delay after a failed call to the store; it doubles with each further failure, up to
    /// four times its length.
    pub store_retry_ms: u64,
    /// The heartbeat interval in a fleet of usual size. Loads that other routers see are at most
    /// this old.
    pub heartbeat_ms: u64,
    /// The heartbeat interval in the smallest fleet.
    pub min_heartbeat_ms: u64,
    /// How long the entry of a backend server may stay in the store without the server writing it.
    pub entry_lapse_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            connect_ms: 250,
            watch_ms: 1_000,
            relay_ms: 1_600,
            store_slack_ms: 600,
            store_answer_ms: 10_000,
            register_ms: 2_000,
            change_pause_ms: 200,
            store_retry_ms: 100,
            heartbeat_ms: 250,
            min_heartbeat_ms: 100,
            entry_lapse_ms: 4_800,
        }
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "router".to_owned(),
            zone: "zone".to_owned(),
            regions: BTreeMap::new(),
            cpu_millicores: 1_000,
            caller_address: any_port,
            ready_address: any_port,
            lookup_address: None,
            peer_address: any_port,
            metrics_address: None,
            key_bound_ms: 5_000,
            configuration_bound_ms: 2_000,
            drain_bound_ms: 2_000,
            evacuation_bound_ms: 5_000,
            cold_overrun: 1.5,
            cold_slack: 5.0,
            lookup_ttl_s: 5,
            grace_ms: 8_000,
            is_first_start: false,
            retry: RetrySettings::default(),
            costs: PlacementCosts::default(),
            warm: WarmSettings::default(),
            attempts: AttemptSettings::default(),
            engine_admission: EngineAdmissionSettings::default(),
            plain_share: PlainShareSettings::default(),
            health: ServerHealthSettings::default(),
            times: Times::default(),
            machine: MachineLimits::default(),
            held_answers_mib: 32,
        }
    }
}

impl RouterSettings {
    /// The memory for answers that callers have not taken yet, at most a quarter of what clients may hold; 0 if it
    /// is not limited.
    pub(crate) fn held_answer_bytes(&self) -> usize {
        let limit_bytes = self.held_answers_mib.saturating_mul(1024 * 1024);
        limit_bytes.min(self.machine.client_bytes() / 4)
    }

    /// The distance between two availability zones.
    pub(crate) fn distance(&self, one: &str, other: &str) -> Distance {
        let region_of = |zone: &str| self.regions.get(zone).map(String::as_str);
        Distance::between(one, other, region_of)
    }
}
