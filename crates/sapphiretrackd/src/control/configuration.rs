//! The configuration in force, as this router gives it to peers.

use std::sync::Arc;

use sapphiretrack_core::FleetConfig;
use sapphiretrack_peer::{ConfigReply, PeerReply};

use crate::control::ControlState;

impl ControlState {
    /// The configuration in force.
    pub(crate) fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    pub(super) fn whole_config(&self) -> PeerReply {
        match serde_json::to_string(self.config.as_ref()) {
            Ok(config_json) => PeerReply::Config(ConfigReply { config_json }),
            Err(_) => PeerReply::Rejected,
        }
    }

    pub(super) fn config_since(&self, version: u64, change_id: &str) -> PeerReply {
        let changes = self.config.changes_since(version, change_id);
        match changes.and_then(|changes| serde_json::to_string(&changes).ok()) {
            Some(changes_json) => PeerReply::ConfigChanges(changes_json),
            None => self.whole_config(),
        }
    }
}
