//! Waits until the routers of a fleet have seen a change.

use std::time::Duration;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_operator::wire::Status;

use crate::Fleet;

/// How long the routers of a fleet may take to see a change.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

impl Fleet {
    /// Waits until every router sees all routers and servers.
    pub async fn wait_converged(&self) {
        assert!(
            self.converges().await,
            "not every router sees all members within {CONVERGENCE_TIMEOUT:?}"
        );
        self.wait_configured().await;
    }

    /// Waits until every router has read the configuration, even an empty one. Until then it
    /// answers 503, as it cannot tell whether an access key is wrong.
    async fn wait_configured(&self) {
        let options = RequestOptions {
            key: String::from("nobody's key"),
            ..RequestOptions::default()
        };
        let waited = tokio::time::timeout(CONVERGENCE_TIMEOUT, async {
            for router in 0..self.routers.len() {
                let url = self.caller_url(router);
                let client = CallerClient::new();
                let probe =
                    || client.service(&url, http::Method::GET, "plant/x", Bytes::new(), &options);
                while probe().await.is_ok_and(|answer| answer.status == 503) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
        assert!(
            waited.await.is_ok(),
            "not every router has read the configuration within {CONVERGENCE_TIMEOUT:?}"
        );
    }

    /// Whether every router sees all routers and servers within the time limit.
    pub async fn converges(&self) -> bool {
        self.eventually(|status| self.sees_fleet(status, 0)).await
    }

    /// Waits until every router sees all members and `others` more routers, which are not members
    /// of this fleet any more.
    pub async fn wait_converged_with(&self, others: usize) {
        let what = "all members and the other routers seen by every router";
        self.wait_status(what, |status| self.sees_fleet(status, others))
            .await;
    }

    /// Whether a router that reports this status sees all members and `others` more routers.
    fn sees_fleet(&self, status: &Status, others: usize) -> bool {
        let servers = status.servers.iter();
        let live = servers.filter(|server| server.state == "live").count();
        status.routers.len() == self.routers.len() + others && live == self.servers.len()
    }

    /// Waits until the status of every router satisfies a condition.
    pub async fn wait_status<Condition>(&self, what: &str, condition: Condition)
    where
        Condition: Fn(&Status) -> bool,
    {
        assert!(
            self.eventually(condition).await,
            "{what}: not within {CONVERGENCE_TIMEOUT:?}"
        );
    }

    /// Whether the status of every router satisfies a condition within the time limit.
    pub async fn eventually<Condition>(&self, condition: Condition) -> bool
    where
        Condition: Fn(&Status) -> bool,
    {
        for router in 0..self.routers.len() {
            if !self.router_reaches(router, &condition).await {
                return false;
            }
        }
        true
    }

    /// Waits until the status of one router satisfies a condition.
    pub async fn wait_status_of<Condition>(&self, router: usize, what: &str, condition: Condition)
    where
        Condition: Fn(&Status) -> bool,
    {
        assert!(
            self.router_reaches(router, &condition).await,
            "{what}: not within {CONVERGENCE_TIMEOUT:?}"
        );
    }

    async fn router_reaches<Condition>(&self, router: usize, condition: &Condition) -> bool
    where
        Condition: Fn(&Status) -> bool,
    {
        let operator = self.operator(router);
        let waited = tokio::time::timeout(CONVERGENCE_TIMEOUT, async {
            while !operator
                .status()
                .await
                .is_ok_and(|status| condition(&status))
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        waited.await.is_ok()
    }
}
