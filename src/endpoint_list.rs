//! The list of ledger hosts: what a version of it holds, and the form in which discovery and the configuration
//! write it.

use crate::interface::{HostState, Timestamp};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A version of the list, or what has changed since one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// Whether it is the whole list.
    pub whole: bool,
    /// The hosts.
    pub entries: Vec<ListedEndpoint>,
    /// Hosts that it names, of which nothing else can be read: no news of them.
    pub unread: Vec<String>,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Where it listens for this proxy.
    pub address: SocketAddr,
    /// Its zone, by number.
    pub zone: u32,
    /// Its kind of machine, as discovery calls it.
    pub kind: String,
    /// The group whose data it holds.
    pub group: u32,
    /// Its state.
    pub state: HostState,
    /// Its weight.
    pub weight: f64,
    /// When it last started, if that was lately.
    pub since: Option<Timestamp>,
}

/// The list as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct RawEndpointList {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    /// Each is read by itself: what is wrong with one must not cost the others.
    #[serde(default)]
    endpoints: Vec<Box<RawValue>>,
}

/// As much as is read of an entry that cannot be used.
#[derive(Default, Deserialize)]
#[serde(default)]
struct RawName {
    name: Option<serde_json::Value>,
}

#[derive(Clone, Debug, Deserialize)]
struct RawEntry {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// An entry that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host `{name}`: {problem}")]
pub struct EntryError {
    /// The host's name.
    pub name: String,
    /// What is wrong with it.
    pub problem: String,
}

impl RawEndpointList {
    /// Turns names into numbers. An entry that cannot be read, or without a sensible address or state, is left out, and
    /// told.
    pub fn check(self, zones: &[String]) -> (EndpointList, Vec<EntryError>) {
        let (mut entries, mut problems) = (Vec::new(), Vec::new());
        for raw in self.endpoints {
            let entry: Result<RawEntry, _> = serde_json::from_str(raw.get());
            let entry =
                entry.map_err(|problem| EntryError { name: name(&raw), problem: problem.to_string() });
            match entry.and_then(|entry| entry.check(zones)) {
                Ok(entry) => entries.push(entry),
                Err(problem) => problems.push(problem),
            }
        }
        let unread = problems.iter().map(|problem| problem.name.clone()).collect();
        (EndpointList { index: self.index, whole: self.snapshot, entries, unread }, problems)
    }
}

/// The name in an entry that cannot be read; empty where there is none either.
fn name(raw: &RawValue) -> String {
    let read: RawName = serde_json::from_str(raw.get()).unwrap_or_default();
    read.name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
}

impl RawEntry {
    fn check(self, zones: &[String]) -> Result<ListedEndpoint, EntryError> {
        let state = match self.status.as_str() {
            "up" => Ok(HostState::Running),
            "draining" => Ok(HostState::Draining),
            "removed" => Ok(HostState::Removed),
            other => Err(format!("`{other}` is no known status")),
        };
        let address = self.address.parse().map_err(|_| format!("`{}` is no address", self.address));
        match (state, address) {
            (Ok(state), Ok(address)) => Ok(ListedEndpoint {
                // A zone that the settings do not name is none of ours.
                zone: zones.iter().position(|z| *z == self.zone).unwrap_or(zones.len()) as u32,
                since: Some(Timestamp((self.since_ms * 1e3) as i64)).filter(|at| at.0 > 0),
                name: self.name,
                address,
                kind: self.kind,
                group: self.group,
                state,
                weight: self.weight,
            }),
            (Err(problem), _) | (_, Err(problem)) => Err(EntryError { name: self.name, problem }),
        }
    }
}
