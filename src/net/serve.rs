//! Starts the actors of a proxy, carries out commands while they run, and stops them.

use super::clock::{record_drain_start, Clock};
use super::console::{self, AdminState};
use super::core::{Core, CoreContext, SharedWrites};
use super::discovery::Discovery;
use super::frontend::{self, FrontendSettings};
use super::memory::{Memory, Reclaim};
use super::messages::CoreEvent;
use super::peers;
use super::rejections::Rejections;
use super::session_log::{self, SessionLog};
use super::{Control, Proxy};
use crate::config::Config;
use crate::counters::Counters;
use crate::membership::DiscoveryRetry;
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// Capacity of the core actor's mailbox, in events.
const CORE_MAILBOX_CAPACITY: usize = 1024;
/// Time that a shutdown waits, after all clients are served, for the fleet to agree that this proxy has left.
const FLEET_LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Gives the counters the names of the configured classes.
pub(super) fn set_class_names(counters: &Counters, config: &Config) {
    counters.set_classes(config.names.classes.iter().map(|class| class.name.as_str()));
}

/// The sending halves of the channels through which commands reach the actors.
#[derive(Debug)]
struct Channels {
    /// The address of discovery.
    discovery: watch::Sender<SocketAddr>,
    /// The configuration after the latest reload.
    reloaded: watch::Sender<Option<Config>>,
    /// Time at which the graceful shutdown began; `None` before.
    draining: watch::Sender<Option<Instant>>,
    /// Notified when a drain begins, by SIGTERM or by the console, and when the console ends one.
    drain_changes: Arc<watch::Sender<()>>,
}

/// State that several actors share.
#[derive(Debug)]
struct Shared {
    clock: Clock,
    /// Mailbox of the core actor.
    events: mpsc::Sender<CoreEvent>,
    counters: Arc<Counters>,
    rejections: Rejections,
    memory: Memory,
}

/// The ends of channels that the background tasks use.
#[derive(Debug)]
struct BackgroundChannels {
    discovery_addresses: watch::Receiver<SocketAddr>,
    reloads: watch::Receiver<Option<Config>>,
    settings: watch::Sender<Arc<FrontendSettings>>,
    reclaims: watch::Sender<Vec<Arc<Reclaim>>>,
}

/// A proxy whose actors run.
#[derive(Debug)]
pub(super) struct Server {
    config: Config,
    counters: Arc<Counters>,
    channels: Channels,
    acceptor: JoinHandle<()>,
    core: JoinHandle<()>,
    /// The membership actor, which ends once this proxy has left the fleet.
    fleet: Option<JoinHandle<()>>,
    background: Vec<JoinHandle<()>>,
}

/// Starts the actors.
///
/// # Errors
/// Returns an error if the settings contradict one another, or the system provides no random numbers.
pub(super) fn start(proxy: Proxy) -> io::Result<Server> {
    let Proxy { config, listeners, console, peers, counters, budget } = proxy;
    let clock = Clock::start();
    let (events, mailbox) = mpsc::channel(CORE_MAILBOX_CAPACITY);
    let (ready, is_ready) = watch::channel(false);
    let (draining, is_draining) = watch::channel(None);
    let (reloaded, reloads) = watch::channel(None);
    let (discovery, discovery_addresses) = watch::channel(config.discovery);
    let (reclaims, reclaimed) = watch::channel(Vec::new());
    let (settings, current_settings) = watch::channel(Arc::new(FrontendSettings::of(&config)));
    let drain_changes = Arc::new(watch::channel(()).0);
    let (membership, fleet) = start_fleet(&config, peers, clock, &counters, &is_draining)?.unzip();
    let admin = AdminState {
        counters: Arc::clone(&counters),
        ready: is_ready,
        quiesced: Arc::new(watch::channel(None).0),
        drain_changes: Arc::clone(&drain_changes),
        draining: is_draining,
        fleet: membership,
    };
    let memory = Memory::new(budget, config.plan.clone(), clock);
    let rejections = Rejections::new(Arc::clone(&counters), clock);
    let shared = Shared { clock, events, counters: Arc::clone(&counters), rejections, memory };
    let clients = shared.client_context(&config, &admin, current_settings, reclaimed);
    let shared_writes = share_writes(&config, &listeners)?;
    let core = shared.core(&config, ready, shared_writes)?;
    let console = console.map(|listener| {
        tokio::spawn(console::serve(listener, admin.clone(), config.limits.console_connections))
    });
    let background = BackgroundChannels { discovery_addresses, reloads, settings, reclaims };
    let mut background = background.spawn(&config, shared, &admin, clients.connections.clone());
    background.extend(console);
    Ok(Server {
        acceptor: tokio::spawn(frontend::Acceptor::new(listeners, clients).run()),
        core: tokio::spawn(core.run(mailbox)),
        channels: Channels { discovery, reloaded, draining, drain_changes },
        config,
        counters,
        fleet,
        background,
    })
}

/// Starts the membership actor, if the configuration names peers. Returns `None` if it does not.
fn start_fleet(
    config: &Config,
    listener: Option<peers::PeerListener>,
    clock: Clock,
    counters: &Counters,
    draining: &watch::Receiver<Option<Instant>>,
) -> io::Result<Option<(peers::MembershipQueries, JoinHandle<()>)>> {
    let Some((listener, peers)) = listener.zip(config.operator.peers.clone()) else { return Ok(None) };
    let metrics = Arc::new(PeerMetrics::default());
    counters.set_peer_metrics(Arc::clone(&metrics));
    let start = peers::Start {
        name: config.name.clone(),
        peers,
        streams: config.limits.peer_streams,
        clock,
        metrics,
        draining: draining.clone(),
    };
    peers::start(listener, start).map(Some)
}

/// Returns the exchange of session writes with other processes; `None` if the proxy does not track them.
fn share_writes(config: &Config, listeners: &frontend::Listeners) -> io::Result<Option<SharedWrites>> {
    let first = listeners.addresses()?.into_iter().next();
    let Some((_, address)) = first.filter(|_| config.settings.write_positions_tracked) else {
        return Ok(None);
    };
    let folder = session_log::path(&config.temporary_folder, &config.name, address);
    let log = SessionLog::open(&folder);
    match &log {
        Ok(log) => tracing::info!(folder = %folder.display(), region = log.region(), "session log opened"),
        Err(error) => tracing::error!(folder = %folder.display(), %error, "session log not available"),
    }
    Ok(Some(SharedWrites::new(log.ok(), address)))
}

impl Shared {
    fn client_context(
        &self,
        config: &Config,
        admin: &AdminState,
        settings: watch::Receiver<Arc<FrontendSettings>>,
        reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    ) -> frontend::ClientContext {
        frontend::ClientContext {
            clock: self.clock,
            events: self.events.clone(),
            settings,
            admin: admin.clone(),
            draining: admin.draining.clone(),
            counters: Arc::clone(&self.counters),
            rejections: self.rejections.clone(),
            memory: self.memory.clone(),
            reclaims,
            max_clients: config.limits.clients,
            pipeline_limits: config.pipeline(),
            cancellations: frontend::Cancellations::default(),
            connections: frontend::ConnectionRegistry::default(),
        }
    }

    fn core(
        &self,
        config: &Config,
        ready: watch::Sender<bool>,
        shared_writes: Option<SharedWrites>,
    ) -> io::Result<Core> {
        let context = CoreContext {
            clock: self.clock,
            events: self.events.clone(),
            ready,
            counters: Arc::clone(&self.counters),
            rejections: self.rejections.clone(),
            memory: self.memory.clone(),
            shared_writes,
        };
        Core::new(config.clone(), context).map_err(io::Error::other)
    }
}

impl BackgroundChannels {
    /// Starts the tasks that run alongside the acceptor and the core until they are aborted.
    fn spawn(
        self,
        config: &Config,
        shared: Shared,
        admin: &AdminState,
        connections: frontend::ConnectionRegistry,
    ) -> Vec<JoinHandle<()>> {
        let Self { discovery_addresses, reloads, settings, reclaims } = self;
        let Shared { events, memory, .. } = shared;
        let draining = || admin.draining.clone();
        let report_drains = frontend::report_drains(connections, admin.clone());
        let forward_drain = forward_drain(draining(), settings.subscribe(), events.clone());
        let forward_reloads = forward_reloads(reloads, events.clone(), settings, draining());
        let discovery = Discovery {
            zones: config.names.zones.clone(),
            version: config.cached_endpoints.as_ref().map(|list| list.index),
            retry: DiscoveryRetry::new(
                config.settings.router_count,
                config.settings.discovery_is_polled,
                config.seed,
            ),
            events,
        };
        vec![
            tokio::spawn(report_drains),
            tokio::spawn(forward_drain),
            tokio::spawn(forward_reloads),
            tokio::spawn(discovery.follow(discovery_addresses)),
            tokio::spawn(memory.watch(reclaims)),
        ]
    }
}

impl Server {
    /// Carries out commands until the acceptor ends after a graceful shutdown, then stops the other actors.
    ///
    /// # Errors
    /// Returns an error if the acceptor or the core has panicked.
    pub async fn run(mut self, mut control: mpsc::Receiver<Control>) -> io::Result<()> {
        let result = loop {
            tokio::select! {
                Some(command) = control.recv() => self.carry_out(command),
                result = &mut self.acceptor => break result.map_err(io::Error::other),
                // Without the core no request can be answered, so the proxy ends.
                result = &mut self.core => break result.map_err(io::Error::other),
            }
        };
        self.stop().await;
        result
    }

    fn carry_out(&mut self, command: Control) {
        match command {
            Control::LogCounters => self.log_counters(),
            Control::ReloadConfiguration => self.reload(),
            Control::Drain => {
                tracing::info!("graceful shutdown started");
                record_drain_start(&self.channels.draining);
                self.channels.drain_changes.send_replace(());
            }
        }
    }

    fn log_counters(&self) {
        tracing::info!(totals = %self.counters, "counters");
    }

    /// Reads the configuration file again. Keeps the current configuration if the file is invalid.
    fn reload(&mut self) {
        match self.config.reload() {
            Ok(config) => {
                self.counters.configuration_reloaded();
                set_class_names(&self.counters, &config);
                self.channels.discovery.send_replace(config.discovery);
                self.channels.reloaded.send_replace(Some(config.clone()));
                self.config = config;
            }
            Err(error) => {
                self.counters.configuration_rejected();
                tracing::error!(%error, "configuration reload rejected");
            }
        }
    }

    /// Waits until this proxy has left the fleet, logs the counters and stops the actors that still run.
    async fn stop(mut self) {
        if let Some(fleet) = self.fleet.take() {
            let _ = timeout(FLEET_LEAVE_TIMEOUT, fleet).await;
        }
        self.log_counters();
        // A graceful shutdown ends after the last client actor, and so after the last request. Requests can
        // be left only after a failure of the core.
        let unanswered_requests = self.counters.outstanding();
        if unanswered_requests > 0 {
            tracing::error!(unanswered_requests, "stopped with unanswered requests");
        }
        for task in self.background {
            task.abort();
        }
        self.core.abort();
    }
}

/// Notifies the core when a graceful shutdown begins, so that requests to hosts that hang are answered before
/// the process is killed.
async fn forward_drain(
    mut draining: watch::Receiver<Option<Instant>>,
    settings: watch::Receiver<Arc<FrontendSettings>>,
    events: mpsc::Sender<CoreEvent>,
) {
    let Ok(Some(started_at)) = draining.wait_for(Option::is_some).await.map(|started_at| *started_at) else {
        return;
    };
    let reply_by = started_at + settings.borrow().shutdown.answers_due_after;
    // Fails only when the core has ended, and the process with it.
    let _ = events.send(CoreEvent::DrainStarted(reply_by)).await;
}

/// Sends each reloaded configuration to the core and only then to the acceptor and the clients: the core has
/// to know a new class before its first request. Runs as a separate task, so that a full mailbox of the core
/// does not delay a shutdown. A shutdown that has begun keeps its schedule: whoever sent SIGTERM waits
/// according to the settings of that time.
async fn forward_reloads(
    mut reloads: watch::Receiver<Option<Config>>,
    events: mpsc::Sender<CoreEvent>,
    settings: watch::Sender<Arc<FrontendSettings>>,
    draining: watch::Receiver<Option<Instant>>,
) {
    while reloads.changed().await.is_ok() {
        let Some(config) = reloads.borrow_and_update().clone() else { continue };
        let mut new_settings = FrontendSettings::of(&config);
        if events.send(CoreEvent::Reconfigured(Box::new(config))).await.is_err() {
            return;
        }
        if draining.borrow().is_some() {
            new_settings.shutdown = settings.borrow().shutdown;
        }
        tracing::info!(classes = new_settings.names.classes.len(), "configuration reloaded");
        settings.send_replace(Arc::new(new_settings));
    }
}
