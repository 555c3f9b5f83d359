//! An emulated installation with a proxy in front of it. The proxy runs on a thread of its own, as in
//! production; everything else shares another thread.

use crate::{runtime, TestbenchError};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot};
use wheelpier::budget::Budget;
use wheelpier::config::{Config, OperatorSettings};
use wheelpier::counters::Counters;
use wheelpier::net::{Control, Proxy};
use wheelpier::protocol::Protocol;
use wheelpier_emulator::net::{Clock, Installation, Options, Wire};

/// The memory limit of the proxy in MB.
const MEMORY_MB: u32 = 192;
/// The socket limit of the proxy.
const SOCKETS: u32 = 1_024;

/// Returns operator settings that add a TDS listener, and TDS as the protocol of the hosts with type
/// `KIND-tds`.
fn operator_settings(kind: &str) -> String {
    format!(
        "
hosts: {{types: {{{kind}-tds: tds}}}}
listeners: [{{protocol: tds, address: '127.0.0.1:0'}}]
"
    )
}

/// An emulated installation with one proxy in front of it.
pub struct Rig {
    /// The emulator's clock.
    pub clock: Clock,
    /// The emulated hosts and discovery service.
    pub installation: Installation,
    /// The proxy.
    pub proxy: ProxyThread,
}

/// A proxy that runs on a thread of its own.
pub struct ProxyThread {
    /// The address for clients of each protocol.
    pub addresses: Vec<(Protocol, SocketAddr)>,
    /// The proxy's counters.
    pub counters: Arc<Counters>,
    /// The proxy's memory budget.
    pub budget: Budget,
    control: mpsc::Sender<Control>,
    thread: JoinHandle<std::io::Result<()>>,
    _temporary_folder: TemporaryFolder,
}

/// A folder for the files of one proxy, removed when dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn create() -> std::io::Result<Self> {
        static FOLDERS: AtomicU64 = AtomicU64::new(0);
        let number = FOLDERS.fetch_add(1, Relaxed);
        let folder = std::env::temp_dir().join(format!("wheelpier-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Rig {
    /// Starts an installation and its proxy, which listens for both protocols. `rate` is the expected number
    /// of requests per second in the settings.
    pub async fn start(options: Options, rate: f64) -> Result<Self, TestbenchError> {
        let (spec, seed) = (options.spec.clone(), options.seed);
        let clock = Clock::start();
        let installation = Installation::start(options, clock).await?;
        let config = json!({
            "name": "lab", "listen": "127.0.0.1:0", "discovery": installation.discovery.to_string(),
            "seed": format!("{seed:x}"), "known": installation.known, "settings": spec.settings(rate),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        });
        let operator =
            OperatorSettings::read(&operator_settings(spec.host_type), "the test bench's operator settings")?;
        let config = Config::read(&config.to_string(), |_| None)?.with_operator(operator)?;
        let proxy = ProxyThread::start(config).await?;
        Ok(Self { clock, installation, proxy })
    }

    /// Returns the address for clients of a protocol.
    pub fn port(&self, wire: Wire) -> Result<SocketAddr, TestbenchError> {
        let protocol = match wire {
            Wire::Postgres => Protocol::Postgres,
            Wire::Tds => Protocol::Tds,
        };
        let address = self.proxy.addresses.iter().find(|(other, _)| *other == protocol);
        address.map(|(_, address)| *address).ok_or(TestbenchError::Ended)
    }
}

impl ProxyThread {
    async fn start(mut config: Config) -> Result<Self, TestbenchError> {
        let temporary_folder = TemporaryFolder::create()?;
        config.temporary_folder.clone_from(&temporary_folder.0);
        let (control, control_messages) = mpsc::channel(4);
        let (bound, started) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            runtime()?.block_on(async {
                let proxy = Proxy::bind(config).await?;
                let _ = bound.send((proxy.client_addresses()?, proxy.counters(), proxy.budget()));
                proxy.serve(control_messages).await
            })
        });
        let (addresses, counters, budget) = started.await.map_err(|_| TestbenchError::Ended)?;
        Ok(Self { addresses, counters, budget, control, thread, _temporary_folder: temporary_folder })
    }

    /// Drains the proxy and waits for its end.
    pub async fn end(self) -> Result<(), TestbenchError> {
        let _ = self.control.send(Control::Drain).await;
        let ended = tokio::task::spawn_blocking(move || self.thread.join()).await;
        match ended {
            Ok(Ok(ended)) => Ok(ended?),
            _ => Err(TestbenchError::Ended),
        }
    }
}
