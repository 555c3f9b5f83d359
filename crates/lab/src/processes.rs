//! Several processes of the program, each link between two of them through a relay, each direction by itself. Processes are
//! killed, stopped, continued, restarted and asked to leave; what they say of the fleet comes into one history.
//!
//! All processes are this rig's children and end with it, also when a test panics.

use crate::history::{Event, What};
use crate::LabError;
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
use wheelpier_standin::link::Link;
use wheelpier_standin::net::relay::Relay;
use wheelpier_standin::net::Clock;
use wheelpier_standin::spec::Spec;

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

struct Node {
    name: String,
    listen: SocketAddr,
    child: Option<Child>,
    stopped: bool,
}

/// The fleet.
pub struct Processes {
    program: PathBuf,
    directory: PathBuf,
    nodes: Vec<Node>,
    /// Between each two, the one with the lower number first.
    relays: BTreeMap<(usize, usize), Relay>,
    told: Arc<Mutex<Told>>,
    clock: Clock,
}

impl Processes {
    /// Starts so many, all of which found the fleet. `program` is this laboratory's own binary, which is the program as well.
    ///
    /// # Errors
    /// When ports, files or processes cannot be had.
    pub async fn start(program: PathBuf, members: usize, seed: u64) -> Result<Self, LabError> {
        let directory = std::env::temp_dir().join(format!(
            "wheelpier-fleet-{}-{}",
            std::process::id(),
            FLEETS.fetch_add(1, Relaxed)
        ));
        std::fs::create_dir_all(&directory)?;
        std::fs::write(directory.join("key"), "5e".repeat(32))?;
        let mut nodes = Vec::new();
        for n in 0..members {
            nodes.push(Node { name: format!("p{n}"), listen: free()?, child: None, stopped: false });
        }
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
        let mut fleet = Self { program, directory, nodes, relays, told, clock: Clock::start() };
        for n in 0..members {
            fleet.write_files(n, seed)?;
            fleet.begin(n)?;
        }
        Ok(fleet)
    }

    fn write_files(&self, n: usize, seed: u64) -> Result<(), LabError> {
        let node = &self.nodes[n];
        let founders: BTreeMap<&str, String> = (0..self.nodes.len())
            .map(|other| (self.nodes[other].name.as_str(), self.address(n, other).to_string()))
            .collect();
        let key = self.directory.join("key");
        let operator = json!({"peers": {
            "fleet": "lab", "listen": node.listen.to_string(), "founders": founders, "key_files": [key],
        }});
        let mut settings = Spec::sapporo().settings(100.0);
        settings["limits"]["mayTell"] = json!(true);
        let config = json!({
            "name": node.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings,
            "seed": format!("{:x}", seed + n as u64), "limits": {"sockets": 256},
        });
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
    pub fn begin(&mut self, n: usize) -> Result<(), LabError> {
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
        self.nodes[n].stopped = false;
        self.did(n, "killed");
    }

    /// It stands still.
    pub fn stop(&mut self, n: usize) {
        self.signal(n, "STOP");
        self.nodes[n].stopped = true;
        self.did(n, "stopped");
    }

    /// It goes on.
    pub fn go_on(&mut self, n: usize) {
        self.signal(n, "CONT");
        self.nodes[n].stopped = false;
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

    /// Those hear the others no more, nor the others them.
    pub fn split(&self, side: &[usize]) {
        let cut = Link { cut: true, ..Link::default() };
        for (a, b) in self.relays.keys().filter(|(a, b)| side.contains(a) != side.contains(b)) {
            self.link(*a, *b, &cut);
            self.link(*b, *a, &cut);
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

    /// The present, on the history's clock.
    pub fn now(&self) -> i64 {
        self.clock.now()
    }

    /// The members of the latest view that a process has said, and whether it holds its lease.
    pub fn stands(&self, n: usize) -> (Vec<String>, bool) {
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
        let first = self.stands(those[0]).0;
        let names: Vec<&str> = first.iter().filter_map(|member| member.split('#').next()).collect();
        let all =
            names.len() == those.len() && those.iter().all(|n| names.contains(&self.nodes[*n].name.as_str()));
        all && those.iter().all(|n| self.stands(*n) == (first.clone(), true))
    }

    /// Waits until something is so; how long that took.
    ///
    /// # Panics
    /// When it takes longer than `patience`, with the last words of each process.
    pub async fn until(&self, what: &str, patience: Duration, so: impl Fn(&Self) -> bool) -> Duration {
        let began = Instant::now();
        while !so(self) {
            assert!(began.elapsed() < patience, "not within {patience:?}: {what}\n{}", self.last_words());
            sleep(LOOK).await;
        }
        began.elapsed()
    }

    /// The last lines of each process and the last of the history.
    pub fn last_words(&self) -> String {
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

/// An address that nobody has at the moment.
fn free() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
