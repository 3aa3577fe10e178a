//! The compared placement policies, and the server order of the baseline policies.

use std::str::FromStr;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{ServerId, rendezvous_score};

/// How a router chooses a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// A random server that the router considers live.
    Random,
    /// All servers in turn.
    RoundRobin,
    /// The server with the fewest requests in its last, delayed load report.
    LeastLoaded,
    /// The server with the highest rendezvous score for the chat.
    Rendezvous,
    /// The server with the highest rendezvous score for the chat that is below a load bound which
    /// each router computes from its own requests only.
    BoundedRendezvous,
    /// The placement of sapphiretrack, with the load bound applied to the last counts received from
    /// peers instead of stewards.
    ExchangedVectors,
    /// The placement of sapphiretrack as the daemon runs it, with stewards.
    Sapphiretrack,
    /// The placement of sapphiretrack with exact, current knowledge of all servers.
    Oracle,
}

impl Policy {
    /// Returns whether routers exchange their loads by heartbeats.
    pub(crate) fn exchanges_heartbeats(self) -> bool {
        matches!(self, Self::ExchangedVectors | Self::Sapphiretrack)
    }

    /// All policies, in the order in which they run.
    pub const ALL: [Self; 8] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Rendezvous,
        Self::BoundedRendezvous,
        Self::ExchangedVectors,
        Self::Sapphiretrack,
        Self::Oracle,
    ];

    /// Returns the name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::Rendezvous => "rendezvous",
            Self::BoundedRendezvous => "bounded_rendezvous",
            Self::ExchangedVectors => "exchanged_vectors",
            Self::Sapphiretrack => "sapphiretrack",
            Self::Oracle => "oracle",
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|known| known.name() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            format!("unknown policy {text:?}; hint: one of {names}")
        })
    }
}

/// A server as a baseline policy sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaselineServer {
    pub(crate) index: usize,
    pub(crate) id: ServerId,
    /// Running and queued requests in its last load report.
    pub(crate) reported_requests: u32,
    /// The router's own requests in flight on the server.
    pub(crate) own_in_flight: u32,
}

/// Returns the server indices in the order in which a baseline policy tries them.
pub(crate) fn baseline_order(
    policy: Policy,
    servers: &[BaselineServer],
    chat: u64,
    request_number: &mut usize,
    load_multiple: f64,
    random: &mut ChaCha8Rng,
) -> Vec<usize> {
    let mut keyed: Vec<(f64, usize)> = Vec::with_capacity(servers.len());
    let own: u32 = servers.iter().map(|server| server.own_in_flight).sum();
    let mean = f64::from(own + 1) / servers.len().max(1) as f64;
    let own_limit = (load_multiple * mean).ceil();
    *request_number += 1;
    for (position, server) in servers.iter().enumerate() {
        let score = rendezvous_score(chat, server.id.0, 1.0);
        let key = match policy {
            Policy::RoundRobin => {
                ((position + servers.len() - *request_number % servers.len()) % servers.len())
                    as f64
            }
            Policy::LeastLoaded => f64::from(server.reported_requests) + random.random::<f64>(),
            Policy::Rendezvous => -score,
            Policy::BoundedRendezvous if f64::from(server.own_in_flight) < own_limit => -score,
            Policy::BoundedRendezvous => f64::from(server.own_in_flight),
            _ => random.random(),
        };
        keyed.push((key, server.index));
    }
    keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
    keyed.into_iter().map(|(_, index)| index).collect()
}
