//! Child processes of a test, which are killed when the test ends.

use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;

/// How long [`ChildProcess::wait_line`] waits, in particular for a starting process to listen.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the path of a program of this workspace.
///
/// # Panics
///
/// If the program is not built; `cargo build --workspace --bins` builds it.
pub fn program_path(name: &str) -> PathBuf {
    let test_program = std::env::current_exe().expect("the path of the test program is known");
    // Test programs are in a subfolder of the folder with the programs.
    let path = test_program
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

/// A running program and its output lines.
pub struct ChildProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    readers: Vec<JoinHandle<()>>,
}

impl ChildProcess {
    /// Starts a program of this workspace with an empty environment.
    pub fn start(name: &str, arguments: &[String]) -> Self {
        Self::start_with(name, arguments, &[])
    }

    /// Starts a program of this workspace with these environment variables only.
    pub fn start_with(name: &str, arguments: &[String], variables: &[(String, String)]) -> Self {
        let mut child = Command::new(program_path(name))
            .args(arguments)
            .env_clear()
            .envs(variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let readers = vec![
            collect_lines(child.stdout.take().expect("piped"), lines.clone()),
            collect_lines(child.stderr.take().expect("piped"), lines.clone()),
        ];
        Self {
            child,
            lines,
            readers,
        }
    }

    /// The process id of a process that has not been waited for.
    pub fn id(&self) -> u32 {
        self.child
            .id()
            .expect("the process has not been waited for")
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub async fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .await
            .expect("kill runs");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub async fn kill(&mut self) {
        drop(self.child.kill().await);
    }

    /// Waits for the end of the process and returns its exit code, or none if a signal ended it.
    pub async fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .await
            .expect("the process can be waited for")
            .code()
    }

    /// Waits for the end of the output and returns all lines.
    pub async fn wait_lines(&mut self) -> Vec<String> {
        for reader in self.readers.drain(..) {
            reader.await.expect("the reader does not panic");
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

    /// Waits for a line that contains `text` and returns it.
    ///
    /// # Panics
    ///
    /// If no such line comes within 20 s.
    pub async fn wait_line(&self, text: &str) -> String {
        let found = tokio::time::timeout(LINE_TIMEOUT, async {
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
                "no line contains {text:?} after {LINE_TIMEOUT:?}; output:\n{}",
                self.lines().join("\n")
            ),
        }
    }
}

fn collect_lines<Output>(output: Output, lines: Arc<Mutex<Vec<String>>>) -> JoinHandle<()>
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
