//! Golden files of whole sessions with a fault.

use bytes::Bytes;
use http::Method;
use sapphiretrack_fakes::{EngineFaults, PlatformFaults, ServiceFaults};
use sapphiretrack_tests::{CALLER_KEY, Fleet, FleetSettings, SessionRecorder, contract_toml};

const CHAT: &str = "/v1/chat/completions";
const PRINT: &str = "/v1/services/plant/labels/print";

async fn fleet(routers: usize, engine_flags: &[&str]) -> Fleet {
    let settings = FleetSettings {
        routers,
        engine_flags: engine_flags.iter().map(|&flag| flag.to_owned()).collect(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    fleet
}

fn chat_body() -> Bytes {
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": 5,
        "messages": [{ "role": "user", "content": "how warm is the cabinet on feeder two" }],
    });
    Bytes::from(body.to_string())
}

async fn set_server_faults<Faults>(fleet: &Fleet, kind: &str, faults: &Faults)
where
    Faults: serde::Serialize,
{
    for member in &fleet.servers {
        if member.vm.name.starts_with(kind) {
            fleet.set_faults(member.vm.address, faults).await;
        }
    }
}

async fn order_label(session: &mut SessionRecorder, key: &str, order: &'static str) {
    let auth = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", auth.as_str()), ("idempotency-key", key)];
    let body = Bytes::from_static(order.as_bytes());
    session.send(Method::POST, PRINT, &headers, body).await;
}

async fn send_chat(session: &mut SessionRecorder) {
    let auth = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", auth.as_str())];
    session
        .send(Method::POST, CHAT, &headers, chat_body())
        .await;
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
async fn a_chat_whose_stream_is_cut_by_the_engines() {
    let fleet = fleet(1, &[]).await;
    let mut session = SessionRecorder::new(&fleet.caller_url(0));
    let cut = EngineFaults {
        cut_streams: 1,
        cut_after_tokens: 2,
        ..EngineFaults::default()
    };
    set_server_faults(&fleet, "engine", &cut).await;
    session.note("Each engine cuts one stream in its middle: the caller sees nothing of it.");
    send_chat(&mut session).await;
    let refuse = EngineFaults {
        refuse: 100,
        ..EngineFaults::default()
    };
    set_server_faults(&fleet, "engine", &refuse).await;
    session.note("Each engine says that it does not start.");
    send_chat(&mut session).await;
    assert_golden("chat_with_resume", session.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_label_order_that_is_refused_and_repeated() {
    let fleet = fleet(1, &[]).await;
    let mut session = SessionRecorder::new(&fleet.caller_url(0));
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    fleet.set_faults(fleet.platform_address, &down).await;
    session.note("The platform is down: nothing can be claimed, so nothing is sent.");
    order_label(&mut session, "lot-1", "{\"lot\":1}").await;
    let up = PlatformFaults::default();
    fleet.set_faults(fleet.platform_address, &up).await;
    session.note("Comes back with the same key.");
    order_label(&mut session, "lot-1", "{\"lot\":1}").await;
    session.note("Uses the key for another order.");
    order_label(&mut session, "lot-1", "{\"lot\":2}").await;
    assert_golden("refused_and_come_back", session.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_label_order_whose_reply_is_lost() {
    let fleet = fleet(1, &[]).await;
    let mut session = SessionRecorder::new(&fleet.caller_url(0));
    let lost = ServiceFaults {
        lose_replies: 1,
        ..ServiceFaults::default()
    };
    set_server_faults(&fleet, "service", &lost).await;
    session.note("The service prints, and its reply is lost.");
    order_label(&mut session, "lot-3", "{\"lot\":3}").await;
    session.note("Repeats with the same key: no second label.");
    order_label(&mut session, "lot-3", "{\"lot\":3}").await;
    session.note("Another order, repeated after its answer came.");
    order_label(&mut session, "lot-4", "{\"lot\":4}").await;
    order_label(&mut session, "lot-4", "{\"lot\":4}").await;
    assert_golden("label_order_repeated", session.text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_as_callers_see_it() {
    let mut fleet = fleet(2, &["--decode-ms=200"]).await;
    let mut old = SessionRecorder::new(&fleet.caller_url(0));
    let mut other = SessionRecorder::new(&fleet.caller_url(1));
    let running = tokio::spawn(async move {
        old.note("A stream is open on the router that is to stop.");
        send_chat(&mut old).await;
        old
    });
    fleet
        .wait_status_of(0, "the stream open", |status| status.in_flight == 1)
        .await;
    fleet.routers[0].process.signal("TERM").await;
    fleet
        .wait_status_of(1, "the stop known to the other router", |status| {
            let mut routers = status.routers.iter();
            routers.any(|router| router.state == "leaving")
        })
        .await;
    other.note("Lookups at the other router name only that one.");
    other
        .send(Method::GET, "/v1/entry", &[], Bytes::new())
        .await;
    let old = running.await.expect("the task does not panic");
    let code = fleet.routers[0].process.wait().await;
    let text = format!("{}{}# exit code {code:?}\n", old.text(), other.text());
    assert_golden("planned_stop", &text);
}
