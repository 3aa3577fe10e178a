//! Immutable snapshots of the control state, read by traffic threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphiretrack_core::{
    FleetConfig, KeyIndex, PoolView, RouterId, RouterView, VmRecord, VmState,
};

/// An immutable snapshot of the control state.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// This router.
    pub(crate) me: RouterId,
    /// The configuration in force.
    pub(crate) config: Arc<FleetConfig>,
    /// The contracts of the configuration, indexed by caller key.
    pub(crate) keys: Arc<KeyIndex>,
    /// Whether a configuration was received from the platform, a peer or an operator. It may be
    /// empty.
    pub(crate) config_known: bool,
    /// All routers that are seen, this one included.
    pub(crate) routers: Vec<RouterView>,
    /// The pools by name.
    pub(crate) pools: BTreeMap<String, PoolView>,
    /// Whether new work is refused because neither the platform nor any peer is reached.
    pub(crate) isolated: bool,
    /// Whether this router is stopping.
    pub(crate) stopping: bool,
    /// Whether as many routers were seen as the platform lists, or the router has been running long
    /// enough to see them.
    pub(crate) peers_seen: bool,
    /// Whether the platform was reached recently.
    pub(crate) platform_reached: bool,
    /// Other routers that are live in the platform's last list.
    pub(crate) listed_others: Vec<VmRecord>,
}

impl Snapshot {
    /// The snapshot of a router that has not received anything yet.
    pub(crate) fn empty(me: RouterId) -> Self {
        Self {
            me,
            config: Arc::default(),
            keys: Arc::default(),
            config_known: false,
            routers: Vec::new(),
            pools: BTreeMap::new(),
            isolated: false,
            stopping: false,
            peers_seen: false,
            platform_reached: false,
            listed_others: Vec::new(),
        }
    }

    /// The newest configuration version that any router is known to have in force.
    pub(crate) fn newest_version(&self) -> u64 {
        let versions = self.routers.iter().map(|router| router.config_version);
        versions.fold(self.config.version, u64::max)
    }

    /// How many routers accept new work.
    pub(crate) fn live_routers(&self) -> usize {
        self.routers
            .iter()
            .filter(|router| router.state == VmState::Live)
            .count()
    }
}
