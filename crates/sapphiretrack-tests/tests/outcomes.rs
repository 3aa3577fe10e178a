//! Outcomes of requests to a fleet of processes, with one fault at a time.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_core::PoolKind;
use sapphiretrack_fakes::{EngineFaults, PlatformFaults, ServiceFaults};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, contract_toml, get_text};

const PRINT: &str = "plant/labels/print";

fn options(key: Option<&str>) -> RequestOptions {
    RequestOptions {
        key: CALLER_KEY.to_owned(),
        chat: Some(String::from("line-four")),
        idempotency_key: key.map(str::to_owned),
        ..RequestOptions::default()
    }
}

fn chat_body(model: &str, stream: bool) -> Bytes {
    let body = serde_json::json!({
        "model": model,
        "stream": stream,
        "max_tokens": 6,
        "messages": [{ "role": "user", "content": "how long does batch nine rest" }],
    });
    Bytes::from(body.to_string())
}

/// Sends an order, and repeats that while there is no capacity: the slots of a server that has just
/// joined, or that are handed over to another router, are not available yet.
async fn order(url: &str, path: &str, body: &'static str, key: &str) -> ReceivedAnswer {
    let (client, options) = (CallerClient::new(), options(Some(key)));
    loop {
        let body = Bytes::from_static(body.as_bytes());
        let answer = client.service(url, Method::POST, path, body, &options);
        let answer = answer.await.expect("the router answers");
        if !wait_if_overloaded(&answer).await {
            return answer;
        }
    }
}

/// Sends a chat, and repeats that like [`order`].
async fn chat(url: &str, body: Bytes, key: Option<&str>) -> ReceivedAnswer {
    let (client, options) = (CallerClient::new(), options(key));
    loop {
        let answer = client.chat(url, body.clone(), &options, |_| {});
        let answer = answer.await.expect("the router answers");
        if !wait_if_overloaded(&answer).await {
            return answer;
        }
    }
}

/// Whether the request was refused for lack of capacity; waits a moment if so.
async fn wait_if_overloaded(answer: &ReceivedAnswer) -> bool {
    let full = outcome_and_code(answer) == ("not-run", "overloaded");
    if full {
        assert!(answer.retry_after_s.is_some(), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    full
}

/// The outcome, and the code of the error or an empty string.
fn outcome_and_code(answer: &ReceivedAnswer) -> (&str, &str) {
    let code = answer.error.as_ref().map_or("", |body| &body.error.code);
    (&answer.outcome, code)
}

/// Repeats an order until it is complete; each other answer must allow a repeat.
async fn repeat_until_complete(url: &str, body: &'static str, key: &str) -> ReceivedAnswer {
    let waited = tokio::time::timeout(Duration::from_secs(60), async {
        loop {
            let answer = order(url, PRINT, body, key).await;
            if answer.outcome == "complete" {
                return answer;
            }
            assert!(answer.retry_after_s.is_some(), "{answer:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    waited.await.expect("the order is complete within 60 s")
}

async fn fleet(settings: FleetSettings, contract: &str) -> Fleet {
    let fleet = Fleet::start(settings).await;
    fleet.apply_contract(contract, 0).await;
    fleet
}

fn server(fleet: &Fleet, name: &str) -> std::net::SocketAddr {
    let member = fleet.servers.iter().find(|member| member.vm.name == name);
    member.expect("the fleet has the server").vm.address
}

fn slow_platform(delay_ms: u64) -> PlatformFaults {
    PlatformFaults {
        delay_ms,
        ..PlatformFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_paused_between_claim_and_send_sends_once_and_records_the_answer() {
    let settings = FleetSettings {
        router_flags: vec![String::from("--platform-timeout-ms=15000")],
        ..FleetSettings::default()
    };
    let fleet = fleet(settings, &contract_toml(1_000)).await;
    // The claim takes effect, but its reply arrives while the router is paused.
    let faults = PlatformFaults {
        delay_replies_ms: 5_000,
        ..PlatformFaults::default()
    };
    fleet.set_faults(fleet.platform_address, &faults).await;
    let paused = fleet.caller_url(0);
    let first = tokio::spawn(async move { order(&paused, PRINT, "lot 1", "k").await });
    wait_for_claim(&fleet).await;
    fleet.routers[0].process.signal("STOP").await;
    fleet
        .set_faults(fleet.platform_address, &PlatformFaults::default())
        .await;
    // The paused router may be the one that counts the service's slots; another then takes over.
    let meanwhile = order(&fleet.caller_url(1), PRINT, "lot 1", "k").await;
    assert_eq!(
        outcome_and_code(&meanwhile),
        ("unknown", "already_claimed"),
        "{meanwhile:?}"
    );
    first.abort();
    fleet.routers[0].process.signal("CONT").await;
    let answer = repeat_until_complete(&fleet.caller_url(2), "lot 1", "k").await;
    assert!(answer.body.contains("\"run\":1"), "{answer:?}");
    let again = order(&fleet.caller_url(1), PRINT, "lot 1", "k").await;
    assert_eq!(again.body, answer.body);
}

/// Waits until the platform's table contains a claim.
async fn wait_for_claim(fleet: &Fleet) {
    let url = format!("http://{}/fake/rows", fleet.platform_address);
    let waited = tokio::time::timeout(Duration::from_secs(60), async {
        while !get_text(&url).await.contains("claim-expiry/") {}
    });
    waited.await.expect("a claim is written");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_whose_deadline_passes_before_it_is_sent_is_not_run_and_never_runs() {
    let contract = contract_toml(1_000).replace("deadline_ms = 20000", "deadline_ms = 300");
    let fleet = fleet(FleetSettings::default(), &contract).await;
    fleet
        .set_faults(fleet.platform_address, &slow_platform(900))
        .await;
    let late = order(&fleet.caller_url(0), PRINT, "lot 2", "k").await;
    assert_eq!(
        outcome_and_code(&late),
        ("not-run", "deadline_passed"),
        "{late:?}"
    );
    assert!(late.retry_after_s.is_some());
    fleet
        .set_faults(fleet.platform_address, &slow_platform(0))
        .await;
    fleet
        .wait_status_of(0, "the end of the request", |status| status.in_flight == 0)
        .await;
    let runs = get_text(&format!("http://{}/fake/runs", server(&fleet, "service-0"))).await;
    assert_eq!(runs, "[]");
    // The claim is withdrawn, so the repeat is the first run.
    let answer = repeat_until_complete(&fleet.caller_url(1), "lot 2", "k").await;
    assert!(answer.body.contains("\"run\":1"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reply_after_the_deadline_is_recorded_for_the_repeat() {
    let contract = contract_toml(1_000).replace("deadline_ms = 20000", "deadline_ms = 500");
    let fleet = fleet(FleetSettings::default(), &contract).await;
    let faults = ServiceFaults {
        late_replies: 1,
        late_ms: 1_500,
        ..ServiceFaults::default()
    };
    fleet.set_faults(server(&fleet, "service-0"), &faults).await;
    let late = order(&fleet.caller_url(0), PRINT, "lot 3", "k").await;
    assert_eq!(
        outcome_and_code(&late),
        ("unknown", "deadline_passed"),
        "{late:?}"
    );
    let answer = repeat_until_complete(&fleet.caller_url(1), "lot 3", "k").await;
    assert!(answer.body.contains("\"run\":1"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_at_two_routers_at_once_with_lost_platform_replies_runs_once() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let faults = PlatformFaults {
        lose_replies: 3,
        ..PlatformFaults::default()
    };
    fleet.set_faults(fleet.platform_address, &faults).await;
    let (first, second) = (fleet.caller_url(0), fleet.caller_url(1));
    tokio::join!(
        order(&first, PRINT, "lot 4", "k"),
        order(&second, PRINT, "lot 4", "k")
    );
    let answer = repeat_until_complete(&fleet.caller_url(2), "lot 4", "k").await;
    assert!(answer.body.contains("\"run\":1"), "{answer:?}");
    let other = order(&first, PRINT, "lot 5", "k").await;
    assert_eq!(
        (outcome_and_code(&other), other.status),
        (("not-run", "key_reused"), 422)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_belongs_to_another_request_is_not_trusted() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let faults = ServiceFaults {
        refuse: 1,
        crossed: 1,
        ..ServiceFaults::default()
    };
    fleet.set_faults(server(&fleet, "service-0"), &faults).await;
    let answer = order(&fleet.caller_url(0), PRINT, "lot 8", "k").await;
    assert_eq!(
        outcome_and_code(&answer),
        ("unknown", "server_failed"),
        "{answer:?}"
    );
}

/// Guards against REFUSED: an order whose key is claimed may have run, also if its claim cannot be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_whose_claim_cannot_be_read_is_not_reported_as_not_run() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let first = order(&fleet.caller_url(0), PRINT, "lot 10", "k").await;
    assert_eq!(outcome_and_code(&first), ("complete", ""), "{first:?}");
    let faults = PlatformFaults {
        wrong_reads: true,
        ..PlatformFaults::default()
    };
    fleet.set_faults(fleet.platform_address, &faults).await;
    let repeat = order(&fleet.caller_url(1), PRINT, "lot 10", "k").await;
    assert_eq!(
        outcome_and_code(&repeat),
        ("unknown", "already_claimed"),
        "{repeat:?}"
    );
}

/// Guards against REFUSED and TWICE: a server's own status, without its statement that the request has not run, is
/// a whole answer. It promises nothing, leads to no second send and is recorded for the repeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_of_a_server_that_ran_an_order_is_no_refusal() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let service = server(&fleet, "service-0");
    for status in [408, 421, 429, 503] {
        let faults = ServiceFaults {
            answer_status: status,
            ..ServiceFaults::default()
        };
        fleet.set_faults(service, &faults).await;
        let key = format!("k-{status}");
        for router in [0, 1] {
            let answer = order(&fleet.caller_url(router), PRINT, "lot 9", &key).await;
            assert_eq!(answer.status, status, "{answer:?}");
            assert_eq!(outcome_and_code(&answer), ("complete", ""), "{answer:?}");
        }
    }
    let runs = get_text(&format!("http://{service}/fake/runs")).await;
    // One run for each key.
    assert!(runs.contains("\"runs\":4"), "{runs}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_spellings_of_a_non_idempotent_path_do_not_bypass_its_rule() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let url = fleet.caller_url(0);
    for path in [
        "plant//labels/print",
        "plant/labels//print",
        "plant/%6cabels/print",
        "plant/labels%2Fprint",
        "plant/labels;v=1/print",
    ] {
        let answer = order(&url, path, "lot 6", "k").await;
        assert_eq!(outcome_and_code(&answer), ("not-run", "bad_path"), "{path}");
    }
    for path in ["plant/labels/./print", "plant/labels/x/../print"] {
        // The HTTP library refuses these before the router sees them.
        assert_eq!(order(&url, path, "lot 6", "k").await.status, 400, "{path}");
    }
    let call = CallerClient::new();
    let body = Bytes::from_static(b"lot 6");
    let no_key = options(None);
    for path in [
        "plant/LABELS/print",
        "plant/labels/print/",
        "plant/labels/print?x=1",
    ] {
        let answer = call
            .service(&url, Method::POST, path, body.clone(), &no_key)
            .await;
        let answer = answer.expect("the router answers");
        assert_eq!(
            outcome_and_code(&answer),
            ("not-run", "idempotency_key_required"),
            "{path}"
        );
    }
    let runs = get_text(&format!("http://{}/fake/runs", server(&fleet, "service-0"))).await;
    assert_eq!(runs, "[]");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_non_idempotent_chat_runs_once_and_its_answer_is_repeated() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    fleet
        .add_server("engine", "dispatch", PoolKind::Engine, 2)
        .await;
    fleet.publish().await;
    fleet.wait_converged().await;
    let rule = "\n[[non_idempotent]]\npool = \"dispatch\"\n";
    let contract = contract_toml(1_000).replace("[\"assistant\",", "[\"dispatch\", \"assistant\",");
    fleet.apply_contract(&(contract + rule), 0).await;
    let (one, other) = (fleet.caller_url(0), fleet.caller_url(1));
    let first = chat(&one, chat_body("dispatch", true), Some("truck")).await;
    assert_eq!(outcome_and_code(&first), ("complete", ""), "{first:?}");
    let again = chat(&other, chat_body("dispatch", true), Some("truck")).await;
    assert_eq!(
        (outcome_and_code(&again), &again.body),
        (("complete", ""), &first.body)
    );
    assert_eq!(again.completion_tokens, 6);
    // A cut stream leaves the claim, so the order does not run again at any router.
    let cut = EngineFaults {
        cut_streams: 1,
        cut_after_tokens: 2,
        ..EngineFaults::default()
    };
    fleet.set_faults(server(&fleet, "engine-2"), &cut).await;
    let broken = chat(&one, chat_body("dispatch", true), Some("truck-2")).await;
    assert_eq!(
        outcome_and_code(&broken),
        ("unknown", "server_failed"),
        "{broken:?}"
    );
    let repeat = chat(&other, chat_body("dispatch", true), Some("truck-2")).await;
    assert_eq!(
        outcome_and_code(&repeat),
        ("unknown", "already_claimed"),
        "{repeat:?}"
    );
    // No claim remains of an order that the server did not start.
    let refuse = EngineFaults {
        refuse: 10,
        ..EngineFaults::default()
    };
    fleet.set_faults(server(&fleet, "engine-2"), &refuse).await;
    let refused = chat(&one, chat_body("dispatch", true), Some("truck-3")).await;
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
}

/// Returns how many requests an engine has started.
async fn started_requests(fleet: &Fleet, engine: &str) -> u64 {
    let url = format!("http://{}/fake/started", server(fleet, engine));
    get_text(&url).await.trim().parse().expect("a number")
}

/// Guards against an answer that goes on at an engine of another software version than the one that began it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_stream_is_resumed_only_at_the_software_version_that_began_it() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let url = fleet.caller_url(0);
    let whole = chat(&url, chat_body("assistant", true), None).await;
    let mut runs = Vec::new();
    for (engine, version) in [("engine-0", "v1"), ("engine-1", "v2")] {
        let faults = EngineFaults {
            cut_streams: 1,
            cut_after_tokens: 3,
            software_version: version.to_owned(),
            ..EngineFaults::default()
        };
        fleet.set_faults(server(&fleet, engine), &faults).await;
        runs.push(started_requests(&fleet, engine).await);
    }
    let answer = chat(&url, chat_body("assistant", true), None).await;
    // Only the engine that began the answer may go on with it.
    assert_eq!(
        (outcome_and_code(&answer), &answer.body),
        (("complete", ""), &whole.body)
    );
    for (number, engine) in ["engine-0", "engine-1"].into_iter().enumerate() {
        runs[number] = started_requests(&fleet, engine).await - runs[number];
    }
    runs.sort_unstable();
    assert_eq!(runs, [0, 2]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_with_a_cut_a_foreign_event_or_a_stall_is_resumed_elsewhere() {
    let fleet = fleet(FleetSettings::default(), &contract_toml(1_000)).await;
    let url = fleet.caller_url(0);
    let whole = chat(&url, chat_body("assistant", true), None).await;
    let base = EngineFaults {
        cut_after_tokens: 3,
        ..EngineFaults::default()
    };
    let faults = [
        EngineFaults {
            cut_streams: 1,
            ..base.clone()
        },
        EngineFaults {
            crossed_pieces: 1,
            ..base.clone()
        },
        EngineFaults {
            crossed: 1,
            ..base.clone()
        },
        // Ten times the deadline: the answer is only complete if the router abandons it early.
        EngineFaults {
            stalled_streams: 1,
            stall_ms: 200_000,
            ..base
        },
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        // Another router for each fault, as the retry budget of a new router is small.
        let url = fleet.caller_url(index % 3);
        for engine in ["engine-0", "engine-1"] {
            fleet.set_faults(server(&fleet, engine), &fault).await;
        }
        let answer = chat(&url, chat_body("assistant", true), None).await;
        assert_eq!(
            (outcome_and_code(&answer), &answer.body),
            (("complete", ""), &whole.body),
            "{fault:?}"
        );
        assert_eq!(answer.completion_tokens, 6);
    }
    for router in [1, 2] {
        let metrics = get_text(&format!("{}/metrics", fleet.operator_url(router))).await;
        let counted = metrics.lines().any(|line| {
            let count = line.strip_prefix("sapphiretrack_crossed_replies_total ");
            count.is_some_and(|count| count.parse::<u64>().is_ok_and(|count| count >= 1))
        });
        assert!(counted, "crossed replies are not counted: {metrics}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_waits_for_calls_and_streams_and_serves_old_addresses() {
    let settings = FleetSettings {
        engine_flags: vec![String::from("--decode-ms=300")],
        ..FleetSettings::default()
    };
    let mut fleet = fleet(settings, &contract_toml(1_000)).await;
    let faults = ServiceFaults {
        late_replies: 1,
        late_ms: 1_500,
        ..ServiceFaults::default()
    };
    fleet.set_faults(server(&fleet, "service-0"), &faults).await;
    let url = fleet.caller_url(0);
    let label = tokio::spawn({
        let url = url.clone();
        async move { order(&url, PRINT, "lot 7", "k").await }
    });
    wait_for_claim(&fleet).await;
    let stream = tokio::spawn({
        let url = url.clone();
        async move { chat(&url, chat_body("assistant", true), None).await }
    });
    fleet
        .wait_status_of(0, "both requests in flight", |status| status.in_flight == 2)
        .await;
    fleet.routers[0].process.signal("TERM").await;
    fleet
        .wait_status_of(1, "the stop known to the other router", |status| {
            status
                .routers
                .iter()
                .any(|router| router.state == "leaving")
        })
        .await;
    fleet.routers[0].process.signal("TERM").await;
    let old_address = chat(&url, chat_body("assistant", true), None).await;
    assert_eq!(old_address.outcome, "complete", "{old_address:?}");
    assert_eq!(
        stream.await.expect("the task does not panic").outcome,
        "complete"
    );
    assert_eq!(
        label.await.expect("the task does not panic").outcome,
        "complete"
    );
    assert_eq!(fleet.routers[0].process.wait().await, Some(0));
}
