//! Memory of a router per open stream, for callers that read and for callers that never read.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use pico_args::Arguments;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::{PoolKind, VmRecord, VmRole, VmState, sha256_hex};
use sapphiretrack_fakes::{EngineSettings, FakeEngine, FakePlatform, PlatformSettings};
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::run::{block_on, reject_unused_arguments};
use crate::small_fleet::{CALLER_KEY, contract_toml};

const OPERATOR_KEY: &str = "bench-operator";
/// The first of the ports in use; the second router starts at the tenth after it.
const DEFAULT_PORT: u16 = 17_180;
const NON_READING_CALLERS: usize = 100;

/// Runs the measurement and prints its results; an error says what failed.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    let port: u16 = arguments
        .opt_value_from_str("--port")
        .map_err(|error| error.to_string())?
        .unwrap_or(DEFAULT_PORT);
    reject_unused_arguments(arguments)?;
    block_on(2, async {
        let reading = measure_reading_callers(port, &[1_000, 3_000]);
        reading.await?;
        measure_non_reading_callers(port + 10).await
    })
}

/// Measures streams whose callers read; the engine sends one token per second.
async fn measure_reading_callers(port: u16, counts: &[usize]) -> Result<(), String> {
    let router = Router::start(port, 1_000).await?;
    let url = format!("http://127.0.0.1:{port}");
    let mut streams = JoinSet::new();
    // The first streams also fill caches and start threads, so they belong to the baseline.
    open_reading_streams(&mut streams, &url, 100).await;
    let baseline = (streams.len(), router.memory_bytes()?);
    for count in counts {
        let more = count - streams.len();
        open_reading_streams(&mut streams, &url, more).await;
        print_memory("reading", baseline, (streams.len(), router.memory_bytes()?));
    }
    Ok(())
}

/// Measures streams whose callers never read; the engine sends a token every millisecond.
async fn measure_non_reading_callers(port: u16) -> Result<(), String> {
    let router = Router::start(port, 1).await?;
    let url = format!("http://127.0.0.1:{port}");
    let mut warm_up = JoinSet::new();
    open_reading_streams(&mut warm_up, &url, 20).await;
    let baseline = (0, router.memory_bytes()?);
    let mut open = Vec::new();
    for number in 0..NON_READING_CALLERS {
        open.push(non_reading_caller(port, number).await?);
    }
    for seconds in [5, 10, 15] {
        tokio::time::sleep(Duration::from_secs(5)).await;
        print!("after about {seconds} s, ");
        print_memory(
            "never reading",
            baseline,
            (open.len(), router.memory_bytes()?),
        );
    }
    Ok(())
}

fn print_memory(
    name: &str,
    (baseline_count, baseline_bytes): (usize, u64),
    (count, bytes): (usize, u64),
) {
    let per_stream = bytes.saturating_sub(baseline_bytes) as f64 / (count - baseline_count) as f64;
    println!(
        "{count} streams, {name}: {} KiB in total, {:.1} KiB per stream, {:.0} streams within 1 GiB",
        bytes >> 10,
        per_stream / 1_024.0,
        ((1_u64 << 30) - baseline_bytes) as f64 / per_stream,
    );
}

async fn open_reading_streams(streams: &mut JoinSet<()>, url: &str, count: usize) {
    for _ in 0..count {
        let (url, number) = (url.to_owned(), streams.len());
        let (first_token_sender, first_token_received) = tokio::sync::oneshot::channel();
        streams.spawn(async move {
            let mut first_token_sender = Some(first_token_sender);
            let options = RequestOptions {
                key: CALLER_KEY.to_owned(),
                chat: Some(format!("chat-{number}")),
                ..RequestOptions::default()
            };
            let client = CallerClient::new();
            let body = chat_body(number);
            let answer = client.chat(&url, body, &options, |_| {
                if let Some(sender) = first_token_sender.take() {
                    let _ = sender.send(());
                }
            });
            drop(answer.await);
        });
        // Waits for the first token of every 50th stream, so that not all of them open at the same
        // time. A stream that is refused ends the wait too, and is counted as a stream.
        if number % 50 == 49 {
            drop(first_token_received.await);
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
}

/// Sends a chat on a connection with a small receive buffer and reads nothing from it.
async fn non_reading_caller(port: u16, number: usize) -> Result<TcpStream, String> {
    let failed = |error: std::io::Error| error.to_string();
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_recv_buffer_size(4_096).map_err(failed)?;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let mut stream = socket.connect(address).await.map_err(failed)?;
    let body = chat_body(number);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer \
         {CALLER_KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.map_err(failed)?;
    stream.write_all(&body).await.map_err(failed)?;
    Ok(stream)
}

fn chat_body(number: usize) -> Bytes {
    let body = serde_json::json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": 1_000_000,
        "messages": [{ "role": "user", "content": format!("question {number}") }],
    });
    Bytes::from(body.to_string())
}

/// A router as a child process, with fakes of the platform and of one engine in this process.
struct Router {
    child: Child,
    _platform: FakePlatform,
    _engine: FakeEngine,
}

impl Router {
    async fn start(port: u16, decode_ms: u64) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let platform = FakePlatform::start(PlatformSettings::default())
            .await
            .map_err(failed)?;
        let engine = FakeEngine::start(EngineSettings {
            batch_slots: 1_000_000,
            decode_ms,
            ..EngineSettings::default()
        })
        .await
        .map_err(failed)?;
        let program = std::env::current_exe()
            .map_err(failed)?
            .with_file_name("sapphiretrackd");
        let child = Command::new(program)
            .args([
                String::from("--router-name=router-0"),
                format!("--caller-address=127.0.0.1:{port}"),
                format!("--operator-address=127.0.0.1:{}", port + 1),
                format!("--peer-address=127.0.0.1:{}", port + 2),
                format!("--platform-url={}", platform.url()),
                String::from("--cell-key=cell-key-of-the-bench"),
                format!("--operator-key-sha256={}", sha256_hex(OPERATOR_KEY)),
                String::from("--floor-requests=100000"),
                String::from("--ceiling-requests=100000"),
            ])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(failed)?;
        platform.set_vms(vms(port, engine.address()));
        let router = Self {
            child,
            _platform: platform,
            _engine: engine,
        };
        router.set_up(port).await?;
        Ok(router)
    }

    /// Waits until the router lists the engine, and applies the contract.
    async fn set_up(&self, port: u16) -> Result<(), String> {
        let operator = OperatorClient::new(
            &format!("http://127.0.0.1:{}", port + 1),
            OPERATOR_KEY,
            5_000,
        );
        let request = ApplyContract {
            change_id: String::from("bench"),
            operator: String::from("bench"),
            seen_version: 0,
            contract_toml: contract_toml([600_000; 3]),
        };
        for _ in 0..500 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let status = operator.status().await;
            if !status.is_ok_and(|status| status.servers.len() == 1) {
                continue;
            }
            if let Ok(ChangeReply::Accepted { .. }) = operator.apply(&request).await {
                tokio::time::sleep(Duration::from_secs(2)).await;
                return Ok(());
            }
        }
        Err(String::from(
            "the router did not list the engine and accept the contract within 500 attempts",
        ))
    }

    /// The resident memory of the router process.
    fn memory_bytes(&self) -> Result<u64, String> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .map_err(|error| error.to_string())?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.map(|kib| kib << 10)
            .ok_or_else(|| String::from("no VmRSS line"))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn vms(port: u16, engine: SocketAddr) -> Vec<VmRecord> {
    let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let router = VmRole::Router {
        peer_address: loopback(port + 2),
        operator_address: loopback(port + 1),
    };
    let server = VmRole::Server {
        pool: String::from("assistant"),
        kind: PoolKind::Engine,
    };
    let vm = |name: &str, address, role| VmRecord {
        name: name.to_owned(),
        zone: String::from("zone-1"),
        address,
        role,
        state: VmState::Live,
    };
    vec![
        vm("router-0", loopback(port), router),
        vm("engine-0", engine, server),
    ]
}
