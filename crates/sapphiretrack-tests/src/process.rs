//! Child processes of a test; they end with the test.

use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;

/// How long a process may take to say where it listens.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The path of a program of this workspace.
///
/// # Panics
///
/// If it was not built: `cargo build --workspace --bins` builds it.
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the program has a path");
    // A test lies one folder below the programs.
    let path = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.exists());
    let Some(path) = path else {
        panic!("{name} is not built; run `cargo build --workspace --bins` first");
    };
    path
}

/// A running program, whose output is kept.
pub struct ChildProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    readers: Vec<JoinHandle<()>>,
}

impl ChildProcess {
    /// Starts a program with arguments.
    pub fn start(name: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(binary(name))
            .args(arguments)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let readers = vec![
            keep_lines(child.stdout.take().expect("piped"), lines.clone()),
            keep_lines(child.stderr.take().expect("piped"), lines.clone()),
        ];
        Self {
            child,
            lines,
            readers,
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id().expect("the process runs")
    }

    /// Sends a signal by its name, like `TERM`, `STOP` or `CONT`.
    pub async fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .await
            .expect("kill runs");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Kills the process at once.
    pub async fn kill(&mut self) {
        drop(self.child.kill().await);
    }

    /// Waits for the end and returns the exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .await
            .expect("the process can be waited for")
            .code()
    }

    /// All output lines of a process that has ended.
    pub async fn wait_lines(&mut self) -> Vec<String> {
        for reader in self.readers.drain(..) {
            reader.await.expect("the reader ends");
        }
        self.lines()
    }

    /// All output lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits for a line that holds `text`.
    pub async fn wait_line(&self, text: &str) -> String {
        let found = tokio::time::timeout(START_LIMIT, async {
            loop {
                if let Some(line) = self.lines().into_iter().find(|line| line.contains(text)) {
                    return line;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        match found.await {
            Ok(line) => line,
            Err(_) => panic!(
                "no line with {text:?} came; output:\n{}",
                self.lines().join("\n")
            ),
        }
    }
}

fn keep_lines<Output>(output: Output, lines: Arc<Mutex<Vec<String>>>) -> JoinHandle<()>
where
    Output: AsyncRead + Send + Unpin + 'static,
{
    tokio::spawn(async move {
        let mut reader = BufReader::new(output).lines();
        while let Ok(Some(line)) = reader.next_line().await {
            lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(line);
        }
    })
}
