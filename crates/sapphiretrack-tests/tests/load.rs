//! The load generator against a running fleet.

use sapphiretrack_tests::{CALLER_KEY, ChildProcess, Fleet, FleetSettings, contract_toml};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bounded_load_gets_and_reports_every_answer() {
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
    let text = std::fs::read_to_string(&json).expect("the report can be read");
    std::fs::remove_file(&json).expect("the report is removed");
    let report: serde_json::Value = serde_json::from_str(&text).expect("the report is JSON");
    let sum = |field: &str| {
        let classes = report["classes"]
            .as_array()
            .expect("the report has classes");
        let figures = classes.iter().map(|class| class[field].as_u64());
        figures
            .map(|figure| figure.expect("the figure is a number"))
            .sum::<u64>()
    };
    assert_eq!((sum("sent"), sum("whole")), (60, 60), "{text}");
    assert_eq!(report["violation_count"], 0, "{text}");
    assert!(
        report["returning_cached_share"].as_f64() > Some(0.0),
        "{text}"
    );
}

#[tokio::test]
async fn a_load_without_a_router_names_the_missing_flag() {
    let mut load = ChildProcess::start("sapphiretrack-bench", &[String::from("load")]);
    assert_eq!(load.wait().await, Some(2));
    let line = load.wait_line("--entry").await;
    assert!(
        line.contains("--entry is missing; hint: see --help"),
        "{line}"
    );
}
