//! The endpoint list, and its JSON format in discovery and in the configuration file.
//!
//! Only this module maps the names of the JSON format to the terms of the code.

use crate::interface::{HostState, Timestamp};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use thiserror::Error;

/// A version of the endpoint list, or the changes since an earlier version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the complete list and not only changes.
    pub is_complete: bool,
    /// Entries of the hosts.
    pub entries: Vec<ListedEndpoint>,
    /// Names of hosts whose entries are invalid; their previous entries stay in force.
    pub invalid_hosts: Vec<String>,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Name of the host, the same at every proxy.
    pub name: String,
    /// Address at which this proxy reaches the host.
    pub address: SocketAddr,
    /// Index of the host's zone; the number of configured zones if the zone is not configured.
    pub zone: u32,
    /// Type that discovery assigns to the host.
    pub host_type: String,
    /// Replication group of the host.
    pub group: u32,
    /// State of the host's process.
    pub state: HostState,
    /// Capacity relative to other hosts, without a unit.
    pub weight: f64,
    /// Time at which the host last started; `None` if that is long ago.
    pub started_at: Option<Timestamp>,
}

/// The list in its JSON format. Configuration errors print the name of this type.
#[derive(Clone, Debug, Deserialize)]
pub struct RawListing {
    index: u64,
    #[serde(rename = "snapshot", default)]
    is_complete: bool,
    /// Entries are parsed one by one, so that a malformed one does not affect the others.
    #[serde(rename = "endpoints", default)]
    entries: Vec<Box<RawValue>>,
}

/// The part of an entry that is read if the entry is malformed.
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
    host_type: String,
    #[serde(default)]
    group: u32,
    status: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(rename = "since_ms", default)]
    started_at_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Error of an invalid entry.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("host `{name}`: {problem}")]
pub struct EntryError {
    /// Name of the host; empty if the entry has none.
    pub name: String,
    /// Problem of the entry.
    pub problem: EntryProblem,
}

/// Problem of an invalid entry.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryProblem {
    /// A key is missing or has a value of the wrong type.
    #[error("{0}")]
    Malformed(String),
    /// The status is unknown.
    #[error("unknown status `{0}`")]
    UnknownStatus(String),
    /// The address cannot be parsed.
    #[error("invalid address `{0}`")]
    InvalidAddress(String),
}

impl RawListing {
    /// Converts the list; `zones` are the names of the configured zones by index. Invalid entries are left
    /// out and returned as errors.
    pub fn into_list(self, zones: &[String]) -> (EndpointList, Vec<EntryError>) {
        let mut entries = Vec::with_capacity(self.entries.len());
        let mut errors = Vec::new();
        for raw in self.entries {
            match read_entry(&raw, zones) {
                Ok(entry) => entries.push(entry),
                Err(error) => errors.push(error),
            }
        }
        let invalid_hosts = errors.iter().map(|error| error.name.clone()).collect();
        let list = EndpointList { index: self.index, is_complete: self.is_complete, entries, invalid_hosts };
        (list, errors)
    }
}

fn read_entry(raw: &RawValue, zones: &[String]) -> Result<ListedEndpoint, EntryError> {
    let entry: RawEntry = serde_json::from_str(raw.get()).map_err(|error| {
        let problem = EntryProblem::Malformed(error.to_string());
        EntryError { name: name_of(raw), problem }
    })?;
    let name = entry.name.clone();
    entry.into_endpoint(zones).map_err(|problem| EntryError { name, problem })
}

/// Returns the name in a malformed entry; empty if it has none.
fn name_of(raw: &RawValue) -> String {
    let raw: RawName = serde_json::from_str(raw.get()).unwrap_or_default();
    raw.name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
}

impl RawEntry {
    fn into_endpoint(self, zones: &[String]) -> Result<ListedEndpoint, EntryProblem> {
        let state = self.state()?;
        let address = self.address.parse().map_err(|_| EntryProblem::InvalidAddress(self.address.clone()))?;
        let zone = zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len());
        let started_at = Timestamp((self.started_at_ms * 1e3) as i64);
        Ok(ListedEndpoint {
            name: self.name,
            address,
            zone: zone as u32,
            host_type: self.host_type,
            group: self.group,
            state,
            weight: self.weight,
            started_at: Some(started_at).filter(|at| at.0 > 0),
        })
    }

    fn state(&self) -> Result<HostState, EntryProblem> {
        match self.status.as_str() {
            "up" => Ok(HostState::Running),
            "draining" => Ok(HostState::Draining),
            "removed" => Ok(HostState::Removed),
            other => Err(EntryProblem::UnknownStatus(other.to_owned())),
        }
    }
}
