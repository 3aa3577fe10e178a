//! A fleet on loopback: a fake platform, engines, plain services and routers as processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use sapphiretrack_core::{PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrack_platform::wire::VmList;
use serde::Serialize;

use crate::http_call::post_json;
use crate::process::ChildProcess;

/// The access key of the test customer's callers.
pub const CALLER_KEY: &str = "caller-key-of-the-tests";
/// The access key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-tests";
/// Number of fleets that this process has started; makes their cell keys unique.
static FLEET_COUNT: AtomicU64 = AtomicU64::new(0);

/// The size of a fleet and the flags of its processes.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Number of routers, spread over three availability zones.
    pub routers: usize,
    /// Number of engines in the pool `assistant`.
    pub engines: usize,
    /// Number of servers in the pool `plant`.
    pub services: usize,
    /// Additional flags of each router.
    pub router_flags: Vec<String>,
    /// Environment variables of each router.
    pub router_variables: Vec<(String, String)>,
    /// Time to live of the routers' entry lookups, in milliseconds.
    pub entry_ttl_ms: u64,
    /// Additional flags of each engine.
    pub engine_flags: Vec<String>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 2,
            services: 1,
            router_flags: Vec::new(),
            router_variables: Vec::new(),
            entry_ttl_ms: 300,
            engine_flags: Vec::new(),
        }
    }
}

/// A process and the VM under which the platform lists it.
pub struct Member {
    /// The process.
    pub process: ChildProcess,
    /// The VM, as listed by the platform.
    pub vm: VmRecord,
}

/// A running fleet.
pub struct Fleet {
    /// The fake platform.
    pub platform: ChildProcess,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Engines and plain services.
    pub servers: Vec<Member>,
    /// Routers.
    pub routers: Vec<Member>,
    settings: FleetSettings,
    /// Unique per fleet, so that a router of another fleet that reuses the port of a dead router
    /// is not mistaken for it.
    cell_key: String,
}

impl Fleet {
    /// Starts a fleet and waits until every router sees all members and has read the
    /// configuration.
    pub async fn start(settings: FleetSettings) -> Self {
        let mut fleet = Self::start_platform(settings.clone()).await;
        for index in 0..settings.engines {
            fleet
                .add_server("engine", "assistant", PoolKind::Engine, index)
                .await;
        }
        for index in 0..settings.services {
            fleet
                .add_server("service", "plant", PoolKind::Service, index)
                .await;
        }
        for index in 0..settings.routers {
            fleet.add_router(&format!("router-{index}"), index).await;
        }
        fleet.publish().await;
        fleet.wait_converged().await;
        fleet
            .wait_status("a configuration on every router", |status| {
                status.config_known
            })
            .await;
        fleet
    }

    /// Starts only the platform; routers and servers are added afterwards.
    pub async fn start_platform(settings: FleetSettings) -> Self {
        let (platform, platform_address) = start_fake("platform", &[]).await;
        Self {
            platform,
            platform_address,
            servers: Vec::new(),
            routers: Vec::new(),
            settings,
            cell_key: format!(
                "cell-key-of-the-tests-{}-{}",
                std::process::id(),
                FLEET_COUNT.fetch_add(1, Ordering::Relaxed)
            ),
        }
    }

    /// The URL of a router for callers.
    pub fn caller_url(&self, router: usize) -> String {
        format!("http://{}", self.routers[router].vm.address)
    }

    /// The URL of a router for operators.
    pub fn operator_url(&self, router: usize) -> String {
        match &self.routers[router].vm.role {
            VmRole::Router {
                operator_address, ..
            } => format!("http://{operator_address}"),
            VmRole::Server { .. } => unreachable!("`routers` holds routers only"),
        }
    }

    /// A client of a router's operator interface.
    pub fn operator(&self, router: usize) -> OperatorClient {
        OperatorClient::new(&self.operator_url(router), OPERATOR_KEY, 10_000)
    }

    /// Applies a contract on the first router, waits until it is in force on all routers and
    /// returns the version that it made.
    pub async fn apply_contract(&self, contract_toml: &str, seen_version: u64) -> u64 {
        let request = ApplyContract {
            change_id: format!("change-after-{seen_version}"),
            operator: String::from("tester"),
            seen_version,
            contract_toml: contract_toml.to_owned(),
        };
        let reply = self
            .operator(0)
            .apply(&request)
            .await
            .expect("the router answers");
        let ChangeReply::Accepted { version } = reply else {
            panic!("the contract was not accepted: {reply:?}");
        };
        self.wait_status("the contract in force on every router", |status| {
            status.config_version >= version
        })
        .await;
        version
    }

    /// Sets the faults that a fake injects.
    pub async fn set_faults<Faults>(&self, address: SocketAddr, faults: &Faults)
    where
        Faults: Serialize,
    {
        post_json(&format!("http://{address}/fake/faults"), faults).await;
    }

    /// Starts another server, which [`Self::publish`] then adds to the list of VMs.
    pub async fn add_server(&mut self, kind: &str, pool: &str, pool_kind: PoolKind, index: usize) {
        let mut flags = vec![format!("--incarnation={}", index + 1)];
        if kind == "engine" {
            flags.extend(self.settings.engine_flags.clone());
        }
        let (process, address) = start_fake(kind, &flags).await;
        let vm = VmRecord {
            name: format!("{kind}-{index}"),
            zone: zone(index),
            address,
            role: VmRole::Server {
                pool: pool.to_owned(),
                kind: pool_kind,
            },
            state: VmState::Live,
        };
        self.servers.push(Member { process, vm });
    }

    /// Kills a server and restarts it at the same address with another incarnation.
    pub async fn restart_server(&mut self, server: usize, incarnation: u64) {
        let address = self.servers[server].vm.address;
        let name = self.servers[server].vm.name.clone();
        let kind = name.split('-').next().unwrap_or_default();
        let mut flags = vec![
            format!("--address={address}"),
            format!("--incarnation={incarnation}"),
        ];
        if kind == "engine" {
            flags.extend(self.settings.engine_flags.clone());
        }
        self.servers[server].process.kill().await;
        let (process, _) = start_fake(kind, &flags).await;
        self.servers[server].process = process;
    }

    /// Starts a router with the given name in the zone of `index`.
    pub async fn add_router(&mut self, name: &str, index: usize) {
        self.add_router_with(name, index, &[]).await;
    }

    /// Starts a router like [`Self::add_router`], with additional flags.
    pub async fn add_router_with(&mut self, name: &str, index: usize, extra_flags: &[String]) {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let member = self
            .start_router(name, index, [any_port; 3], extra_flags)
            .await;
        self.routers.push(member);
    }

    /// Kills a router and restarts it with the same name and addresses.
    pub async fn restart_router(&mut self, index: usize) {
        self.routers[index].process.kill().await;
        let vm = self.routers[index].vm.clone();
        let VmRole::Router {
            peer_address,
            operator_address,
        } = vm.role
        else {
            unreachable!("`routers` holds routers only");
        };
        let addresses = [vm.address, operator_address, peer_address];
        self.routers[index] = self.start_router(&vm.name, index, addresses, &[]).await;
    }

    /// Starts a router that listens for callers, operators and peers at `addresses`, in this order.
    async fn start_router(
        &self,
        name: &str,
        index: usize,
        addresses: [SocketAddr; 3],
        extra_flags: &[String],
    ) -> Member {
        let [callers, operators, peers] = addresses;
        let mut flags = vec![
            format!("--router-name={name}"),
            format!("--zone={}", zone(index)),
            format!("--caller-address={callers}"),
            format!("--operator-address={operators}"),
            format!("--peer-address={peers}"),
            format!("--platform-url=http://{}", self.platform_address),
            format!("--cell-key={}", self.cell_key),
            format!("--operator-key-sha256={}", sha256_hex(OPERATOR_KEY)),
            format!("--entry-ttl-ms={}", self.settings.entry_ttl_ms),
        ];
        flags.extend(self.settings.router_flags.clone());
        flags.extend_from_slice(extra_flags);
        let process =
            ChildProcess::start_with("sapphiretrackd", &flags, &self.settings.router_variables);
        let line = process.wait_line("event=\"100\"").await;
        let vm = VmRecord {
            name: name.to_owned(),
            zone: zone(index),
            address: address_field(&line, "callers"),
            role: VmRole::Router {
                peer_address: address_field(&line, "peers"),
                operator_address: address_field(&line, "operators"),
            },
            state: VmState::Live,
        };
        Member { process, vm }
    }

    /// Replaces the platform's list of VMs by the current members.
    pub async fn publish(&self) {
        let members = self.servers.iter().chain(&self.routers);
        let list = VmList {
            vms: members.map(|member| member.vm.clone()).collect(),
        };
        post_json(&format!("http://{}/fake/vms", self.platform_address), &list).await;
    }
}

/// The contract of the test customer with a rate limit in requests per second, as TOML.
pub fn contract_toml(requests_per_s: u32) -> String {
    format!(
        r#"customer = "teranga"
caller_keys_sha256 = ["{}"]
pools = ["assistant", "plant"]
default_class = "floor"

[limits]
requests_per_s = {requests_per_s}
tokens_per_s = 1000000
in_flight = 200

[classes.urgent]
priority = 0
deadline_ms = 20000

[classes.floor]
priority = 1
deadline_ms = 20000

[[non_idempotent]]
pool = "plant"
path_prefix = "/labels/print"
"#,
        sha256_hex(CALLER_KEY)
    )
}

async fn start_fake(kind: &str, flags: &[String]) -> (ChildProcess, SocketAddr) {
    let mut arguments = vec![kind.to_owned()];
    arguments.extend_from_slice(flags);
    let process = ChildProcess::start("sapphiretrack-fakes", &arguments);
    let line = process.wait_line("listening ").await;
    let address = line
        .trim_start_matches("listening ")
        .parse()
        .expect("the line ends with an address");
    (process, address)
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % 3)
}

fn address_field(line: &str, name: &str) -> SocketAddr {
    let marker = format!(" {name}=\"");
    let start = line.find(&marker).expect("the line has the field") + marker.len();
    let end = line[start..]
        .find('"')
        .expect("the field ends with a quote")
        + start;
    line[start..end].parse().expect("the field is an address")
}
