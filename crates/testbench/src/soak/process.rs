//! A process of the proxy in a soak: started with its faults, sent signals and operator calls, and
//! watched until it exits.

use super::ledger::ProcessEnd;
use super::run_queue::{DelayBaseline, Delays, TimerLateness};
use crate::TestbenchError;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// The number of last log lines that are kept for the report of a failing run.
const LAST_LINES: usize = 15;
/// The interval at which the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The timeout of one operator call. The wait for the last log line of a process is as long.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of times that an operator call is tried.
const CALL_ATTEMPTS: usize = 3;

/// A running process. Dropping the value kills the process.
pub struct Process {
    child: Child,
    console: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

/// The files, addresses and faults that a process is started with.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    /// The executable.
    pub program: PathBuf,
    /// The library that injects faults into system calls.
    pub fault_library: PathBuf,
    /// The configuration file.
    pub config_file: PathBuf,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the console.
    pub console: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The system-call faults, in the language of `WHEELPIER_FAULTS`.
    pub syscall_faults: String,
    /// The file that the log is appended to, if any.
    pub log_file: Option<PathBuf>,
}

impl ProcessConfig {
    /// Returns the folder for the process's temporary files, which outlives a restart.
    pub fn temporary_folder(&self) -> PathBuf {
        self.config_file.with_extension("tmp")
    }
}

/// Returns the path of the fault library beside the executable or in its `deps` folder, if it was built.
pub fn fault_library(program: &Path) -> Option<PathBuf> {
    let name = "libwheelpier_faults.so";
    let here = program.parent()?;
    let candidates = [here.join(name), here.join("deps").join(name)];
    candidates.into_iter().find(|path| path.exists())
}

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    /// Fails if the process cannot be started or its log file cannot be opened.
    pub fn start(config: &ProcessConfig) -> Result<Self, TestbenchError> {
        let mut child = Command::new(&config.program)
            .arg("proxy")
            .env("GW_CONFIG", &config.config_file)
            .env("TMPDIR", config.temporary_folder())
            .env("GW_CONSOLE", config.console.to_string())
            .env("GW_DISCOVERY", config.discovery.to_string())
            .env("LD_PRELOAD", &config.fault_library)
            .env("WHEELPIER_FAULTS", &config.syscall_faults)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let last_lines = Arc::clone(&lines);
        let log = child.stderr.take().map(|pipe| BufReader::new(pipe).lines());
        let mut file = config
            .log_file
            .as_ref()
            .map(|path| File::options().create(true).append(true).open(path))
            .transpose()?;
        std::thread::spawn(move || {
            for line in log.into_iter().flatten().map_while(Result::ok) {
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}");
                }
                let mut last_lines = last_lines.lock().unwrap_or_else(PoisonError::into_inner);
                last_lines.push(line);
                let excess = last_lines.len().saturating_sub(LAST_LINES);
                last_lines.drain(..excess);
            }
        });
        Ok(Self { child, console: config.console, lines })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, by its name without `SIG`.
    pub async fn signal(&self, name: &str) {
        run(Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()])).await;
    }

    /// Stops the process for a time. A single shell sends SIGSTOP, waits and sends SIGCONT, so that no other
    /// program has to start while the process is stopped.
    pub async fn pause(&self, duration: Duration) {
        let script = "exec 3<> <(:); kill -STOP $0; read -t $1 -u 3; kill -CONT $0";
        let (id, seconds) = (self.child.id().to_string(), duration.as_secs_f64().to_string());
        run(Command::new("bash").args(["-c", script, &id, &seconds])).await;
    }

    /// Makes an operator call, and repeats it if it fails. Returns whether the console answered with status
    /// 200.
    pub async fn console_call(&self, call_name: &str) -> bool {
        for _ in 0..CALL_ATTEMPTS {
            if let Ok(Ok(true)) = timeout(CALL_TIMEOUT, post(self.console, call_name)).await {
                return true;
            }
        }
        false
    }

    /// Waits for the process to exit until the given time, and kills it then. Returns how it ended, the
    /// delays since the baseline and its last log lines. Delays of the process itself are known only if it
    /// still ran.
    pub async fn wait_for_exit(
        &mut self,
        until: Instant,
        baseline: &DelayBaseline,
        timers: &TimerLateness,
    ) -> (ProcessEnd, Delays, Vec<String>) {
        let end = loop {
            match self.child.try_wait() {
                Ok(Some(status)) if status.success() => break self.read_counts().await,
                Ok(Some(status)) => break ProcessEnd::Crashed(status.to_string()),
                _ if Instant::now() >= until => break ProcessEnd::Late,
                _ => sleep(POLL_INTERVAL).await,
            }
        };
        (end, baseline.delays(timers), self.kill())
    }

    /// Reads the counts of requests taken and answered from the last line of the log.
    async fn read_counts(&self) -> ProcessEnd {
        let until = Instant::now() + CALL_TIMEOUT;
        loop {
            let lines = self.lines();
            let line = lines.iter().rev().find(|line| line.contains("counters totals="));
            let count = |name: &str| {
                let found = line?.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
                found?.parse::<u64>().ok()
            };
            let answered: Option<u64> = ["served", "refused", "failed", "left"].into_iter().map(count).sum();
            match count("taken").zip(answered) {
                Some((taken, answered)) => return ProcessEnd::Exited { taken, answered },
                None if Instant::now() < until => sleep(POLL_INTERVAL).await,
                None => return ProcessEnd::Crashed("no totals in its last log lines".to_owned()),
            }
        }
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process with SIGKILL. Returns its last log lines.
    pub fn kill(&mut self) -> Vec<String> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.lines()
    }

    fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a program to its end without blocking this thread: on a busy machine a program may take long to
/// start.
async fn run(command: &mut Command) {
    if let Ok(mut child) = command.stdin(Stdio::null()).spawn() {
        while matches!(child.try_wait(), Ok(None)) {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Makes one operator call. Returns whether the console answered with status 200.
async fn post(console: SocketAddr, call_name: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    let request = format!("POST /admin/{call_name} HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response.starts_with("HTTP/1.1 200"))
}
