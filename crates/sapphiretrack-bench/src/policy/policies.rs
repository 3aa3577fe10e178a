//! The policies that are compared, and the ones among them that need no cell state.

use std::str::FromStr;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sapphiretrack_core::{ServerId, rendezvous_score};

/// How a router picks a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Any server that seems live.
    Random,
    /// One after the other.
    RoundRobin,
    /// The fewest requests by lagging load reports.
    LeastLoaded,
    /// The chat's rendezvous server.
    Rendezvous,
    /// The chat's first rendezvous server under a bound that each router keeps alone.
    BoundedRendezvous,
    /// The placement of this project under the bound by what peers last said, without stewards.
    ExchangedVectors,
    /// The placement of this project, as the daemon runs it.
    Sapphiretrack,
    /// The same placement with perfect, instant knowledge of everything.
    Oracle,
}

impl Policy {
    /// Whether routers tell each other their load.
    pub(crate) fn exchanges_heartbeats(self) -> bool {
        matches!(self, Self::ExchangedVectors | Self::Sapphiretrack)
    }

    /// All of them.
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

    /// As the output names it.
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
            format!("no policy {text:?}; hint: one of {names}")
        })
    }
}

/// A server as a simple policy sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimpleView {
    pub(crate) index: usize,
    pub(crate) id: ServerId,
    /// Requests there by its last report.
    pub(crate) reported: u32,
    /// The router's own requests there.
    pub(crate) own: u32,
}

/// The order in which a simple policy tries servers.
pub(crate) fn simple_order(
    policy: Policy,
    servers: &[SimpleView],
    chat: u64,
    turn: &mut usize,
    load_multiple: f64,
    random: &mut ChaCha8Rng,
) -> Vec<usize> {
    let mut keyed: Vec<(f64, usize)> = Vec::with_capacity(servers.len());
    let own: u32 = servers.iter().map(|server| server.own).sum();
    let mean = f64::from(own + 1) / servers.len().max(1) as f64;
    let local_limit = (load_multiple * mean).ceil();
    *turn += 1;
    for (position, server) in servers.iter().enumerate() {
        let score = rendezvous_score(chat, server.id.0, 1.0);
        let key = match policy {
            Policy::RoundRobin => {
                ((position + servers.len() - *turn % servers.len()) % servers.len()) as f64
            }
            Policy::LeastLoaded => f64::from(server.reported) + random.random::<f64>(),
            Policy::Rendezvous => -score,
            Policy::BoundedRendezvous if f64::from(server.own) < local_limit => -score,
            Policy::BoundedRendezvous => f64::from(server.own),
            _ => random.random(),
        };
        keyed.push((key, server.index));
    }
    keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
    keyed.into_iter().map(|(_, index)| index).collect()
}
