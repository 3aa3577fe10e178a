//! The subcommand `soak`.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pico_args::Arguments;
use sapphiretrack_core::{PoolKind, VmRole};
use sapphiretrack_fakes::RunCount;
use sapphiretrack_tests::{Fleet, FleetSettings, get_json};
use tokio::sync::watch;

use crate::load::append_json_line;
use crate::load::{KnownRouters, Load, LoadOutcome, LoadReport, Violation, ViolationKind};
use crate::soak::deployment::DEPLOYMENTS;
use crate::soak::evidence::{ChangeState, Evidence, VersionSeen};
use crate::soak::injector::Injector;
use crate::soak::operators::{Change, resolve_outcome};
use crate::soak::plan::plan;
use crate::soak::report::SoakReport;
use crate::soak::settings::{SoakSettings, parse_soak_settings};
use crate::soak::violations::find_violations;
use crate::soak::watch::{WatchList, watch_versions};

const HELP: &str = "\
sapphiretrack-bench soak: runs a fleet under load and random faults and checks its history

  --minutes N        duration of the load and the faults [10]
  --seed N           seed of the load and the faults [1]
  --routers N        number of routers [9]
  --rate N           mean arrivals per second of each of the two deployments [25]
  --requests N       maximum number of arrivals of each; 0 for no limit [0]
  --faults N         maximum number of faults; 0 for no limit [0]
  --fault-mean-ms N  mean time between two faults [2000]
  --json FILE        appends the report to a file as a JSON line
  --seeds FILE       appends a line to a file if a guarantee was violated
  --show-plan        prints the seed's faults as JSON lines and injects none
  --quiet            accepted without effect: the soak prints no progress

The programs `sapphiretrackd` and `sapphiretrack-fakes` must be in the directory of this one. The
exit code is 0 only if no guarantee was violated, and 1 if one was.
";
/// Delay before the servers' counts are read, for requests that are still on their way to a server.
const LAST_RUNS_DELAY: Duration = Duration::from_secs(1);

/// Runs the subcommand. Returns `false` if a guarantee was violated, and an error if the command
/// line is invalid or a result cannot be written.
pub fn run(mut arguments: Arguments) -> Result<bool, String> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(true);
    }
    let show_plan = arguments.contains("--show-plan");
    let settings = parse_soak_settings(arguments)?;
    if show_plan {
        for fault in plan(&settings) {
            let line = serde_json::to_string(&fault).map_err(|error| error.to_string())?;
            println!("{line}");
        }
        return Ok(true);
    }
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let report = runtime.block_on(soak(&settings));
    print!("{}", report.table());
    if let Some(path) = &settings.json {
        append_json_line(path, &report)?;
    }
    if let Some(path) = &settings.seeds
        && !report.passed()
    {
        append_failing_seed(path, &report)?;
    }
    Ok(report.passed())
}

async fn soak(settings: &SoakSettings) -> SoakReport {
    eprintln!("seed {}", settings.seed);
    let mut evidence = Evidence::default();
    let fleet = start_fleet(settings).await;
    apply_contracts(&fleet, &mut evidence).await;
    let (known, watchlist) = (KnownRouters::default(), WatchList::default());
    let next_change = DEPLOYMENTS.len() as u64;
    let mut injector = Injector::new(fleet, known.clone(), watchlist.clone(), next_change);
    let seen: Arc<Mutex<Vec<VersionSeen>>> = Arc::default();
    let watch_task = tokio::spawn(watch_versions(watchlist, seen.clone()));
    let (load_over_sender, load_over) = watch::channel(false);
    let faults = plan(settings);
    let (outcomes, ()) = tokio::join!(
        async {
            let outcomes = run_loads(settings, &known).await;
            load_over_sender.send_replace(true);
            outcomes
        },
        injector.run(&faults, load_over)
    );
    let loads = record_load_outcomes(settings, outcomes, &mut evidence);
    collect_evidence(&mut injector, &mut evidence).await;
    watch_task.abort();
    evidence.versions = std::mem::take(&mut *seen.lock().unwrap_or_else(PoisonError::into_inner));
    let found = find_violations(&evidence);
    let mut report = SoakReport::new(settings, &evidence, &found);
    report.loads = loads;
    let injected = injector.injected.iter();
    report.faults = injected
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect();
    report
}

async fn start_fleet(settings: &SoakSettings) -> Fleet {
    let mut fleet = Fleet::start_platform(FleetSettings {
        router_flags: vec![String::from("--platform-timeout-ms=1000")],
        ..FleetSettings::default()
    })
    .await;
    for deployment in DEPLOYMENTS {
        for _ in 0..deployment.engines {
            let index = fleet.servers.len();
            fleet
                .add_server("engine", deployment.model, PoolKind::Engine, index)
                .await;
        }
        for _ in 0..deployment.services {
            let index = fleet.servers.len();
            fleet
                .add_server("service", deployment.service, PoolKind::Service, index)
                .await;
        }
    }
    for index in 0..settings.routers {
        fleet.add_router(&format!("router-{index}"), index).await;
    }
    fleet.publish().await;
    fleet.wait_converged().await;
    fleet
}

async fn apply_contracts(fleet: &Fleet, evidence: &mut Evidence) {
    for (number, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        let change = Change {
            deployment,
            operator: fleet.operator(0),
            number: number as u64 + 1,
        };
        evidence.changes.push(change.apply_to(0).await);
    }
    let newest = newest_accepted(evidence);
    fleet
        .wait_status("both contracts in force", |status| {
            status.config_version >= newest
        })
        .await;
}

async fn run_loads(settings: &SoakSettings, known: &KnownRouters) -> Vec<LoadOutcome> {
    let [first, second] = DEPLOYMENTS.map(|deployment| {
        let load = Load::new(deployment.load(settings), known);
        load.run()
    });
    let (first, second) = tokio::join!(first, second);
    vec![first, second]
}

fn record_load_outcomes(
    settings: &SoakSettings,
    outcomes: Vec<LoadOutcome>,
    evidence: &mut Evidence,
) -> BTreeMap<String, LoadReport> {
    let mut loads = BTreeMap::new();
    for (deployment, outcome) in DEPLOYMENTS.iter().zip(outcomes) {
        let report = LoadReport::new(&deployment.load(settings), &outcome);
        evidence.violations.extend(report.violations.clone());
        evidence.requests.extend(outcome.history);
        loads.insert(deployment.customer.to_owned(), report);
    }
    loads
}

/// Collects the final state of the fleet after all faults have been removed.
async fn collect_evidence(injector: &mut Injector, evidence: &mut Evidence) {
    while let Some(stop) = injector.stops.join_next().await {
        evidence.stops.extend(stop.ok());
    }
    while let Some(change) = injector.changes.join_next().await {
        evidence.changes.extend(change.ok().flatten());
    }
    evidence.killed = injector.killed.clone();
    let fleet = &injector.fleet;
    if !fleet.converges().await {
        let detail = String::from("not all routers see all routers and servers");
        let violation = Violation::new(ViolationKind::NotSettled, detail);
        evidence.violations.push(violation);
    }
    for change in &mut evidence.changes {
        if change.state == ChangeState::Unresolved {
            change.state = resolve_outcome(&fleet.operator(0), &change.change_id).await;
        }
    }
    let newest = newest_accepted(evidence);
    if !fleet
        .eventually(|status| status.config_version >= newest)
        .await
    {
        let detail = format!("version {newest} is not in force on all routers");
        let violation = Violation::new(ViolationKind::ChangeLost, detail);
        evidence.violations.push(violation);
    }
    tokio::time::sleep(LAST_RUNS_DELAY).await;
    collect_runs(fleet, evidence).await;
    collect_configuration(fleet, evidence).await;
}

async fn collect_runs(fleet: &Fleet, evidence: &mut Evidence) {
    for server in &fleet.servers {
        let address = server.vm.address;
        let VmRole::Server { kind, .. } = &server.vm.role else {
            continue;
        };
        match kind {
            PoolKind::Service => {
                let runs: Vec<RunCount> = get_json(&format!("http://{address}/fake/runs")).await;
                for run in runs {
                    *evidence.runs.entry(run.order).or_default() += run.runs;
                }
            }
            PoolKind::Engine => {
                let url = format!("http://{address}/fake/started-chats");
                let started: Vec<String> = get_json(&url).await;
                evidence.started_chats.extend(started);
            }
        }
    }
}

async fn collect_configuration(fleet: &Fleet, evidence: &mut Evidence) {
    for (index, router) in fleet.routers.iter().enumerate() {
        let (operator, name) = (fleet.operator(index), &router.vm.name);
        let history = operator.history().await.unwrap_or_default();
        let changes = history.into_iter();
        let changes = changes.map(|line| (line.version, line.change_id)).collect();
        evidence.histories.insert(name.clone(), changes);
        for deployment in DEPLOYMENTS {
            let customer = deployment.customer;
            let shown = operator.show(customer).await;
            let version = shown.map_or(0, |shown| shown.version);
            let key = (name.clone(), customer.to_owned());
            evidence.contract_versions.insert(key, version);
        }
    }
}

fn newest_accepted(evidence: &Evidence) -> u64 {
    let versions = evidence.changes.iter().map(|change| match change.state {
        ChangeState::Accepted(version) => version,
        ChangeState::Refused | ChangeState::Unresolved => 0,
    });
    versions.max().unwrap_or_default()
}

fn append_failing_seed(path: &Path, report: &SoakReport) -> Result<(), String> {
    let with_path = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut file = std::fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(path)
        .map_err(with_path)?;
    writeln!(file, "{}", report.failure_line()).map_err(with_path)
}
