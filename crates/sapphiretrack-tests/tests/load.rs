//! The load tool against a running fleet.

use sapphiretrack_tests::{CALLER_KEY, ChildProcess, Fleet, FleetSettings, contract_toml};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bounded_load_gets_every_answer_and_reports_it() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    fleet.apply_contract(&contract_toml(1_000), 0).await;
    let json = std::env::temp_dir().join(format!("sapphiretrack-load-{}", std::process::id()));
    let arguments = [
        String::from("load"),
        format!("--entry={}", fleet.caller_url(0)),
        format!("--entry={}", fleet.caller_url(1)),
        format!("--key={CALLER_KEY}"),
        String::from("--requests=60"),
        String::from("--rate=30"),
        String::from("--pause-mean-ms=300"),
        String::from("--quiet"),
        format!("--json={}", json.display()),
    ];
    let mut load = ChildProcess::start("sapphiretrack-bench", &arguments);
    let code = load.wait().await;
    assert_eq!(code, Some(0), "{}", load.lines().join("\n"));
    let text = std::fs::read_to_string(&json).expect("the report is there");
    std::fs::remove_file(&json).expect("the report is removed");
    let report: serde_json::Value = serde_json::from_str(&text).expect("a JSON line");
    let sum = |field: &str| {
        let classes = report["classes"].as_array().expect("classes");
        let figures = classes.iter().map(|class| class[field].as_u64());
        figures.map(|figure| figure.expect("a figure")).sum::<u64>()
    };
    assert_eq!((sum("sent"), sum("whole")), (60, 60), "{text}");
    assert_eq!(report["violation_count"], 0, "{text}");
    assert!(
        report["returning_cached_share"].as_f64() > Some(0.0),
        "{text}"
    );
}

#[tokio::test]
async fn a_load_without_a_router_says_what_is_missing() {
    let mut load = ChildProcess::start("sapphiretrack-bench", &[String::from("load")]);
    assert_eq!(load.wait().await, Some(2));
    let line = load.wait_line("--entry").await;
    assert!(
        line.contains("--entry is missing; hint: see --help"),
        "{line}"
    );
}
