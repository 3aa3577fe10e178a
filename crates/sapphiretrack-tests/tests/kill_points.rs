//! Kills a router at each step of an order, with and without a fault of the platform.
//!
//! The order must run at most once, and a repeat with its idempotency key at another router must
//! get the right outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sapphiretrack_caller::{CallerClient, ClientError, ReceivedAnswer, RequestOptions};
use sapphiretrack_fakes::{PlatformCalls, PlatformFaults, RunCount, ServiceFaults};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml, get_json, get_text};

/// Longer than any test, so that held messages are held until the router is killed.
const HELD_MS: u64 = 600_000;
/// How long an order may take to reach a step.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// The step of an order at which the router is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The claim has been sent but has had no effect yet.
    BeforeClaim,
    /// The claim is written, but the router does not know it yet.
    BeforeSend,
    /// The service has run the order, but its reply has not arrived yet.
    AfterSend,
    /// The answer is recorded, but the router does not know it yet.
    AfterRecord,
}

/// The state of the platform during the repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlatformState {
    Healthy,
    Down,
    LosesReply,
}

struct Order {
    fleet: Fleet,
    key: String,
    body: String,
}

impl Order {
    fn service(&self) -> SocketAddr {
        let mut servers = self.fleet.servers.iter();
        let service = servers.find(|member| member.vm.name == "service-0");
        service.expect("the fleet has the service").vm.address
    }

    /// Sends the order, and repeats that while there is no capacity yet.
    async fn send(&self, router: usize) -> Result<ReceivedAnswer, ClientError> {
        send(self.fleet.caller_url(router), &self.key, &self.body).await
    }

    async fn set_platform(&self, faults: &PlatformFaults) {
        let address = self.fleet.platform_address;
        self.fleet.set_faults(address, faults).await;
    }

    async fn runs(&self) -> u32 {
        let url = format!("http://{}/fake/runs", self.service());
        let runs: Vec<RunCount> = get_json(&url).await;
        let of_order = runs.iter().filter(|run| run.order.ends_with(&self.body));
        of_order.map(|run| run.runs).sum()
    }

    async fn held(&self) -> u64 {
        let url = format!("http://{}/fake/calls", self.fleet.platform_address);
        get_json::<PlatformCalls>(&url).await.held
    }

    /// Whether the row of the claim exists, and whether it contains an answer.
    async fn claim(&self) -> (bool, bool) {
        let hex: String = self.key.bytes().map(|byte| format!("{byte:02x}")).collect();
        let url = format!("http://{}/fake/rows", self.fleet.platform_address);
        let rows: serde_json::Value =
            serde_json::from_str(&get_text(&url).await).expect("the rows are JSON");
        let rows = rows["rows"].as_array().expect("the rows are a list");
        let is_claim = |row: &&serde_json::Value| {
            let key = row["key"].as_str().unwrap_or_default();
            key.starts_with("claim/") && key.ends_with(&hex)
        };
        let claim = rows.iter().find(is_claim);
        let finished = claim.is_some_and(|row| row["value"].to_string().contains("finished"));
        (claim.is_some(), finished)
    }

    /// Sets the faults that hold the order at the step.
    async fn hold_at(&self, step: Step) {
        let (platform, service) = match step {
            Step::BeforeClaim => (
                PlatformFaults {
                    hold_writes_to: String::from("claim/"),
                    ..PlatformFaults::default()
                },
                ServiceFaults::default(),
            ),
            Step::BeforeSend => (held_replies(), ServiceFaults::default()),
            Step::AfterSend => (PlatformFaults::default(), late_reply(HELD_MS)),
            Step::AfterRecord => (PlatformFaults::default(), late_reply(1_000)),
        };
        self.set_platform(&platform).await;
        self.fleet.set_faults(self.service(), &service).await;
    }

    /// Waits until the order has reached the step.
    async fn wait_reached(&self, step: Step, held_before: u64) {
        let reached = tokio::time::timeout(STEP_TIMEOUT, async {
            match step {
                Step::BeforeClaim => while self.held().await == held_before {},
                Step::BeforeSend => while !self.claim().await.0 {},
                Step::AfterSend => while self.runs().await == 0 {},
                Step::AfterRecord => {
                    while self.runs().await == 0 {}
                    // The service replies only after 1 s, so that the platform's reply to the
                    // record is held, unlike its reply to the claim.
                    self.set_platform(&held_replies()).await;
                    while !self.claim().await.1 {}
                }
            }
        });
        reached.await.expect("the step is reached");
    }
}

fn held_replies() -> PlatformFaults {
    PlatformFaults {
        delay_replies_ms: HELD_MS,
        ..PlatformFaults::default()
    }
}

fn late_reply(late_ms: u64) -> ServiceFaults {
    ServiceFaults {
        late_replies: 1,
        late_ms,
        ..ServiceFaults::default()
    }
}

async fn send(url: String, key: &str, body: &str) -> Result<ReceivedAnswer, ClientError> {
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        idempotency_key: Some(key.to_owned()),
        ..RequestOptions::default()
    };
    let client = CallerClient::new();
    loop {
        let body = Bytes::from(body.to_owned());
        let path = "plant/labels/print";
        let answer = client
            .service(&url, Method::POST, path, body, &options)
            .await?;
        if outcome_and_code(&answer) != ("not-run", "overloaded") {
            return Ok(answer);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn outcome_and_code(answer: &ReceivedAnswer) -> (&str, &str) {
    let code = answer.error.as_ref().map_or("", |body| &body.error.code);
    (&answer.outcome, code)
}

/// Kills a router while an order is at a step; tries again with another order if the answer was
/// quicker than the kill.
async fn kill_at(order: &mut Order, step: Step) {
    for attempt in 0..10 {
        order.key = format!("{}-{attempt}", order.key);
        order.body = format!("{}-{attempt}", order.body);
        order.hold_at(step).await;
        let held_before = order.held().await;
        let (url, key, body) = (
            order.fleet.caller_url(0),
            order.key.clone(),
            order.body.clone(),
        );
        let first = tokio::spawn(async move { send(url, &key, &body).await });
        order.wait_reached(step, held_before).await;
        order.fleet.routers[0].process.kill().await;
        let first = first.await.expect("the task does not panic");
        let no_faults = PlatformFaults::default();
        order.set_platform(&no_faults).await;
        let address = order.service();
        let no_service_faults = ServiceFaults::default();
        order.fleet.set_faults(address, &no_service_faults).await;
        match first {
            Err(ClientError::Broken { .. }) => return,
            other => assert_eq!(step, Step::AfterRecord, "{other:?}"),
        }
        order.fleet.restart_router(0).await;
        order.fleet.wait_converged().await;
    }
    panic!("the answer was always quicker than the kill");
}

async fn check_repeat(order: &Order, step: Step, platform: PlatformState) {
    if platform == PlatformState::Down {
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        order.set_platform(&down).await;
        let refused = order.send(1).await.expect("the router answers");
        assert_eq!(
            outcome_and_code(&refused),
            ("not-run", "platform_unavailable")
        );
        order.set_platform(&PlatformFaults::default()).await;
    }
    if platform == PlatformState::LosesReply {
        let loses = PlatformFaults {
            lose_replies: 1,
            ..PlatformFaults::default()
        };
        order.set_platform(&loses).await;
    }
    let repeat = order.send(1).await.expect("the router answers");
    let (expected, runs) = match step {
        Step::BeforeClaim => (("complete", ""), 1),
        Step::BeforeSend => (("unknown", "already_claimed"), 0),
        Step::AfterSend => (("unknown", "already_claimed"), 1),
        Step::AfterRecord => (("complete", ""), 1),
    };
    let what = format!("{step:?}, platform {platform:?}: {repeat:?}");
    assert_eq!(outcome_and_code(&repeat), expected, "{what}");
    assert_eq!(order.runs().await, runs, "{what}");
    if expected.0 == "complete" {
        assert!(repeat.body.contains("\"run\":1"), "{what}");
    }
}

async fn kill_in_each_platform_state(step: Step) {
    let settings = FleetSettings {
        routers: 2,
        engines: 0,
        router_flags: vec![String::from("--platform-timeout-ms=15000")],
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let mut order = Order {
        fleet,
        key: String::new(),
        body: String::new(),
    };
    for platform in [
        PlatformState::Healthy,
        PlatformState::Down,
        PlatformState::LosesReply,
    ] {
        order.key = format!("key-{platform:?}");
        order.body = format!("lot-{platform:?}");
        kill_at(&mut order, step).await;
        check_repeat(&order, step, platform).await;
        order.fleet.restart_router(0).await;
        order.fleet.wait_converged().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_a_kill_before_the_claim_the_repeat_is_the_first_run() {
    kill_in_each_platform_state(Step::BeforeClaim).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_a_kill_between_claim_and_send_the_order_never_runs() {
    kill_in_each_platform_state(Step::BeforeSend).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_a_kill_after_the_send_the_order_ran_once_and_the_repeat_is_unknown() {
    kill_in_each_platform_state(Step::AfterSend).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_a_kill_after_the_record_the_repeat_gets_the_recorded_answer() {
    kill_in_each_platform_state(Step::AfterRecord).await;
}
