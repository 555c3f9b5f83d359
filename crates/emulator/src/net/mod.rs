//! The simulated deployment on sockets: hosts that speak PostgreSQL's protocol 3 or TDS, discovery, and
//! clients.

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

/// Capacity of the queue of messages to the world's actor.
const MAILBOX_CAPACITY: usize = 4_096;

/// Database protocol of a host or client.
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

/// Clock that reads the Unix time once and advances it monotonically, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// Starts a clock at the system's present time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// Returns the present time.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// Converts a time to an instant for the runtime's timers.
    pub fn instant(&self, moment: Micros) -> Instant {
        self.started + Duration::from_micros((moment - self.unix).max(0) as u64)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// For each rule, how often it was checked and how often it was broken.
    pub rules: Vec<(Rule, u64, usize)>,
    /// The violations, in the order in which they were found.
    pub breaches: Vec<Breach>,
    /// The number of attempts that arrived at hosts.
    pub attempts: u64,
    /// The number of idempotency keys that were recorded in all groups.
    pub keys: usize,
}

/// Configuration of an installation.
#[derive(Clone, Debug)]
pub struct Options {
    /// The deployment.
    pub spec: Spec,
    /// The seed of the simulation.
    pub seed: u64,
    /// The protocols of the groups, assigned in rotation; PostgreSQL if the list is empty.
    pub wires: Vec<Wire>,
    /// The faults, whose times count from [`Installation::begin`].
    pub script: Script,
    /// The number of proxies that share the installation. With more than one, the checker attributes requests
    /// to processes, as hosts and discovery cannot tell the proxies apart (see
    /// [`Checker::shared`](crate::checker::Checker::shared)).
    pub proxies: usize,
}

/// A running installation: groups of hosts and discovery on loopback addresses. It ends when it is dropped.
#[derive(Debug)]
pub struct Installation {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The addresses of the hosts, by index.
    pub hosts: Vec<SocketAddr>,
    /// The endpoint list at the start, for the `known` field of a proxy's configuration.
    pub known: serde_json::Value,
    mailbox: mpsc::Sender<WorldMessage>,
    /// Dropped with the installation, which ends all its tasks.
    _alive: watch::Sender<()>,
}

/// Generator of consecutive attempt numbers.
#[derive(Clone, Debug, Default)]
struct Tickets(Arc<AtomicU64>);

impl Tickets {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Relaxed)
    }
}

/// Returns a loopback address that no other installation uses. On 127.0.0.1 another process could get the
/// port of a host that is down.
fn unique_address() -> [u8; 4] {
    static INSTALLATIONS: AtomicU64 = AtomicU64::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, 64 | (high & 63), low, (INSTALLATIONS.fetch_add(1, Relaxed) % 250 + 1) as u8]
}

impl Installation {
    /// Starts an installation; the fault script starts with [`Self::begin`].
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(options: Options, clock: Clock) -> io::Result<Self> {
        let Options { spec, seed, wires, script, proxies } = options;
        let wire_of = |group: usize| wires.get(group % wires.len().max(1)).copied().unwrap_or(Wire::Postgres);
        let classes = Arc::new(spec.clone());
        let discovery_mode = spec.discovery;
        let world = World::new(spec, seed, clock.now());
        let (mailbox, messages) = mpsc::channel(MAILBOX_CAPACITY);
        let (alive, shutdown) = watch::channel(());
        let base = unique_address();
        let mut hosts = Vec::with_capacity(world.hosts());
        let mut accepts_connections = Vec::with_capacity(world.hosts());
        let tickets = Tickets::default();
        for host in 0..world.hosts() {
            let is_up = watch::channel(true).0;
            let wire = wire_of(world.group(host));
            let (mailbox, tickets, classes) = (mailbox.clone(), tickets.clone(), Arc::clone(&classes));
            let context = front::HostContext { host, wire, clock, mailbox, tickets, classes };
            let address =
                front::listen(SocketAddr::from((base, 0)), context, is_up.subscribe(), shutdown.clone())
                    .await?;
            hosts.push(address);
            accepts_connections.push(is_up);
        }
        let host_wires: Vec<Wire> = (0..world.hosts()).map(|host| wire_of(world.group(host))).collect();
        let endpoint_list = discovery::EndpointList::new(&world, &hosts, &host_wires);
        let known = endpoint_list.known();
        let (list_sender, list) = watch::channel(endpoint_list);
        let discovery = discovery::serve(
            SocketAddr::from((base, 0)),
            list,
            mailbox.clone(),
            discovery_mode,
            shutdown.clone(),
        )
        .await?;
        let actor = Actor::new(world, script, clock, accepts_connections, list_sender, proxies > 1);
        tokio::spawn(actor.run(messages, shutdown));
        Ok(Self { discovery, hosts, known, mailbox, _alive: alive })
    }

    /// Returns the sender of messages to the world's actor.
    pub fn mailbox(&self) -> mpsc::Sender<WorldMessage> {
        self.mailbox.clone()
    }

    /// Starts the fault script.
    pub async fn begin(&self) {
        let _ = self.mailbox.send(WorldMessage::Begin).await;
    }

    /// Ends the run and returns its results.
    ///
    /// # Errors
    /// Fails if the world's actor has ended early, so that no results are known.
    pub async fn verdict(&self) -> io::Result<Verdict> {
        let ended = || io::Error::other("the emulator's world actor has ended early");
        let (answer, verdict) = oneshot::channel();
        self.mailbox.send(WorldMessage::Finish(answer)).await.map_err(|_| ended())?;
        verdict.await.map_err(|_| ended())
    }
}
