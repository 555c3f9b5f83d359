//! The world on sockets: hosts under one protocol or the other, discovery, and clients.

mod actor;
pub mod client;
mod discovery;
mod front;
mod postgres;
pub mod relay;
mod tds;

use crate::checker::{Breach, Rule};
use crate::script::Script;
use crate::spec::Spec;
use crate::world::World;
use crate::Micros;
use actor::Actor;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

pub use actor::WorldMessage;

/// What may wait for the world's actor.
const MAILBOX: usize = 4_096;

/// What hosts or clients speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// PostgreSQL's protocol 3.
    Postgres,
    /// TDS 7.4.
    Tds,
}

impl fmt::Display for Wire {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Postgres => "postgres",
            Self::Tds => "tds",
        })
    }
}

/// Unix time in microseconds, read once and then advanced monotonically.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// Reads the system's clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The present.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// A moment as the runtime's timers take it.
    pub fn instant(&self, moment: Micros) -> Instant {
        self.started + Duration::from_micros((moment - self.unix).max(0) as u64)
    }
}

/// How the rules fared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Each rule: how often it was tried, how often it was broken.
    pub rules: Vec<(Rule, u64, usize)>,
    /// What was broken.
    pub breaches: Vec<Breach>,
    /// Attempts that came to hosts.
    pub attempts: u64,
    /// Keys recorded, in all sets.
    pub keys: usize,
}

/// What an installation is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The world.
    pub spec: Spec,
    /// Its seed.
    pub seed: u64,
    /// What its hosts speak, set by set, and from the first on again.
    pub wires: Vec<Wire>,
    /// Its faults, from [`Installation::begin`] on.
    pub script: Script,
    /// How many proxies share it. Hosts don't know one from another: with several, what one was told counts for none.
    pub proxies: usize,
}

/// A running installation: ledger sets and discovery on loopback. It ends when it is dropped.
#[derive(Debug)]
pub struct Installation {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the hosts listen.
    pub hosts: Vec<SocketAddr>,
    /// The list that a proxy holds at its start, as its configuration has it.
    pub known: serde_json::Value,
    mailbox: mpsc::Sender<WorldMessage>,
    /// Dropped with the installation: all its tasks end.
    _alive: watch::Sender<()>,
}

/// The numbers of attempts, one after the other.
#[derive(Clone, Debug, Default)]
struct Tickets(Arc<AtomicU64>);

impl Tickets {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Relaxed)
    }
}

/// A loopback address of an installation's own: of 127.0.0.1 another might get a port while a host is down.
fn own_address() -> [u8; 4] {
    static INSTALLATIONS: AtomicU64 = AtomicU64::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, 64 | (high & 63), low, (INSTALLATIONS.fetch_add(1, Relaxed) % 250 + 1) as u8]
}

impl Installation {
    /// Starts it; there is no fault before [`Self::begin`].
    ///
    /// # Errors
    /// When an address cannot be had.
    pub async fn start(options: Options, clock: Clock) -> io::Result<Self> {
        let Options { spec, seed, wires, script, proxies } = options;
        let speaks = |group: usize| wires.get(group % wires.len().max(1)).copied().unwrap_or(Wire::Postgres);
        let classes = Arc::new(spec.clone());
        let terms = spec.discovery;
        let world = World::new(spec, seed, clock.now());
        let (mailbox, told) = mpsc::channel(MAILBOX);
        let (alive, ends) = watch::channel(());
        let base = own_address();
        let mut hosts = Vec::with_capacity(world.hosts());
        let mut links = Vec::with_capacity(world.hosts());
        let tickets = Tickets::default();
        for host in 0..world.hosts() {
            let link = watch::channel(true).0;
            let wire = speaks(world.group(host));
            let (mailbox, tickets, classes) = (mailbox.clone(), tickets.clone(), Arc::clone(&classes));
            let place = front::Place { host, wire, clock, mailbox, tickets, classes };
            let address =
                front::listen(SocketAddr::from((base, 0)), place, link.subscribe(), ends.clone()).await?;
            hosts.push(address);
            links.push(link);
        }
        let speak: Vec<Wire> = (0..world.hosts()).map(|host| speaks(world.group(host))).collect();
        let roster = discovery::Roster::new(&world, &hosts, &speak);
        let known = roster.known();
        let (changes, list) = watch::channel(roster);
        let discovery =
            discovery::serve(SocketAddr::from((base, 0)), list, mailbox.clone(), terms, ends.clone()).await?;
        let actor = Actor::new(world, script, clock, links, changes, proxies > 1);
        tokio::spawn(actor.run(told, ends));
        Ok(Self { discovery, hosts, known, mailbox, _alive: alive })
    }

    /// The way to the world's actor.
    pub fn mailbox(&self) -> mpsc::Sender<WorldMessage> {
        self.mailbox.clone()
    }

    /// The script's time runs from now on.
    pub async fn begin(&self) {
        let _ = self.mailbox.send(WorldMessage::Begin).await;
    }

    /// Nothing more comes: how the rules fared.
    ///
    /// # Errors
    /// When the world has ended before: nothing can be said of the rules then.
    pub async fn verdict(&self) -> io::Result<Verdict> {
        let ended = || io::Error::other("the stand-in's world has ended before its time");
        let (answer, verdict) = oneshot::channel();
        self.mailbox.send(WorldMessage::Judge(answer)).await.map_err(|_| ended())?;
        verdict.await.map_err(|_| ended())
    }
}
