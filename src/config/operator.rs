//! The operator's file, in YAML: settings that are not part of the platform's file. The file is optional.
//!
//! The structures `File` and `Raw...` define the format of the file. Errors name the file, line and key.

use crate::budget::plan::LimitOverride;
use crate::budget::{Purpose, PURPOSES};
use crate::membership::transport::Key;
use crate::membership::Name;
use crate::protocol::Protocol;
use bytesize::ByteSize;
use serde::Deserialize;
use serde_saphyr::{Location, Spanned};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// Settings of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Additional listeners for clients.
    pub listeners: Vec<Listener>,
    /// Protocols of the hosts.
    pub hosts: HostProtocols,
    /// Limits on the division of memory.
    pub memory: MemorySettings,
    /// Settings of the fleet that this proxy belongs to; `None` if it has no peers.
    pub peers: Option<PeerSettings>,
}

/// Settings of the fleet that a proxy belongs to (`docs/operate/fleet.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the fleet, the same at each member.
    pub fleet: String,
    /// Address at which this proxy receives datagrams and streams of its peers.
    pub listen: SocketAddr,
    /// Members that found the fleet together, with their addresses. The same in each member's file.
    pub founders: BTreeMap<Name, SocketAddr>,
    /// Other members whose addresses are known in advance. The addresses of all others are discovered.
    pub members: BTreeMap<Name, SocketAddr>,
    /// Key with which messages are authenticated.
    pub key: Key,
    /// Second key that is accepted during key rotation.
    pub second_key: Option<Key>,
}

/// Limits on memory that the operator sets; defaults apply to the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemorySettings {
    /// Size of all accounted memory, in bytes.
    pub total: Option<u64>,
    /// Caps and reserves by purpose.
    pub purposes: BTreeMap<Purpose, LimitOverride>,
}

/// A listener for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Protocol of the listener.
    pub protocol: Protocol,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Protocols of the hosts, by the type that discovery assigns to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostProtocols {
    default: Protocol,
    types: BTreeMap<String, Protocol>,
}

impl HostProtocols {
    /// Returns the protocol of hosts of this type.
    pub fn protocol(&self, host_type: &str) -> Protocol {
        self.types.get(host_type).copied().unwrap_or(self.default)
    }

    /// Returns every protocol that hosts may speak.
    fn all(&self) -> impl Iterator<Item = Protocol> + '_ {
        std::iter::once(self.default).chain(self.types.values().copied())
    }
}

/// Error of an operator's file with which the proxy cannot start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {key}: {problem}", line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct OperatorError {
    /// Path of the file.
    pub file: String,
    /// Number of the invalid line, from 1; `None` if the problem concerns the whole file.
    pub line: Option<u64>,
    /// The invalid key; `file` if the problem concerns the whole file.
    pub key: String,
    /// Problem of the value, and the allowed values.
    pub problem: String,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    listeners: Vec<RawListener>,
    hosts: RawHosts,
    memory: RawMemory,
    peers: Option<Spanned<RawPeers>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeers {
    fleet: Spanned<String>,
    listen: Spanned<String>,
    founders: Spanned<BTreeMap<String, Spanned<String>>>,
    #[serde(default)]
    members: BTreeMap<String, Spanned<String>>,
    key_files: Spanned<Vec<Spanned<String>>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RawMemory {
    total: Option<Spanned<String>>,
    purposes: BTreeMap<String, Spanned<RawPurpose>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RawPurpose {
    cap: Option<Spanned<String>>,
    reserve: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListener {
    protocol: Spanned<String>,
    address: Spanned<String>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RawHosts {
    default: Option<Spanned<String>>,
    types: BTreeMap<String, Spanned<String>>,
}

/// Protocols that the file may name.
const PROTOCOLS: [Protocol; 2] = [Protocol::Postgres, Protocol::Tds];

/// Parses values of a file. Its errors name the file.
struct ValueReader<'a> {
    file: &'a str,
}

impl ValueReader<'_> {
    fn error(&self, location: Location, key: &str, problem: String) -> OperatorError {
        let line = Some(location.line()).filter(|line| *line > 0);
        OperatorError { file: self.file.to_owned(), line, key: key.to_owned(), problem }
    }

    fn bytes(&self, text: &Spanned<String>, key: &str) -> Result<u64, OperatorError> {
        let size: Result<ByteSize, _> = text.value.parse();
        size.map(|size| size.as_u64()).map_err(|_| {
            let problem =
                format!("invalid size `{}`: expected a number with a unit, such as 64MiB", text.value);
            self.error(text.referenced, key, problem)
        })
    }

    fn address(&self, text: &Spanned<String>, key: &str) -> Result<SocketAddr, OperatorError> {
        text.value.parse().map_err(|_| {
            let problem = format!(
                "invalid address `{}`: expected an IP address with a port, such as 127.0.0.1:1433",
                text.value
            );
            self.error(text.referenced, key, problem)
        })
    }

    fn protocol(&self, name: &Spanned<String>, key: &str) -> Result<Protocol, OperatorError> {
        let found = PROTOCOLS.into_iter().find(|protocol| protocol.to_string() == name.value);
        found.ok_or_else(|| {
            let problem = format!("unknown protocol `{}`: expected postgres or tds", name.value);
            self.error(name.referenced, key, problem)
        })
    }
}

impl OperatorSettings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Returns an error that names the first line and key with an invalid value, or says why the file cannot
    /// be read.
    pub fn from_file(path: &Path) -> Result<Self, OperatorError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::read(&text, &file),
            Err(error) => {
                let problem = error.to_string();
                Err(OperatorError { file, line: None, key: "file".to_owned(), problem })
            }
        }
    }

    /// Parses the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// Returns an error that names the first line and key with an invalid value.
    pub fn read(text: &str, file: &str) -> Result<Self, OperatorError> {
        let reader = ValueReader { file };
        let raw = parse(text, &reader)?;
        let hosts = read_hosts(raw.hosts, &reader)?;
        let listeners = read_listeners(&raw.listeners, &hosts, &reader)?;
        let peers = raw.peers.as_ref().map(|raw| read_peers(raw, &reader)).transpose()?;
        Ok(Self { listeners, hosts, memory: read_memory(&raw.memory, &reader)?, peers })
    }
}

/// Parses the file. A file of only blank lines and comments is allowed and sets nothing.
fn parse(text: &str, reader: &ValueReader<'_>) -> Result<File, OperatorError> {
    if text.lines().all(|line| line.trim_start().starts_with('#') || line.trim().is_empty()) {
        return Ok(File::default());
    }
    serde_saphyr::from_str(text).map_err(|error| {
        let message = error.to_string();
        let problem = message.lines().next().unwrap_or_default().to_owned();
        reader.error(error.location().unwrap_or(Location::UNKNOWN), "file", problem)
    })
}

fn read_listeners(
    raw: &[RawListener],
    hosts: &HostProtocols,
    reader: &ValueReader<'_>,
) -> Result<Vec<Listener>, OperatorError> {
    let host_protocols: Vec<Protocol> = hosts.all().collect();
    let mut listeners = Vec::with_capacity(raw.len());
    let mut addresses = BTreeSet::new();
    for (index, raw) in raw.iter().enumerate() {
        let key = |field: &str| format!("listeners[{index}].{field}");
        let protocol = reader.protocol(&raw.protocol, &key("protocol"))?;
        if !host_protocols.contains(&protocol) {
            let problem = format!(
                "no ledger host speaks {protocol}; set hosts.default or a type in hosts.types to {protocol}"
            );
            return Err(reader.error(raw.protocol.referenced, &key("protocol"), problem));
        }
        let address = reader.address(&raw.address, &key("address"))?;
        if address.port() != 0 && !addresses.insert(address) {
            let problem = format!("duplicate address {address}: each listener needs its own");
            return Err(reader.error(raw.address.referenced, &key("address"), problem));
        }
        listeners.push(Listener { protocol, address });
    }
    Ok(listeners)
}

/// Largest length of the name of a fleet or member, in bytes. Each message carries these names.
const MAX_NAME_BYTES: usize = 64;
/// Largest number of founders of a fleet. All of them must be present when it is founded.
const MAX_FOUNDERS: usize = 32;

fn read_peers(raw: &Spanned<RawPeers>, reader: &ValueReader<'_>) -> Result<PeerSettings, OperatorError> {
    let RawPeers { fleet, listen, founders, members, key_files } = &raw.value;
    if fleet.value.is_empty() || fleet.value.len() > MAX_NAME_BYTES {
        let problem = format!("the fleet's name must have 1 to {MAX_NAME_BYTES} bytes");
        return Err(reader.error(fleet.referenced, "peers.fleet", problem));
    }
    let founder_addresses = member_addresses(&founders.value, "peers.founders", reader)?;
    if founder_addresses.is_empty() || founder_addresses.len() > MAX_FOUNDERS {
        let problem = format!(
            "expected 1 to {MAX_FOUNDERS} founders, each as NAME: ADDRESS; all found the fleet together"
        );
        return Err(reader.error(founders.referenced, "peers.founders", problem));
    }
    let (key, second_key) = read_keys(key_files, reader)?;
    Ok(PeerSettings {
        fleet: fleet.value.clone(),
        listen: reader.address(listen, "peers.listen")?,
        founders: founder_addresses,
        members: member_addresses(members, "peers.members", reader)?,
        key,
        second_key,
    })
}

fn member_addresses(
    raw: &BTreeMap<String, Spanned<String>>,
    key: &str,
    reader: &ValueReader<'_>,
) -> Result<BTreeMap<Name, SocketAddr>, OperatorError> {
    let member = |(name, address): (&String, &Spanned<String>)| {
        let key = format!("{key}.{name}");
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(reader.error(
                address.referenced,
                &key,
                format!("a member's name must have 1 to {MAX_NAME_BYTES} bytes"),
            ));
        }
        Ok((name.as_str().into(), reader.address(address, &key)?))
    };
    raw.iter().map(member).collect()
}

fn read_keys(
    files: &Spanned<Vec<Spanned<String>>>,
    reader: &ValueReader<'_>,
) -> Result<(Key, Option<Key>), OperatorError> {
    let read_key = |file: &Spanned<String>| {
        let text = std::fs::read_to_string(&file.value).map_err(|error| error.to_string());
        let key = text.and_then(|text| Key::from_hex(&text).map_err(|error| error.to_string()));
        key.map_err(|problem| {
            reader.error(file.referenced, "peers.key_files", format!("{}: {problem}", file.value))
        })
    };
    match &files.value[..] {
        [first] => Ok((read_key(first)?, None)),
        [first, second] => Ok((read_key(first)?, Some(read_key(second)?))),
        _ => {
            let problem =
                "expected one file, or two during key rotation: the first authenticates, both are accepted"
                    .to_owned();
            Err(reader.error(files.referenced, "peers.key_files", problem))
        }
    }
}

fn read_memory(raw: &RawMemory, reader: &ValueReader<'_>) -> Result<MemorySettings, OperatorError> {
    let total = raw.total.as_ref().map(|text| reader.bytes(text, "memory.total")).transpose()?;
    let mut purposes = BTreeMap::new();
    for (name, limits) in &raw.purposes {
        let key = |part: &str| format!("memory.purposes.{name}{part}");
        let purpose = PURPOSES.into_iter().find(|purpose| purpose.to_string() == *name).ok_or_else(|| {
            let known: Vec<String> = PURPOSES.iter().map(ToString::to_string).collect();
            let problem = format!("unknown purpose `{name}`: expected one of {}", known.join(", "));
            reader.error(limits.referenced, &key(""), problem)
        })?;
        let bytes = |text: &Option<Spanned<String>>, part| {
            text.as_ref().map(|text| reader.bytes(text, &key(part))).transpose()
        };
        let (cap, reserve) = (bytes(&limits.value.cap, ".cap")?, bytes(&limits.value.reserve, ".reserve")?);
        if cap.zip(reserve).is_some_and(|(cap, reserve)| reserve > cap) {
            let problem = "the reserve must not exceed the cap".to_owned();
            return Err(reader.error(limits.referenced, &key(".reserve"), problem));
        }
        purposes.insert(purpose, LimitOverride { cap, reserve });
    }
    Ok(MemorySettings { total, purposes })
}

fn read_hosts(raw: RawHosts, reader: &ValueReader<'_>) -> Result<HostProtocols, OperatorError> {
    let default = match &raw.default {
        Some(name) => reader.protocol(name, "hosts.default")?,
        None => Protocol::default(),
    };
    let mut types = BTreeMap::new();
    for (host_type, name) in &raw.types {
        let protocol = reader.protocol(name, &format!("hosts.types.{host_type}"))?;
        types.insert(host_type.clone(), protocol);
    }
    Ok(HostProtocols { default, types })
}
