//! The configuration in force, and its exchange with peers.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphiretrack_core::FleetConfig;
use sapphiretrack_peer::{ConfigReply, PeerReply};

use crate::control::ControlState;

impl ControlState {
    /// The configuration in force.
    pub(crate) fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Whether as many routers were seen as the platform lists, or the router has been running for
    /// `dead_after_ms`.
    pub(super) fn peers_seen(&self, now_ms: u64) -> bool {
        let seen = 1 + self.peers.iter().count();
        let all_seen = !self.lacks_vm_list() && seen >= self.peers.expected_routers();
        all_seen || now_ms >= self.timing.dead_after_ms
    }

    /// The address of the peer with the newest configuration, if that is newer than this router's.
    ///
    /// A router without a configuration returns none until it has seen its peers, because a single
    /// peer may have an outdated one.
    pub(crate) fn newer_config_source(&self, now_ms: u64) -> Option<SocketAddr> {
        if self.config.version == 0 && !self.peers_seen(now_ms) {
            return None;
        }
        let peers = self.peers.iter().map(|(_, peer)| peer);
        let newest = peers.max_by_key(|peer| peer.config_version)?;
        let newer = newest.config_version > self.config.version;
        newer.then_some(newest.profile.peer_address)
    }

    /// The full configuration as a reply to a peer.
    pub(super) fn full_config_reply(&self) -> PeerReply {
        match serde_json::to_string(self.config.as_ref()) {
            Ok(config_json) => PeerReply::Config(ConfigReply { config_json }),
            Err(_) => PeerReply::Rejected,
        }
    }

    /// The changes since a version as a reply to a peer; the full configuration if they are no
    /// longer held.
    pub(super) fn config_changes_reply(&self, version: u64, change_id: &str) -> PeerReply {
        let changes = self.config.changes_since(version, change_id);
        match changes.and_then(|changes| serde_json::to_string(&changes).ok()) {
            Some(changes_json) => PeerReply::ConfigChanges(changes_json),
            None => self.full_config_reply(),
        }
    }
}
