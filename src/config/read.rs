//! Reads a configuration from the text of the platform's file and from the environment.

use super::descriptors::{ConnectionLimits, DEFAULT_SOCKETS, MIN_SOCKETS};
use super::file::{Customer, File, FileLimits, SettingsNames};
use super::missing_key::CACHED_ENDPOINTS;
use super::{ClassName, Config, ConfigError, Names, OperatorSettings, TenantName};
use crate::budget::plan::{ClassWeight, Plan, PlanInputs};
use crate::endpoint_list::{EndpointList, RawListing};
use crate::interface::{Freshness, HostState, LagPolicy, Settings};
use crate::pgwire;
use crate::settings::{self, ReportFormat};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const BYTES_PER_MEBIBYTE: u32 = 1 << 20;
/// Fraction of the memory that messages may take.
const MESSAGE_MEMORY_FRACTION: f64 = 0.95;
/// Fraction of the memory that is accounted for by purpose. The program itself and the allocator need the
/// rest.
const ACCOUNTED_MEMORY_FRACTION: f64 = 0.8;
/// Bytes that are accounted for if the file does not limit the memory.
const DEFAULT_ACCOUNTED_BYTES: u64 = 4 << 30;

impl Config {
    /// Reads the text of a configuration file. Environment variables, which `env` looks up, take precedence.
    ///
    /// # Errors
    /// Returns an error for the first key that is missing or has an invalid value.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file = File::parse(text)?;
        let source = read_source(text)?;
        let (name, _) = required("name", env("GW_NAME"), "GW_NAME", file.name)?;
        let listen = required_address("listen", env("GW_LISTEN"), "GW_LISTEN", file.listen)?;
        let discovery = required_address("discovery", env("GW_DISCOVERY"), "GW_DISCOVERY", file.discovery)?;
        let console = console_address(env("GW_CONSOLE"), file.console)?;
        let seed = read_seed(file.seed.as_ref())?;
        let (settings, report_format) = read_settings(&file.settings)?;
        let extra: SettingsNames =
            serde_json::from_value(file.settings).map_err(|error| ConfigError::new("settings", error))?;
        let keepalive = positive_seconds("settings.limits.keepalive", extra.limits.keepalive_seconds)?;
        if extra.limits.max_pending_requests == 0 {
            return Err(ConfigError::new("settings.limits.mostHeld", "must be at least 1"));
        }
        let sockets = check_limits(&file.limits)?;
        let memory_bytes = file.limits.memory_mb.map(MemoryBytes::from_mebibytes);
        let message_memory_bytes = memory_bytes.map(|memory| memory.messages);
        let plan_inputs = plan_inputs(memory_bytes, &settings, &extra.tenants);
        let plan = Plan::new(&plan_inputs).map_err(|error| ConfigError::new("limits.memory_mb", error))?;
        let names =
            names(extra.zones, extra.classes.into_iter().map(|class| class.name), extra.tenants, &settings);
        let cached_endpoints = read_endpoints(file.cached_endpoints, &names.zones)?;
        let connect_timeout =
            positive_seconds("settings.limits.connectTimeout", extra.limits.connect_timeout_seconds)?;
        Ok(Self {
            file: None,
            source: Arc::new(source),
            name,
            listen,
            discovery,
            console,
            seed,
            sockets,
            limits: ConnectionLimits::divide(sockets)
                .within_memory(message_memory_bytes, pgwire::MAX_STATEMENT_BYTES),
            message_memory_bytes,
            plan_inputs,
            plan,
            operator: OperatorSettings::default(),
            cached_endpoints,
            temporary_folder: std::env::temp_dir(),
            settings,
            report_format,
            names,
            connect_timeout,
            // Well before the host closes the connection: a request written at that moment would be reset.
            upstream_idle_timeout: keepalive * 2 / 3,
            peers_allowed: extra.limits.peers_allowed,
            max_pending_requests: extra.limits.max_pending_requests,
            max_attempts: extra.limits.max_attempts,
        })
    }
}

/// Reads the file as an object, without the cached endpoint list, which may be long.
fn read_source(text: &str) -> Result<Value, ConfigError> {
    let mut source: Value =
        serde_json::from_str(text).map_err(|error| ConfigError::new("GW_CONFIG", error))?;
    source.as_object_mut().map(|object| object.remove(CACHED_ENDPOINTS));
    Ok(source)
}

/// Returns a required value and the key that it comes from: the environment's, or else the file's.
fn required(
    key: &'static str,
    env: Option<String>,
    env_key: &'static str,
    file: Option<String>,
) -> Result<(String, &'static str), ConfigError> {
    let value = env.map(|value| (value, env_key)).or(file.map(|value| (value, key)));
    let (value, key) =
        value.ok_or_else(|| ConfigError::new(key, format!("is missing, and {env_key} is not set")))?;
    if value.is_empty() {
        return Err(ConfigError::new(key, "is empty"));
    }
    Ok((value, key))
}

fn required_address(
    key: &'static str,
    env: Option<String>,
    env_key: &'static str,
    file: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let (text, key) = required(key, env, env_key, file)?;
    address(&text, key)
}

/// Returns the console's address; an empty value disables the console.
fn console_address(env: Option<String>, file: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    let value = env.map(|text| (text, "GW_CONSOLE")).or(file.map(|text| (text, "console")));
    let value = value.filter(|(text, _)| !text.is_empty());
    value.map(|(text, key)| address(&text, key)).transpose()
}

fn address(text: &str, key: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        ConfigError::new(key, format!("invalid address `{text}`: expected an IP address with a port"))
    })
}

/// Reads the seed: a string of up to 16 hexadecimal digits, or a number.
fn read_seed(value: Option<&Value>) -> Result<u64, ConfigError> {
    let seed = match value {
        Some(Value::String(text)) => u64::from_str_radix(text, 16).ok(),
        Some(Value::Number(number)) => number.as_u64(),
        None => Some(0),
        _ => None,
    };
    seed.ok_or_else(|| ConfigError::new("seed", "must be up to 16 hexadecimal digits"))
}

fn read_settings(value: &Value) -> Result<(Settings, ReportFormat), ConfigError> {
    let result = settings::read(&value.to_string());
    let (mut settings, report_format) = result.map_err(|error| ConfigError::new("settings", error))?;
    settings.responses_verified =
        settings.responses_carry_position && settings.lag_policy == LagPolicy::ServeStale;
    settings::validate(&settings)
        .map_err(|error| ConfigError::new(&format!("settings.{}", error.key), error.problem))?;
    Ok((settings, report_format))
}

fn positive_seconds(key: &str, seconds: f64) -> Result<Duration, ConfigError> {
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) if !duration.is_zero() => Ok(duration),
        _ => Err(ConfigError::new(key, "must be a number above zero")),
    }
}

/// Checks the limits of the process. Returns the number of descriptors.
fn check_limits(limits: &FileLimits) -> Result<usize, ConfigError> {
    for (key, value) in [("limits.cores", limits.cores), ("limits.memory_mb", limits.memory_mb)] {
        if value.is_some_and(|value| value.is_nan() || value <= 0.0) {
            return Err(ConfigError::new(key, "must be a number above zero"));
        }
    }
    let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::new("limits.sockets", format!("must be at least {MIN_SOCKETS}")));
    }
    Ok(sockets)
}

/// Parts of the process's memory, in bytes.
#[derive(Clone, Copy)]
struct MemoryBytes {
    /// Memory that messages may take.
    messages: f64,
    /// Memory that is accounted for by purpose.
    accounted: u64,
}

impl MemoryBytes {
    fn from_mebibytes(mebibytes: f64) -> Self {
        Self {
            messages: mebibytes * MESSAGE_MEMORY_FRACTION * f64::from(BYTES_PER_MEBIBYTE),
            accounted: (mebibytes * ACCOUNTED_MEMORY_FRACTION * f64::from(BYTES_PER_MEBIBYTE)) as u64,
        }
    }
}

fn plan_inputs(memory: Option<MemoryBytes>, settings: &Settings, tenants: &[Customer]) -> PlanInputs {
    let classes = settings.classes.iter().map(|class| ClassWeight {
        priority_weight: class.priority_weight,
        is_write: class.freshness == Freshness::Write,
    });
    PlanInputs {
        total: memory.map_or(DEFAULT_ACCOUNTED_BYTES, |memory| memory.accounted),
        classes: classes.collect(),
        tenant_shares: tenants.iter().map(|tenant| tenant.share).collect(),
        ..PlanInputs::default()
    }
}

fn names(
    zones: Vec<String>,
    classes: impl Iterator<Item = String>,
    tenants: Vec<Customer>,
    settings: &Settings,
) -> Names {
    let classes = classes.zip(&settings.classes).map(|(name, class)| ClassName::new(name, class));
    let tenants = tenants.into_iter().map(|tenant| TenantName { name: tenant.name, is_configured: true });
    Names { classes: classes.collect(), tenants: tenants.collect(), zones }
}

/// Reads the cached endpoint list. Returns `None` also if all of its hosts are removed.
fn read_endpoints(raw: Option<RawListing>, zones: &[String]) -> Result<Option<EndpointList>, ConfigError> {
    let Some(raw) = raw else { return Ok(None) };
    let (list, problems) = raw.into_list(zones);
    if let Some(problem) = problems.first() {
        return Err(ConfigError::new("known", problem));
    }
    let has_hosts = list.entries.iter().any(|entry| entry.state != HostState::Removed);
    Ok(has_hosts.then_some(list))
}
