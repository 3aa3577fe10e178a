//! A short soak test with a bounded number of requests and faults and a fixed seed.
//!
//! The faults include kills, pauses and planned stops of routers, lost and crossed replies,
//! restarts of engines, outages of the platform and conflicting changes of operators.

use sapphiretrack_tests::ChildProcess;

#[tokio::test]
async fn a_short_soak_violates_no_guarantee() {
    let arguments = [
        "soak",
        "--seed=1376",
        "--minutes=2",
        "--requests=180",
        "--rate=15",
        "--faults=16",
        "--fault-mean-ms=600",
        "--quiet",
    ];
    let mut soak = ChildProcess::start("sapphiretrack-bench", &arguments.map(String::from));
    let code = soak.wait().await;
    soak.wait_line("verdict:").await;
    let lines = soak.lines().join("\n");
    assert_eq!(code, Some(0), "{lines}");
    assert!(lines.contains("requests checked 360"), "{lines}");
}
