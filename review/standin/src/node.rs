//! Routers as processes, started by the command of the deploy file.

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::words::{fill, word};

pub struct Node {
    pub name: String,
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Child,
}

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["rufisque", "thiaroye", "pikine"];

impl Node {
    pub fn start(program: &Path, folder: &Path, store: SocketAddr, number: usize) -> Self {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
        let ip = own_ip(number as u32 + 10);
        let settings = folder.join(format!("{name}.toml"));
        let store = store.to_string();
        let text = fill(
            "settings",
            &[
                ("node", &name),
                ("ip", &ip),
                ("zone", zone),
                ("store", &store),
            ],
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &settings, &log);
        Self {
            name,
            ip,
            settings,
            log,
            program: program.to_owned(),
            child,
        }
    }

    pub fn front(&self) -> SocketAddr {
        self.address(8227)
    }

    pub fn directory(&self) -> SocketAddr {
        self.address(8224)
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut connection) = Connection::open(self.address(8220), limit) else {
            return false;
        };
        drop(connection.stream.set_read_timeout(Some(limit)));
        let sent = connection.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        sent.is_ok()
            && connection
                .read()
                .is_some_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "the signal is sent"
        );
    }

    /// Changes a line of the settings file.
    pub fn change_settings(&self, before: &str, after: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings are readable");
        std::fs::write(&self.settings, text.replace(before, after))
            .expect("the settings are written");
    }

    /// Ends the process, as SIGKILL does.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// The memory that the process takes, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log opens");
    let mut command = Command::new(program);
    command.env_clear().env(word("settings-variable"), settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    let copy = log.try_clone().expect("the log opens");
    // SAFETY: the call only sets an attribute of the new process: it ends if this one does.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    command.stdin(Stdio::null()).stdout(log).stderr(copy);
    command
        .spawn()
        .expect("the router starts: has it been built?")
}

/// A loopback address of this run.
pub fn own_ip(number: u32) -> String {
    let run = std::process::id();
    format!("127.{}.{}.{number}", 100 + run / 250 % 100, 1 + run % 250)
}

/// Waits until all routers are ready; false after 15 s.
pub fn wait_until_ready(nodes: &[Node], record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            record.note("all routers are ready".to_owned());
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    record.sum("the routers did not become ready".to_owned());
    false
}
