//! The router under test as a process of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::http::Connection;

/// A running router; killed when dropped.
pub struct Node {
    process: Child,
    program: PathBuf,
    folder: PathBuf,
    settings: String,
    /// Holds its id while it runs.
    id_file: PathBuf,
    /// Its address for callers.
    pub callers: SocketAddr,
    ready: SocketAddr,
    /// What holds the process to its share of a core.
    quota: Option<(Arc<AtomicBool>, JoinHandle<()>)>,
}

/// Free ports of an address, in a row.
fn free_ports(ip: &str, count: u16) -> std::io::Result<u16> {
    for _ in 0..200 {
        let first = TcpListener::bind((ip, 0))?.local_addr()?.port();
        if first.checked_add(count).is_none() {
            continue;
        }
        let held: Vec<_> = (first..first + count)
            .map(|port| TcpListener::bind((ip, port)))
            .collect();
        if held.iter().all(Result::is_ok) {
            return Ok(first);
        }
    }
    Err(std::io::Error::other("no free ports"))
}

impl Node {
    /// Starts the program of the deploy file with the settings of a small deployment, and waits until it is ready.
    pub fn start(
        program: &Path,
        folder: &Path,
        ip: &str,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let node = Self::launch(program, folder, ip, store, 1)?;
        node.wait_until_ready()?;
        Ok(node)
    }

    /// Starts the program with the settings of a small deployment, as one of its routers.
    pub fn launch(
        program: &Path,
        folder: &Path,
        ip: &str,
        store: SocketAddr,
        number: usize,
    ) -> std::io::Result<Self> {
        let first = free_ports(ip, 16)?;
        let ports = [
            ("@FRONT@", first),
            ("@READY@", first + 1),
            ("@LOOKUP@", first + 2),
            ("@PEERLAST@", first + 15),
            ("@PEER@", first + 3),
        ];
        let text = include_str!("../settings.txt");
        let mut text = text
            .replace("@NAME@", &format!("front-rufisque-{number}"))
            .replace("@IP@", ip);
        for (place, port) in ports {
            text = text.replace(place, &port.to_string());
        }
        let settings = text.replace("@STORE@", &store.to_string());
        let process = spawn_program(program, folder, &settings, true)?;
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        Ok(Self {
            process,
            program: program.to_owned(),
            folder: folder.to_owned(),
            settings,
            id_file: folder.join("node.pid"),
            callers: address(first),
            ready: address(first + 1),
            quota: None,
        })
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&self) -> std::io::Result<()> {
        let since = Instant::now();
        while !self.is_ready() {
            if since.elapsed() > Duration::from_secs(15) {
                return Err(std::io::Error::other("the router is not ready in time"));
            }
            sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        Ok(())
    }

    /// Starts the program again, at the same addresses.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.process = spawn_program(&self.program, &self.folder, &self.settings, false)?;
        Ok(())
    }

    /// Whether it answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let mut answer = [0; 64];
            let count = stream.read(&mut answer)?;
            Ok(answer[..count].starts_with(b"HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Its resident memory in kilobytes; `None` once it has ended.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// The time that it has run on a core, in microseconds.
    pub fn processor_us(&self) -> u64 {
        processor_us(self.process.id())
    }

    /// Holds the process to a share of a core from now on, as a quota: once it has run for that part of a tenth of a
    /// second, it is stopped for the rest.
    pub fn limit_processor(&mut self, share: f64) {
        let id = self.process.id();
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = is_over.clone();
        let quota = spawn(move || {
            let process = Pid::from_raw(id as i32);
            let period = Duration::from_millis(100);
            // It is noticed up to two milliseconds late.
            let quota_us = ((period.as_micros() as f64 * share) as u64).saturating_sub(2_000);
            while !ends.load(Ordering::Relaxed) {
                let (began, before_us) = (Instant::now(), processor_us(id));
                while began.elapsed() < period {
                    if processor_us(id) >= before_us + quota_us {
                        let _ = kill(process, Signal::SIGSTOP);
                        sleep(period.saturating_sub(began.elapsed()));
                        let _ = kill(process, Signal::SIGCONT);
                        break;
                    }
                    sleep(Duration::from_millis(1));
                }
            }
        });
        self.quota = Some((is_over, quota));
    }

    /// Tells it that its settings file has changed.
    pub fn hang_up(&self) -> std::io::Result<()> {
        let process = Pid::from_raw(self.process.id() as i32);
        kill(process, Signal::SIGHUP).map_err(std::io::Error::from)
    }

    /// Opens a caller's connection.
    pub fn connect(&self, limit: Duration) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&self.callers, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Connection::new(stream))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some((is_over, quota)) = self.quota.take() {
            is_over.store(true, Ordering::Relaxed);
            let _ = quota.join();
        }
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.id_file);
    }
}

/// The time that all threads of a process have run, in microseconds.
fn processor_us(id: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task"));
    let tasks = tasks.into_iter().flatten().flatten();
    let times =
        tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
    let times = times.filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    times.sum::<u64>() / 1_000
}

/// Starts the program. `is_first` tells whether the whole system starts for the first time.
fn spawn_program(
    program: &Path,
    folder: &Path,
    settings: &str,
    is_first: bool,
) -> std::io::Result<Child> {
    let path = folder.join("boot.toml");
    std::fs::write(
        &path,
        settings.replace("@BOOTSTRAP@", &is_first.to_string()),
    )?;
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(folder.join("node.log"))?;
    let process = Command::new(program)
        .arg("--settings")
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    std::fs::write(folder.join("node.pid"), process.id().to_string())?;
    Ok(process)
}
