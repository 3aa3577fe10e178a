//! Callers that send without end, or stop before the end and keep their connections open.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// How long a caller of a crowd tries to send what it has to send, or to read its answer.
const SEND_LIMIT: Duration = Duration::from_secs(15);
/// The interval between two looks at the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long the process is watched after the last caller of a crowd has sent everything.
const WATCHED_AFTER: Duration = Duration::from_millis(500);

/// How many callers of `Crowd::fill` send the longest body at once.
const FIRST_CALLERS: usize = 40;
/// The shortest body of `Crowd::fill`.
const SHORTEST_BYTES: usize = 16 * 1024;
/// How long a caller of `Crowd::fill` waits for a refusal.
const REFUSAL_WAIT: Duration = Duration::from_millis(40);

/// The limits of a process that its settings state.
#[derive(Clone, Copy, Debug)]
pub struct StatedLimits {
    /// The memory of the machine, in MB.
    pub memory_mb: u64,
    /// The descriptors of a process.
    pub max_fds: usize,
}

/// The most that a process held, as of the samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peaks {
    /// The resident memory, in bytes.
    pub resident_bytes: u64,
    /// The open descriptors.
    pub descriptors: usize,
}

impl Peaks {
    /// Adds what the process holds now.
    pub fn sample(&mut self, process_id: u32) {
        let (resident_bytes, descriptors) = usage(process_id);
        self.resident_bytes = self.resident_bytes.max(resident_bytes);
        self.descriptors = self.descriptors.max(descriptors);
    }

    /// Panics unless the process stayed within the limits of its machine.
    pub fn assert_within(&self, limits: StatedLimits) {
        println!("{self:?}");
        assert!(
            self.resident_bytes <= limits.memory_mb * 1_000_000,
            "{self:?} exceeds {limits:?}"
        );
        assert!(
            self.descriptors <= limits.max_fds,
            "{self:?} exceeds {limits:?}"
        );
    }
}

/// The resident memory of a process, in bytes, and its open descriptors.
fn usage(process_id: u32) -> (u64, usize) {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"));
    let status = status.expect("the process lives");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.expect("the process lives").trim();
    let kib: u64 = resident.trim_end_matches(" kB").parse().expect("a number");
    let descriptors = std::fs::read_dir(format!("/proc/{process_id}/fd"));
    let descriptors = descriptors.expect("the process lives").count();
    (kib * 1024, descriptors)
}

/// The callers of a crowd, whose connections stay open until this is dropped.
pub struct Crowd {
    /// Those that could connect.
    pub callers: Vec<TcpStream>,
    /// What the process held at most.
    pub peaks: Peaks,
}

impl Crowd {
    /// Lets `count` callers connect at once and send the pieces that `pieces` returns for each, with `pause` after
    /// each piece. A caller whose connection is closed, or that cannot send for long, sends nothing more.
    pub async fn press<Pieces>(
        process_id: u32,
        address: SocketAddr,
        count: usize,
        pause: Duration,
        pieces: Pieces,
    ) -> Self
    where
        Pieces: Fn(usize) -> Vec<Vec<u8>>,
    {
        let mut sending = JoinSet::new();
        for number in 0..count {
            let pieces = pieces(number);
            sending.spawn(async move {
                let connecting = timeout(SEND_LIMIT, TcpStream::connect(address));
                let mut caller = connecting.await.ok()?.ok()?;
                let sent = timeout(SEND_LIMIT, async {
                    for piece in &pieces {
                        if caller.write_all(piece).await.is_err() {
                            break;
                        }
                        sleep(pause).await;
                    }
                });
                drop(sent.await);
                Some(caller)
            });
        }
        let mut crowd = Self {
            callers: Vec::new(),
            peaks: Peaks::default(),
        };
        let mut until = None;
        while until.is_none_or(|until| Instant::now() < until) {
            crowd.peaks.sample(process_id);
            while let Some(sent) = sending.try_join_next() {
                crowd.callers.extend(sent.expect("a caller does not panic"));
            }
            if sending.is_empty() && until.is_none() {
                until = Some(Instant::now() + WATCHED_AFTER);
            }
            sleep(SAMPLE_INTERVAL).await;
        }
        crowd
    }

    /// Fills the memory of a process with bodies that stop one byte short of their end: the longest first, then ever
    /// shorter ones in what those leave. Callers that are refused leave. `head` returns the head of a request with a
    /// body of so many bytes.
    pub async fn fill<Head>(
        process_id: u32,
        address: SocketAddr,
        longest_bytes: usize,
        head: Head,
    ) -> Self
    where
        Head: Fn(usize) -> Vec<u8>,
    {
        let mut crowd = Self {
            callers: Vec::new(),
            peaks: Peaks::default(),
        };
        let mut bytes = longest_bytes;
        let mut count = FIRST_CALLERS;
        while bytes >= SHORTEST_BYTES {
            let body = [head(bytes), vec![b'x'; bytes - 1]].concat();
            let mut sending = JoinSet::new();
            for _ in 0..count {
                sending.spawn(begin_upload(address, body.clone()));
            }
            let accepted = sending.join_all().await.into_iter().flatten();
            let before = crowd.callers.len();
            crowd.callers.extend(accepted);
            let is_full = crowd.callers.len() == before;
            crowd.callers.retain(is_unanswered);
            crowd.peaks.sample(process_id);
            if is_full {
                bytes /= 2;
            }
            count = 1;
        }
        crowd
    }

    /// Watches the process further, for work that goes on after everything was sent.
    pub async fn watch(&mut self, process_id: u32, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.peaks.sample(process_id);
            sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// Sends an unfinished body. Returns the connection unless the body was refused.
async fn begin_upload(address: SocketAddr, body: Vec<u8>) -> Option<TcpStream> {
    let mut caller = TcpStream::connect(address).await.ok()?;
    caller.write_all(&body).await.ok()?;
    let refused = timeout(REFUSAL_WAIT, caller.readable()).await.is_ok();
    (!refused).then_some(caller)
}

/// Whether nothing arrived on this connection, and it is open.
fn is_unanswered(caller: &TcpStream) -> bool {
    let read = caller.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
