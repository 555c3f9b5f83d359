//! The endpoint list: the hosts that discovery reports.

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

/// State of a host's process according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// Takes requests.
    Running,
    /// Finishes its requests in flight and must not be sent new ones.
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
    /// The replication group that the host belongs to.
    pub group: u32,
    /// Index of the host's zone.
    pub zone: u32,
    /// Size relative to other hosts, without a unit; 1 where discovery gives no sizes.
    pub weight: f64,
    /// Whether the list names the host as primary of its group; [`ListRole`](super::ListRole) says how
    /// outdated that may be.
    pub listed_as_primary: bool,
    /// State of the host's process.
    pub state: HostState,
    /// Last start of the host's process; `None` if it is long ago.
    pub started_at: Option<Timestamp>,
}

impl EndpointEntry {
    /// Returns an entry of a host in zone 0 with weight 1, not listed as primary and started long ago.
    pub fn new(host: HostId, group: u32, state: HostState) -> Self {
        Self { host, group, zone: 0, weight: 1.0, listed_as_primary: false, state, started_at: None }
    }
}

/// Meaning of the entries of a watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that changed since the last update.
    Delta,
    /// The complete list; hosts that are not in it are removed.
    Snapshot,
    /// The complete list from the cache, which may be outdated.
    Cached,
    /// No entries: the call to discovery failed, or the watch broke.
    Unavailable,
}
