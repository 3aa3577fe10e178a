//! A site in one process: three embedded routers, and fakes of the platform, of engines and of a
//! plain service.

use std::time::{Duration, Instant};

use sapphiretrack_core::{LoadBound, PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings, ServiceSettings,
};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrackd::{Daemon, Settings, StopReport};

/// The caller key of the site's customer.
pub(crate) const CALLER_KEY: &str = "caller-key-of-the-site";
const OPERATOR_KEY: &str = "operator-key-of-the-site";
const CONTRACT: &str = include_str!("contract.toml");
const ROUTERS: usize = 3;
/// The queue capacity of an engine; routers never send that many requests.
const QUEUE_REQUESTS: u32 = 512;
const ENGINES: usize = 4;
/// The timeout of a call to a router's operator interface.
const OPERATOR_TIMEOUT_MS: u64 = 5_000;
/// The timeout of a wait for the status of all routers.
const STATUS_TIMEOUT: Duration = Duration::from_secs(20);

/// The settings of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteSettings {
    /// The load bound of the routers.
    pub(crate) load_bound: LoadBound,
    /// The engines' time between two tokens.
    pub(crate) decode_ms: u64,
    /// The number of requests that an engine runs in one batch.
    pub(crate) batch_slots: u32,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            load_bound: LoadBound::default(),
            decode_ms: 10,
            batch_slots: 16,
        }
    }
}

/// A running site.
pub(crate) struct Site {
    settings: SiteSettings,
    platform: FakePlatform,
    engines: Vec<FakeEngine>,
    service: FakeService,
    vms: Vec<VmRecord>,
    routers: Vec<Router>,
    started: Instant,
}

/// One embedded router.
struct Router {
    caller_url: String,
    operator: OperatorClient,
    thread: std::thread::JoinHandle<Result<StopReport, String>>,
}

impl Site {
    /// Starts a site and waits until each router lists all routers, and all servers as live.
    pub(crate) async fn start(settings: SiteSettings) -> Result<Self, String> {
        let platform = FakePlatform::start(PlatformSettings::default())
            .await
            .map_err(to_text)?;
        let service = FakeService::start(ServiceSettings::default())
            .await
            .map_err(to_text)?;
        let load_bound = settings.load_bound;
        let mut site = Self {
            settings,
            platform,
            engines: Vec::new(),
            service,
            vms: Vec::new(),
            routers: Vec::new(),
            started: Instant::now(),
        };
        let kind = PoolKind::Service;
        site.vms.push(server_vm(
            "plant-0",
            site.service.address(),
            "plant",
            kind,
            0,
        ));
        for _ in 0..ENGINES {
            site.add_engine().await?;
        }
        for index in 0..ROUTERS {
            site.add_router(index, load_bound).await?;
        }
        site.platform.set_vms(site.vms.clone());
        let engines = site.engines.len();
        site.wait_for_status(|status| {
            let live = status
                .servers
                .iter()
                .filter(|line| line.state == "live")
                .count();
            status.routers.len() == ROUTERS && live == engines + 1
        })
        .await?;
        Ok(site)
    }

    /// Applies the site's contract; returns the time from its acceptance until it is in force on
    /// all routers.
    pub(crate) async fn apply_contract(&self) -> Result<Duration, String> {
        let request = ApplyContract {
            change_id: String::from("first-contract"),
            operator: String::from("bench"),
            seen_version: 0,
            contract_toml: CONTRACT.replace("CALLER_KEY_SHA256", &sha256_hex(CALLER_KEY)),
        };
        let reply = self.routers[0]
            .operator
            .apply(&request)
            .await
            .map_err(to_text)?;
        let accepted = Instant::now();
        let ChangeReply::Accepted { version } = reply else {
            return Err(format!("the contract was not accepted: {reply:?}"));
        };
        self.wait_for_status(|status| status.config_version >= version)
            .await?;
        Ok(accepted.elapsed())
    }

    /// Starts another engine and adds it to the platform's list of VMs.
    pub(crate) async fn add_engine(&mut self) -> Result<(), String> {
        let index = self.engines.len();
        let settings = EngineSettings {
            incarnation: index as u64 + 1,
            batch_slots: self.settings.batch_slots,
            queue_requests: QUEUE_REQUESTS,
            prefill_us_per_token: 100,
            decode_ms: self.settings.decode_ms,
            ..EngineSettings::default()
        };
        let engine = FakeEngine::start(settings).await.map_err(to_text)?;
        let name = format!("engine-{index}");
        let kind = PoolKind::Engine;
        self.vms
            .push(server_vm(&name, engine.address(), "assistant", kind, index));
        self.engines.push(engine);
        self.platform.set_vms(self.vms.clone());
        Ok(())
    }

    /// The engines.
    pub(crate) fn engines(&self) -> &[FakeEngine] {
        &self.engines
    }

    /// The plain service.
    pub(crate) fn service(&self) -> &FakeService {
        &self.service
    }

    /// The number of running routers.
    pub(crate) fn router_count(&self) -> usize {
        self.routers.len()
    }

    /// The caller URL of each router.
    pub(crate) fn caller_urls(&self) -> Vec<String> {
        self.routers
            .iter()
            .map(|router| router.caller_url.clone())
            .collect()
    }

    /// Stops the last router as planned; returns the number of requests that the stop cut off.
    pub(crate) async fn stop_router(&mut self) -> Result<u64, String> {
        let Some(router) = self.routers.pop() else {
            return Ok(0);
        };
        router.stop().await
    }

    /// Stops all routers as planned, one after another.
    pub(crate) async fn stop_all(&mut self) -> Result<(), String> {
        for router in self.routers.drain(..) {
            router.stop().await?;
        }
        Ok(())
    }

    /// The control bytes per second that each router sent since the start of the site.
    pub(crate) async fn control_bytes_per_s(&self) -> Result<Vec<f64>, String> {
        let elapsed_s = self.started.elapsed().as_secs_f64();
        let mut rates = Vec::new();
        for router in &self.routers {
            let metrics = router.operator.metrics().await.map_err(to_text)?;
            let total: f64 = metrics
                .lines()
                .filter(|line| line.starts_with("sapphiretrack_control_bytes_total"))
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum();
            rates.push(total / elapsed_s);
        }
        Ok(rates)
    }

    async fn add_router(&mut self, index: usize, load_bound: LoadBound) -> Result<(), String> {
        let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            router_name: format!("router-{index}"),
            zone: format!("zone-{index}"),
            caller_address: any_port,
            operator_address: any_port,
            peer_address: any_port,
            platform_url: self.platform.url(),
            cell_key: String::from("cell-key-of-the-site"),
            operator_key_sha256: sha256_hex(OPERATOR_KEY),
            entry_ttl_ms: 1_000,
            load_bound,
            ..Settings::default()
        };
        let zone = settings.zone.clone();
        // A router starts runtimes of its own and blocks on them, which panics on a thread of
        // another runtime.
        let starting = tokio::task::spawn_blocking(|| Daemon::start(settings));
        let daemon = starting.await.map_err(to_text)?.map_err(to_text)?;
        let operator_address = daemon.operator_address();
        self.vms.push(VmRecord {
            name: format!("router-{index}"),
            zone,
            address: daemon.caller_address(),
            role: VmRole::Router {
                peer_address: daemon.peer_address(),
                operator_address,
            },
            state: VmState::Live,
        });
        let operator_url = format!("http://{operator_address}");
        self.routers.push(Router {
            caller_url: format!("http://{}", daemon.caller_address()),
            operator: OperatorClient::new(&operator_url, OPERATOR_KEY, OPERATOR_TIMEOUT_MS),
            thread: std::thread::spawn(move || daemon.run().map_err(to_text)),
        });
        Ok(())
    }

    async fn wait_for_status<Condition>(&self, condition: Condition) -> Result<(), String>
    where
        Condition: Fn(&sapphiretrack_operator::wire::Status) -> bool,
    {
        let waited = tokio::time::timeout(STATUS_TIMEOUT, async {
            for router in &self.routers {
                while !router
                    .operator
                    .status()
                    .await
                    .is_ok_and(|status| condition(&status))
                {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        });
        waited
            .await
            .map_err(|_| format!("expected status not reached within {STATUS_TIMEOUT:?}"))
    }
}

impl Router {
    async fn stop(self) -> Result<u64, String> {
        self.operator.stop().await.map_err(to_text)?;
        let joined = tokio::task::spawn_blocking(move || self.thread.join());
        let report = joined.await.map_err(to_text)?;
        report
            .map_err(|_| String::from("the router panicked"))?
            .map(|report| report.cut_requests)
    }
}

fn server_vm(
    name: &str,
    address: std::net::SocketAddr,
    pool: &str,
    kind: PoolKind,
    index: usize,
) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        zone: format!("zone-{}", index % ROUTERS),
        address,
        role: VmRole::Server {
            pool: pool.to_owned(),
            kind,
        },
        state: VmState::Live,
    }
}

fn to_text<Error>(error: Error) -> String
where
    Error: std::fmt::Display,
{
    error.to_string()
}
