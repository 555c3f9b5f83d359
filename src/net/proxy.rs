//! A proxy that has bound its addresses, and the commands to a running one.

use super::frontend::Listeners;
use super::serve;
use super::{console, peers};
use crate::budget::Budget;
use crate::config::Config;
use crate::counters::Counters;
use crate::protocol::Protocol;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// A command to a running proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Write the counters to the log.
    LogCounters,
    /// Read the configuration file again.
    ReloadConfiguration,
    /// Shut down gracefully: accept clients for a while longer, answer every request that was read, and end.
    Drain,
}

/// A proxy that has bound its addresses and does not serve yet.
#[derive(Debug)]
pub struct Proxy {
    pub(super) config: Config,
    pub(super) listeners: Listeners,
    pub(super) console: Option<TcpListener>,
    pub(super) peers: Option<peers::PeerListener>,
    pub(super) counters: Arc<Counters>,
    pub(super) budget: Budget,
}

impl Proxy {
    /// Binds the addresses of the configuration.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound, or the reserves of the memory plan do not fit.
    pub async fn bind(config: Config) -> io::Result<Self> {
        let listeners = Listeners::bind(&config.listeners()).await?;
        let console = match config.console {
            Some(address) => Some(console::bind(address).await?),
            None => None,
        };
        let peers = match &config.operator.peers {
            Some(peers) => Some(peers::PeerListener::bind(peers.listen).await?),
            None => None,
        };
        let budget = config.plan.budget().map_err(io::Error::other)?;
        let counters = Arc::new(Counters::default());
        serve::set_class_names(&counters, &config);
        Ok(Self { config, listeners, console, peers, counters, budget })
    }

    /// Returns the address of the operators' console; `None` if it is not configured.
    ///
    /// # Errors
    /// Returns the errors of getsockname(2).
    pub fn console_address(&self) -> io::Result<Option<SocketAddr>> {
        self.console.as_ref().map(TcpListener::local_addr).transpose()
    }

    /// Returns the protocol and the address of each listener for clients.
    ///
    /// # Errors
    /// Returns the errors of getsockname(2).
    pub fn client_addresses(&self) -> io::Result<Vec<(Protocol, SocketAddr)>> {
        self.listeners.addresses()
    }

    /// Returns the counters, to be read while the proxy serves.
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Returns the memory budget, to be read while the proxy serves.
    pub fn budget(&self) -> Budget {
        self.budget.clone()
    }

    /// Serves until [`Control::Drain`] was received and all requests are answered.
    ///
    /// # Errors
    /// Returns an error if the settings contradict one another, or an actor has failed.
    pub async fn serve(self, control: mpsc::Receiver<Control>) -> io::Result<()> {
        serve::start(self)?.run(control).await
    }
}
