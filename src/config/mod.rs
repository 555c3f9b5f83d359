//! Configuration of the proxy. Only this module reads the configuration's environment variables, the
//! platform's file and the operator's file. The command line reads `GW_OPERATOR`, `GW_LOG` and `GW_TRACE`.
//!
//! [`Config::from_env`] reads the configuration at startup; [`Config::reload`] rereads the platform's file at
//! SIGHUP.

mod descriptors;
mod error;
mod file;
mod missing_key;
mod names;
mod operator;
mod read;
mod reload;

pub use descriptors::{ConnectionLimits, MAX_OVERFLOW_CONNECTIONS};
pub use error::ConfigError;
pub use names::{ClassName, Names, TenantName};
pub use operator::{HostProtocols, Listener, MemorySettings, OperatorError, OperatorSettings, PeerSettings};

use crate::budget::plan::{Plan, PlanInputs};
use crate::budget::Purpose;
use crate::endpoint_list::EndpointList;
use crate::interface::Settings;
use crate::pgwire;
use crate::pipeline::PipelineLimits;
use crate::protocol::Protocol;
use crate::settings::ReportFormat;
use descriptors::MIN_CONNECTIONS;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Environment variables of the configuration.
const VARIABLES: [&str; 5] = ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONSOLE"];

/// Smallest size of a connection's pipeline, in bytes: a few short statements.
const MIN_PIPELINE_BYTES: usize = 16 * 1024;
/// Largest size of a connection's pipeline, in bytes: slightly more than a statement of the largest size.
const MAX_PIPELINE_BYTES: usize = 256 * 1024;

/// The configuration of a proxy.
#[derive(Clone, Debug)]
pub struct Config {
    /// Path of the file that it was read from, for [`Config::reload`]; `None` if it was not read from a file.
    pub file: Option<PathBuf>,
    /// The object that it was read from, without the cached endpoint list.
    source: Arc<serde_json::Value>,
    /// Name of the proxy.
    pub name: String,
    /// Address of the listener for clients that use PostgreSQL's protocol.
    pub listen: SocketAddr,
    /// Settings of the operator's file.
    pub operator: OperatorSettings,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the operators' console (`$GW_CONSOLE`, or else the key `console`); `None` disables it.
    pub console: Option<SocketAddr>,
    /// Seed of the router's random number generator.
    pub seed: u64,
    /// Folder of the files that the processes of this proxy share (`$TMPDIR`, or else `/tmp`).
    pub temporary_folder: PathBuf,
    /// Number of descriptors that the process may hold.
    sockets: usize,
    /// Largest number of connections of each kind.
    pub limits: ConnectionLimits,
    /// Memory that messages may take, in bytes; `None` if it is not bounded.
    message_memory_bytes: Option<f64>,
    /// Inputs of [`Self::plan`].
    plan_inputs: PlanInputs,
    /// Division of memory by purpose.
    pub plan: Plan,
    /// The last cached endpoint list.
    pub cached_endpoints: Option<EndpointList>,
    /// Settings of the router.
    pub settings: Settings,
    /// Format of the load reports and positions that hosts send.
    pub report_format: ReportFormat,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// Timeout for connecting to a host.
    pub connect_timeout: Duration,
    /// Time after which an idle connection to a host is closed.
    pub upstream_idle_timeout: Duration,
    /// Whether the platform allows messages between proxies.
    peers_allowed: bool,
    /// Largest number of requests that are in flight or queued at once.
    pub max_pending_requests: usize,
    /// Largest number of attempts of one request. Read from the same key as the settings' `max_attempts`; the
    /// core actor enforces it independently of the router.
    pub max_attempts: u32,
}

impl Config {
    /// Reads the environment and the file that it names, and adds the settings of the operator's file.
    ///
    /// # Errors
    /// Returns an error for the first key that is missing or has an invalid value.
    pub fn from_env(operator: OperatorSettings) -> Result<Self, ConfigError> {
        let variable = |name: &'static str| Some((name, std::env::var(name).ok()?));
        let env: HashMap<&str, String> = VARIABLES.into_iter().filter_map(variable).collect();
        let path = env.get("GW_CONFIG").ok_or_else(|| ConfigError::new("GW_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(path).map_err(|error| ConfigError::new("GW_CONFIG", error))?;
        let config = Self::read(&text, |name| env.get(name).cloned())?;
        Self { file: Some(path.into()), ..config }.with_operator(operator)
    }

    /// Adds the settings of the operator's file.
    ///
    /// # Errors
    /// Returns an error if they conflict with the platform's configuration.
    pub fn with_operator(mut self, operator: OperatorSettings) -> Result<Self, ConfigError> {
        self.limits = self.limits_with(&operator)?;
        if operator.peers.is_some() && !self.peers_allowed {
            let problem =
                "the platform does not allow messages between proxies (settings.limits.mayTell is false); \
                 remove `peers` from the operator's file";
            return Err(ConfigError::new("peers", problem));
        }
        self.plan_inputs.total = operator.memory.total.unwrap_or(self.plan_inputs.total);
        self.plan_inputs.overrides = operator.memory.purposes.clone();
        self.plan = Plan::new(&self.plan_inputs).map_err(|error| ConfigError::new("memory", error))?;
        self.operator = operator;
        Ok(self)
    }

    fn limits_with(&self, operator: &OperatorSettings) -> Result<ConnectionLimits, ConfigError> {
        let further_listeners = operator.listeners.len();
        let limits = ConnectionLimits::divide_with(self.sockets, further_listeners, operator.peers.is_some());
        if limits.clients < MIN_CONNECTIONS {
            let problem = format!(
                "{} sockets leave too few for clients besides the listeners and peers of the operator's file",
                self.sockets
            );
            return Err(ConfigError::new("limits.sockets", problem));
        }
        let statements = operator.listeners.iter().map(|listener| listener.protocol.max_statement_bytes());
        let max_statement_bytes = statements.max().unwrap_or(0).max(pgwire::MAX_STATEMENT_BYTES);
        Ok(limits.within_memory(self.message_memory_bytes, max_statement_bytes))
    }

    /// Returns the pipeline limits of one client connection.
    pub fn pipeline(&self) -> PipelineLimits {
        let buffers = self.plan.limits[Purpose::ClientBuffers as usize].cap;
        let bytes = usize::try_from(buffers).unwrap_or(usize::MAX) / self.limits.clients.max(1);
        let bytes = bytes.clamp(MIN_PIPELINE_BYTES, MAX_PIPELINE_BYTES);
        PipelineLimits::per_connection(self.max_pending_requests, self.limits.clients, bytes)
    }

    /// Returns the protocol and the address of each listener for clients.
    pub fn listeners(&self) -> Vec<(Protocol, SocketAddr)> {
        let further = self.operator.listeners.iter().map(|listener| (listener.protocol, listener.address));
        std::iter::once((Protocol::Postgres, self.listen)).chain(further).collect()
    }
}
