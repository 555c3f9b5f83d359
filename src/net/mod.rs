//! The proxy on sockets: an actor for each peer, one for the list and one for the module. No decisions here.
//!
//! Why no mailbox can deadlock: the module's actor may wait for a host's mailbox, so a host's actor never
//! waits for the module's: it keeps what it has to tell until there is room. Towards clients the module's
//! actor never waits at all: the mailbox of each has room for the answers to all requests that it may have there.

pub mod clock;
pub(crate) mod console;
pub(crate) mod core;
pub(crate) mod discovery;
pub(crate) mod frontend;
mod json_stream;
pub(crate) mod local_faults;
pub(crate) mod memory;
pub mod messages;
pub(crate) mod peers;
pub(crate) mod rejections;

pub(crate) mod socket;
pub(crate) mod stream;
pub(crate) mod upstream;

use crate::budget::Budget;
use crate::config::Config;
use crate::counters::Counters;
use crate::membership::DiscoveryRetry;
use crate::peer_metrics::PeerMetrics;
use crate::protocol::Protocol;
use frontend::Listeners;
use memory::Memory;
use rejections::Rejections;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Events that may wait for the module's actor.
const CORE_MAILBOX: usize = 1024;

/// The fleet has so long to agree that this proxy has left, once its clients are served.
const LEAVE: Duration = Duration::from_secs(2);

/// What a running proxy is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Write the counters to the log.
    Report,
    /// Read the configuration file again.
    Reread,
    /// Take no more clients in, answer what is open, and end.
    Drain,
}

/// A proxy that has its ports and does not serve yet.
#[derive(Debug)]
pub struct Proxy {
    config: Config,
    listeners: Listeners,
    console: Option<tokio::net::TcpListener>,
    station: Option<peers::PeerListener>,
    counters: Arc<Counters>,
    budget: Budget,
}

impl Proxy {
    /// Listens on the addresses of the configuration.
    ///
    /// # Errors
    /// When one cannot be had.
    pub async fn bind(config: Config) -> io::Result<Self> {
        let listeners = Listeners::bind(&config.listeners()).await?;
        let console = match config.console {
            Some(address) => Some(console::bind(address).await?),
            None => None,
        };
        let station = match &config.operator.peers {
            Some(peers) => Some(peers::PeerListener::bind(peers.listen).await?),
            None => None,
        };
        let budget = config.plan.budget().map_err(io::Error::other)?;
        let counters = Arc::new(Counters::default());
        counters.classes(config.names.classes.iter().map(|class| class.name.as_str()));
        Ok(Self { config, listeners, console, station, counters, budget })
    }

    /// Where the operators' console listens, if anywhere.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn console(&self) -> io::Result<Option<SocketAddr>> {
        self.console.as_ref().map(tokio::net::TcpListener::local_addr).transpose()
    }

    /// Where clients connect, and what is spoken there.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn addresses(&self) -> io::Result<Vec<(Protocol, SocketAddr)>> {
        self.listeners.addresses()
    }

    /// What it counts, to be read while it serves.
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// What memory it uses, by purpose, to be read while it serves.
    pub fn budget(&self) -> Budget {
        self.budget.clone()
    }

    /// Serves until it is asked to drain, and then until all is answered.
    ///
    /// # Errors
    /// When the settings cannot work, or an actor has failed.
    pub async fn serve(self, mut control: mpsc::Receiver<Control>) -> io::Result<()> {
        let Self { mut config, listeners, console, station, counters, budget } = self;
        let (events, mailbox) = mpsc::channel(CORE_MAILBOX);
        let (ready, is_ready) = watch::channel(false);
        let (drain, draining) = watch::channel(None);
        let (quiesce, _) = watch::channel(None);
        let drain_changes = Arc::new(watch::channel(()).0);
        let (terms, agreed) = watch::channel(Arc::new(frontend::FrontendSettings::of(&config)));
        let clock = clock::Clock::start();
        let fleet = fleet(&config, station, clock, &counters, &draining)?;
        let desk = console::AdminState {
            counters: Arc::clone(&counters),
            ready: is_ready.clone(),
            quiesced: Arc::new(quiesce),
            drain_changes: Arc::clone(&drain_changes),
            draining: draining.clone(),
            fleet: fleet.as_ref().map(|(questions, _)| questions.clone()),
        };
        let console = console
            .map(|listener| tokio::spawn(console::serve(listener, desk.clone(), config.limits.callers)));
        let (moved, discovery) = watch::channel(config.discovery);
        let since = config.known.as_ref().map(|list| list.index);
        let zones = config.names.zones.clone();
        let memory = Memory::new(budget, config.plan.clone(), clock);
        let rejections = Rejections::new(Arc::clone(&counters), clock);
        let (reclaims, reclaimed) = watch::channel(Vec::new());
        let acceptor = frontend::Acceptor {
            clock,
            events: events.clone(),
            terms: agreed,
            desk,
            draining,
            counters: Arc::clone(&counters),
            rejections: rejections.clone(),
            memory: memory.clone(),
            reclaims: reclaimed,
            limit: config.limits.clients,
            pipeline: config.pipeline(),
            cancellations: frontend::Cancellations::default(),
            connections: frontend::ConnectionRegistry::default(),
        };
        let (quiesced, drained) = (acceptor.desk.quiesced.subscribe(), acceptor.draining.clone());
        let reporter = tokio::spawn(frontend::report_drains(acceptor.connections.clone(), quiesced, drained));
        let core = core::Core::new(
            config.clone(),
            clock,
            events.clone(),
            ready,
            Arc::clone(&counters),
            rejections,
            memory.clone(),
        );
        let core = core.map_err(io::Error::other)?;
        let asking = DiscoveryRetry::new(
            config.settings.router_count,
            config.settings.discovery_is_polled,
            config.seed,
        );
        let (files, file) = watch::channel(None);
        let drainer = tokio::spawn(drains(drain.subscribe(), terms.subscribe(), events.clone()));
        let retuner = tokio::spawn(retune(file, events.clone(), terms, drain.subscribe()));
        let follower = tokio::spawn(discovery::follow(discovery, zones, since, asking, events));
        let watcher = tokio::spawn(memory.watch(reclaims));
        let mut front = tokio::spawn(frontend::accept(listeners, acceptor));
        let mut core = tokio::spawn(core.run(mailbox));
        let ended = loop {
            tokio::select! {
                Some(asked) = control.recv() => match asked {
                    Control::Report => tracing::info!("counters: {counters}"),
                    Control::Reread => match config.retune() {
                        Ok(new) => {
                            counters.sighup(true);
                            counters.classes(new.names.classes.iter().map(|class| class.name.as_str()));
                            moved.send_replace(new.discovery);
                            files.send_replace(Some(new.clone()));
                            config = new;
                        }
                        Err(problem) => {
                            counters.sighup(false);
                            tracing::error!("the configuration stays as it was: {problem}");
                        }
                    },
                    Control::Drain => {
                        tracing::info!("drains");
                        clock::record_drain_start(&drain);
                        drain_changes.send_replace(());
                    }
                },
                ended = &mut front => break ended.map_err(io::Error::other),
                // Without the module nothing can be answered: better to end than to take requests in vain.
                ended = &mut core => break ended.map_err(io::Error::other),
            }
        };
        if let Some((_, member)) = fleet {
            let _ = tokio::time::timeout(LEAVE, member).await;
        }
        tracing::info!("counters: {counters}");
        // By now each client's actor has ended, and with it whatever it had taken.
        let open = counters.outstanding();
        if open > 0 {
            tracing::error!("ends with {open} requests unanswered");
        }
        reporter.abort();
        follower.abort();
        watcher.abort();
        retuner.abort();
        drainer.abort();
        if let Some(console) = console {
            console.abort();
        }
        core.abort();
        ended
    }
}

/// This proxy's part in the fleet, where the operator's file names one.
fn fleet(
    config: &Config,
    station: Option<peers::PeerListener>,
    clock: clock::Clock,
    counters: &Counters,
    draining: &watch::Receiver<Option<tokio::time::Instant>>,
) -> io::Result<Option<(peers::MembershipQueries, tokio::task::JoinHandle<()>)>> {
    let Some((station, peers)) = station.zip(config.operator.peers.clone()) else { return Ok(None) };
    let tally = Arc::new(PeerMetrics::default());
    counters.fleet(Arc::clone(&tally));
    let (name, draining) = (config.name.clone(), draining.clone());
    let streams = config.limits.streams;
    peers::start(station, peers::Start { name, peers, streams, clock, tally, draining }).map(Some)
}

/// Tells the module of a drain: what waits for hosts that hang has its answer before SIGKILL.
async fn drains(
    mut draining: watch::Receiver<Option<tokio::time::Instant>>,
    terms: watch::Receiver<Arc<frontend::FrontendSettings>>,
    events: mpsc::Sender<messages::CoreEvent>,
) {
    let Ok(Some(since)) = draining.wait_for(Option::is_some).await.map(|since| *since) else { return };
    let by = since + terms.borrow().drain.answers;
    // Fails only when the module has ended, and then so does the process.
    let _ = events.send(messages::CoreEvent::DrainStarted(by)).await;
}

/// Hands each file that was read anew to the module, and then to the acceptor: a request of a new class must find it there.
/// It waits for room in the module's mailbox, so that SIGTERM need not. The spans of a drain that has begun stay: whoever
/// sent SIGTERM counts by the settings of that moment.
async fn retune(
    mut file: watch::Receiver<Option<Config>>,
    events: mpsc::Sender<messages::CoreEvent>,
    terms: watch::Sender<Arc<frontend::FrontendSettings>>,
    draining: watch::Receiver<Option<tokio::time::Instant>>,
) {
    while file.changed().await.is_ok() {
        let Some(new) = file.borrow_and_update().clone() else { continue };
        let mut agreed = frontend::FrontendSettings::of(&new);
        if events.send(messages::CoreEvent::Reconfigured(Box::new(new))).await.is_err() {
            return;
        }
        if draining.borrow().is_some() {
            agreed.drain = terms.borrow().drain;
        }
        tracing::info!("the configuration is read anew: {} classes", agreed.names.classes.len());
        terms.send_replace(Arc::new(agreed));
    }
}
