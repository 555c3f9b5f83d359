//! Test rig of several processes of the program. Each link between two of them goes through a relay that
//! controls each direction separately. Processes can be killed, paused, resumed, restarted and asked to
//! leave. The membership events that they log are collected in one history.
//!
//! All processes are children of the rig and end with it, also when a test panics.

use crate::history::{Event, EventKind};
use crate::TestbenchError;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, Instant};
use wheelpier::cli::fleet::get;
use wheelpier_emulator::link::Link;
use wheelpier_emulator::net::relay::Relay;
use wheelpier_emulator::net::Clock;
use wheelpier_emulator::spec::Spec;

/// Number of fleets that this process has started. Each fleet has its own directory.
static FLEETS: AtomicU64 = AtomicU64::new(0);
/// Interval between two checks of an awaited state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of log lines of each process that are kept for the report of a failed run.
const KEPT_LOG_LINES: usize = 12;

/// Membership events and the last log lines of all processes.
#[derive(Default)]
struct Recorded {
    events: Vec<Event>,
    recent_lines: BTreeMap<usize, Vec<String>>,
}

/// The deployment of ledger hosts that the processes serve. Without it they have no hosts.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The endpoint list that the processes start with.
    pub known: serde_json::Value,
    /// Expected requests per second at all processes together.
    pub rate: f64,
}

/// A process of the fleet, running or not.
struct ManagedProcess {
    name: String,
    listen: SocketAddr,
    clients: SocketAddr,
    console: SocketAddr,
    child: Option<Child>,
}

/// A fleet of processes of the program.
pub struct Processes {
    program: PathBuf,
    directory: PathBuf,
    processes: Vec<ManagedProcess>,
    /// Relays by pairs of processes, the lower index first.
    relays: BTreeMap<(usize, usize), Relay>,
    backend: Option<Backend>,
    recorded: Arc<Mutex<Recorded>>,
    clock: Clock,
}

impl Processes {
    /// Starts a fleet in which all members are founders. `program` is the testbench's own binary, which
    /// contains the program as a sub-command.
    ///
    /// # Errors
    /// Returns an error if an address, file or process cannot be created.
    pub async fn start(program: PathBuf, members: usize, seed: u64) -> Result<Self, TestbenchError> {
        Self::start_on(program, (members, members), seed, None).await
    }

    /// Returns the path of the running binary, which contains the program as a sub-command.
    ///
    /// # Errors
    /// Returns an error if the operating system does not report the path.
    pub fn own_program() -> Result<PathBuf, TestbenchError> {
        Ok(std::env::current_exe()?)
    }

    /// Starts a fleet with a backend or with members that are not founders. Those members are only started by
    /// [`Self::start_process`].
    ///
    /// # Errors
    /// Returns an error if an address, file or process cannot be created.
    pub async fn start_on(
        program: PathBuf,
        (members, founders): (usize, usize),
        seed: u64,
        backend: Option<Backend>,
    ) -> Result<Self, TestbenchError> {
        let number = FLEETS.fetch_add(1, Relaxed);
        let directory = std::env::temp_dir().join(format!("wheelpier-fleet-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        std::fs::write(directory.join("key"), "5e".repeat(32))?;
        let places = unused_addresses(3 * members, number)?;
        let process = |(n, at): (usize, &[SocketAddr])| ManagedProcess {
            name: format!("p{n}"),
            listen: at[0],
            clients: at[1],
            console: at[2],
            child: None,
        };
        let processes: Vec<ManagedProcess> = places.chunks_exact(3).enumerate().map(process).collect();
        let mut relays = BTreeMap::new();
        for a in 0..members {
            for b in a + 1..members {
                let relay = Relay::start(
                    processes[a].listen,
                    processes[b].listen,
                    seed + (a * members + b) as u64 * 2,
                )
                .await?;
                relays.insert((a, b), relay);
            }
        }
        let recorded = Arc::default();
        let mut fleet =
            Self { program, directory, processes, relays, backend, recorded, clock: Clock::start() };
        for n in 0..members {
            fleet.write_files(n, founders, seed)?;
        }
        (0..founders).try_for_each(|n| fleet.start_process(n))?;
        Ok(fleet)
    }

    fn write_files(&self, n: usize, founders: usize, seed: u64) -> Result<(), TestbenchError> {
        let process = &self.processes[n];
        // Members that are not founders are listed as well: an address learned from another member is the one
        // that its own relay has for it, which is wrong for this process.
        let named = |others: std::ops::Range<usize>| -> BTreeMap<&str, String> {
            others
                .map(|other| {
                    (self.processes[other].name.as_str(), self.peer_address_seen_by(n, other).to_string())
                })
                .collect()
        };
        let (founders, members) = (named(0..founders), named(founders..self.processes.len()));
        let key = self.directory.join("key");
        let operator = json!({"peers": {
            "fleet": "lab", "listen": process.listen.to_string(), "founders": founders,
            "members": members, "key_files": [key],
        }});
        let rate = self.backend.as_ref().map_or(100.0, |backend| backend.rate);
        let mut settings = Spec::sapporo().settings(rate);
        settings["limits"]["mayTell"] = json!(true);
        settings["balancers"] = json!(self.processes.len());
        let mut config = json!({
            "name": process.name, "listen": process.clients.to_string(),
            "console": process.console.to_string(),
            "discovery": "127.0.0.1:9", "settings": settings, "seed": format!("{:x}", seed + n as u64),
            "limits": {"sockets": 512},
        });
        if let Some(backend) = &self.backend {
            config["discovery"] = json!(backend.discovery.to_string());
            config["known"] = backend.known.clone();
        }
        std::fs::write(self.config_path(n, "json"), config.to_string())?;
        // JSON is YAML.
        std::fs::write(self.config_path(n, "yaml"), operator.to_string())?;
        Ok(())
    }

    fn config_path(&self, n: usize, kind: &str) -> PathBuf {
        self.directory.join(format!("{}.{kind}", self.processes[n].name))
    }

    /// Returns the address at which one process reaches another: its own side of their relay.
    fn peer_address_seen_by(&self, from: usize, to: usize) -> SocketAddr {
        match from.cmp(&to) {
            std::cmp::Ordering::Less => self.relays[&(from, to)].for_first,
            std::cmp::Ordering::Equal => self.processes[from].listen,
            std::cmp::Ordering::Greater => self.relays[&(to, from)].for_second,
        }
    }

    // ---- Actions ---------------------------------------------------------------------------------------

    /// Starts a process unless it is running.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub fn start_process(&mut self, n: usize) -> Result<(), TestbenchError> {
        if self.processes[n].child.is_some() {
            return Ok(());
        }
        let mut child = Command::new(&self.program)
            .args(["proxy", "--log", "json", "--operator"])
            .arg(self.config_path(n, "yaml"))
            .env("GW_CONFIG", self.config_path(n, "json"))
            .env("TMPDIR", &self.directory)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = child.stderr.take().map(|pipe| BufReader::new(pipe).lines());
        let recorded = Arc::clone(&self.recorded);
        std::thread::spawn(move || {
            for line in lines.into_iter().flatten().map_while(Result::ok) {
                let mut recorded = recorded.lock().unwrap_or_else(PoisonError::into_inner);
                recorded.events.extend(Event::from_log_line(n, &line));
                let last = recorded.recent_lines.entry(n).or_default();
                last.push(line);
                let over = last.len().saturating_sub(KEPT_LOG_LINES);
                last.drain(..over);
            }
        });
        self.processes[n].child = Some(child);
        self.record_action(n, "started");
        Ok(())
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.processes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record_action(n, "killed");
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&mut self, n: usize) {
        self.signal(n, "STOP");
        self.record_action(n, "stopped");
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&mut self, n: usize) {
        self.signal(n, "CONT");
        self.record_action(n, "continued");
    }

    /// Asks a process to leave the fleet, with SIGTERM.
    pub fn ask_to_leave(&mut self, n: usize) {
        self.signal(n, "TERM");
        self.record_action(n, "asked to leave");
    }

    /// Returns the indices of all other processes.
    pub fn others(&self, n: usize) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(move |other| *other != n)
    }

    /// Asks a process to leave and returns whether it has ended within `patience`.
    pub async fn leave(&mut self, n: usize, patience: Duration) -> bool {
        self.ask_to_leave(n);
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let Some(child) = &mut self.processes[n].child else { return true };
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.processes[n].child = None;
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.processes[n].child {
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    fn record_action(&self, process: usize, action: &'static str) {
        let event = Event { at: self.clock.now(), process, me: String::new(), kind: EventKind::Done(action) };
        self.lock_recorded().events.push(event);
    }

    /// Sets the link from one process to another, in this direction only.
    pub fn set_link(&self, from: usize, to: usize, link: &Link) {
        match from < to {
            true => self.relays[&(from, to)].set_forth(link.clone()),
            false => self.relays[&(to, from)].set_back(link.clone()),
        }
    }

    /// Sets all links in both directions.
    pub fn set_all_links(&self, link: &Link) {
        for relay in self.relays.values() {
            relay.set_forth(link.clone());
            relay.set_back(link.clone());
        }
    }

    /// Sets all links between the given processes and the others, in both directions.
    pub fn set_links_between(&self, side: &[usize], link: &Link) {
        for (a, b) in self.relays.keys().filter(|(a, b)| side.contains(a) != side.contains(b)) {
            self.set_link(*a, *b, link);
            self.set_link(*b, *a, link);
        }
    }

    // ---- Observations ----------------------------------------------------------------------------------

    /// Locks the recorded events and log lines.
    fn lock_recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all membership events and actions so far.
    pub fn history(&self) -> Vec<Event> {
        self.lock_recorded().events.clone()
    }

    /// Returns the address for clients of a process.
    pub fn client_address(&self, n: usize) -> SocketAddr {
        self.processes[n].clients
    }

    /// Returns the name and incarnation of a process in its last event, or an empty string before its first
    /// event.
    pub fn latest_identity(&self, n: usize) -> String {
        let recorded = self.lock_recorded();
        let last = recorded.events.iter().rev().find(|event| event.process == n && !event.me.is_empty());
        last.map(|event| event.me.clone()).unwrap_or_default()
    }

    /// Returns the bytes that all running processes have sent to each other and the processor time that they
    /// have used, in seconds.
    ///
    /// # Errors
    /// Returns an error if a console does not answer.
    pub async fn resource_usage(&self) -> Result<(u64, f64), TestbenchError> {
        let (mut bytes, mut seconds) = (0, 0.0);
        for (n, process) in self.processes.iter().enumerate() {
            let Some(child) = &process.child else { continue };
            let figures = self.admin_stats(n).await?;
            let sent = figures.lines().find_map(|line| line.strip_prefix("gw.fleet.sent_bytes="));
            bytes += sent.and_then(|sent| sent.parse::<u64>().ok()).ok_or(TestbenchError::Ended)?;
            seconds += cpu_seconds(child.id())?;
        }
        Ok((bytes, seconds))
    }

    /// Returns the address of a process for its peers, without a relay.
    pub fn peer_address(&self, n: usize) -> SocketAddr {
        self.processes[n].listen
    }

    /// Returns the statistics of a process from its console.
    ///
    /// # Errors
    /// Returns an error if the console does not answer.
    pub async fn admin_stats(&self, n: usize) -> Result<String, TestbenchError> {
        Ok(get(self.processes[n].console, "/admin/stats").await?)
    }

    /// Returns the resident memory of a process in KiB (`VmRSS` in proc(5)).
    ///
    /// # Errors
    /// Returns an error if the process is not running.
    pub fn memory(&self, n: usize) -> Result<u64, TestbenchError> {
        let child = self.processes[n].child.as_ref().ok_or(TestbenchError::Ended)?;
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().next());
        size.and_then(|size| size.parse().ok()).ok_or(TestbenchError::Ended)
    }

    /// Returns the current time on the clock of the history, in Unix microseconds.
    pub fn now(&self) -> i64 {
        self.clock.now()
    }

    /// Returns the members of the latest view that a process has logged since its start, and whether it holds
    /// its lease.
    pub fn latest_view(&self, n: usize) -> (Vec<String>, bool) {
        let recorded = self.lock_recorded();
        let own = recorded.events.iter().rev().filter(|event| event.process == n);
        let own = own.take_while(|event| event.kind != EventKind::Done("started"));
        let (mut members, mut acting) = (None, None);
        for event in own {
            match &event.kind {
                EventKind::View { members: all, .. } if members.is_none() => members = Some(all.clone()),
                EventKind::Change { cause, .. } if acting.is_none() && cause == "LeaseHeld" => {
                    acting = Some(true)
                }
                EventKind::Change { cause, .. } if acting.is_none() && cause == "Fenced" => {
                    acting = Some(false)
                }
                EventKind::Life if acting.is_none() => acting = Some(false),
                _ => {}
            }
        }
        (members.unwrap_or_default(), acting.unwrap_or(false))
    }

    /// Returns whether exactly these processes are in the latest view of each of them and all of them hold
    /// their leases.
    pub fn agree_on_view(&self, indices: &[usize]) -> bool {
        let first = self.latest_view(indices[0]).0;
        let names: Vec<&str> = first.iter().filter_map(|member| member.split('#').next()).collect();
        let all = names.len() == indices.len()
            && indices.iter().all(|n| names.contains(&self.processes[*n].name.as_str()));
        all && indices.iter().all(|n| self.latest_view(*n) == (first.clone(), true))
    }

    /// Waits until a condition holds and returns how long that took.
    ///
    /// # Panics
    /// Panics if it takes longer than `patience`, with [`Self::recent_output`].
    pub async fn wait_until(
        &self,
        what: &str,
        patience: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Duration {
        let began = Instant::now();
        while !condition(self) {
            assert!(began.elapsed() < patience, "not within {patience:?}: {what}\n{}", self.recent_output());
            sleep(POLL_INTERVAL).await;
        }
        began.elapsed()
    }

    /// Returns the last log lines of each process and the last events of the history.
    pub fn recent_output(&self) -> String {
        let recorded = self.lock_recorded();
        let lines = recorded
            .recent_lines
            .iter()
            .flat_map(|(n, lines)| lines.iter().map(move |line| format!("{n}: {line}")));
        let history = recorded.events.iter().rev().take(40).rev().map(ToString::to_string);
        lines.chain(history).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the processor time of a process in seconds, from the clock ticks of 1/100 s in proc(5).
fn cpu_seconds(pid: u32) -> Result<f64, TestbenchError> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // Skips the process name in parentheses, which may contain spaces.
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |at: usize| fields.get(at).and_then(|ticks| ticks.parse::<u64>().ok()).ok_or(TestbenchError::Ended);
    Ok((ticks(11)? + ticks(12)?) as f64 / 100.0)
}

/// Returns unused socket addresses on a loopback address of this fleet only. On 127.0.0.1 another program
/// could take a port before the process binds it.
fn unused_addresses(count: usize, fleet: u64) -> std::io::Result<Vec<SocketAddr>> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = [127, 16 | (high & 15), low, (fleet % 250 + 1) as u8];
    let held: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind(SocketAddr::from((own, 0)))).collect::<Result<_, _>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
