//! Registry of the hosts that discovery has listed, with their ids and actors. Hosts that are no longer
//! listed expire.

use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointEntry, HostId, HostState, Timestamp};
use crate::net::messages::CoreEvent;
use crate::net::upstream::{HostActor, HostAddress, UpstreamContext};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time for which a host that is no longer listed keeps its id and its actor. Most hosts that return do so
/// earlier. Independent of how long the router remembers a host.
const REMOVED_HOST_TTL: Duration = Duration::from_secs(30);

/// A host's actor, its latest entry and its outstanding work.
#[derive(Debug)]
pub(super) struct HostHandle {
    /// Name of the host in the endpoint list.
    pub name: String,
    pub actor: HostActor,
    /// Number of attempts and health checks whose end the actor has not reported.
    pub outstanding: u32,
    /// Time at which the host was removed from the endpoint list; `None` while it is listed.
    pub removed_at: Option<Instant>,
    /// The host's latest entry in the endpoint list.
    pub entry: EndpointEntry,
}

/// Owns the hosts. A host keeps its id as long as it is registered, even if its address changes; ids are not
/// reused.
#[derive(Debug)]
pub(super) struct HostRegistry {
    hosts: HashMap<HostId, HostHandle>,
    ids: HashMap<String, HostId>,
    next_id: u32,
    /// Every group that was ever listed.
    groups: HashSet<u32>,
    context: UpstreamContext,
    events: mpsc::Sender<CoreEvent>,
}

impl HostRegistry {
    /// Returns an empty registry. The hosts' actors report to `events`.
    pub fn new(context: UpstreamContext, events: mpsc::Sender<CoreEvent>) -> Self {
        Self {
            hosts: HashMap::new(),
            ids: HashMap::new(),
            next_id: 0,
            groups: HashSet::new(),
            context,
            events,
        }
    }

    /// Returns whether no endpoint list has named a group yet.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns whether a group was ever listed.
    pub fn has_group(&self, group: u32) -> bool {
        self.groups.contains(&group)
    }

    /// Returns the host with this id; `None` if it is unknown.
    pub fn get(&self, host: HostId) -> Option<&HostHandle> {
        self.hosts.get(&host)
    }

    /// Returns the host with this id; `None` if it is unknown.
    pub fn get_mut(&mut self, host: HostId) -> Option<&mut HostHandle> {
        self.hosts.get_mut(&host)
    }

    /// Returns the host with this name; `None` if it is unknown.
    pub fn by_name(&self, name: &str) -> Option<&HostHandle> {
        self.ids.get(name).and_then(|host| self.hosts.get(host))
    }

    /// Returns the id of a listed host. Registers the host and starts its actor if the name is new.
    pub fn register(&mut self, listed: &ListedEndpoint, address: HostAddress) -> HostId {
        self.groups.insert(listed.group);
        if let Some(host) = self.ids.get(&listed.name) {
            return *host;
        }
        let host = HostId(self.next_id);
        self.next_id += 1;
        self.ids.insert(listed.name.clone(), host);
        let actor = HostActor::start(host, address, self.context.clone(), self.events.clone());
        let entry = EndpointEntry::new(host, listed.group, listed.state);
        self.hosts.insert(
            host,
            HostHandle { name: listed.name.clone(), actor, outstanding: 0, removed_at: None, entry },
        );
        host
    }

    /// Returns all hosts.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (HostId, &mut HostHandle)> {
        self.hosts.iter_mut().map(|(host, handle)| (*host, handle))
    }

    /// Returns the number of listed hosts.
    pub fn listed(&self) -> usize {
        self.hosts.values().filter(|handle| handle.removed_at.is_none()).count()
    }

    /// Records that an attempt or a health check at a host has ended.
    pub fn work_ended(&mut self, host: HostId) {
        if let Some(handle) = self.hosts.get_mut(&host) {
            handle.outstanding = handle.outstanding.saturating_sub(1);
        }
    }

    /// Removes hosts that have not been listed for [`REMOVED_HOST_TTL`] and have nothing outstanding. Without
    /// this the registry would grow where hosts are replaced under new names. A host's actor ends with its
    /// handle.
    pub fn remove_expired(&mut self, now: Instant) {
        self.hosts.retain(|_, handle| {
            let is_kept = |removed_at: Instant| now - removed_at < REMOVED_HOST_TTL;
            handle.outstanding > 0 || handle.removed_at.is_none_or(is_kept)
        });
        let Self { ids, hosts, .. } = self;
        ids.retain(|_, host| hosts.contains_key(host));
    }

    /// Moves the hosts' start times back by `shift` microseconds, after the offset of the hosts' clock has
    /// changed.
    pub fn shift_start_times(&mut self, shift: i64) {
        for handle in self.hosts.values_mut() {
            let started_at = &mut handle.entry.started_at;
            *started_at = started_at.map(|at| Timestamp(at.0.saturating_sub(shift)));
        }
    }

    /// Stores a host's new entry and, if the host is removed, the time of its removal. Returns its handle;
    /// `None` if the host is unknown.
    pub fn update(&mut self, entry: &EndpointEntry, now: Instant) -> Option<&HostHandle> {
        let handle = self.hosts.get_mut(&entry.host)?;
        handle.entry = entry.clone();
        let is_removed = entry.state == HostState::Removed;
        handle.removed_at = is_removed.then(|| handle.removed_at.unwrap_or(now));
        Some(handle)
    }
}
