//! The endpoint list in the JSON form that discovery and the configuration file write.
//!
//! This is the one place that maps the words of that form to the terms of the code.

use crate::interface::{HostState, Timestamp};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use thiserror::Error;

/// A version of the list, or the changes since an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// Whether it is the complete list.
    pub is_complete: bool,
    /// The hosts.
    pub entries: Vec<ListedEndpoint>,
    /// Names of hosts whose entries are invalid; their previous entries stay in force.
    pub invalid_hosts: Vec<String>,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, the same at every proxy.
    pub name: String,
    /// The address that it listens on for this proxy.
    pub address: SocketAddr,
    /// Index of its zone; the number of configured zones if its zone is not configured.
    pub zone: u32,
    /// The type that discovery gives it.
    pub host_type: String,
    /// The replication group that it belongs to.
    pub group: u32,
    /// The state of its process.
    pub state: HostState,
    /// Its size relative to other hosts, without a unit.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Timestamp>,
}

/// The list as it is written. The name of this type stands in the messages of configuration errors.
#[derive(Clone, Debug, Deserialize)]
pub struct RawListing {
    index: u64,
    #[serde(rename = "snapshot", default)]
    is_complete: bool,
    /// Each is parsed by itself, so that a malformed one does not affect the others.
    #[serde(rename = "endpoints", default)]
    entries: Vec<Box<RawValue>>,
}

/// The part of an entry that is read if the rest cannot be used.
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

/// An entry that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("host `{name}`: {problem}")]
pub struct EntryError {
    /// The host's name; empty if the entry has none.
    pub name: String,
    /// What is wrong with the entry.
    pub problem: EntryProblem,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EntryProblem {
    /// It is no entry: a key is missing or has a value of the wrong type.
    #[error("{0}")]
    Malformed(String),
    /// Its status is unknown.
    #[error("`{0}` is no known status")]
    UnknownStatus(String),
    /// Its address cannot be parsed.
    #[error("`{0}` is no address")]
    InvalidAddress(String),
}

impl RawListing {
    /// Converts the list, with zones replaced by their indices. Entries that cannot be used are left out and returned as
    /// errors.
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
