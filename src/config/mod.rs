//! The only place that reads the environment, the configuration file and the operator's.

mod descriptors;
mod operator;

pub use descriptors::OVERFLOW;
pub use operator::{HostProtocols, Listener, Operator, OperatorError, Peers};

use crate::budget::plan::{ClassWeight, Plan, PlanInputs};
use crate::budget::Purpose;
use crate::endpoint_list::{EndpointList, RawEndpointList};
use crate::interface::{Freshness, HostState, Idempotency, LagPolicy, RequestClass, Settings};
use crate::pgwire;
use crate::pipeline;
use crate::protocol::Protocol;
use crate::settings::{self, ReportFormat};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What is wrong with the configuration; names the faulty key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("configuration key `{key}`: {problem}")]
pub struct ConfigError {
    /// The faulty key.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

fn wrong(key: &str, problem: impl ToString) -> ConfigError {
    ConfigError { key: key.to_owned(), problem: problem.to_string() }
}

/// What the proxy may use up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors for client connections.
    pub clients: usize,
    /// Descriptors for connections to ledger hosts.
    pub upstream: usize,
    /// Callers of the console served at once.
    pub callers: usize,
    /// Streams to other members at once, and as many from them.
    pub streams: usize,
}

/// Names and spans that the network code needs from the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes, in the module's order.
    pub classes: Vec<ClassName>,
    /// Tenant names, in the module's order.
    pub tenants: Vec<TenantName>,
    /// Zone names, in the module's order.
    pub zones: Vec<String>,
}

/// A class by its name, and what a statement of it must look like.
#[derive(Clone, Debug, Default)]
pub struct ClassName {
    /// Its name.
    pub name: String,
    /// Whether its statements write.
    pub write: bool,
    /// Whether they carry an idempotency key.
    pub keyed: bool,
    /// Whether new requests may be of it: a class that new settings leave out stays for those under way.
    pub open: bool,
}

/// A tenant by its name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantName {
    /// Its name.
    pub name: String,
    /// Whether the settings still name it: one that new settings leave out keeps its number all the same.
    pub open: bool,
}

impl Names {
    /// The number of the tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.open && tenant.name == name)
    }

    /// Whether there are tenants at all: statements have to say whose they are then.
    pub fn has_tenants(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.open)
    }
}

/// All that a proxy is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that this was read from, to be read again on request; none if a program made it by itself.
    pub file: Option<PathBuf>,
    /// The proxy's own name.
    pub name: String,
    /// Where clients of PostgreSQL's protocol connect.
    pub listen: SocketAddr,
    /// What the operator's own file adds.
    pub operator: Operator,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the operators' console listens (`$GW_CONSOLE`, else the key `console`); none: nowhere.
    pub console: Option<SocketAddr>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    sockets: usize,
    /// Shares of the descriptors.
    pub limits: Limits,
    /// Memory that messages may take, in bytes; none if it is not bounded.
    pub memory: Option<f64>,
    /// What the division of memory goes by.
    figures: PlanInputs,
    /// How memory is divided by purpose.
    pub plan: Plan,
    /// The ledger hosts as last known.
    pub known: Option<EndpointList>,
    /// The module's settings.
    pub settings: Settings,
    /// How reports and stamps are read.
    pub report_format: ReportFormat,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// A connection to a ledger host comes up within this time or has failed.
    pub connect_timeout: Duration,
    /// An idle pooled connection is retired after this time, well before its host closes it.
    pub retire_after: Duration,
    /// Whether the platform lets proxies speak with each other.
    pub may_tell: bool,
    /// Requests held at most.
    pub most_held: usize,
    /// Attempts of a request at most.
    pub max_attempts: u32,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: Option<serde_json::Value>,
    #[serde(default)]
    limits: FileLimits,
    known: Option<RawEndpointList>,
    settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FileLimits {
    cores: Option<f64>,
    memory_mb: Option<f64>,
    sockets: Option<usize>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Deserialize)]
struct Customer {
    name: String,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct SettingsNames {
    areas: Vec<String>,
    grades: Vec<Named>,
    customers: Vec<Customer>,
    limits: SettingsLimits,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct SettingsLimits {
    connect_timeout: f64,
    keepalive: f64,
    most_held: usize,
    max_attempts: u32,
    /// Whether proxies may speak with each other; where nothing is said, nothing is forbidden.
    may_tell: bool,
}

impl Default for SettingsLimits {
    fn default() -> Self {
        Self { connect_timeout: 0.25, keepalive: 15.0, most_held: 30_000, max_attempts: 8, may_tell: true }
    }
}

/// Part of the memory that messages may take, and what of that is for statements: each connection may hold one
/// at its longest.
const MEMORY_SHARE: f64 = 0.95;
const STATEMENTS: f64 = 0.8;
/// Part of the memory that is accounted for by purpose: the program itself and the allocator need the rest.
const ACCOUNTED: f64 = 0.8;
/// What is accounted for where nothing bounds the memory.
const UNBOUNDED: u64 = 4 << 30;
/// Fewer connections than this on either side serve nobody.
const LEAST_CONNECTIONS: usize = 8;
/// Fewer descriptors than this serve nobody.
const LEAST_SOCKETS: usize = 64;

/// Bounds of what one connection's requests may take while they wait to run, in bytes: a few short statements at the least,
/// and not much more than one at its longest.
const PIPELINE_BYTES: (usize, usize) = (16 * 1024, 256 * 1024);

impl Config {
    /// Reads the environment and the file that it names, with what the operator's own file adds.
    ///
    /// # Errors
    /// When something is missing or not sensible.
    pub fn from_env(operator: Operator) -> Result<Self, ConfigError> {
        let vars = ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONSOLE"];
        let env: HashMap<&str, String> =
            vars.iter().filter_map(|name| Some((*name, std::env::var(name).ok()?))).collect();
        let path = env.get("GW_CONFIG").ok_or_else(|| wrong("GW_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(path).map_err(|e| wrong("GW_CONFIG", e))?;
        let read = Self::read(&text, |name| env.get(name).cloned())?;
        Self { file: Some(path.into()), ..read }.with_operator(operator)
    }

    /// Takes the operator's own file in.
    ///
    /// # Errors
    /// When what it sets does not fit to the rest.
    pub fn with_operator(mut self, operator: Operator) -> Result<Self, ConfigError> {
        let longest = operator.listeners.iter().map(|l| l.protocol.longest_statement()).max().unwrap_or(0);
        let divided =
            descriptors::divide_with(self.sockets, operator.listeners.len(), operator.peers.is_some());
        if divided.clients < LEAST_CONNECTIONS {
            let problem = format!(
                "{} leave too few for clients beside what the operator's file asks for",
                self.sockets
            );
            return Err(wrong("limits.sockets", problem));
        }
        self.limits = bounded(divided, self.memory, longest.max(pgwire::MOST_STATEMENT));
        if operator.peers.is_some() && !self.may_tell {
            let problem =
                "the platform forbids proxies to speak with each other (settings.limits.mayTell is false); \
                           take `peers` out of the operator's file";
            return Err(wrong("peers", problem));
        }
        let mut figures = self.figures.clone();
        figures.total = operator.memory.total.unwrap_or(figures.total);
        figures.overrides = operator.memory.purposes.clone();
        self.plan = Plan::new(&figures).map_err(|e| wrong("memory", e))?;
        (self.figures, self.operator) = (figures, operator);
        Ok(self)
    }

    /// What one client connection may have in its pipeline.
    pub fn pipeline(&self) -> pipeline::PipelineLimits {
        let buffers = self.plan.limits[Purpose::ClientBuffers as usize].cap;
        let bytes = usize::try_from(buffers).unwrap_or(usize::MAX) / self.limits.clients.max(1);
        let bytes = bytes.clamp(PIPELINE_BYTES.0, PIPELINE_BYTES.1);
        pipeline::PipelineLimits::per_connection(self.most_held, self.limits.clients, bytes)
    }

    /// Where clients connect, and what is spoken there.
    pub fn listeners(&self) -> Vec<(Protocol, SocketAddr)> {
        let more = self.operator.listeners.iter().map(|l| (l.protocol, l.address));
        std::iter::once((Protocol::Postgres, self.listen)).chain(more).collect()
    }

    /// Reads the file once more at SIGHUP, checked as at the start, and takes in what may change while the
    /// proxy runs: where discovery answers, the classes and their terms, the tenants and their quotas, and the
    /// number of attempts. Classes and tenants keep their numbers, so that requests under way keep theirs; a
    /// class that the file no longer names takes no new requests, a tenant has no quota, and one that it names
    /// anew comes behind the others. All else holds until a restart.
    ///
    /// # Errors
    /// When the file as a whole would not do for a start: empty, cut short, lacking a key, or with a
    /// deadline or a number of attempts that is not a number above 0. Nothing changes then.
    pub fn retune(&self) -> Result<Self, ConfigError> {
        let Some(path) = &self.file else { return Ok(self.clone()) };
        let text = std::fs::read_to_string(path).map_err(|e| wrong("GW_CONFIG", e))?;
        self.retuned(&text)
    }

    /// What [`Config::retune`] makes of a file's text.
    ///
    /// # Errors
    /// As there.
    pub fn retuned(&self, text: &str) -> Result<Self, ConfigError> {
        Ok(self.merged(self.reread(text)?))
    }

    /// The file's text as a start would read it, with the name and addresses that this process has.
    fn reread(&self, text: &str) -> Result<Self, ConfigError> {
        let file: File = parse(text)?;
        let current = file.discovery.is_none().then(|| self.discovery.to_string());
        Self::read(text, |name| match name {
            "GW_NAME" => Some(self.name.clone()),
            "GW_LISTEN" => Some(self.listen.to_string()),
            "GW_DISCOVERY" => current.clone(),
            _ => None,
        })
    }

    /// This configuration with what new settings may change.
    fn merged(&self, new: Self) -> Self {
        let closed = self.names.classes.iter().map(|name| ClassName { open: false, ..name.clone() });
        let old = closed.zip(self.settings.classes.iter().cloned());
        let new_ones = new.names.classes.into_iter().zip(new.settings.classes);
        let (names, classes) = renumbered(old, new_ones, |name| &name.name);
        // A tenant that is left out has no quota.
        let closed = self.names.tenants.iter().map(|name| TenantName { open: false, ..name.clone() });
        let new_ones = new.names.tenants.into_iter().zip(new.settings.tenant_quotas);
        let (tenants, quotas) = renumbered(closed.map(|name| (name, 0.0)), new_ones, |name| &name.name);
        let mut merged = self.clone();
        merged.settings = crate::interface::Settings { classes, tenant_quotas: quotas, ..new.settings };
        (merged.names.classes, merged.names.tenants) = (names, tenants);
        merged.discovery = new.discovery;
        merged.max_attempts = new.max_attempts;
        merged
    }

    /// Reads the text of a configuration file; what `env` gives goes before it.
    ///
    /// # Errors
    /// When something is missing or not sensible.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: File = parse(text)?;
        let (name, _) = given("name", env("GW_NAME"), "GW_NAME", file.name)?;
        let (listen, key) = given("listen", env("GW_LISTEN"), "GW_LISTEN", file.listen)?;
        let listen = address(&listen, key)?;
        let (discovery, key) = given("discovery", env("GW_DISCOVERY"), "GW_DISCOVERY", file.discovery)?;
        let discovery = address(&discovery, key)?;
        let console =
            env("GW_CONSOLE").map(|text| (text, "GW_CONSOLE")).or(file.console.map(|t| (t, "console")));
        let console = console.filter(|(text, _)| !text.is_empty());
        let console = console.map(|(text, key)| address(&text, key)).transpose()?;
        let seed = seed(file.seed.as_ref())?;
        let text = file.settings.to_string();
        let (mut settings, report_format) = settings::read(&text).map_err(|e| wrong("settings", e))?;
        settings.responses_verified =
            settings.responses_carry_position && settings.lag_policy == LagPolicy::ServeStale;
        settings::validate(&settings)
            .map_err(|error| wrong(&format!("settings.{}", error.key), error.problem))?;
        let more: SettingsNames = serde_json::from_value(file.settings).map_err(|e| wrong("settings", e))?;
        let seconds = |key: &str, value: f64| match Duration::try_from_secs_f64(value) {
            Ok(span) if !span.is_zero() => Ok(span),
            _ => Err(wrong(key, "must be a number above zero")),
        };
        let keepalive = seconds("settings.limits.keepalive", more.limits.keepalive)?;
        if more.limits.most_held == 0 {
            return Err(wrong("settings.limits.mostHeld", "must be at least 1"));
        }
        for (key, value) in [("limits.cores", file.limits.cores), ("limits.memory_mb", file.limits.memory_mb)]
        {
            if value.is_some_and(|v| v.is_nan() || v <= 0.0) {
                return Err(wrong(key, "must be a number above zero"));
            }
        }
        let sockets = file.limits.sockets.unwrap_or(1024);
        if sockets < LEAST_SOCKETS {
            return Err(wrong("limits.sockets", format!("must be at least {LEAST_SOCKETS}")));
        }
        // Descriptors and memory bound the connections, whichever is shorter.
        let memory = file.limits.memory_mb.map(|mb| mb * MEMORY_SHARE * f64::from(1 << 20));
        let limits = bounded(descriptors::divide(sockets), memory, pgwire::MOST_STATEMENT);
        let class = |class: &RequestClass| ClassWeight {
            priority_weight: class.priority_weight,
            is_write: class.freshness == Freshness::Write,
        };
        let figures = PlanInputs {
            total: file.limits.memory_mb.map_or(UNBOUNDED, |mb| (mb * ACCOUNTED * f64::from(1 << 20)) as u64),
            classes: settings.classes.iter().map(class).collect(),
            tenant_shares: more.customers.iter().map(|c| c.share).collect(),
            ..PlanInputs::default()
        };
        let plan = Plan::new(&figures).map_err(|e| wrong("limits.memory_mb", e))?;
        let names = Names {
            classes: more.grades.into_iter().zip(&settings.classes).map(class_name).collect(),
            tenants: more.customers.into_iter().map(|c| TenantName { name: c.name, open: true }).collect(),
            zones: more.areas,
        };
        let known = match file.known {
            None => None,
            Some(raw) => match raw.check(&names.zones) {
                (list, problems) if problems.is_empty() => Some(list),
                (_, problems) => return Err(wrong("known", &problems[0])),
            },
        };
        Ok(Self {
            file: None,
            name,
            listen,
            discovery,
            console,
            seed,
            sockets,
            limits,
            memory,
            figures,
            plan,
            operator: Operator::default(),
            known: known.filter(|list| list.entries.iter().any(|e| e.state != HostState::Removed)),
            settings,
            report_format,
            names,
            connect_timeout: seconds("settings.limits.connectTimeout", more.limits.connect_timeout)?,
            // Two thirds: a request written as the host closes would end as a reset.
            retire_after: keepalive * 2 / 3,
            may_tell: more.limits.may_tell,
            most_held: more.limits.most_held,
            max_attempts: more.limits.max_attempts,
        })
    }
}

/// The same where memory bounds the connections too: each may hold a message at its longest.
fn bounded(limits: Limits, memory: Option<f64>, statement: usize) -> Limits {
    let Some(memory) = memory else { return limits };
    let held = |part: f64, bytes: usize| ((memory * part / bytes as f64) as usize).max(LEAST_CONNECTIONS);
    Limits {
        clients: limits.clients.min(held(STATEMENTS, statement)),
        upstream: limits.upstream.min(held(1.0 - STATEMENTS, pgwire::MOST_ANSWER)),
        ..limits
    }
}

fn parse(text: &str) -> Result<File, ConfigError> {
    serde_json::from_str(text).map_err(|e| wrong(&faulty(&e.to_string()), e))
}

fn class_name((named, class): (Named, &RequestClass)) -> ClassName {
    let keyed = matches!(class.idempotency, Idempotency::WithKey(_));
    ClassName { name: named.name, write: class.freshness == Freshness::Write, keyed, open: true }
}

/// What is numbered, with its names, once new settings are taken in: what they name keeps its number and has its new
/// terms, what they name for the first time comes behind.
fn renumbered<N, V>(
    old: impl Iterator<Item = (N, V)>,
    new: impl Iterator<Item = (N, V)>,
    name: fn(&N) -> &str,
) -> (Vec<N>, Vec<V>) {
    let mut all: Vec<(N, V)> = old.collect();
    for one in new {
        match all.iter().position(|(old, _)| name(old) == name(&one.0)) {
            Some(at) => all[at] = one,
            None => all.push(one),
        }
    }
    all.into_iter().unzip()
}

/// The key that a message of serde names in backquotes, if any.
fn faulty(message: &str) -> String {
    message.split('`').nth(1).filter(|key| !key.contains(' ')).unwrap_or("GW_CONFIG").to_owned()
}

fn given(
    key: &'static str,
    env: Option<String>,
    env_key: &'static str,
    file: Option<String>,
) -> Result<(String, &'static str), ConfigError> {
    let value = env.map(|value| (value, env_key)).or(file.map(|value| (value, key)));
    let value = value.ok_or_else(|| wrong(key, format!("is missing, and so is {env_key}")))?;
    if value.0.is_empty() {
        return Err(wrong(value.1, "is empty"));
    }
    Ok(value)
}

fn address(text: &str, key: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| wrong(key, format!("`{text}` is no address with a port")))
}

/// Sixteen hexadecimal digits, or a number.
fn seed(value: Option<&serde_json::Value>) -> Result<u64, ConfigError> {
    let seed = match value {
        Some(serde_json::Value::String(text)) => u64::from_str_radix(text, 16).ok(),
        Some(serde_json::Value::Number(number)) => number.as_u64(),
        None => Some(0),
        _ => None,
    };
    seed.ok_or_else(|| wrong("seed", "must be up to 16 hexadecimal digits"))
}
