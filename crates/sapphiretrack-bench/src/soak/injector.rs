//! Causes the planned faults, and takes each back when its time is over.

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
use crate::soak::watch::{Watched, Watchlist};

/// How long a planned stop may take until it counts as failed.
const STOP_LIMIT: Duration = Duration::from_secs(120);
/// Zones of the routers.
const ZONES: usize = 3;

/// The fleet and all that is wrong with it.
pub(crate) struct Injector {
    pub(crate) fleet: Fleet,
    pub(crate) known: KnownRouters,
    pub(crate) watchlist: Watchlist,
    pub(crate) stops: JoinSet<StopRecord>,
    pub(crate) changes: JoinSet<Option<ChangeRecord>>,
    pub(crate) killed: BTreeSet<String>,
    pub(crate) caused: BTreeMap<&'static str, u64>,
    heals: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: BTreeMap<u64, Heal>,
    paused: BTreeSet<String>,
    started_routers: usize,
    next_incarnation: u64,
    next_change: u64,
    next_heal: u64,
    min_routers: usize,
}

/// What takes a fault back.
pub(super) enum Heal {
    Continue { router: String },
    Start { router: String, zone: usize },
    Engine { server: usize },
    Restart { server: usize },
    Service { server: usize },
    Platform,
}

impl Injector {
    /// The injector of a settled fleet; change numbers start at `next_change`.
    pub(crate) fn new(
        fleet: Fleet,
        known: KnownRouters,
        watchlist: Watchlist,
        next_change: u64,
    ) -> Self {
        let injector = Self {
            started_routers: fleet.routers.len(),
            // Two in three stay, so that the load has somewhere to go.
            min_routers: fleet.routers.len().div_ceil(3) * 2,
            next_incarnation: fleet.servers.len() as u64 + 1,
            next_change,
            next_heal: 0,
            fleet,
            known,
            watchlist,
            stops: JoinSet::new(),
            changes: JoinSet::new(),
            killed: BTreeSet::new(),
            caused: BTreeMap::new(),
            heals: BinaryHeap::new(),
            pending: BTreeMap::new(),
            paused: BTreeSet::new(),
        };
        injector.announce();
        injector
    }

    /// Causes the faults in order until there is no more load, then takes all back.
    pub(crate) async fn run(
        &mut self,
        faults: &[PlannedFault],
        mut load_over: watch::Receiver<bool>,
    ) {
        let started = Instant::now();
        for planned in faults {
            let due = started + Duration::from_millis(planned.at_ms);
            loop {
                let next_heal = self.heals.peek().map(|Reverse((at, _))| *at);
                let wake = next_heal.map_or(due, |at| at.min(due));
                tokio::select! {
                    () = tokio::time::sleep_until(wake) => {}
                    _ = load_over.wait_for(|over| *over) => return self.heal_all().await,
                }
                if wake == due {
                    break;
                }
                self.heal_due().await;
            }
            self.cause(planned.fault).await;
        }
        while let Some(Reverse((at, _))) = self.heals.peek().copied() {
            tokio::select! {
                () = tokio::time::sleep_until(at) => self.heal_due().await,
                _ = load_over.wait_for(|over| *over) => return self.heal_all().await,
            }
        }
        drop(load_over.wait_for(|over| *over).await);
    }

    async fn cause(&mut self, fault: Fault) {
        let done = match fault {
            Fault::KillRouter { router, gone_ms } => self.kill_router(router, gone_ms).await,
            Fault::PauseRouter { router, pause_ms } => self.pause_router(router, pause_ms).await,
            Fault::StopRouter {
                router,
                by_operator,
            } => self.stop_router(router, by_operator).await,
            Fault::RaceOperators {
                routers,
                deployment,
            } => self.race(routers, deployment),
            Fault::PlatformDown { .. }
            | Fault::PlatformSlow { .. }
            | Fault::LosePlatformReplies { .. }
            | Fault::LosePlatformRequests { .. } => self.fault_platform(fault).await,
            Fault::LoseServiceReplies { .. }
            | Fault::CrossServiceReplies { .. }
            | Fault::RefuseCalls { .. }
            | Fault::FreezeService { .. } => self.fault_service(fault).await,
            _ => self.fault_engine(fault).await,
        };
        if done {
            *self.caused.entry(fault.name()).or_default() += 1;
        }
    }

    async fn kill_router(&mut self, router: usize, gone_ms: u64) -> bool {
        let Some(router) = self.pick_router(router) else {
            return false;
        };
        let mut member = self.fleet.routers.remove(router);
        self.killed.insert(format!("http://{}", member.vm.address));
        self.announce();
        member.process.kill().await;
        let heal = Heal::Start {
            router: member.vm.name.clone(),
            zone: zone_index(&member),
        };
        self.heal_after(gone_ms, heal);
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
        self.heal_after(pause_ms, Heal::Continue { router: name });
        true
    }

    async fn stop_router(&mut self, router: usize, by_operator: bool) -> bool {
        let Some(router) = self.pick_router(router) else {
            return false;
        };
        let operator = self.fleet.operator(router);
        let mut member = self.fleet.routers.remove(router);
        self.announce();
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

    fn race(&mut self, routers: [usize; 2], deployment: usize) -> bool {
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

    pub(super) fn heal_after(&mut self, after_ms: u64, heal: Heal) {
        let at = Instant::now() + Duration::from_millis(after_ms);
        self.next_heal += 1;
        self.heals.push(Reverse((at, self.next_heal)));
        self.pending.insert(self.next_heal, heal);
    }

    async fn heal_due(&mut self) {
        while let Some(Reverse((at, number))) = self.heals.peek().copied() {
            if at > Instant::now() {
                return;
            }
            self.heals.pop();
            if let Some(heal) = self.pending.remove(&number) {
                self.heal(heal).await;
            }
        }
    }

    /// Takes all faults back at once.
    async fn heal_all(&mut self) {
        self.heals.clear();
        for (_, heal) in std::mem::take(&mut self.pending) {
            self.heal(heal).await;
        }
    }

    async fn heal(&mut self, heal: Heal) {
        match heal {
            Heal::Continue { router } => {
                self.paused.remove(&router);
                let member = self.fleet.routers.iter().find(|m| m.vm.name == router);
                if let Some(member) = member {
                    member.process.signal("CONT").await;
                }
            }
            Heal::Start { router, zone } => self.start_router(&router, zone).await,
            Heal::Engine { server } => {
                let address = self.fleet.servers[server].vm.address;
                let none = EngineFaults::default();
                self.fleet.set_faults(address, &none).await;
            }
            Heal::Restart { server } => self.restart_engine(server).await,
            Heal::Service { server } => {
                let address = self.fleet.servers[server].vm.address;
                let none = ServiceFaults::default();
                self.fleet.set_faults(address, &none).await;
            }
            Heal::Platform => {
                let address = self.fleet.platform_address;
                let none = PlatformFaults::default();
                self.fleet.set_faults(address, &none).await;
            }
        }
    }

    async fn start_router(&mut self, name: &str, zone: usize) {
        self.fleet.add_router(name, zone).await;
        self.fleet.publish().await;
        self.announce();
    }

    pub(super) async fn restart_engine(&mut self, server: usize) {
        self.next_incarnation += 1;
        self.fleet
            .restart_server(server, self.next_incarnation)
            .await;
    }

    /// A router that is neither paused nor one too many to lose.
    fn pick_router(&self, wanted: usize) -> Option<usize> {
        let routers = &self.fleet.routers;
        if routers.len() - self.paused.len().min(routers.len()) <= self.min_routers {
            return None;
        }
        (0..routers.len())
            .map(|offset| (wanted + offset) % routers.len())
            .find(|router| !self.paused.contains(&routers[*router].vm.name))
    }

    pub(super) fn pick_server(&self, wanted_kind: PoolKind, wanted: usize) -> usize {
        let servers = &self.fleet.servers;
        let of_kind: Vec<usize> = (0..servers.len())
            .filter(|server| {
                matches!(&servers[*server].vm.role, VmRole::Server { kind, .. } if *kind == wanted_kind)
            })
            .collect();
        of_kind[wanted % of_kind.len()]
    }

    /// Tells callers and the watch which routers there are.
    fn announce(&self) {
        let routers = 0..self.fleet.routers.len();
        self.known.set(
            routers
                .clone()
                .map(|router| self.fleet.caller_url(router))
                .collect(),
        );
        self.watchlist.set(
            routers
                .map(|router| Watched {
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

fn zone_index(member: &Member) -> usize {
    let digit = member.vm.zone.bytes().last().unwrap_or(b'0');
    usize::from(digit - b'0') % ZONES
}
