//! Runs one fake as a separate process until the process is terminated.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use sapphiretrack_core::FencingCheck;
use sapphiretrack_fakes::{
    EngineSettings, FakeEngine, FakePlatform, FakeService, PlatformSettings, ServiceSettings,
};
use sapphiretrack_platform::wire::VmList;

const HELP: &str = "\
sapphiretrack-fakes: a fake platform, model engine or plain service for experiments and tests

  sapphiretrack-fakes platform [--address IP:PORT] [--list-lag-ms N] [--vms FILE]
  sapphiretrack-fakes engine   [--address IP:PORT] [--incarnation N] [--decode-ms N]
                               [--ignore-fencing]
  sapphiretrack-fakes service  [--address IP:PORT] [--incarnation N] [--name NAME]

It prints `listening IP:PORT` and runs until it is terminated. Port 0 picks a free port.
";

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphiretrack-fakes: {error}; hint: see --help");
            ExitCode::from(2)
        }
    }
}

async fn run(mut arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let subcommand = arguments.subcommand()?.unwrap_or_default();
    let any_free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = arguments
        .opt_value_from_str("--address")?
        .unwrap_or(any_free_port);
    let incarnation = arguments.opt_value_from_str("--incarnation")?.unwrap_or(1);
    let local_address = match subcommand.as_str() {
        "platform" => {
            let list_lag_ms = arguments.opt_value_from_str("--list-lag-ms")?.unwrap_or(0);
            let settings = PlatformSettings {
                address,
                list_lag_ms,
                ..Default::default()
            };
            let vms_path: Option<PathBuf> = arguments.opt_value_from_str("--vms")?;
            let platform = FakePlatform::start(settings).await?;
            if let Some(path) = vms_path {
                let list: VmList = serde_json::from_str(&std::fs::read_to_string(path)?)?;
                platform.set_vms(list.vms);
            }
            platform.address()
        }
        "engine" => {
            let decode_ms = arguments.opt_value_from_str("--decode-ms")?.unwrap_or(2);
            let fencing_check = if arguments.contains("--ignore-fencing") {
                FencingCheck::Ignores
            } else {
                FencingCheck::Checks
            };
            let settings = EngineSettings {
                address,
                fencing_check,
                incarnation,
                decode_ms,
                ..Default::default()
            };
            FakeEngine::start(settings).await?.address()
        }
        "service" => {
            let name = arguments.opt_value_from_str("--name")?;
            let name = name.unwrap_or_else(|| String::from("plant-1"));
            let settings = ServiceSettings {
                address,
                incarnation,
                name,
                ..Default::default()
            };
            FakeService::start(settings).await?.address()
        }
        other => return Err(format!("unknown subcommand {other:?}").into()),
    };
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument {argument:?}").into());
    }
    println!("listening {local_address}");
    std::future::pending::<()>().await;
    Ok(())
}
