//! The operator's own file, in YAML: what the platform does not tell a proxy. Without it the program is what it
//! is without this module.

use crate::budget::plan::LimitOverride;
use crate::budget::{Purpose, PURPOSES};
use crate::membership::post::Key;
use crate::membership::Name;
use crate::protocol::Protocol;
use bytesize::ByteSize;
use serde::Deserialize;
use serde_saphyr::{Location, Spanned};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// What the operator's file sets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// Further ports.
    pub listeners: Vec<Listener>,
    /// What ledger hosts speak.
    pub hosts: HostProtocols,
    /// How memory is divided.
    pub memory: MemorySettings,
    /// The fleet that this proxy is of; none: it speaks with no other proxy.
    pub peers: Option<Peers>,
}

/// The fleet that a proxy is of (`docs/operate/fleet.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// What the fleet is called; whoever calls it otherwise is of another one.
    pub fleet: String,
    /// Where this proxy hears the others, datagrams and streams.
    pub listen: SocketAddr,
    /// Those who found the fleet, all of them together, and where they are; the same in each member's file.
    pub founders: BTreeMap<Name, SocketAddr>,
    /// Others whose place is known beforehand; the rest is found by asking.
    pub members: BTreeMap<Name, SocketAddr>,
    /// What messages are sealed with.
    pub key: Key,
    /// What opens them as well, while keys are changed.
    pub second_key: Option<Key>,
}

/// What the operator sets of memory; the rest is divided as ever.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemorySettings {
    /// All that is accounted for, in bytes.
    pub total: Option<u64>,
    /// Caps and reserves by purpose.
    pub purposes: BTreeMap<Purpose, LimitOverride>,
}

/// A port for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listener {
    /// What is spoken there.
    pub protocol: Protocol,
    /// Where it is.
    pub address: SocketAddr,
}

/// Which protocol the ledger hosts of a discovery type speak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostProtocols {
    default: Protocol,
    types: BTreeMap<String, Protocol>,
}

impl HostProtocols {
    /// What hosts of this type speak.
    pub fn protocol(&self, kind: &str) -> Protocol {
        self.types.get(kind).copied().unwrap_or(self.default)
    }

    /// All that some host may speak.
    fn spoken(&self) -> impl Iterator<Item = Protocol> + '_ {
        std::iter::once(self.default).chain(self.types.values().copied())
    }
}

/// What is wrong with the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {key}: {problem}", line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct OperatorError {
    /// The file.
    pub file: String,
    /// The line, where one is at fault.
    pub line: Option<u64>,
    /// The faulty key.
    pub key: String,
    /// What is wrong with it, and what is allowed.
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

/// The protocols by the names that the file has for them.
const PROTOCOLS: [Protocol; 2] = [Protocol::Postgres, Protocol::Tds];

struct Fault<'a> {
    file: &'a str,
}

impl Fault<'_> {
    fn at(&self, location: Location, key: &str, problem: String) -> OperatorError {
        let line = Some(location.line()).filter(|line| *line > 0);
        OperatorError { file: self.file.to_owned(), line, key: key.to_owned(), problem }
    }

    fn bytes(&self, text: &Spanned<String>, key: &str) -> Result<u64, OperatorError> {
        let size: Result<ByteSize, _> = text.value.parse();
        size.map(|size| size.as_u64()).map_err(|_| {
            let problem = format!("`{}` is no size; allowed are numbers with a unit, like 64MiB", text.value);
            self.at(text.referenced, key, problem)
        })
    }

    fn address(&self, text: &Spanned<String>, key: &str) -> Result<SocketAddr, OperatorError> {
        text.value.parse().map_err(|_| {
            let problem = format!("`{}` is no address with a port, like 127.0.0.1:1433", text.value);
            self.at(text.referenced, key, problem)
        })
    }

    fn protocol(&self, name: &Spanned<String>, key: &str) -> Result<Protocol, OperatorError> {
        let found = PROTOCOLS.into_iter().find(|protocol| protocol.to_string() == name.value);
        found.ok_or_else(|| {
            let problem = format!("`{}` is no protocol; allowed are postgres and tds", name.value);
            self.at(name.referenced, key, problem)
        })
    }
}

impl Operator {
    /// Reads the file.
    ///
    /// # Errors
    /// When it cannot be read or is not sensible; the error names line and key.
    pub fn from_file(path: &Path) -> Result<Self, OperatorError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::read(&text, &file),
            Err(e) => Err(OperatorError { file, line: None, key: "file".to_owned(), problem: e.to_string() }),
        }
    }

    /// Reads the text of a file of that name.
    ///
    /// # Errors
    /// When it is not sensible; the error names line and key.
    pub fn read(text: &str, file: &str) -> Result<Self, OperatorError> {
        let fault = Fault { file };
        let raw: File =
            match text.lines().all(|line| line.trim_start().starts_with('#') || line.trim().is_empty()) {
                true => File::default(),
                false => serde_saphyr::from_str(text).map_err(|e| {
                    let problem = e.to_string();
                    let problem = problem.lines().next().unwrap_or_default().to_owned();
                    fault.at(e.location().unwrap_or(Location::UNKNOWN), "file", problem)
                })?,
            };
        let hosts = hosts(raw.hosts, &fault)?;
        let spoken: Vec<Protocol> = hosts.spoken().collect();
        let mut listeners = Vec::with_capacity(raw.listeners.len());
        let mut taken = BTreeSet::new();
        for (n, raw) in raw.listeners.iter().enumerate() {
            let key = |part: &str| format!("listeners[{n}].{part}");
            let protocol = fault.protocol(&raw.protocol, &key("protocol"))?;
            if !spoken.contains(&protocol) {
                let problem = format!(
                    "no ledger host speaks {protocol}; set hosts.default or a type under hosts.types to it"
                );
                return Err(fault.at(raw.protocol.referenced, &key("protocol"), problem));
            }
            let address = fault.address(&raw.address, &key("address"))?;
            if address.port() != 0 && !taken.insert(address) {
                let problem = format!("{address} stands twice; each listener has an address of its own");
                return Err(fault.at(raw.address.referenced, &key("address"), problem));
            }
            listeners.push(Listener { protocol, address });
        }
        let peers = raw.peers.as_ref().map(|raw| peers(raw, &fault)).transpose()?;
        Ok(Self { listeners, hosts, memory: memory(&raw.memory, &fault)?, peers })
    }
}

/// A name is in each message: longer ones cost the fleet more than they tell.
const LONGEST_NAME: usize = 64;
/// So many found a fleet at the most: all of them have to be there for that.
const MOST_FOUNDERS: usize = 32;

fn peers(raw: &Spanned<RawPeers>, fault: &Fault<'_>) -> Result<Peers, OperatorError> {
    let RawPeers { fleet, listen, founders, members, key_files } = &raw.value;
    if fleet.value.is_empty() || fleet.value.len() > LONGEST_NAME {
        let problem = format!("a fleet's name has 1 to {LONGEST_NAME} bytes");
        return Err(fault.at(fleet.referenced, "peers.fleet", problem));
    }
    let named = named(&founders.value, "peers.founders", fault)?;
    if named.is_empty() || named.len() > MOST_FOUNDERS {
        let problem = format!(
            "1 to {MOST_FOUNDERS} proxies found a fleet, all of them together; give NAME: ADDRESS of each"
        );
        return Err(fault.at(founders.referenced, "peers.founders", problem));
    }
    let (key, second_key) = keys(key_files, fault)?;
    Ok(Peers {
        fleet: fleet.value.clone(),
        listen: fault.address(listen, "peers.listen")?,
        founders: named,
        members: self::named(members, "peers.members", fault)?,
        key,
        second_key,
    })
}

fn named(
    raw: &BTreeMap<String, Spanned<String>>,
    key: &str,
    fault: &Fault<'_>,
) -> Result<BTreeMap<Name, SocketAddr>, OperatorError> {
    let one = |(name, address): (&String, &Spanned<String>)| {
        let key = format!("{key}.{name}");
        if name.is_empty() || name.len() > LONGEST_NAME {
            return Err(fault.at(address.referenced, &key, format!("a name has 1 to {LONGEST_NAME} bytes")));
        }
        Ok((name.as_str().into(), fault.address(address, &key)?))
    };
    raw.iter().map(one).collect()
}

fn keys(
    files: &Spanned<Vec<Spanned<String>>>,
    fault: &Fault<'_>,
) -> Result<(Key, Option<Key>), OperatorError> {
    let read = |file: &Spanned<String>| {
        let text = std::fs::read_to_string(&file.value).map_err(|e| e.to_string());
        let key = text.and_then(|text| Key::read(&text).map_err(|e| e.to_string()));
        key.map_err(|e| fault.at(file.referenced, "peers.key_files", format!("{}: {e}", file.value)))
    };
    match &files.value[..] {
        [first] => Ok((read(first)?, None)),
        [first, second] => Ok((read(first)?, Some(read(second)?))),
        _ => {
            let problem = "one file, or two while keys are changed: the first seals, both open".to_owned();
            Err(fault.at(files.referenced, "peers.key_files", problem))
        }
    }
}

fn memory(raw: &RawMemory, fault: &Fault<'_>) -> Result<MemorySettings, OperatorError> {
    let total = raw.total.as_ref().map(|text| fault.bytes(text, "memory.total")).transpose()?;
    let mut purposes = BTreeMap::new();
    for (name, terms) in &raw.purposes {
        let key = |part: &str| format!("memory.purposes.{name}{part}");
        let purpose = PURPOSES.into_iter().find(|purpose| purpose.to_string() == *name).ok_or_else(|| {
            let known: Vec<String> = PURPOSES.iter().map(ToString::to_string).collect();
            let problem = format!("`{name}` is no purpose; allowed are {}", known.join(", "));
            fault.at(terms.referenced, &key(""), problem)
        })?;
        let bytes = |text: &Option<Spanned<String>>, part| {
            text.as_ref().map(|text| fault.bytes(text, &key(part))).transpose()
        };
        let (cap, reserve) = (bytes(&terms.value.cap, ".cap")?, bytes(&terms.value.reserve, ".reserve")?);
        if cap.zip(reserve).is_some_and(|(cap, reserve)| reserve > cap) {
            let problem = "a reserve is at most as large as the cap".to_owned();
            return Err(fault.at(terms.referenced, &key(".reserve"), problem));
        }
        purposes.insert(purpose, LimitOverride { cap, reserve });
    }
    Ok(MemorySettings { total, purposes })
}

fn hosts(raw: RawHosts, fault: &Fault<'_>) -> Result<HostProtocols, OperatorError> {
    let default = match &raw.default {
        Some(name) => fault.protocol(name, "hosts.default")?,
        None => Protocol::default(),
    };
    let mut types = BTreeMap::new();
    for (kind, name) in &raw.types {
        types.insert(kind.clone(), fault.protocol(name, &format!("hosts.types.{kind}"))?);
    }
    Ok(HostProtocols { default, types })
}
