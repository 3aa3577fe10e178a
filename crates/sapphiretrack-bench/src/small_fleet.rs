//! A small fleet in this process: routers, and fakes of the platform, of engines and of a service.

use std::net::SocketAddr;
use std::time::Duration;

use sapphiretrack_core::{LoadBound, PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings, ServiceSettings,
};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrackd::{Daemon, Settings};

/// The caller key of the one customer.
pub(crate) const CALLER_KEY: &str = "bench-caller";
const OPERATOR_KEY: &str = "bench-operator";
/// The timeout of a wait for the status of all routers.
const STATUS_TIMEOUT: Duration = Duration::from_secs(20);

/// The settings of a small fleet.
#[derive(Clone, Debug)]
pub(crate) struct SmallFleetSettings {
    /// The number of routers.
    pub(crate) routers: usize,
    /// The number of engines in the pool `assistant`.
    pub(crate) engines: usize,
    /// The settings of each engine.
    pub(crate) engine: EngineSettings,
    /// The load bound of each pool.
    pub(crate) load_bound: LoadBound,
    /// The contract of the one customer.
    pub(crate) contract_toml: String,
}

/// A running small fleet; its routers run until the process ends.
pub(crate) struct SmallFleet {
    pub(crate) platform: FakePlatform,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) caller_urls: Vec<String>,
    operators: Vec<OperatorClient>,
}

impl SmallFleet {
    /// Starts a fleet, waits until each router lists all routers, and all servers as live, and
    /// applies the contract.
    pub(crate) async fn start(settings: SmallFleetSettings) -> Result<Self, String> {
        let platform = FakePlatform::start(PlatformSettings {
            // Measurements count the writes themselves; the fake must not limit them.
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
            vms.push(server_vm(
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
        vms.push(server_vm(
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
        let expected = (settings.routers, settings.engines + 1);
        fleet.platform.set_vms(vms);
        fleet.wait_until_listed(expected).await?;
        fleet.apply(&settings.contract_toml).await?;
        Ok(fleet)
    }

    fn add_router(&mut self, index: usize, load_bound: &LoadBound) -> Result<VmRecord, String> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let name = format!("router-{index}");
        let settings = Settings {
            router_name: name.clone(),
            caller_address: any_port,
            operator_address: any_port,
            peer_address: any_port,
            platform_url: self.platform.url(),
            cell_key: String::from("cell-key-of-the-bench"),
            operator_key_sha256: sha256_hex(OPERATOR_KEY),
            load_bound: *load_bound,
            traffic_threads: 1,
            ..Settings::default()
        };
        let [caller_address, peer_address, operator_address] = spawn_router(settings)?;
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

    async fn wait_until_listed(&self, (routers, servers): (usize, usize)) -> Result<(), String> {
        self.wait_for_status(|status| {
            let live = status
                .servers
                .iter()
                .filter(|server| server.state == "live");
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
                self.wait_for_status(|status| status.config_version >= version)
                    .await
            }
            other => Err(format!("the contract was not accepted: {other:?}")),
        }
    }

    async fn wait_for_status<Condition>(&self, condition: Condition) -> Result<(), String>
    where
        Condition: Fn(&sapphiretrack_operator::wire::Status) -> bool,
    {
        let waited = tokio::time::timeout(STATUS_TIMEOUT, async {
            for operator in &self.operators {
                while !operator
                    .status()
                    .await
                    .is_ok_and(|status| condition(&status))
                {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
        waited
            .await
            .map_err(|_| String::from("expected status not reached in time"))
    }
}

/// Runs a router on a thread of its own; returns its addresses for callers, peers and operators.
fn spawn_router(settings: Settings) -> Result<[SocketAddr; 3], String> {
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let daemon = match Daemon::start(settings) {
            Ok(daemon) => daemon,
            Err(error) => return drop(address_sender.send(Err(error.to_string()))),
        };
        let addresses = [
            daemon.caller_address(),
            daemon.peer_address(),
            daemon.operator_address(),
        ];
        drop(address_sender.send(Ok(addresses)));
        drop(daemon.run());
    });
    address_receiver.recv().map_err(|error| error.to_string())?
}

/// A contract with practically unlimited rates and the classes `urgent`, `floor` and `night` with
/// the given deadlines.
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

fn server_vm(
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
