//! A cell whose routers are child processes and whose platform and engines are fakes in this
//! process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphiretrack_core::{PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_fakes::{EngineSettings, FakeEngine, FakePlatform, PlatformSettings};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, Status};

/// The caller key of the one customer.
pub(crate) const CALLER_KEY: &str = "caller-key-of-the-cell-runs";
const OPERATOR_KEY: &str = "operator-key-of-the-cell-runs";
const CELL_KEY: &str = "cell-key-of-the-cell-runs";
/// The timeout of each wait: for a log event, for the status of all routers, for the contract.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A line of a router's log with the time of its arrival.
#[derive(Clone, Debug)]
struct LogLine {
    arrived: Instant,
    text: String,
}

/// A router as a child process; it is killed on drop.
pub(crate) struct RouterProcess {
    pub(crate) name: String,
    pub(crate) vm: VmRecord,
    child: Child,
    lines: Arc<Mutex<Vec<LogLine>>>,
}

impl RouterProcess {
    /// Starts a router and waits for the log event with its addresses.
    fn start(name: &str, index: usize, platform: &FakePlatform) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let program = program.with_file_name("sapphiretrackd");
        let zone = format!("zone-{}", index % 3);
        let mut child = Command::new(&program)
            .args([
                format!("--router-name={name}"),
                format!("--zone={zone}"),
                String::from("--caller-address=127.0.0.1:0"),
                String::from("--operator-address=127.0.0.1:0"),
                String::from("--peer-address=127.0.0.1:0"),
                format!("--platform-url={}", platform.url()),
                format!("--cell-key={CELL_KEY}"),
                format!("--operator-key-sha256={}", sha256_hex(OPERATOR_KEY)),
                String::from("--entry-ttl-ms=300"),
            ])
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let lines: Arc<Mutex<Vec<LogLine>>> = Arc::default();
        let shared_lines = lines.clone();
        let output = child
            .stderr
            .take()
            .ok_or("the router's standard error is not captured")?;
        std::thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                let arrived = Instant::now();
                let mut lines = shared_lines.lock().unwrap_or_else(PoisonError::into_inner);
                lines.push(LogLine { arrived, text });
            }
        });
        let mut router = Self {
            name: name.to_owned(),
            vm: VmRecord {
                name: name.to_owned(),
                zone,
                address: SocketAddr::from(([127, 0, 0, 1], 0)),
                role: VmRole::Router {
                    peer_address: SocketAddr::from(([127, 0, 0, 1], 0)),
                    operator_address: SocketAddr::from(([127, 0, 0, 1], 0)),
                },
                state: VmState::Live,
            },
            child,
            lines,
        };
        let started = router.wait_for_event(100, "", Instant::now());
        let (_, line) =
            started.ok_or_else(|| format!("{name} logged no start within {WAIT_TIMEOUT:?}"))?;
        router.vm.address = address_field(&line, "callers")?;
        router.vm.role = VmRole::Router {
            peer_address: address_field(&line, "peers")?,
            operator_address: address_field(&line, "operators")?,
        };
        Ok(router)
    }

    /// The process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub(crate) fn signal(&self, name: &str) -> Result<(), String> {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .map_err(|error| error.to_string())?;
        if status.success() {
            return Ok(());
        }
        Err(format!("kill -{name} failed"))
    }

    /// Waits for a log line of an event that contains `text` and arrived at `since` or later.
    ///
    /// Returns the time from `since` to its arrival, and the line; `None` on a timeout.
    pub(crate) fn wait_for_event(
        &self,
        number: u16,
        text: &str,
        since: Instant,
    ) -> Option<(Duration, String)> {
        let event = format!("event=\"{number}\"");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            let found = lines.iter().find(|line| {
                line.arrived >= since && line.text.contains(&event) && line.text.contains(text)
            });
            if let Some(line) = found {
                return Some((line.arrived - since, line.text.clone()));
            }
            drop(lines);
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// A cell: routers as child processes, fakes of platform and engines in this process.
pub(crate) struct Cell {
    pub(crate) platform: FakePlatform,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) routers: Vec<RouterProcess>,
    started_routers: usize,
}

impl Cell {
    /// Starts a cell, waits until every router lists all of it as live, and applies a contract.
    pub(crate) async fn start(routers: usize, engines: usize) -> Result<Self, String> {
        let platform = FakePlatform::start(PlatformSettings::default())
            .await
            .map_err(|error| error.to_string())?;
        let mut cell = Self {
            platform,
            engines: Vec::new(),
            routers: Vec::new(),
            started_routers: 0,
        };
        for _ in 0..engines {
            let engine = FakeEngine::start(EngineSettings::default()).await;
            cell.engines
                .push(engine.map_err(|error| error.to_string())?);
        }
        for _ in 0..routers {
            cell.add_router()?;
        }
        cell.publish();
        cell.wait_until_all_live().await?;
        cell.apply_contract().await?;
        Ok(cell)
    }

    /// Starts a router under a new name; the platform lists it after [`Self::publish`].
    pub(crate) fn add_router(&mut self) -> Result<(), String> {
        let name = format!("router-{}", self.started_routers);
        let router = RouterProcess::start(&name, self.started_routers, &self.platform)?;
        self.started_routers += 1;
        self.routers.push(router);
        Ok(())
    }

    /// Starts a router under the name of an earlier one.
    pub(crate) fn restart_router(&mut self, name: &str) -> Result<(), String> {
        let router = RouterProcess::start(name, self.started_routers, &self.platform)?;
        self.started_routers += 1;
        self.routers.push(router);
        Ok(())
    }

    /// Sets the platform's list of VMs to the current routers and engines.
    pub(crate) fn publish(&self) {
        let routers = self.routers.iter().map(|router| router.vm.clone());
        let engines = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| VmRecord {
                name: format!("engine-{index}"),
                zone: format!("zone-{}", index % 3),
                address: engine.address(),
                role: VmRole::Server {
                    pool: String::from("assistant"),
                    kind: PoolKind::Engine,
                },
                state: VmState::Live,
            });
        self.platform.set_vms(routers.chain(engines).collect());
    }

    /// Waits until every router lists all routers and engines as live.
    pub(crate) async fn wait_until_all_live(&self) -> Result<(), String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for router in &self.routers {
            loop {
                if let Ok(status) = operator_client(router).status().await
                    && status.routers.len() == self.routers.len()
                    && live_server_count(&status) == self.engines.len()
                    && status.routers.iter().all(|line| line.state == "live")
                {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(String::from(
                        "the routers do not list all VMs of the cell as live",
                    ));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn apply_contract(&self) -> Result<(), String> {
        let contract_toml = format!(
            "customer = \"teranga\"\ncaller_keys_sha256 = [\"{}\"]\npools = [\"assistant\"]\n\
             default_class = \"floor\"\n[limits]\nrequests_per_s = 100000\n\
             tokens_per_s = 100000000\nin_flight = 10000\n\
             [classes.floor]\npriority = 1\ndeadline_ms = 20000\n",
            sha256_hex(CALLER_KEY)
        );
        let request = ApplyContract {
            change_id: String::from("first"),
            operator: String::from("bench"),
            seen_version: 0,
            contract_toml,
        };
        let first = self.routers.first().ok_or("the cell has no router")?;
        let reply = operator_client(first).apply(&request).await;
        reply.map_err(|error| error.to_string())?;
        for router in &self.routers {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while operator_client(router)
                .status()
                .await
                .is_ok_and(|status| status.config_version == 0)
            {
                if Instant::now() > deadline {
                    return Err(String::from("the contract is not in force on every router"));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

/// A client of a router's operator interface.
pub(crate) fn operator_client(router: &RouterProcess) -> OperatorClient {
    let VmRole::Router {
        operator_address, ..
    } = router.vm.role
    else {
        unreachable!("the VM record of a router has the role of a router");
    };
    OperatorClient::new(&format!("http://{operator_address}"), OPERATOR_KEY, 5_000)
}

/// The number of servers that a router's status lists as live.
pub(crate) fn live_server_count(status: &Status) -> usize {
    let live = status
        .servers
        .iter()
        .filter(|server| server.state == "live");
    live.count()
}

fn address_field(line: &str, name: &str) -> Result<SocketAddr, String> {
    let marker = format!(" {name}=\"");
    let missing = || format!("no address {name:?} in the log line {line:?}");
    let (_, rest) = line.split_once(&marker).ok_or_else(missing)?;
    let (value, _) = rest.split_once('"').ok_or_else(missing)?;
    value.parse().map_err(|_| missing())
}
