//! An installation with a proxy before it: the proxy on a thread of its own, as in service, everything else on
//! another.

use crate::{runtime, TestbenchError};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot};
use wheelpier::budget::Budget;
use wheelpier::config::{Config, OperatorSettings};
use wheelpier::counters::Counters;
use wheelpier::net::{Control, Proxy};
use wheelpier::protocol::Protocol;
use wheelpier_emulator::net::{Clock, Installation, Options, Wire};

/// What the proxy of an experiment is given.
const MEMORY_MB: u32 = 192;
const SOCKETS: u32 = 1_024;

/// What a proxy's ports speak beside PostgreSQL, and its hosts where they speak TDS.
fn operator(kind: &str) -> String {
    format!(
        "
hosts: {{types: {{{kind}-tds: tds}}}}
listeners: [{{protocol: tds, address: '127.0.0.1:0'}}]
"
    )
}

/// An emulated installation with one proxy before it.
pub struct Rig {
    /// The emulator's clock.
    pub clock: Clock,
    /// Hosts and discovery.
    pub installation: Installation,
    /// The proxy.
    pub proxy: ProxyThread,
}

/// A proxy that serves on a thread of its own.
pub struct ProxyThread {
    /// Where clients connect, by protocol.
    pub addresses: Vec<(Protocol, SocketAddr)>,
    /// The proxy's counters.
    pub counters: Arc<Counters>,
    /// The proxy's memory budget.
    pub budget: Budget,
    control: mpsc::Sender<Control>,
    thread: JoinHandle<std::io::Result<()>>,
}

impl Rig {
    /// Starts both; the proxy listens for both protocols. `rate` is what it has to expect, a second.
    pub async fn start(options: Options, rate: f64) -> Result<Self, TestbenchError> {
        let (spec, seed) = (options.spec.clone(), options.seed);
        let clock = Clock::start();
        let installation = Installation::start(options, clock).await?;
        let config = json!({
            "name": "lab", "listen": "127.0.0.1:0", "discovery": installation.discovery.to_string(),
            "seed": format!("{seed:x}"), "known": installation.known, "settings": spec.settings(rate),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        });
        let operator = OperatorSettings::read(&operator(spec.host_type), "the lab's own")?;
        let config = Config::read(&config.to_string(), |_| None)?.with_operator(operator)?;
        let proxy = ProxyThread::start(config).await?;
        Ok(Self { clock, installation, proxy })
    }

    /// Where clients of a protocol connect.
    pub fn port(&self, wire: Wire) -> Result<SocketAddr, TestbenchError> {
        let protocol = match wire {
            Wire::Postgres => Protocol::Postgres,
            Wire::Tds => Protocol::Tds,
        };
        let found = self.proxy.addresses.iter().find(|(other, _)| *other == protocol);
        found.map(|(_, address)| *address).ok_or(TestbenchError::Ended)
    }
}

impl ProxyThread {
    async fn start(config: Config) -> Result<Self, TestbenchError> {
        let (control, asked) = mpsc::channel(4);
        let (bound, started) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            runtime()?.block_on(async {
                let proxy = Proxy::bind(config).await?;
                let _ = bound.send((proxy.client_addresses()?, proxy.counters(), proxy.budget()));
                proxy.serve(asked).await
            })
        });
        let (addresses, counters, budget) = started.await.map_err(|_| TestbenchError::Ended)?;
        Ok(Self { addresses, counters, budget, control, thread })
    }

    /// Lets it drain and end.
    pub async fn end(self) -> Result<(), TestbenchError> {
        let _ = self.control.send(Control::Drain).await;
        let ended = tokio::task::spawn_blocking(move || self.thread.join()).await;
        match ended {
            Ok(Ok(ended)) => Ok(ended?),
            _ => Err(TestbenchError::Ended),
        }
    }
}
