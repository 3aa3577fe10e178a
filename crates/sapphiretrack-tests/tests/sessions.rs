//! Golden files of whole sessions, as a caller and an operator see them.
//!
//! Values that differ between runs are replaced: ports, ids, warm values, the times after which
//! changes came into force and the folder of temporary files.

use bytes::Bytes;
use http::Method;
use sapphiretrack_tests::{
    CALLER_KEY, ChildProcess, Fleet, FleetSettings, OPERATOR_KEY, SessionRecorder, contract_toml,
};

/// One router and one server of each kind, so that the answers do not depend on placement.
fn single_router() -> FleetSettings {
    FleetSettings {
        routers: 1,
        engines: 1,
        services: 1,
        ..FleetSettings::default()
    }
}

fn chat_body(model: &str, stream: bool) -> Bytes {
    let body = serde_json::json!({
        "model": model,
        "stream": stream,
        "max_tokens": 3,
        "messages": [{ "role": "user", "content": "which aisle holds lot nine" }],
    });
    Bytes::from(body.to_string())
}

fn assert_golden(name: &str, session: &str) {
    insta::with_settings!({
        snapshot_path => "golden",
        prepend_module_to_snapshot => false,
        omit_expression => true,
    }, {
        insta::assert_snapshot!(name, session);
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_callers_session() {
    let fleet = Fleet::start(single_router()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let mut session = SessionRecorder::new(&fleet.caller_url(0));
    let chat = "/v1/chat/completions";
    let key = format!("Bearer {CALLER_KEY}");
    let auth = ("authorization", key.as_str());
    let json = ("content-type", "application/json");

    session.note("Asks where to connect.");
    session
        .send(Method::GET, "/v1/entry", &[], Bytes::new())
        .await;
    session.note("Sends a chat and gets a stream.");
    let headers = [auth, json, ("sapphiretrack-chat", "lot-nine")];
    session
        .send(Method::POST, chat, &headers, chat_body("assistant", true))
        .await;
    session.note("Returns with the warm value and wants the answer whole.");
    let warm = session.last_header("sapphiretrack-warm");
    let headers = [
        auth,
        json,
        ("sapphiretrack-chat", "lot-nine"),
        ("sapphiretrack-warm", &warm),
    ];
    session
        .send(Method::POST, chat, &headers, chat_body("assistant", false))
        .await;
    session.note("Looks a pallet up on the plain service.");
    session
        .send(
            Method::GET,
            "/v1/services/plant/pallets/9",
            &[auth],
            Bytes::new(),
        )
        .await;
    session.note("Orders a label without a key, with one, and again.");
    let path = "/v1/services/plant/labels/print";
    let order = Bytes::from_static(b"{\"lot\":9}");
    session
        .send(Method::POST, path, &[auth, json], order.clone())
        .await;
    let headers = [auth, json, ("idempotency-key", "lot-9")];
    session
        .send(Method::POST, path, &headers, order.clone())
        .await;
    session.send(Method::POST, path, &headers, order).await;
    session.note("Makes mistakes.");
    let no_key = [("authorization", "Bearer nobody")];
    session
        .send(Method::POST, chat, &no_key, chat_body("assistant", true))
        .await;
    session
        .send(
            Method::POST,
            chat,
            &[auth],
            Bytes::from_static(b"{\"model\":"),
        )
        .await;
    session
        .send(
            Method::POST,
            chat,
            &[auth],
            Bytes::from_static(b"{\"model\":\"assistant\",\"messages\":[]}"),
        )
        .await;
    session
        .send(Method::POST, chat, &[auth], chat_body("oracle", true))
        .await;
    let class = [auth, ("sapphiretrack-class", "lazy")];
    session
        .send(Method::POST, chat, &class, chat_body("assistant", true))
        .await;
    session
        .send(Method::GET, "/v2/nothing", &[auth], Bytes::new())
        .await;
    session
        .send(Method::DELETE, chat, &[auth], Bytes::new())
        .await;
    let long = "x".repeat(300);
    session
        .send(
            Method::POST,
            chat,
            &[auth, ("sapphiretrack-chat", &long)],
            chat_body("assistant", true),
        )
        .await;
    assert_golden("caller", session.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_over_the_limit_is_refused() {
    let flags = vec![String::from("--max-body-bytes=1000")];
    let fleet = Fleet::start(FleetSettings {
        router_flags: flags,
        ..single_router()
    })
    .await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let mut session = SessionRecorder::new(&fleet.caller_url(0));
    let key = format!("Bearer {CALLER_KEY}");
    let auth = ("authorization", key.as_str());
    let body = Bytes::from(vec![b' '; 1_001]);
    session
        .send(Method::POST, "/v1/chat/completions", &[auth], body)
        .await;
    assert_golden("body_too_large", session.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operators_session() {
    let fleet = Fleet::start(single_router()).await;
    let router = fleet.operator_url(0);
    let folder = std::env::temp_dir().join(format!("sapphiretrack-golden-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let write_file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    };
    let first = write_file("first.toml", &contract_toml(50));
    let second = write_file("second.toml", &contract_toml(80));
    let flawed = write_file(
        "flawed.toml",
        &contract_toml(80).replace("in_flight", "in_fligth"),
    );
    let commands: Vec<Vec<&str>> = vec![
        vec!["status"],
        vec!["contract", "apply", &first, "--new", "--wait"],
        vec!["router", "list", "--json"],
        vec!["contract", "apply", &second, "--new"],
        vec!["contract", "apply", &flawed],
        vec!["contract", "apply", &second, "--seen", "1"],
        vec!["contract", "show", "teranga"],
        vec!["contract", "show", "nobody"],
        vec!["contract", "history"],
        vec!["server", "drain", "engine-0", "--wait"],
        vec!["server", "drain", "engine-9"],
        vec!["server", "list"],
        vec!["server", "drain", "engine-0", "--undo"],
        vec!["router", "stop", "router-9"],
        vec!["contract", "show", "teranga", "--operator-key=wrong"],
        vec!["contract", "apply"],
        vec!["contract", "frobnicate"],
        vec!["router", "stop", "router-0"],
    ];
    let mut session = String::new();
    for command in commands {
        let mut arguments: Vec<String> = command.iter().map(|word| (*word).to_owned()).collect();
        arguments.push(format!("--router={router}"));
        if !arguments
            .iter()
            .any(|word| word.starts_with("--operator-key"))
        {
            arguments.push(format!("--operator-key={OPERATOR_KEY}"));
        }
        let mut tool = ChildProcess::start("sapphiretrack", &arguments);
        let code = tool.wait().await;
        let shown: Vec<&str> = command
            .iter()
            .map(|word| word.rsplit('/').next().unwrap_or(word))
            .collect();
        session.push_str(&format!("$ sapphiretrack {}\n", shown.join(" ")));
        let mut lines = tool.wait_lines().await;
        lines.push(format!(
            "exit code {}\n",
            code.expect("the tool exits by itself")
        ));
        session.push_str(&(lines.join("\n") + "\n"));
    }
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    let mut fleet = fleet;
    assert_eq!(
        fleet.routers[0].process.wait().await,
        Some(0),
        "the stop is clean"
    );
    let session = session.replace(&folder.display().to_string(), "FOLDER");
    assert_golden("operator", &sapphiretrack_tests::redact(&session));
}
