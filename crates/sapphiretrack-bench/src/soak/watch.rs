//! Watches the configuration version of every router while the soak runs.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sapphiretrack_operator::OperatorClient;
use tokio::task::JoinSet;

use crate::soak::evidence::VersionSeen;

/// How often each router is asked.
const PERIOD: Duration = Duration::from_millis(250);

/// A router process with its operators' interface.
#[derive(Clone, Debug)]
pub(crate) struct Watched {
    pub(crate) process: String,
    pub(crate) operator: OperatorClient,
}

/// The routers that are there; clones are the same list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watchlist {
    routers: Arc<Mutex<Vec<Watched>>>,
}

impl Watchlist {
    pub(crate) fn set(&self, routers: Vec<Watched>) {
        *self.routers.lock().unwrap_or_else(PoisonError::into_inner) = routers;
    }

    fn routers(&self) -> Vec<Watched> {
        self.routers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Asks all routers again and again; what they say goes to `seen`.
///
/// A round ends before the next one starts, so that what a process says keeps its order.
pub(crate) async fn watch_versions(list: Watchlist, seen: Arc<Mutex<Vec<VersionSeen>>>) {
    loop {
        let mut round = JoinSet::new();
        for watched in list.routers() {
            round.spawn(async move {
                let status = watched.operator.status().await.ok()?;
                Some(VersionSeen {
                    process: watched.process,
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
        tokio::time::sleep(PERIOD).await;
    }
}
