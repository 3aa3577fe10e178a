//! Output and exit codes of the operators' command-line tool when it waits for the fleet.

use sapphiretrack_tests::{ChildProcess, Fleet, FleetSettings, OPERATOR_KEY};

/// Runs `sapphiretrack status` against a router; returns the exit code and the output.
async fn status(router_url: &str, extra_arguments: &[&str]) -> (Option<i32>, String) {
    let mut arguments = vec![
        String::from("status"),
        format!("--router={router_url}"),
        format!("--operator-key={OPERATOR_KEY}"),
    ];
    arguments.extend(extra_arguments.iter().map(|&argument| argument.to_owned()));
    let mut tool = ChildProcess::start("sapphiretrack", &arguments);
    let code = tool.wait().await;
    (code, tool.wait_lines().await.join("\n"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_waits_for_as_many_live_vms_as_asked_for() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let url = fleet.operator_url(0);
    let (code, text) = status(&url, &["--wait", "--routers=3", "--servers=3"]).await;
    assert_eq!(code, Some(0), "{text}");
    let too_many = ["--wait", "--routers=4", "--wait-limit-ms=300"];
    let (code, text) = status(&url, &too_many).await;
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains("3 of 4 routers"), "{text}");
    let (code, text) = status(&url, &["--servers=3"]).await;
    assert_eq!(code, Some(2), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_waits_for_a_router_that_is_still_starting() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    let url = fleet.operator_url(2);
    fleet.routers[2].process.kill().await;
    let (code, text) = status(&url, &["--wait", "--wait-limit-ms=300"]).await;
    assert_eq!(code, Some(4), "{text}");
    let (waited, ()) = tokio::join!(
        status(&url, &["--wait", "--routers=3"]),
        fleet.restart_router(2)
    );
    assert_eq!(waited.0, Some(0), "{}", waited.1);
}
