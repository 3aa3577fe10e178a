//! Measures the configuration of router processes: the time until a change is in force on all nine
//! routers, its load on the platform and the control network, and memory for 24,000 customers.
//!
//! `cargo build --release --workspace --bins && cargo bench -p sapphiretrack-tests --bench
//! configuration -- in-force` (or `memory`).

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphiretrack_core::{Change, Contract, FleetConfig, HistoryEntry, parse_contract};
use sapphiretrack_fakes::PlatformCalls;
use sapphiretrack_fakes::PlatformFaults;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use sapphiretrack_platform::{ConfigurationStore, PlatformClient, Settings};
use sapphiretrack_tests::{Fleet, FleetSettings, contract_toml, get_text};

const ROUTERS: usize = 9;
/// Number of changes per scenario.
const CHANGES: u32 = 200;
const CUSTOMERS: u32 = 24_000;
/// Number of different class tables among the customers.
const CLASS_TABLES: u32 = 24;
/// How long the costs of an idle fleet are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[tokio::main]
async fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let runs = |name: &str| selected.iter().any(|argument| argument == name);
    if runs("in-force") {
        measure_in_force().await;
    }
    if runs("memory") {
        measure_memory().await;
    }
    if !runs("in-force") && !runs("memory") {
        println!("choose: in-force, memory");
    }
}

/// A fault of the platform during the changes.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    delay_ms: u64,
    down_after_accept: bool,
}

async fn measure_in_force() {
    let fleet = Fleet::start(FleetSettings {
        routers: ROUTERS,
        engines: 0,
        services: 0,
        ..FleetSettings::default()
    })
    .await;
    let before = Costs::read(&fleet).await;
    tokio::time::sleep(IDLE_PERIOD).await;
    Costs::read(&fleet).await.print_since(&before, "idle");
    let scenarios = [
        ("healthy", 0, false),
        ("slow by 300 ms a call", 300, false),
        ("down right after the accept", 0, true),
    ];
    let mut version = 0;
    for (name, delay_ms, down_after_accept) in scenarios {
        let scenario = Scenario {
            name,
            delay_ms,
            down_after_accept,
        };
        version = measure_scenario(&fleet, scenario, version).await;
    }
}

async fn measure_scenario(fleet: &Fleet, scenario: Scenario, mut version: u64) -> u64 {
    let base_faults = PlatformFaults {
        delay_ms: scenario.delay_ms,
        ..PlatformFaults::default()
    };
    let outage = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    fleet.set_faults(fleet.platform_address, &base_faults).await;
    let before = Costs::read(fleet).await;
    let mut in_force_ms: Vec<u64> = Vec::new();
    for number in 0..CHANGES {
        let request = ApplyContract {
            change_id: format!("{}-{number}", scenario.name.replace(' ', "-")),
            operator: String::from("bench"),
            seen_version: version,
            contract_toml: contract_toml(1_000 + number),
        };
        let router = number as usize % ROUTERS;
        let reply = fleet.operator(router).apply(&request).await;
        let accepted_at = Instant::now();
        let Ok(ChangeReply::Accepted { version: made }) = reply else {
            panic!("{}: change {number}: {reply:?}", scenario.name);
        };
        version = made;
        if scenario.down_after_accept {
            fleet.set_faults(fleet.platform_address, &outage).await;
        }
        wait_in_force(fleet, version).await;
        in_force_ms.push(accepted_at.elapsed().as_millis() as u64);
        if scenario.down_after_accept {
            fleet.set_faults(fleet.platform_address, &base_faults).await;
        }
    }
    in_force_ms.sort_unstable();
    let at = |percent: usize| in_force_ms[(in_force_ms.len() - 1) * percent / 100];
    println!(
        "{}: {CHANGES} changes, in force on the last of {ROUTERS}: p50 {} ms, p99 {} ms, max {} ms",
        scenario.name,
        at(50),
        at(99),
        at(100)
    );
    Costs::read(fleet).await.print_since(&before, scenario.name);
    version
}

async fn wait_in_force(fleet: &Fleet, version: u64) {
    for router in 0..ROUTERS {
        let operator = fleet.operator(router);
        while operator
            .status()
            .await
            .is_ok_and(|status| status.config_version < version)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Platform calls and control traffic since the start of the fleet.
struct Costs {
    at: Instant,
    platform_calls: PlatformCalls,
    control_bytes: u64,
}

impl Costs {
    async fn read(fleet: &Fleet) -> Self {
        let url = format!("http://{}/fake/calls", fleet.platform_address);
        let calls = get_text(&url).await;
        let mut control_bytes = 0;
        for router in 0..fleet.routers.len() {
            let text = get_text(&format!("{}/metrics", fleet.operator_url(router))).await;
            let lines = text
                .lines()
                .filter(|line| line.contains("control_bytes_total{"));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            control_bytes += values.sum::<f64>() as u64;
        }
        Self {
            at: Instant::now(),
            platform_calls: serde_json::from_str(&calls).expect("the counts are JSON"),
            control_bytes,
        }
    }

    fn print_since(&self, before: &Self, name: &str) {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let reads = self.platform_calls.reads - before.platform_calls.reads;
        let writes = self.platform_calls.writes - before.platform_calls.writes;
        let bytes = (self.control_bytes - before.control_bytes) as f64 / ROUTERS as f64;
        println!(
            "{name}: {seconds:.1} s, table and object reads {:.2}/s, writes {:.2}/s, peer request bytes {:.0}/s per router",
            reads as f64 / seconds,
            writes as f64 / seconds,
            bytes / seconds
        );
    }
}

async fn measure_memory() {
    let mut fleet = Fleet::start(FleetSettings {
        routers: 1,
        engines: 0,
        services: 0,
        ..FleetSettings::default()
    })
    .await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    println!("one customer: {} kB resident", resident_kb(&fleet, 0));
    let platform = PlatformClient::new(Settings {
        url: format!("http://{}", fleet.platform_address),
        timeout_ms: 60_000,
    });
    let store = ConfigurationStore::new(platform);
    let written = store.republish(&many_customers(), "bench", 0).await;
    let written = written
        .expect("the platform answers")
        .expect("the configuration is written");
    store
        .write_snapshot(&written)
        .await
        .expect("the snapshot is written");
    let url = format!("http://{}/fake/calls", fleet.platform_address);
    let reads_before = get_text(&url).await;
    let started = Instant::now();
    fleet.restart_router(0).await;
    fleet
        .wait_status("all customers in force", |status| {
            status.config_version >= written.version
        })
        .await;
    println!(
        "{CUSTOMERS} customers: {} kB resident, in force {} ms after the start, platform calls {reads_before} -> {}",
        resident_kb(&fleet, 0),
        started.elapsed().as_millis(),
        get_text(&url).await
    );
    let started = Instant::now();
    let request = ApplyContract {
        change_id: String::from("one-more"),
        operator: String::from("bench"),
        seen_version: 0,
        contract_toml: contract_toml(5).replace("\"teranga\"", "\"one-more\""),
    };
    let reply = fleet
        .operator(0)
        .apply(&request)
        .await
        .expect("the router answers");
    println!(
        "one change: {reply:?} after {} ms",
        started.elapsed().as_millis()
    );
    println!("after it: {} kB resident", resident_kb(&fleet, 0));
}

fn many_customers() -> FleetConfig {
    let contract = parse_contract(&contract_toml(10)).expect("the contract is valid");
    let named = |number: u32| {
        let mut classes = contract.classes.as_ref().clone();
        for class in classes.values_mut() {
            class.deadline_ms += u64::from(number % CLASS_TABLES);
        }
        Contract {
            customer: format!("customer-{number:05}"),
            caller_keys_sha256: vec![sapphiretrack_core::sha256_hex(&number.to_string())],
            classes: Arc::new(classes),
            ..contract.clone()
        }
    };
    let contracts = (0..CUSTOMERS).map(named);
    let last = HistoryEntry {
        version: u64::from(CUSTOMERS),
        change_id: String::from("last"),
        operator: String::from("bench"),
        at_ms: 0,
        change: Change::Contract {
            contract: Box::new(named(CUSTOMERS - 1)),
            seen_version: 0,
        },
    };
    FleetConfig {
        version: u64::from(CUSTOMERS),
        contracts: contracts
            .map(|contract| (contract.customer.clone(), Arc::new(contract)))
            .collect(),
        recent: [Arc::new(last)].into(),
        ..FleetConfig::default()
    }
}

fn resident_kb(fleet: &Fleet, router: usize) -> u64 {
    let path = format!("/proc/{}/status", fleet.routers[router].process.id());
    let status = std::fs::read_to_string(path).expect("the status of the process can be read");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits
        .and_then(|digits| digits.parse().ok())
        .expect("VmRSS is a number")
}
