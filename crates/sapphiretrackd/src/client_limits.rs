//! The memory and the connections that clients may make the daemon hold.

use std::sync::Arc;

use sapphiretrack_clients::{ClientCounts, ClientEvent, ClientMemory, ConnectionGate};
use sapphiretrack_routing::MachineLimits;

use crate::events::Event;
use crate::settings::Settings;

/// The part of the sockets that peers may have: in the largest cells each router connects to a thousand others.
const PEER_SOCKETS_PART: usize = 3;
/// The part of the callers' connections that operators may have, and the most.
const OPERATOR_CONNECTIONS_PART: usize = 8;
const MAX_OPERATOR_CONNECTIONS: usize = 32;

/// The memory that clients hold, and what was refused or closed for its sake.
#[derive(Clone, Debug)]
pub(crate) struct ClientResources {
    pub(crate) memory: Arc<ClientMemory>,
    pub(crate) counts: Arc<ClientCounts>,
    pub(crate) max_connections: usize,
    max_peer_connections: usize,
}

impl ClientResources {
    pub(crate) fn new(settings: &Settings) -> Self {
        let machine = MachineLimits {
            memory_mb: settings.memory_mb,
            max_descriptors: settings.max_descriptors,
        };
        let counts = Arc::<ClientCounts>::default();
        let reported = counts.clone();
        let report = move |event| {
            if let Some(count) = reported.record(event) {
                log_event(event, count);
            }
        };
        let memory = ClientMemory::new(machine.client_bytes(), || 0, Box::new(report));
        Self {
            memory: Arc::new(memory),
            counts,
            max_connections: machine.max_connections(sapphiretrack_caller::CONNECTION_BYTES),
            max_peer_connections: machine.sockets() / PEER_SOCKETS_PART,
        }
    }

    /// The connections of operators.
    pub(crate) fn operator_gate(&self) -> Arc<ConnectionGate> {
        let max_connections = self.max_connections / OPERATOR_CONNECTIONS_PART;
        let max_connections = max_connections.clamp(1, MAX_OPERATOR_CONNECTIONS);
        ConnectionGate::new("operators", self.memory.clone(), max_connections)
    }

    /// The connections of peers.
    pub(crate) fn peer_gate(&self) -> Arc<ConnectionGate> {
        ConnectionGate::new("peers", self.memory.clone(), self.max_peer_connections)
    }
}

fn log_event(event: ClientEvent, count: u64) {
    let count = count.to_string();
    match event {
        ClientEvent::ConnectionClosed { listener, open } => {
            let open = open.to_string();
            let fields = [("listener", listener), ("open", &open), ("closed", &count)];
            Event::CLIENT_CONNECTION_CLOSED.log(&fields);
        }
        ClientEvent::UploadReclaimed {
            received_bytes,
            used_bytes,
        } => Event::BODY_RECLAIMED.log(&[
            ("received_bytes", &received_bytes.to_string()),
            ("used_bytes", &used_bytes.to_string()),
            ("reclaimed", &count),
        ]),
        ClientEvent::UploadRefused {
            received_bytes,
            used_bytes,
        } => Event::BODY_REFUSED.log(&[
            ("received_bytes", &received_bytes.to_string()),
            ("used_bytes", &used_bytes.to_string()),
            ("refused", &count),
        ]),
    }
}
