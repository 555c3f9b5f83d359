//! The endpoint list: what discovery says about hosts.

use super::id::HostId;
use crate::time::Timestamp;

/// The role of a host within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes; its data is always current.
    Primary,
    /// Applies the primary's log and may lag behind it.
    Replica,
}

/// What the endpoint list says about a host's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// Takes requests.
    Running,
    /// Finishes the requests it has and must be sent no new one.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The host.
    pub host: HostId,
    /// The replication group that it belongs to.
    pub group: u32,
    /// Index of its zone.
    pub zone: u32,
    /// Its size relative to other hosts, without a unit; 1 where discovery gives no sizes.
    pub weight: f64,
    /// Whether the list calls it its group's primary; see [`ListRole`](super::ListRole) on how late that may be.
    pub listed_as_primary: bool,
    /// The state of its process.
    pub state: HostState,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Timestamp>,
}

impl EndpointEntry {
    /// Returns an entry of a host in zone 0 with weight 1, not listed as primary and started long ago.
    pub fn new(host: HostId, group: u32, state: HostState) -> Self {
        Self { host, group, zone: 0, weight: 1.0, listed_as_primary: false, state, started_at: None }
    }
}

/// What the entries of a watch event stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that changed since the last update.
    Delta,
    /// The complete list; a host that it lacks is removed.
    Snapshot,
    /// The complete list as it was last cached; it may be outdated.
    Cached,
    /// No entries: the call to discovery failed, or the watch broke.
    Unavailable,
}
