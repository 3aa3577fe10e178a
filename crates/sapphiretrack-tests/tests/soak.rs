//! A short soak: a bounded number of requests and faults from a fixed seed.

use sapphiretrack_tests::ChildProcess;

#[tokio::test]
async fn a_short_soak_breaks_no_promise() {
    let arguments = [
        "soak",
        "--seed=3",
        "--minutes=2",
        "--requests=150",
        "--rate=15",
        "--faults=12",
        "--fault-mean-ms=700",
        "--quiet",
    ];
    let mut soak = ChildProcess::start("sapphiretrack-bench", &arguments.map(String::from));
    let code = soak.wait().await;
    soak.wait_line("verdict:").await;
    let lines = soak.lines().join("\n");
    assert_eq!(code, Some(0), "{lines}");
    assert!(lines.contains("requests checked 300"), "{lines}");
}
