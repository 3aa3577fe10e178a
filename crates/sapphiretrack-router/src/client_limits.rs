//! The memory and the connections that clients may make this router hold, by listener.

use std::sync::Arc;

use sapphiretrack_clients::{ClientCounts, ClientEvent, ClientMemory, ConnectionGate, HeldMemory};
use sapphiretrack_routing::{ClientLimits, HeldAnswers, MachineLimits};

use crate::caller_listener::BODY_BUFFER_BYTES;
use crate::events::{Event, note};
use crate::shared::Shared;

/// What a connection takes beside its read buffer: its task and its write buffer.
const CONNECTION_TASK_BYTES: usize = 8 * 1024;
/// What a running request takes beside its body: the read buffer of its connection to a server, and its state.
const REQUEST_BYTES: usize = 48 * 1024;
/// The read buffer of a connection to the other endpoints, and so the longest head there.
pub(crate) const ENDPOINT_BUFFER_BYTES: usize = 16 * 1024;
/// What a connection to the other endpoints takes, with an answer that is not taken.
pub(crate) const ENDPOINT_CONNECTION_BYTES: usize = 64 * 1024;
/// The most connections of other routers.
const MAX_ROUTER_CONNECTIONS: usize = 512;
/// The most connections to one of the other endpoints, and the least.
const MAX_ENDPOINT_CONNECTIONS: usize = 128;
const MIN_ENDPOINT_CONNECTIONS: usize = 16;
/// The connections to the endpoint for requests of other routers whose address is not that of a router.
const MAX_STRANGERS: usize = 8;

/// The listeners that share the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Listener {
    Callers,
    Listings,
    Lookups,
    Metrics,
    Readiness,
    /// Requests that other routers pass on.
    Routers,
    /// The same, from addresses that are not those of routers.
    Strangers,
}

impl Listener {
    const ALL: [Self; 7] = [
        Self::Callers,
        Self::Listings,
        Self::Lookups,
        Self::Metrics,
        Self::Readiness,
        Self::Routers,
        Self::Strangers,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Listings => "listings",
            Self::Lookups => "lookups",
            Self::Metrics => "metrics",
            Self::Readiness => "readiness",
            Self::Routers => "routers",
            Self::Strangers => "strangers",
        }
    }

    /// The most connections, if callers may have `callers`.
    fn max_connections(self, callers: usize) -> usize {
        let endpoint = (callers / 8).clamp(MIN_ENDPOINT_CONNECTIONS, MAX_ENDPOINT_CONNECTIONS);
        match self {
            Self::Callers => callers,
            Self::Routers => (callers / 2).clamp(1, MAX_ROUTER_CONNECTIONS),
            Self::Listings | Self::Lookups | Self::Metrics | Self::Readiness => endpoint,
            Self::Strangers => MAX_STRANGERS,
        }
    }
}

/// What a connection of callers takes if heads of requests have this limit.
pub(crate) fn connection_bytes(limits: &ClientLimits) -> usize {
    limits.header_bytes + BODY_BUFFER_BYTES + CONNECTION_TASK_BYTES
}

/// The connections of all listeners and the memory that clients hold.
pub(crate) struct ClientResources {
    memory: Arc<ClientMemory>,
    gates: [Arc<ConnectionGate>; Listener::ALL.len()],
    counts: Arc<ClientCounts>,
}

/// What clients hold, and what was closed or refused since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientUsage {
    pub(crate) bytes: usize,
    pub(crate) connections: usize,
    pub(crate) closed_connections: u64,
    pub(crate) reclaimed_bodies: u64,
    pub(crate) refused_bodies: u64,
}

/// Applies the limits of the machine and of requests, either of which has changed.
pub(crate) fn apply_client_limits(shared: &Shared) {
    let machine = shared.settings().machine;
    let configuration = shared.configuration.load();
    let limits = configuration.as_ref().map(|one| one.limits.clone());
    let limits = limits.unwrap_or_default();
    let clients = &shared.activity.clients;
    clients.set_limits(machine, &limits);
    let max_bytes = clients.memory.max_upload_bytes();
    if limits.body_bytes > max_bytes {
        note!(
            Event::BODY_LIMIT_TOO_LARGE,
            body_bytes = limits.body_bytes,
            max_bytes = max_bytes,
        );
    }
}

/// Logs what was refused or closed; `count` is the number of its kind.
fn log_event(event: ClientEvent, count: u64) {
    match event {
        ClientEvent::ConnectionClosed { listener, open } => note!(
            Event::CLIENT_CONNECTION_CLOSED,
            listener = listener,
            open = open,
            closed = count,
        ),
        ClientEvent::UploadReclaimed {
            received_bytes,
            used_bytes,
        } => note!(
            Event::BODY_RECLAIMED,
            received_bytes = received_bytes,
            used_bytes = used_bytes,
            reclaimed = count,
        ),
        ClientEvent::UploadRefused {
            received_bytes,
            used_bytes,
        } => note!(
            Event::BODY_REFUSED,
            received_bytes = received_bytes,
            used_bytes = used_bytes,
            refused = count,
        ),
    }
}

impl ClientResources {
    /// The resources of a process on a machine with these limits. `held_answers` counts answers that callers have
    /// not taken.
    pub(crate) fn new(machine: MachineLimits, held_answers: &Arc<HeldAnswers>) -> Self {
        let counts = Arc::<ClientCounts>::default();
        let (held_answers, reported) = (held_answers.clone(), counts.clone());
        let memory = Arc::new(ClientMemory::new(
            machine.client_bytes(),
            move || held_answers.bytes(),
            Box::new(move |event| {
                if let Some(count) = reported.record(event) {
                    log_event(event, count);
                }
            }),
        ));
        let callers = machine.max_connections(connection_bytes(&ClientLimits::default()));
        let gates = Listener::ALL.map(|listener| {
            let max_connections = listener.max_connections(callers);
            ConnectionGate::new(listener.name(), memory.clone(), max_connections)
        });
        Self {
            memory,
            gates,
            counts,
        }
    }

    fn set_limits(&self, machine: MachineLimits, limits: &ClientLimits) {
        self.memory.set_limit(machine.client_bytes());
        let callers = machine.max_connections(connection_bytes(limits));
        for (listener, gate) in Listener::ALL.into_iter().zip(&self.gates) {
            gate.set_max_connections(listener.max_connections(callers));
        }
    }

    /// The connections of a listener.
    pub(crate) fn gate(&self, listener: Listener) -> &Arc<ConnectionGate> {
        &self.gates[listener as usize]
    }

    /// The memory that clients hold.
    pub(crate) fn memory(&self) -> &Arc<ClientMemory> {
        &self.memory
    }

    /// Reserves memory for a request whose body was read; none if there is no room.
    pub(crate) async fn hold_request(&self) -> Option<HeldMemory> {
        self.memory.hold_request(REQUEST_BYTES).await
    }

    /// What clients hold now.
    pub(crate) fn usage(&self) -> ClientUsage {
        ClientUsage {
            bytes: self.memory.used_bytes(),
            connections: self.gates.iter().map(|gate| gate.open_connections()).sum(),
            closed_connections: self.counts.closed_connections(),
            reclaimed_bodies: self.counts.reclaimed_bodies(),
            refused_bodies: self.counts.refused_bodies(),
        }
    }
}
