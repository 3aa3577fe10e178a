//! Routers as processes, with stand-ins of platform and engines in this one.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphiretrack_core::{PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_fakes::{EngineSettings, FakeEngine, FakePlatform, PlatformSettings};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, Status};

/// The key of the callers.
pub(crate) const CALLER_KEY: &str = "caller-key-of-the-cell-runs";
const OPERATOR_KEY: &str = "operator-key-of-the-cell-runs";
const CELL_KEY: &str = "cell-key-of-the-cell-runs";
/// How long a step of the set-up may take.
const LIMIT: Duration = Duration::from_secs(60);

/// A line of a router's log, with when it came.
#[derive(Clone, Debug)]
struct LogLine {
    at: Instant,
    text: String,
}

/// A router process.
pub(crate) struct RouterProcess {
    pub(crate) name: String,
    pub(crate) vm: VmRecord,
    child: Child,
    lines: Arc<Mutex<Vec<LogLine>>>,
}

impl RouterProcess {
    /// Starts a router and waits until it serves.
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
        let kept = lines.clone();
        let output = child.stderr.take().ok_or("the router has no log")?;
        std::thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                let at = Instant::now();
                let mut lines = kept.lock().unwrap_or_else(PoisonError::into_inner);
                lines.push(LogLine { at, text });
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
        let started = router.wait_event(100, "", Instant::now());
        let (_, line) = started.ok_or_else(|| format!("{name} does not start"))?;
        router.vm.address = field(&line, "callers")?;
        router.vm.role = VmRole::Router {
            peer_address: field(&line, "peers")?,
            operator_address: field(&line, "operators")?,
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

    /// Waits for an event whose line holds `text` and came after `since`.
    pub(crate) fn wait_event(
        &self,
        number: u16,
        text: &str,
        since: Instant,
    ) -> Option<(Duration, String)> {
        let event = format!("event=\"{number}\"");
        let until = Instant::now() + LIMIT;
        while Instant::now() < until {
            let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            let found = lines.iter().find(|line| {
                line.at >= since && line.text.contains(&event) && line.text.contains(text)
            });
            if let Some(line) = found {
                return Some((line.at - since, line.text.clone()));
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

/// A cell: routers as processes, the rest in this process.
pub(crate) struct Cell {
    pub(crate) platform: FakePlatform,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) routers: Vec<RouterProcess>,
    started: usize,
}

impl Cell {
    /// Starts a cell and waits until every router sees all of it.
    pub(crate) async fn start(routers: usize, engines: usize) -> Result<Self, String> {
        let platform = FakePlatform::start(PlatformSettings::default())
            .await
            .map_err(|error| error.to_string())?;
        let mut cell = Self {
            platform,
            engines: Vec::new(),
            routers: Vec::new(),
            started: 0,
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
        cell.wait_settled().await?;
        cell.apply_contract().await?;
        Ok(cell)
    }

    /// Starts one more router.
    pub(crate) fn add_router(&mut self) -> Result<(), String> {
        let name = format!("router-{}", self.started);
        let router = RouterProcess::start(&name, self.started, &self.platform)?;
        self.started += 1;
        self.routers.push(router);
        Ok(())
    }

    /// Starts a router anew under a name that one had before.
    pub(crate) fn start_again(&mut self, name: &str) -> Result<(), String> {
        let router = RouterProcess::start(name, self.started, &self.platform)?;
        self.started += 1;
        self.routers.push(router);
        Ok(())
    }

    /// Gives the platform the list as it stands.
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

    /// Waits until every router sees all routers and engines.
    pub(crate) async fn wait_settled(&self) -> Result<(), String> {
        let until = Instant::now() + LIMIT;
        for router in &self.routers {
            loop {
                if let Ok(status) = operator(router).status().await
                    && status.routers.len() == self.routers.len()
                    && live_servers(&status) == self.engines.len()
                    && status.routers.iter().all(|line| line.state == "live")
                {
                    break;
                }
                if Instant::now() > until {
                    return Err(String::from("the cell does not settle"));
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
        let first = self.routers.first().ok_or("there is no router")?;
        let reply = operator(first).apply(&request).await;
        reply.map_err(|error| error.to_string())?;
        for router in &self.routers {
            let until = Instant::now() + LIMIT;
            while operator(router)
                .status()
                .await
                .is_ok_and(|status| status.config_version == 0)
            {
                if Instant::now() > until {
                    return Err(String::from("the contract does not come into force"));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

/// An operators' client of a router.
pub(crate) fn operator(router: &RouterProcess) -> OperatorClient {
    let VmRole::Router {
        operator_address, ..
    } = router.vm.role
    else {
        unreachable!("a router's line says router");
    };
    OperatorClient::new(&format!("http://{operator_address}"), OPERATOR_KEY, 5_000)
}

/// How many servers a router takes for live.
pub(crate) fn live_servers(status: &Status) -> usize {
    let live = status
        .servers
        .iter()
        .filter(|server| server.state == "live");
    live.count()
}

fn field(line: &str, name: &str) -> Result<SocketAddr, String> {
    let marker = format!(" {name}=\"");
    let missing = || format!("no {name} in {line:?}");
    let (_, rest) = line.split_once(&marker).ok_or_else(missing)?;
    let (value, _) = rest.split_once('"').ok_or_else(missing)?;
    value.parse().map_err(|_| missing())
}
