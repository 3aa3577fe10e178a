//! Rows of another writer among those that the daemon reads from the platform: the others hold, and each odd row is
//! reported.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use sapphiretrack_core::{
    CLAIM_RETENTION_MS, Change, Contract, EngineGoal, FencingCheck, FleetConfig, parse_contract,
};
use sapphiretrack_fakes::{FakePlatform, PlatformSettings};
use sapphiretrack_platform::wire::{TransactRequest, Write};
use sapphiretrack_platform::{
    ClaimStore, ConfigurationStore, GoalStore, KnownConfig, PlatformClient, Settings,
    UnusableRowReporter,
};
use sapphiretrack_tests::contract_toml;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Values that are of no kind of row.
const ODD_VALUES: [&str; 6] = [
    "",
    "no JSON",
    "null",
    "[[[[",
    "{\"version\":1e400}",
    "{\"version\":-1}",
];

/// The keys of the rows that were reported.
type Reported = Arc<Mutex<BTreeSet<String>>>;

async fn start() -> (FakePlatform, PlatformClient, Reported) {
    let settings = PlatformSettings {
        writes_per_s: 100_000,
        reads_per_s: 100_000,
        ..PlatformSettings::default()
    };
    let platform = FakePlatform::start(settings)
        .await
        .expect("the fake platform starts");
    let (client, reported) = client_of(platform.url());
    (platform, client, reported)
}

fn client_of(url: String) -> (PlatformClient, Reported) {
    let reported = Reported::default();
    let seen = reported.clone();
    let reporter = UnusableRowReporter::new(move |key, reason| {
        assert!(!reason.is_empty());
        seen.lock().expect("not poisoned").insert(key.to_owned());
    });
    let client = PlatformClient::new(Settings {
        url,
        timeout_ms: 20_000,
    });
    (client.with_reporter(reporter), reported)
}

async fn put(client: &PlatformClient, rows: Vec<(String, String)>) {
    let writes = rows
        .into_iter()
        .map(|(key, value)| Write::Put { key, value });
    let request = TransactRequest {
        conditions: Vec::new(),
        writes: writes.collect(),
    };
    client
        .transact(&request)
        .await
        .expect("the rows are written");
}

/// Writes odd rows before, among and after those with a prefix. Returns their keys.
async fn put_odd(client: &PlatformClient, prefix: &str) -> BTreeSet<String> {
    let rows = ODD_VALUES.iter().enumerate().flat_map(|(index, value)| {
        let places = ["!", "engine-1", "~"].map(|place| format!("{prefix}{place} &+#%{index}"));
        places.map(|key| (key, (*value).to_owned()))
    });
    let rows: Vec<(String, String)> = rows.collect();
    let keys = rows.iter().map(|(key, _)| key.clone()).collect();
    put(client, rows).await;
    keys
}

fn take(reported: &Reported) -> BTreeSet<String> {
    std::mem::take(&mut *reported.lock().expect("not poisoned"))
}

/// Guards against one odd goal or check after which no engine gets a goal any more.
#[tokio::test]
async fn odd_goals_and_checks_hide_no_others() {
    let (_platform, client, reported) = start().await;
    let store = GoalStore::new(client.clone());
    let goal = EngineGoal {
        stopped: true,
        ..EngineGoal::default()
    };
    for engine in ["engine-1", "engine-2"] {
        store
            .set_goal(engine, &goal)
            .await
            .expect("the goal is written");
    }
    store
        .set_check("pool-1", FencingCheck::Checks)
        .await
        .expect("the check is written");
    let mut odd = put_odd(&client, "engine/goal/").await;
    odd.extend(put_odd(&client, "engine/check/").await);
    let goals = store.load().await.expect("the goals are read");
    let engines: Vec<&String> = goals.goals.keys().collect();
    assert_eq!(engines, ["engine-1", "engine-2"]);
    assert_eq!(goals.checks.len(), 1);
    assert_eq!(take(&reported), odd);
}

fn contract_of(customer: &str) -> Contract {
    let mut contract = parse_contract(&contract_toml(5)).expect("the contract is valid");
    contract.customer = customer.to_owned();
    contract
}

async fn accept(store: &ConfigurationStore, customer: &str, held: &FleetConfig) {
    let known = KnownConfig {
        config: Arc::new(held.clone()),
        newest_version: held.version,
    };
    let change = Change::Contract {
        contract: Box::new(contract_of(customer)),
        seen_version: 0,
    };
    let outcome = store.apply(customer, "amina", &change, 7, &known).await;
    outcome.expect("the change is accepted");
}

/// Guards against one odd row of the configuration after which no router gets a configuration, or writes back the one that
/// it holds.
#[tokio::test]
async fn odd_rows_of_the_configuration_hide_no_others() {
    let (platform, client, reported) = start().await;
    let store = ConfigurationStore::new(client.clone());
    platform.save();
    let mut held = FleetConfig::default();
    for customer in ["teranga", "tempering"] {
        accept(&store, customer, &held).await;
        held = store.load().await.expect("the configuration is read");
    }
    let mut odd = put_odd(&client, "config/contract/").await;
    odd.extend(put_odd(&client, "config/history/").await);
    let expected = held.clone();
    let read = store.load().await.expect("the configuration is read");
    assert_eq!(read.contracts, expected.contracts);
    let read = store
        .load_since(&held)
        .await
        .expect("the configuration is read");
    assert_eq!(read.contracts, expected.contracts);
    assert_eq!(store.history().await.expect("the history is read").len(), 2);
    assert_eq!(take(&reported), odd);
    // The platform is restored to its first state, with odd rows in it.
    platform.restore();
    put_odd(&client, "config/contract/").await;
    let republished = store.republish(&held, "router-1", 9).await;
    assert!(republished.expect("it is written back").is_some());
    let read = store.load().await.expect("the configuration is read");
    assert_eq!(read.contracts, expected.contracts);
}

/// Guards against one odd row after which claims are kept without end.
#[tokio::test]
async fn odd_ages_of_claims_stop_no_sweep() {
    let (_platform, client, reported) = start().await;
    let store = ClaimStore::new(client.clone());
    let odd = put_odd(&client, "claim-expiry/").await;
    let swept = store.sweep(CLAIM_RETENTION_MS * 2).await.expect("a sweep");
    assert_eq!(swept.deleted, 0);
    assert_eq!(take(&reported), odd);
}

/// Guards against rows that end a scan, or hide those after them, at the end of a page.
#[tokio::test]
async fn odd_keys_at_a_pages_end_end_no_scan() {
    const PAGE_ROWS: usize = 1_000;
    let (_platform, client, _) = start().await;
    let mut keys = BTreeSet::new();
    for number in 0..2 * PAGE_ROWS {
        let odd = ["", " ", "&", "+#%", "\u{0}", "\u{10ffff}", "\"\\", "\r\n"][number % 8];
        keys.insert(format!("x/{number:05}{odd}"));
    }
    let rows: Vec<(String, String)> = keys
        .iter()
        .map(|key| (key.clone(), String::new()))
        .collect();
    for rows in rows.chunks(100) {
        put(&client, rows.to_vec()).await;
    }
    let read = client.scan("x/").await.expect("the rows are read");
    let read: BTreeSet<String> = read.into_iter().map(|row| row.key).collect();
    assert_eq!(read, keys);
}

/// Guards against one odd record after which a router knows no VM.
#[tokio::test]
async fn odd_records_of_vms_hide_no_others() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let nested = format!("{}{}", "[".repeat(9_000), "]".repeat(9_000));
    let vm = |name: &str, address: &str| {
        format!(
            r#"{{"name":"{name}","zone":"zone-1","address":"{address}","role":{{"server":{{"pool":"p","kind":"service"}}}},"state":"live"}}"#
        )
    };
    let records = [
        vm("router-1", "127.0.0.1:80"),
        vm("odd port", "127.0.0.1:70000"),
        nested,
        "null".to_owned(),
        r#"{"name":"odd &+#%"}"#.to_owned(),
        vm("router-2", "127.0.0.1:81"),
    ];
    let body = format!(r#"{{"vms":[{}]}}"#, records.join(","));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            drop(stream.read(&mut [0; 4_096]).await);
            let length = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            drop(stream.write_all(answer.as_bytes()).await);
        }
    });
    let (client, reported) = client_of(format!("http://{address}"));
    let vms = client.vms().await.expect("the list is read").vms;
    let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
    assert_eq!(names, ["router-1", "router-2"]);
    let reported = take(&reported);
    assert!(
        reported.contains("vms/odd &+#%") && reported.contains("vms/odd port"),
        "{reported:?}"
    );
}
