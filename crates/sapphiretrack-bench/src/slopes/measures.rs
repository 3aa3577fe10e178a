//! The measurements: the usage of routers at several sizes of one quantity.

use std::time::Duration;

use sapphiretrack_fakes::PlatformCalls;
use sapphiretrack_tests::{Fleet, FleetSettings, get_json};
use tokio::time::Instant;

use crate::load::{ClassMix, KnownRouters, Load, LoadSettings};
use crate::slopes::line::{Point, Slope, fit};
use crate::slopes::usage::Usage;
use crate::soak::{Change, DEPLOYMENTS, SoakSettings};

/// The time over which a point is measured.
const WINDOW: Duration = Duration::from_secs(8);
/// The wait before a point, so that work caused by the change of size is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The quantity that a measurement varies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Measure {
    /// Routers of the cell.
    Peers,
    /// Backend servers of the cell.
    Servers,
    /// Contracts in the configuration.
    Contracts,
    /// Requests per second on a router.
    Requests,
    /// Answer tokens per second on a router.
    Tokens,
    /// Non-idempotent service requests per second on a router.
    Orders,
    /// Open streams on a router.
    Streams,
    /// Chats in the placement memory of a router.
    Chats,
}

impl Measure {
    /// All measurements.
    pub(crate) const ALL: [Self; 8] = [
        Self::Peers,
        Self::Servers,
        Self::Contracts,
        Self::Requests,
        Self::Tokens,
        Self::Orders,
        Self::Streams,
        Self::Chats,
    ];

    /// The name on the command line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Peers => "peers",
            Self::Servers => "servers",
            Self::Contracts => "contracts",
            Self::Requests => "requests",
            Self::Tokens => "tokens",
            Self::Orders => "orders",
            Self::Streams => "streams",
            Self::Chats => "chats",
        }
    }

    /// Measures the usage at all sizes and fits the slopes.
    pub(crate) async fn run(self) -> Result<Slope, String> {
        let points = match self {
            Self::Peers => peers().await?,
            Self::Servers => servers().await?,
            Self::Contracts => contracts().await?,
            Self::Requests => request_rates(self, &[0.0, 50.0, 100.0, 200.0]).await?,
            Self::Tokens => tokens().await?,
            Self::Orders => request_rates(self, &[0.0, 30.0, 60.0]).await?,
            Self::Streams => streams().await?,
            Self::Chats => chats().await?,
        };
        Ok(fit(self.name(), points))
    }
}

async fn peers() -> Result<Vec<Point>, String> {
    let mut points = Vec::new();
    for routers in [3, 6, 9, 12] {
        let fleet = start_fleet(routers, 12, "--decode-ms=2").await;
        points.push(measure_point(&fleet, routers as f64).await?);
    }
    Ok(points)
}

async fn servers() -> Result<Vec<Point>, String> {
    let mut points = Vec::new();
    for engines in [4, 16, 40] {
        let fleet = start_fleet(3, engines, "--decode-ms=2").await;
        points.push(measure_point(&fleet, engines as f64).await?);
    }
    Ok(points)
}

async fn contracts() -> Result<Vec<Point>, String> {
    let fleet = start_fleet(3, 4, "--decode-ms=2").await;
    let mut points = vec![measure_point(&fleet, 1.0).await?];
    let mut applied = 1;
    for size in [200_u64, 400, 800] {
        while applied < size {
            applied += 1;
            apply_contract_of_another_customer(&fleet, applied).await?;
        }
        if !fleet
            .eventually(|status| status.config_version >= applied)
            .await
        {
            return Err(format!(
                "the {applied} contracts are not in force on all routers"
            ));
        }
        points.push(measure_point(&fleet, size as f64).await?);
    }
    Ok(points)
}

/// Applies the contract of another customer.
async fn apply_contract_of_another_customer(fleet: &Fleet, number: u64) -> Result<(), String> {
    let toml = DEPLOYMENTS[0].contract_toml(number);
    let toml = toml.replacen("teranga", &format!("customer-{number}"), 1);
    // A caller key belongs to one customer only.
    let key = sapphiretrack_core::sha256_hex(&format!("caller-key-of-customer-{number}"));
    let shared = sapphiretrack_core::sha256_hex("caller-key-of-teranga");
    let request = sapphiretrack_operator::wire::ApplyContract {
        change_id: format!("change-{number}"),
        operator: String::from("slopes"),
        seen_version: 0,
        contract_toml: toml.replace(&shared, &key),
    };
    let reply = fleet.operator(0).apply(&request).await;
    match reply {
        Ok(sapphiretrack_operator::wire::ChangeReply::Accepted { .. }) => Ok(()),
        other => Err(format!("contract {number} was not accepted: {other:?}")),
    }
}

/// Points by the rate of requests per router: chats, or orders for [`Measure::Orders`].
async fn request_rates(measure: Measure, per_router: &[f64]) -> Result<Vec<Point>, String> {
    let fleet = start_fleet(3, 20, "--decode-ms=2").await;
    let mut points = Vec::new();
    for rate in per_router {
        let orders = measure == Measure::Orders;
        let settings = LoadSettings {
            requests_per_s: rate * fleet.routers.len() as f64,
            service_share: if orders { 1.0 } else { 0.0 },
            order_share: 1.0,
            answer_tokens: 8,
            seed: 1 + *rate as u64,
            ..base_load()
        };
        points.push(measure_loaded_point(&fleet, *rate, settings).await?);
    }
    Ok(points)
}

/// Points by the rate of tokens per router, at a constant rate of requests.
async fn tokens() -> Result<Vec<Point>, String> {
    const REQUESTS_PER_S: f64 = 30.0;
    let fleet = start_fleet(3, 20, "--decode-ms=2").await;
    let mut points = Vec::new();
    for answer_tokens in [4, 32, 128] {
        let settings = LoadSettings {
            requests_per_s: REQUESTS_PER_S * fleet.routers.len() as f64,
            service_share: 0.0,
            answer_tokens,
            seed: u64::from(answer_tokens),
            ..base_load()
        };
        let size = REQUESTS_PER_S * f64::from(answer_tokens);
        points.push(measure_loaded_point(&fleet, size, settings).await?);
    }
    Ok(points)
}

/// Points by the open streams on a router; each stream delivers one token per second.
async fn streams() -> Result<Vec<Point>, String> {
    let mut points = Vec::new();
    for streams in [0_u64, 60, 120, 240] {
        let fleet = start_fleet(1, 20, "--decode-ms=1000").await;
        let settings = LoadSettings {
            requests_per_s: 100.0,
            max_requests: streams,
            service_share: 0.0,
            answer_tokens: 25,
            // The streams last 25 s, longer than the deadline of the urgent class.
            classes: vec![ClassMix::new("floor", 1.0, 40_000)],
            ..base_load()
        };
        let known = KnownRouters::new(vec![fleet.caller_url(0)]);
        let load = (streams > 0).then(|| tokio::spawn(Load::new(settings, &known).run()));
        tokio::time::sleep(Duration::from_secs_f64(streams as f64 / 100.0)).await;
        points.push(measure_point(&fleet, streams as f64).await?);
        if let Some(load) = load {
            let outcome = load.await.map_err(|error| error.to_string())?;
            if outcome.statistics.whole() != streams {
                return Err(format!(
                    "{} of {streams} streams were complete",
                    outcome.statistics.whole()
                ));
            }
        }
    }
    Ok(points)
}

/// Points by the chats in the placement memory of a router; meant for the slope of memory.
async fn chats() -> Result<Vec<Point>, String> {
    let fleet = start_fleet(1, 20, "--decode-ms=1").await;
    let known = KnownRouters::new(vec![fleet.caller_url(0)]);
    let mut points = Vec::new();
    let mut served = 0;
    for (round, size) in [4_000_u64, 8_000, 16_000, 24_000].into_iter().enumerate() {
        let settings = LoadSettings {
            requests_per_s: 500.0,
            max_requests: size - served,
            service_share: 0.0,
            returning_share: 0.0,
            answer_tokens: 1,
            seed: 100 + round as u64,
            ..base_load()
        };
        let outcome = Load::new(settings, &known).run().await;
        if outcome.statistics.whole() != size - served {
            return Err(format!(
                "only {} new chats were complete",
                outcome.statistics.whole()
            ));
        }
        served = size;
        points.push(measure_point(&fleet, size as f64).await?);
    }
    Ok(points)
}

fn base_load() -> LoadSettings {
    LoadSettings {
        duration_s: 3_600.0,
        preamble_bytes: 400,
        turn_bytes: 200,
        ..DEPLOYMENTS[0].load(&SoakSettings::default())
    }
}

async fn start_fleet(routers: usize, engines: usize, engine_flag: &str) -> Fleet {
    let fleet = Fleet::start(FleetSettings {
        routers,
        engines,
        services: 3,
        engine_flags: vec![engine_flag.to_owned()],
        ..FleetSettings::default()
    })
    .await;
    let change = Change {
        deployment: DEPLOYMENTS[0],
        operator: fleet.operator(0),
        number: 1,
    };
    let applied = change.apply_to(0).await;
    fleet
        .wait_status("the contract in force", |status| status.config_version >= 1)
        .await;
    eprintln!("{routers} routers, {engines} engines, {:?}", applied.state);
    fleet
}

/// Measures a point under load.
async fn measure_loaded_point(
    fleet: &Fleet,
    size: f64,
    settings: LoadSettings,
) -> Result<Point, String> {
    if settings.requests_per_s == 0.0 {
        return measure_point(fleet, size).await;
    }
    let urls = (0..fleet.routers.len()).map(|router| fleet.caller_url(router));
    let load = Load::new(settings, &KnownRouters::new(urls.collect()));
    let stop = load.stopper();
    let running = tokio::spawn(load.run());
    let point = measure_point(fleet, size).await;
    stop();
    let outcome = running.await.map_err(|error| error.to_string())?;
    let (sent, whole) = (outcome.statistics.sent(), outcome.statistics.whole());
    if whole < sent {
        return Err(format!(
            "{whole} of {sent} requests were complete at size {size}"
        ));
    }
    point
}

/// Measures a point of the fleet as it runs, after a wait.
async fn measure_point(fleet: &Fleet, size: f64) -> Result<Point, String> {
    tokio::time::sleep(SETTLE_TIME).await;
    let started = Instant::now();
    let before = total_router_usage(fleet)?;
    let calls_before = platform_calls(fleet).await;
    tokio::time::sleep(WINDOW).await;
    let after = total_router_usage(fleet)?;
    let calls_after = platform_calls(fleet).await;
    let seconds = started.elapsed().as_secs_f64();
    let routers = fleet.routers.len() as f64;
    let reads = calls_after.reads - calls_before.reads;
    let writes = calls_after.writes - calls_before.writes;
    Ok(Point {
        size,
        cpu_us_per_s: (after.cpu_us - before.cpu_us) / routers / seconds,
        memory_bytes: after.memory_bytes / routers,
        platform_reads_per_s: reads as f64 / routers / seconds,
        platform_writes_per_s: writes as f64 / routers / seconds,
    })
}

fn total_router_usage(fleet: &Fleet) -> Result<Usage, String> {
    let mut sum = Usage::default();
    for router in &fleet.routers {
        let usage = Usage::of(router.process.id())?;
        sum.cpu_us += usage.cpu_us;
        sum.memory_bytes += usage.memory_bytes;
    }
    Ok(sum)
}

/// The platform's reads and writes of table and objects since its start.
async fn platform_calls(fleet: &Fleet) -> PlatformCalls {
    get_json(&format!("http://{}/fake/calls", fleet.platform_address)).await
}
