//! A small fleet in this process: stand-ins and routers, for measurements of policy.

use std::net::SocketAddr;
use std::time::Duration;

use sapphiretrack_core::{LoadBound, PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings, ServiceSettings,
};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrackd::{Daemon, Settings};

/// The key of the measurements' callers.
pub(crate) const CALLER_KEY: &str = "bench-caller";
const OPERATOR_KEY: &str = "bench-operator";
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// The size of a small fleet.
#[derive(Clone, Debug)]
pub(crate) struct SmallFleetSettings {
    /// Routers.
    pub(crate) routers: usize,
    /// Engines of the pool `assistant`.
    pub(crate) engines: usize,
    /// How each engine behaves.
    pub(crate) engine: EngineSettings,
    /// The load bound of each pool.
    pub(crate) load_bound: LoadBound,
    /// The contract of the one customer.
    pub(crate) contract_toml: String,
}

/// A running small fleet; it ends with the process.
pub(crate) struct SmallFleet {
    pub(crate) platform: FakePlatform,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) caller_urls: Vec<String>,
    operators: Vec<OperatorClient>,
}

impl SmallFleet {
    /// Starts all of it and waits until each router sees it.
    pub(crate) async fn start(settings: SmallFleetSettings) -> Result<Self, String> {
        let platform = FakePlatform::start(PlatformSettings {
            // Counted by the measurement itself; the stand-in must not be what limits.
            writes_per_s: 1_000_000,
            ..PlatformSettings::default()
        })
        .await
        .map_err(|error| error.to_string())?;
        let mut vms = Vec::new();
        let mut engines = Vec::new();
        for index in 0..settings.engines {
            let engine = FakeEngine::start(settings.engine.clone())
                .await
                .map_err(|error| error.to_string())?;
            vms.push(server(
                "engine",
                index,
                engine.address(),
                "assistant",
                PoolKind::Engine,
            ));
            engines.push(engine);
        }
        let service = FakeService::start(ServiceSettings::default())
            .await
            .map_err(|error| error.to_string())?;
        vms.push(server(
            "service",
            0,
            service.address(),
            "plant",
            PoolKind::Service,
        ));
        let mut fleet = Self {
            platform,
            engines,
            caller_urls: Vec::new(),
            operators: Vec::new(),
        };
        for index in 0..settings.routers {
            vms.push(fleet.add_router(index, &settings.load_bound)?);
        }
        let seen = (settings.routers, settings.engines + 1);
        fleet.platform.set_vms(vms);
        fleet.settle(seen).await?;
        fleet.apply(&settings.contract_toml).await?;
        Ok(fleet)
    }

    fn add_router(&mut self, index: usize, load_bound: &LoadBound) -> Result<VmRecord, String> {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let name = format!("router-{index}");
        let settings = Settings {
            router_name: name.clone(),
            caller_address: free,
            operator_address: free,
            peer_address: free,
            platform_url: self.platform.url(),
            cell_key: String::from("cell-key-of-the-bench"),
            operator_key_sha256: sha256_hex(OPERATOR_KEY),
            load_bound: *load_bound,
            traffic_threads: 1,
            ..Settings::default()
        };
        let [caller_address, peer_address, operator_address] = run_router(settings)?;
        let vm = VmRecord {
            name,
            zone: String::from("zone-1"),
            address: caller_address,
            role: VmRole::Router {
                peer_address,
                operator_address,
            },
            state: VmState::Live,
        };
        self.caller_urls.push(format!("http://{caller_address}"));
        let url = format!("http://{operator_address}");
        self.operators
            .push(OperatorClient::new(&url, OPERATOR_KEY, 10_000));
        Ok(vm)
    }

    async fn settle(&self, (routers, servers): (usize, usize)) -> Result<(), String> {
        self.wait(|status| {
            let live = status.servers.iter().filter(|one| one.state == "live");
            status.routers.len() == routers && live.count() == servers
        })
        .await
    }

    async fn apply(&self, contract_toml: &str) -> Result<(), String> {
        let request = ApplyContract {
            change_id: String::from("bench"),
            operator: String::from("bench"),
            seen_version: 0,
            contract_toml: contract_toml.to_owned(),
        };
        let reply = self.operators[0].apply(&request).await;
        match reply.map_err(|error| error.to_string())? {
            ChangeReply::Accepted { version } => {
                self.wait(|status| status.config_version >= version).await
            }
            other => Err(format!("the contract is not accepted: {other:?}")),
        }
    }

    async fn wait<Holds>(&self, holds: Holds) -> Result<(), String>
    where
        Holds: Fn(&sapphiretrack_operator::wire::Status) -> bool,
    {
        let waited = tokio::time::timeout(SETTLE_LIMIT, async {
            for operator in &self.operators {
                while !operator.status().await.is_ok_and(|status| holds(&status)) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
        waited
            .await
            .map_err(|_| String::from("the fleet does not settle"))
    }
}

/// Runs a router on a thread of its own; gives the addresses of callers, peers and operators.
fn run_router(settings: Settings) -> Result<[SocketAddr; 3], String> {
    let (started, starts) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let daemon = match Daemon::start(settings) {
            Ok(daemon) => daemon,
            Err(error) => return drop(started.send(Err(error.to_string()))),
        };
        let addresses = [
            daemon.caller_address(),
            daemon.peer_address(),
            daemon.operator_address(),
        ];
        drop(started.send(Ok(addresses)));
        drop(daemon.run());
    });
    starts.recv().map_err(|error| error.to_string())?
}

/// A contract of one customer with three classes, whose deadlines are given.
pub(crate) fn contract_toml(deadlines_ms: [u64; 3]) -> String {
    let [urgent, floor, night] = deadlines_ms;
    format!(
        r#"customer = "bench"
caller_keys_sha256 = ["{}"]
pools = ["assistant", "plant"]
default_class = "floor"

[limits]
requests_per_s = 1000000
tokens_per_s = 1000000000
in_flight = 1000000

[classes.urgent]
priority = 0
deadline_ms = {urgent}

[classes.floor]
priority = 1
deadline_ms = {floor}

[classes.night]
priority = 2
deadline_ms = {night}

[[non_idempotent]]
pool = "plant"
path_prefix = "/labels/print"
"#,
        sha256_hex(CALLER_KEY)
    )
}

fn server(
    kind: &str,
    index: usize,
    address: SocketAddr,
    pool: &str,
    pool_kind: PoolKind,
) -> VmRecord {
    VmRecord {
        name: format!("{kind}-{index}"),
        zone: String::from("zone-1"),
        address,
        role: VmRole::Server {
            pool: pool.to_owned(),
            kind: pool_kind,
        },
        state: VmState::Live,
    }
}
