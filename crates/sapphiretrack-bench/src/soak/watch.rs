//! Polls the configuration version of every router while the soak runs.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sapphiretrack_operator::OperatorClient;
use tokio::task::JoinSet;

use crate::soak::evidence::VersionSeen;

/// Delay between two rounds of status requests.
const POLL_DELAY: Duration = Duration::from_millis(250);

/// A router process and a client of its operators' interface.
#[derive(Clone, Debug)]
pub(crate) struct WatchedRouter {
    pub(crate) process: String,
    pub(crate) operator: OperatorClient,
}

/// The routers to poll. Clones share one list.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchList {
    routers: Arc<Mutex<Vec<WatchedRouter>>>,
}

impl WatchList {
    pub(crate) fn set(&self, routers: Vec<WatchedRouter>) {
        *self.routers.lock().unwrap_or_else(PoisonError::into_inner) = routers;
    }

    fn routers(&self) -> Vec<WatchedRouter> {
        self.routers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Polls all routers until it is aborted and appends their versions to `seen`.
///
/// Each round ends before the next one starts, so that the versions of a process stay in order.
pub(crate) async fn watch_versions(list: WatchList, seen: Arc<Mutex<Vec<VersionSeen>>>) {
    loop {
        let mut round = JoinSet::new();
        for router in list.routers() {
            round.spawn(async move {
                let status = router.operator.status().await.ok()?;
                Some(VersionSeen {
                    process: router.process,
                    version: status.config_version,
                })
            });
        }
        while let Some(answered) = round.join_next().await {
            if let Ok(Some(version)) = answered {
                seen.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(version);
            }
        }
        tokio::time::sleep(POLL_DELAY).await;
    }
}
