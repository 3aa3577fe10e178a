//! Injects the planned faults, and ends those with a duration when it is over.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use sapphiretrack_core::{PoolKind, VmRole};
use sapphiretrack_fakes::{EngineFaults, PlatformFaults, ServiceFaults};
use sapphiretrack_tests::{Fleet, Member};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::load::KnownRouters;
use crate::soak::deployment::DEPLOYMENTS;
use crate::soak::evidence::{ChangeRecord, StopRecord};
use crate::soak::faults::Fault;
use crate::soak::operators::Change;
use crate::soak::plan::PlannedFault;
use crate::soak::watch::{WatchList, WatchedRouter};

/// Time limit of a planned stop, after which it counts as failed.
const STOP_LIMIT: Duration = Duration::from_secs(120);
/// Number of availability zones of the routers.
const ZONES: usize = 3;

/// The fleet and its current faults.
pub(crate) struct Injector {
    pub(crate) fleet: Fleet,
    pub(crate) known: KnownRouters,
    pub(crate) watchlist: WatchList,
    pub(crate) stops: JoinSet<StopRecord>,
    pub(crate) changes: JoinSet<Option<ChangeRecord>>,
    pub(crate) killed: BTreeSet<String>,
    pub(crate) injected: BTreeMap<&'static str, u64>,
    recovery_times: BinaryHeap<Reverse<(Instant, u64)>>,
    pending_recoveries: BTreeMap<u64, Recovery>,
    paused: BTreeSet<String>,
    started_routers: usize,
    next_incarnation: u64,
    next_change: u64,
    next_recovery: u64,
    min_routers: usize,
}

/// The action that ends a fault.
pub(super) enum Recovery {
    ResumeRouter { router: String },
    StartRouter { router: String, zone: usize },
    ClearEngineFaults { server: usize },
    RestartEngine { server: usize },
    ClearServiceFaults { server: usize },
    ClearPlatformFaults,
}

impl Injector {
    /// Creates the injector of a running fleet. The numbers of changes start after `next_change`.
    pub(crate) fn new(
        fleet: Fleet,
        known: KnownRouters,
        watchlist: WatchList,
        next_change: u64,
    ) -> Self {
        let injector = Self {
            started_routers: fleet.routers.len(),
            // At least two thirds of the routers keep running, so that callers can reach one.
            min_routers: fleet.routers.len().div_ceil(3) * 2,
            next_incarnation: fleet.servers.len() as u64 + 1,
            next_change,
            next_recovery: 0,
            fleet,
            known,
            watchlist,
            stops: JoinSet::new(),
            changes: JoinSet::new(),
            killed: BTreeSet::new(),
            injected: BTreeMap::new(),
            recovery_times: BinaryHeap::new(),
            pending_recoveries: BTreeMap::new(),
            paused: BTreeSet::new(),
        };
        injector.update_router_lists();
        injector
    }

    /// Injects the faults in order until the load is over, and then ends all that remain.
    pub(crate) async fn run(
        &mut self,
        faults: &[PlannedFault],
        mut load_over: watch::Receiver<bool>,
    ) {
        let started = Instant::now();
        for planned in faults {
            let due = started + Duration::from_millis(planned.at_ms);
            loop {
                let next_recovery = self.recovery_times.peek().map(|Reverse((at, _))| *at);
                let wake = next_recovery.map_or(due, |at| at.min(due));
                tokio::select! {
                    () = tokio::time::sleep_until(wake) => {}
                    _ = load_over.wait_for(|over| *over) => return self.recover_all().await,
                }
                if wake == due {
                    break;
                }
                self.recover_due().await;
            }
            self.inject(planned.fault).await;
        }
        while let Some(Reverse((at, _))) = self.recovery_times.peek().copied() {
            tokio::select! {
                () = tokio::time::sleep_until(at) => self.recover_due().await,
                _ = load_over.wait_for(|over| *over) => return self.recover_all().await,
            }
        }
        drop(load_over.wait_for(|over| *over).await);
    }

    async fn inject(&mut self, fault: Fault) {
        let injected = match fault {
            Fault::KillRouter { router, gone_ms } => self.kill_router(router, gone_ms).await,
            Fault::PauseRouter { router, pause_ms } => self.pause_router(router, pause_ms).await,
            Fault::StopRouter {
                router,
                by_operator,
            } => self.stop_router(router, by_operator).await,
            Fault::RaceOperators {
                routers,
                deployment,
            } => self.race_operators(routers, deployment),
            Fault::PlatformDown { .. }
            | Fault::PlatformSlow { .. }
            | Fault::LosePlatformReplies { .. }
            | Fault::LosePlatformRequests { .. } => self.inject_platform_fault(fault).await,
            Fault::LoseServiceReplies { .. }
            | Fault::CrossServiceReplies { .. }
            | Fault::RefuseCalls { .. }
            | Fault::FreezeService { .. } => self.inject_service_fault(fault).await,
            _ => self.inject_engine_fault(fault).await,
        };
        if injected {
            *self.injected.entry(fault.name()).or_default() += 1;
        }
    }

    async fn kill_router(&mut self, router: usize, gone_ms: u64) -> bool {
        let Some(router) = self.pick_router(router) else {
            return false;
        };
        let mut member = self.fleet.routers.remove(router);
        self.killed.insert(format!("http://{}", member.vm.address));
        self.update_router_lists();
        member.process.kill().await;
        let recovery = Recovery::StartRouter {
            router: member.vm.name.clone(),
            zone: zone_index(&member),
        };
        self.schedule_recovery(gone_ms, recovery);
        true
    }

    async fn pause_router(&mut self, router: usize, pause_ms: u64) -> bool {
        let Some(router) = self.pick_router(router) else {
            return false;
        };
        let member = &self.fleet.routers[router];
        member.process.signal("STOP").await;
        let name = member.vm.name.clone();
        self.paused.insert(name.clone());
        self.schedule_recovery(pause_ms, Recovery::ResumeRouter { router: name });
        true
    }

    async fn stop_router(&mut self, router: usize, by_operator: bool) -> bool {
        let Some(router) = self.pick_router(router) else {
            return false;
        };
        let operator = self.fleet.operator(router);
        let mut member = self.fleet.routers.remove(router);
        self.update_router_lists();
        if !by_operator || operator.stop().await.is_err() {
            member.process.signal("TERM").await;
        }
        let zone = zone_index(&member);
        let url = format!("http://{}", member.vm.address);
        self.stops.spawn(async move {
            let ended = tokio::time::timeout(STOP_LIMIT, member.process.wait()).await;
            StopRecord {
                router: url,
                exit_code: ended.ok().flatten(),
            }
        });
        self.started_routers += 1;
        let name = format!("router-{}", self.started_routers);
        self.start_router(&name, zone).await;
        true
    }

    fn race_operators(&mut self, routers: [usize; 2], deployment: usize) -> bool {
        let deployment = DEPLOYMENTS[deployment % DEPLOYMENTS.len()];
        for router in routers {
            let router = router % self.fleet.routers.len();
            self.next_change += 1;
            let change = Change {
                deployment,
                operator: self.fleet.operator(router),
                number: self.next_change,
            };
            self.changes.spawn(change.apply());
        }
        true
    }

    /// Schedules the end of a fault.
    pub(super) fn schedule_recovery(&mut self, after_ms: u64, recovery: Recovery) {
        let at = Instant::now() + Duration::from_millis(after_ms);
        self.next_recovery += 1;
        self.recovery_times.push(Reverse((at, self.next_recovery)));
        self.pending_recoveries.insert(self.next_recovery, recovery);
    }

    async fn recover_due(&mut self) {
        while let Some(Reverse((at, number))) = self.recovery_times.peek().copied() {
            if at > Instant::now() {
                return;
            }
            self.recovery_times.pop();
            if let Some(recovery) = self.pending_recoveries.remove(&number) {
                self.recover(recovery).await;
            }
        }
    }

    /// Ends all faults immediately.
    async fn recover_all(&mut self) {
        self.recovery_times.clear();
        for (_, recovery) in std::mem::take(&mut self.pending_recoveries) {
            self.recover(recovery).await;
        }
    }

    async fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::ResumeRouter { router } => {
                self.paused.remove(&router);
                let member = self.fleet.routers.iter().find(|m| m.vm.name == router);
                if let Some(member) = member {
                    member.process.signal("CONT").await;
                }
            }
            Recovery::StartRouter { router, zone } => self.start_router(&router, zone).await,
            Recovery::ClearEngineFaults { server } => {
                let address = self.fleet.servers[server].vm.address;
                let none = EngineFaults::default();
                self.fleet.set_faults(address, &none).await;
            }
            Recovery::RestartEngine { server } => self.restart_engine(server).await,
            Recovery::ClearServiceFaults { server } => {
                let address = self.fleet.servers[server].vm.address;
                let none = ServiceFaults::default();
                self.fleet.set_faults(address, &none).await;
            }
            Recovery::ClearPlatformFaults => {
                let address = self.fleet.platform_address;
                let none = PlatformFaults::default();
                self.fleet.set_faults(address, &none).await;
            }
        }
    }

    async fn start_router(&mut self, name: &str, zone: usize) {
        self.fleet.add_router(name, zone).await;
        self.fleet.publish().await;
        self.update_router_lists();
    }

    pub(super) async fn restart_engine(&mut self, server: usize) {
        self.next_incarnation += 1;
        self.fleet
            .restart_server(server, self.next_incarnation)
            .await;
    }

    /// Picks the index of a router that is not paused; `None` if too few routers would remain.
    fn pick_router(&self, wanted: usize) -> Option<usize> {
        let routers = &self.fleet.routers;
        if routers.len() - self.paused.len().min(routers.len()) <= self.min_routers {
            return None;
        }
        (0..routers.len())
            .map(|offset| (wanted + offset) % routers.len())
            .find(|router| !self.paused.contains(&routers[*router].vm.name))
    }

    /// Picks the index of a server of a kind; `wanted` counts these servers, modulo their number.
    pub(super) fn pick_server(&self, wanted_kind: PoolKind, wanted: usize) -> usize {
        let servers = &self.fleet.servers;
        let of_kind: Vec<usize> = (0..servers.len())
            .filter(|server| {
                matches!(&servers[*server].vm.role, VmRole::Server { kind, .. } if *kind == wanted_kind)
            })
            .collect();
        of_kind[wanted % of_kind.len()]
    }

    /// Updates the lists of running routers that the callers and the version watch use.
    fn update_router_lists(&self) {
        let routers = 0..self.fleet.routers.len();
        self.known.set(
            routers
                .clone()
                .map(|router| self.fleet.caller_url(router))
                .collect(),
        );
        self.watchlist.set(
            routers
                .map(|router| WatchedRouter {
                    process: format!(
                        "{} ({})",
                        self.fleet.routers[router].vm.name,
                        self.fleet.caller_url(router)
                    ),
                    operator: self.fleet.operator(router),
                })
                .collect(),
        );
    }
}

/// Returns the index of a member's zone, whose name ends with it.
fn zone_index(member: &Member) -> usize {
    let digit = member.vm.zone.bytes().last().unwrap_or(b'0');
    usize::from(digit - b'0') % ZONES
}
