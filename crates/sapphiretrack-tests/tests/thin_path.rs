//! End-to-end requests through separate processes: platform, engines, a plain service, routers and
//! the command-line tool.

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, ReceivedAnswer, RequestOptions};
use sapphiretrack_tests::{
    CALLER_KEY, ChildProcess, Fleet, FleetSettings, OPERATOR_KEY, contract_toml,
};

fn options(chat: &str) -> RequestOptions {
    RequestOptions {
        key: CALLER_KEY.to_owned(),
        workspace: Some(String::from("tempering")),
        chat: Some(chat.to_owned()),
        ..RequestOptions::default()
    }
}

fn chat_body(stream: bool) -> Bytes {
    // Long enough that computing it again costs more than waiting in a short queue.
    let notes = "conching notes of line four; ".repeat(300);
    let body = serde_json::json!({
        "model": "assistant",
        "stream": stream,
        "max_tokens": 12,
        "messages": [{ "role": "user", "content": notes }],
    });
    Bytes::from(body.to_string())
}

async fn chat(fleet: &Fleet, router: usize, stream: bool, name: &str) -> ReceivedAnswer {
    let url = fleet.caller_url(router);
    let (client, options) = (CallerClient::new(), options(name));
    let answer = client.chat(&url, chat_body(stream), &options, |_| {}).await;
    answer.expect("the router answers")
}

fn word_count(answer: &ReceivedAnswer) -> usize {
    answer.body.split_whitespace().count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_gets_its_complete_answer_through_every_router() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let client = CallerClient::new();

    let entry = client
        .entry(&fleet.caller_url(0), Some("zone-1"))
        .await
        .expect("the router answers");
    assert_eq!(entry.addresses.len(), 3);
    assert_eq!(entry.addresses[0], fleet.routers[1].vm.address.to_string());

    let mut bodies = Vec::new();
    for router in 0..3 {
        let answer = chat(&fleet, router, true, &format!("chat-{router}")).await;
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (200, "complete"),
            "{answer:?}"
        );
        assert_eq!(word_count(&answer), 12);
        bodies.push(answer.body);
    }
    assert!(
        bodies.iter().all(|body| *body == bodies[0]),
        "the answers differ: {bodies:?}"
    );

    let whole = chat(&fleet, 0, false, "chat-0").await;
    assert_eq!(
        (whole.status, whole.outcome.as_str()),
        (200, "complete"),
        "{whole:?}"
    );
    let value: serde_json::Value = serde_json::from_str(&whole.body).expect("the answer is JSON");
    assert_eq!(
        value["choices"][0]["message"]["content"],
        bodies[0].as_str()
    );

    let lookup = client
        .service(
            &fleet.caller_url(2),
            http::Method::GET,
            "plant/pallets/17",
            Bytes::new(),
            &options("x"),
        )
        .await
        .expect("the router answers");
    assert_eq!(
        (lookup.status, lookup.outcome.as_str()),
        (200, "complete"),
        "{lookup:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_returning_chat_with_its_warm_value_finds_its_prompt_cached() {
    let fleet = Fleet::start(FleetSettings {
        engines: 3,
        ..FleetSettings::default()
    })
    .await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let client = CallerClient::new();
    for number in 0..8 {
        let mut options = options(&format!("recipe-{number}"));
        let url = fleet.caller_url(number % 3);
        let first = client
            .chat(&url, chat_body(true), &options, |_| {})
            .await
            .expect("the router answers");
        assert_eq!(first.cached_tokens, 0);
        options.warm = first.warm;
        let url = fleet.caller_url((number + 1) % 3);
        let second = client
            .chat(&url, chat_body(true), &options, |_| {})
            .await
            .expect("the router answers");
        assert_eq!(
            second.cached_tokens, second.prompt_tokens,
            "chat {number} is cold"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_applies_a_contract_and_every_router_enforces_it() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    for router in 0..3 {
        let refused = chat(&fleet, router, true, "early").await;
        assert_eq!((refused.status, refused.outcome.as_str()), (401, "not-run"));
    }
    let file = std::env::temp_dir().join(format!("sapphiretrack-{}.toml", std::process::id()));
    std::fs::write(&file, contract_toml(1_000)).expect("the file is written");
    let mut tool = ChildProcess::start(
        "sapphiretrack",
        &[
            String::from("contract"),
            String::from("apply"),
            file.display().to_string(),
            String::from("--wait"),
            format!("--router={}", fleet.operator_url(1)),
            format!("--operator-key={OPERATOR_KEY}"),
        ],
    );
    assert_eq!(tool.wait().await, Some(0), "{:?}", tool.lines());
    std::fs::remove_file(&file).expect("the file is removed");
    for router in 0..3 {
        let answer = chat(&fleet, router, true, "later").await;
        assert_eq!(answer.outcome, "complete", "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() {
    let settings = FleetSettings {
        engine_flags: vec![String::from("--decode-ms=100")],
        ..Default::default()
    };
    let mut fleet = Fleet::start(settings).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let url = fleet.caller_url(0);
    let running = tokio::spawn(async move {
        CallerClient::new()
            .chat(&url, chat_body(true), &options("long"), |_| {})
            .await
    });
    fleet
        .operator(0)
        .stop()
        .await
        .expect("the router accepts the stop");
    let answer = running
        .await
        .expect("the task does not panic")
        .expect("the stream is not cut");
    assert_eq!(
        (answer.outcome.as_str(), word_count(&answer)),
        ("complete", 12)
    );
    assert_eq!(fleet.routers[0].process.wait().await, Some(0));
    let entry = CallerClient::new()
        .entry(&fleet.caller_url(1), None)
        .await
        .expect("the router answers");
    assert!(
        !entry
            .addresses
            .contains(&fleet.routers[0].vm.address.to_string())
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_label_order_prints_once() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let client = CallerClient::new();
    let mut options = options("labels");
    let order = || Bytes::from_static(b"{\"pallet\":17}");
    let path = "plant/labels/print";
    let post = http::Method::POST;
    let url = fleet.caller_url(0);
    let refused = client
        .service(&url, post.clone(), path, order(), &options)
        .await
        .expect("the router answers");
    assert_eq!((refused.status, refused.outcome.as_str()), (400, "not-run"));
    options.idempotency_key = Some(String::from("order-17"));
    let mut bodies = Vec::new();
    for router in [0, 1, 2, 0] {
        let url = fleet.caller_url(router);
        let answer = client
            .service(&url, post.clone(), path, order(), &options)
            .await
            .expect("the router answers");
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (200, "complete"),
            "{answer:?}"
        );
        bodies.push(answer.body);
    }
    assert!(
        bodies.iter().all(|body| body.contains("\"run\":1")),
        "{bodies:?}"
    );
}
