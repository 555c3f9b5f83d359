//! A process of the program in a soak: started with its faults, ordered about, and watched until it ends.

use super::ledger::End;
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

/// Lines that are kept for a failing run.
const LAST_LINES: usize = 15;
/// How often it is looked at.
const LOOK: Duration = Duration::from_millis(5);
/// The longest that an operator's call may take, and how often it is made.
const CALL: (Duration, usize) = (Duration::from_secs(1), 3);

/// A running process; it ends with this value.
pub struct Process {
    child: Child,
    console: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Where everything stands that a process needs.
#[derive(Clone, Debug)]
pub struct Place {
    pub program: PathBuf,
    pub library: PathBuf,
    pub file: PathBuf,
    pub clients: SocketAddr,
    pub console: SocketAddr,
    pub discovery: SocketAddr,
    pub calls: String,
    /// Where all that it logs goes, if anywhere.
    pub log: Option<PathBuf>,
}

/// The library of faults beside this program, if it was built.
pub fn library(program: &Path) -> Option<PathBuf> {
    let name = "libwheelpier_faults.so";
    let here = program.parent()?;
    let places = [here.join(name), here.join("deps").join(name)];
    places.into_iter().find(|place| place.exists())
}

impl Process {
    /// Starts it.
    ///
    /// # Errors
    /// When there can be no process.
    pub fn start(place: &Place) -> Result<Self, TestbenchError> {
        let mut child = Command::new(&place.program)
            .arg("proxy")
            .env("GW_CONFIG", &place.file)
            .env("GW_CONSOLE", place.console.to_string())
            .env("GW_DISCOVERY", place.discovery.to_string())
            .env("LD_PRELOAD", &place.library)
            .env("WHEELPIER_FAULTS", &place.calls)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&lines);
        let log = child.stderr.take().map(|pipe| BufReader::new(pipe).lines());
        let mut file = place
            .log
            .as_ref()
            .map(|path| File::options().create(true).append(true).open(path))
            .transpose()?;
        std::thread::spawn(move || {
            for line in log.into_iter().flatten().map_while(Result::ok) {
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}");
                }
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                kept.push(line);
                let over = kept.len().saturating_sub(LAST_LINES);
                kept.drain(..over);
            }
        });
        Ok(Self { child, console: place.console, lines })
    }

    /// Its number for the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by name.
    pub async fn signal(&self, name: &str) {
        run(Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()])).await;
    }

    /// Stops it for that long. One shell does it all, so that no other program has to start while the process is stopped.
    pub async fn pause(&self, length: Duration) {
        let script = "exec 3<> <(:); kill -STOP $0; read -t $1 -u 3; kill -CONT $0";
        let (id, seconds) = (self.child.id().to_string(), length.as_secs_f64().to_string());
        run(Command::new("bash").args(["-c", script, &id, &seconds])).await;
    }

    /// An operator's call, made anew if it fails; whether it was answered with yes.
    pub async fn call(&self, what: &str) -> bool {
        for _ in 0..CALL.1 {
            if let Ok(Ok(true)) = timeout(CALL.0, post(self.console, what)).await {
                return true;
            }
        }
        false
    }

    /// Waits for its end until that moment, and ends it then. Where the time went is known of one that was still there.
    pub async fn leaves(
        &mut self,
        until: Instant,
        start: &DelayBaseline,
        timers: &TimerLateness,
    ) -> (End, Delays, Vec<String>) {
        let end = loop {
            match self.child.try_wait() {
                Ok(Some(status)) if status.success() => break self.counted().await,
                Ok(Some(status)) => break End::Crashed(status.to_string()),
                _ if Instant::now() >= until => break End::Late,
                _ => sleep(LOOK).await,
            }
        };
        (end, start.delays(timers), self.kill())
    }

    /// What its last line says that it took and answered.
    async fn counted(&self) -> End {
        let until = Instant::now() + CALL.0;
        loop {
            let lines = self.lines();
            let line = lines.iter().rev().find(|line| line.contains("counters totals="));
            let count = |name: &str| {
                let found = line?.split(' ').find_map(|figure| figure.strip_prefix(name)?.strip_prefix('='));
                found?.parse::<u64>().ok()
            };
            let answered: Option<u64> = ["served", "refused", "failed", "left"].into_iter().map(count).sum();
            match count("taken").zip(answered) {
                Some((taken, answered)) => return End::Left { taken, answered },
                None if Instant::now() < until => sleep(LOOK).await,
                None => return End::Crashed("its last line does not count".to_owned()),
            }
        }
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends it at once; its last lines.
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

/// Runs a program to its end. This thread goes on meanwhile: on a busy machine it may take long until a program starts.
async fn run(command: &mut Command) {
    if let Ok(mut child) = command.stdin(Stdio::null()).spawn() {
        while matches!(child.try_wait(), Ok(None)) {
            sleep(LOOK).await;
        }
    }
}

async fn post(console: SocketAddr, what: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    let call = format!("POST /admin/{what} HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(call.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}
