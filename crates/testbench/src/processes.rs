//! Several processes of the program, each link between two of them through a relay, each direction by itself. Processes are
//! killed, stopped, continued, restarted and asked to leave; what they say of the fleet comes into one history.
//!
//! All processes are this rig's children and end with it, also when a test panics.

use crate::history::{Event, What};
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

/// Fleets of this process, each with files of its own.
static FLEETS: AtomicU64 = AtomicU64::new(0);
/// How often a state is looked for.
const LOOK: Duration = Duration::from_millis(20);
/// Lines of each process that are kept for a failing run.
const LAST_LINES: usize = 12;

#[derive(Default)]
struct Told {
    events: Vec<Event>,
    last: BTreeMap<usize, Vec<String>>,
}

/// What processes serve: without it they have no ledger hosts.
#[derive(Clone, Debug)]
pub struct Ground {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The list that they hold at their start.
    pub known: serde_json::Value,
    /// Requests a second that all of them together have to expect.
    pub rate: f64,
}

struct Node {
    name: String,
    listen: SocketAddr,
    clients: SocketAddr,
    console: SocketAddr,
    child: Option<Child>,
}

/// The fleet.
pub struct Processes {
    program: PathBuf,
    directory: PathBuf,
    nodes: Vec<Node>,
    /// Between each two, the one with the lower number first.
    relays: BTreeMap<(usize, usize), Relay>,
    ground: Option<Ground>,
    told: Arc<Mutex<Told>>,
    clock: Clock,
}

impl Processes {
    /// Starts so many, all of which found the fleet. `program` is this laboratory's own binary, which is the program as well.
    ///
    /// # Errors
    /// When ports, files or processes cannot be had.
    pub async fn start(program: PathBuf, members: usize, seed: u64) -> Result<Self, TestbenchError> {
        Self::start_on(program, (members, members), seed, None).await
    }

    /// This very binary, which is the program as well.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn own_program() -> Result<PathBuf, TestbenchError> {
        Ok(std::env::current_exe()?)
    }

    /// The same with something to serve, or with some that do not found the fleet: those begin only when they are told to.
    ///
    /// # Errors
    /// As there.
    pub async fn start_on(
        program: PathBuf,
        (members, founders): (usize, usize),
        seed: u64,
        ground: Option<Ground>,
    ) -> Result<Self, TestbenchError> {
        let number = FLEETS.fetch_add(1, Relaxed);
        let directory = std::env::temp_dir().join(format!("wheelpier-fleet-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        std::fs::write(directory.join("key"), "5e".repeat(32))?;
        let places = free(3 * members, number)?;
        let node = |(n, at): (usize, &[SocketAddr])| Node {
            name: format!("p{n}"),
            listen: at[0],
            clients: at[1],
            console: at[2],
            child: None,
        };
        let nodes: Vec<Node> = places.chunks_exact(3).enumerate().map(node).collect();
        let mut relays = BTreeMap::new();
        for a in 0..members {
            for b in a + 1..members {
                let relay =
                    Relay::start(nodes[a].listen, nodes[b].listen, seed + (a * members + b) as u64 * 2)
                        .await?;
                relays.insert((a, b), relay);
            }
        }
        let told = Arc::default();
        let mut fleet = Self { program, directory, nodes, relays, ground, told, clock: Clock::start() };
        for n in 0..members {
            fleet.write_files(n, founders, seed)?;
        }
        (0..founders).try_for_each(|n| fleet.begin(n))?;
        Ok(fleet)
    }

    fn write_files(&self, n: usize, founders: usize, seed: u64) -> Result<(), TestbenchError> {
        let node = &self.nodes[n];
        // Others than founders stand in the file as well: what one of them says of another's place is the relay's for itself.
        let named = |others: std::ops::Range<usize>| -> BTreeMap<&str, String> {
            others
                .map(|other| (self.nodes[other].name.as_str(), self.address(n, other).to_string()))
                .collect()
        };
        let (founders, members) = (named(0..founders), named(founders..self.nodes.len()));
        let key = self.directory.join("key");
        let operator = json!({"peers": {
            "fleet": "lab", "listen": node.listen.to_string(), "founders": founders,
            "members": members, "key_files": [key],
        }});
        let rate = self.ground.as_ref().map_or(100.0, |ground| ground.rate);
        let mut settings = Spec::sapporo().settings(rate);
        settings["limits"]["mayTell"] = json!(true);
        settings["balancers"] = json!(self.nodes.len());
        let mut config = json!({
            "name": node.name, "listen": node.clients.to_string(), "console": node.console.to_string(),
            "discovery": "127.0.0.1:9", "settings": settings, "seed": format!("{:x}", seed + n as u64),
            "limits": {"sockets": 512},
        });
        if let Some(ground) = &self.ground {
            config["discovery"] = json!(ground.discovery.to_string());
            config["known"] = ground.known.clone();
        }
        std::fs::write(self.file(n, "json"), config.to_string())?;
        // JSON is YAML.
        std::fs::write(self.file(n, "yaml"), operator.to_string())?;
        Ok(())
    }

    fn file(&self, n: usize, kind: &str) -> PathBuf {
        self.directory.join(format!("{}.{kind}", self.nodes[n].name))
    }

    /// Where one finds another one.
    fn address(&self, from: usize, to: usize) -> SocketAddr {
        match from.cmp(&to) {
            std::cmp::Ordering::Less => self.relays[&(from, to)].for_first,
            std::cmp::Ordering::Equal => self.nodes[from].listen,
            std::cmp::Ordering::Greater => self.relays[&(to, from)].for_second,
        }
    }

    // ---- What is done to them --------------------------------------------------------------------------

    /// Starts it, if it does not run.
    ///
    /// # Errors
    /// When there can be no process.
    pub fn begin(&mut self, n: usize) -> Result<(), TestbenchError> {
        if self.nodes[n].child.is_some() {
            return Ok(());
        }
        let mut child = Command::new(&self.program)
            .args(["proxy", "--log", "json", "--operator"])
            .arg(self.file(n, "yaml"))
            .env("GW_CONFIG", self.file(n, "json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = child.stderr.take().map(|pipe| BufReader::new(pipe).lines());
        let told = Arc::clone(&self.told);
        std::thread::spawn(move || {
            for line in lines.into_iter().flatten().map_while(Result::ok) {
                let mut told = told.lock().unwrap_or_else(PoisonError::into_inner);
                told.events.extend(Event::read(n, &line));
                let last = told.last.entry(n).or_default();
                last.push(line);
                let over = last.len().saturating_sub(LAST_LINES);
                last.drain(..over);
            }
        });
        self.nodes[n].child = Some(child);
        self.did(n, "started");
        Ok(())
    }

    /// Ends it at once.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.nodes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.did(n, "killed");
    }

    /// It stands still.
    pub fn stop(&mut self, n: usize) {
        self.signal(n, "STOP");
        self.did(n, "stopped");
    }

    /// It goes on.
    pub fn go_on(&mut self, n: usize) {
        self.signal(n, "CONT");
        self.did(n, "continued");
    }

    /// Asks it to leave.
    pub fn ask_to_leave(&mut self, n: usize) {
        self.signal(n, "TERM");
        self.did(n, "asked to leave");
    }

    /// All but that one.
    pub fn others(&self, n: usize) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(move |other| *other != n)
    }

    /// Asks it to leave; whether it has ended within that time.
    pub async fn leave(&mut self, n: usize, patience: Duration) -> bool {
        self.ask_to_leave(n);
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let Some(child) = &mut self.nodes[n].child else { return true };
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.nodes[n].child = None;
                return true;
            }
            sleep(LOOK).await;
        }
        false
    }

    fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.nodes[n].child {
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    fn did(&self, process: usize, what: &'static str) {
        let event = Event { at: self.clock.now(), process, me: String::new(), what: What::Done(what) };
        self.told().events.push(event);
    }

    /// From one to another, that direction alone.
    pub fn link(&self, from: usize, to: usize, link: &Link) {
        match from < to {
            true => self.relays[&(from, to)].set_forth(link.clone()),
            false => self.relays[&(to, from)].set_back(link.clone()),
        }
    }

    /// All links, both ways.
    pub fn links(&self, link: &Link) {
        for relay in self.relays.values() {
            relay.set_forth(link.clone());
            relay.set_back(link.clone());
        }
    }

    /// All links between those and the others, both ways.
    pub fn between(&self, side: &[usize], link: &Link) {
        for (a, b) in self.relays.keys().filter(|(a, b)| side.contains(a) != side.contains(b)) {
            self.link(*a, *b, link);
            self.link(*b, *a, link);
        }
    }

    // ---- What they say ---------------------------------------------------------------------------------

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All that was said and done so far.
    pub fn history(&self) -> Vec<Event> {
        self.told().events.clone()
    }

    /// Where clients of a process connect.
    pub fn clients(&self, n: usize) -> SocketAddr {
        self.nodes[n].clients
    }

    /// Who a process is, by what it said last.
    pub fn life(&self, n: usize) -> String {
        let told = self.told();
        let last = told.events.iter().rev().find(|event| event.process == n && !event.me.is_empty());
        last.map(|event| event.me.clone()).unwrap_or_default()
    }

    /// What all that run have sent to each other, in bytes, and how long they have run on a core, in seconds.
    ///
    /// # Errors
    /// When a console does not answer.
    pub async fn spent(&self) -> Result<(u64, f64), TestbenchError> {
        let (mut bytes, mut seconds) = (0, 0.0);
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(child) = &node.child else { continue };
            let figures = self.admin_stats(n).await?;
            let sent = figures.lines().find_map(|line| line.strip_prefix("gw.fleet.sent_bytes="));
            bytes += sent.and_then(|sent| sent.parse::<u64>().ok()).ok_or(TestbenchError::Ended)?;
            seconds += on_a_core(child.id())?;
        }
        Ok((bytes, seconds))
    }

    /// Where a process hears the others itself, without a relay.
    pub fn peer_address(&self, n: usize) -> SocketAddr {
        self.nodes[n].listen
    }

    /// What a process counts, as its console tells it.
    ///
    /// # Errors
    /// When the console does not answer.
    pub async fn admin_stats(&self, n: usize) -> Result<String, TestbenchError> {
        Ok(get(self.nodes[n].console, "/admin/stats").await?)
    }

    /// What memory a process has taken, in KiB, by the system's count (proc(5)).
    ///
    /// # Errors
    /// When it does not run.
    pub fn memory(&self, n: usize) -> Result<u64, TestbenchError> {
        let child = self.nodes[n].child.as_ref().ok_or(TestbenchError::Ended)?;
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().next());
        size.and_then(|size| size.parse().ok()).ok_or(TestbenchError::Ended)
    }

    /// The present, on the history's clock.
    pub fn now(&self) -> i64 {
        self.clock.now()
    }

    /// The members of the latest view that a process has said, and whether it holds its lease.
    pub fn latest_view(&self, n: usize) -> (Vec<String>, bool) {
        let told = self.told();
        let own = told.events.iter().rev().filter(|event| event.process == n);
        let own = own.take_while(|event| event.what != What::Done("started"));
        let (mut members, mut acts) = (None, None);
        for event in own {
            match &event.what {
                What::View { members: all, .. } if members.is_none() => members = Some(all.clone()),
                What::Change { cause, .. } if acts.is_none() && cause == "LeaseHeld" => acts = Some(true),
                What::Change { cause, .. } if acts.is_none() && cause == "Fenced" => acts = Some(false),
                What::Life if acts.is_none() => acts = Some(false),
                _ => {}
            }
        }
        (members.unwrap_or_default(), acts.unwrap_or(false))
    }

    /// Whether those, and nobody else, are in the view that each of them knows, and hold their leases.
    pub fn agree(&self, those: &[usize]) -> bool {
        let first = self.latest_view(those[0]).0;
        let names: Vec<&str> = first.iter().filter_map(|member| member.split('#').next()).collect();
        let all =
            names.len() == those.len() && those.iter().all(|n| names.contains(&self.nodes[*n].name.as_str()));
        all && those.iter().all(|n| self.latest_view(*n) == (first.clone(), true))
    }

    /// Waits until something is so; how long that took.
    ///
    /// # Panics
    /// When it takes longer than `patience`, with the last words of each process.
    pub async fn until(&self, what: &str, patience: Duration, so: impl Fn(&Self) -> bool) -> Duration {
        let began = Instant::now();
        while !so(self) {
            assert!(began.elapsed() < patience, "not within {patience:?}: {what}\n{}", self.recent_output());
            sleep(LOOK).await;
        }
        began.elapsed()
    }

    /// The last lines of each process and the last of the history.
    pub fn recent_output(&self) -> String {
        let told = self.told();
        let lines =
            told.last.iter().flat_map(|(n, lines)| lines.iter().map(move |line| format!("{n}: {line}")));
        let history = told.events.iter().rev().take(40).rev().map(ToString::to_string);
        lines.chain(history).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// How long a process has run, by the system's count of hundredths of a second (proc(5)).
fn on_a_core(pid: u32) -> Result<f64, TestbenchError> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name, in brackets, may hold anything.
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |at: usize| fields.get(at).and_then(|ticks| ticks.parse::<u64>().ok()).ok_or(TestbenchError::Ended);
    Ok((ticks(11)? + ticks(12)?) as f64 / 100.0)
}

/// So many addresses, on an address of this fleet's own: of 127.0.0.1 another might get a port before its process does.
fn free(many: usize, fleet: u64) -> std::io::Result<Vec<SocketAddr>> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = [127, 16 | (high & 15), low, (fleet % 250 + 1) as u8];
    let held: Vec<TcpListener> =
        (0..many).map(|_| TcpListener::bind(SocketAddr::from((own, 0)))).collect::<Result<_, _>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
