//! The hosts that discovery has named: their ids, their actors, and when one that is gone is forgotten.

use crate::endpoint_list::ListedEndpoint;
use crate::interface::{EndpointEntry, HostId, HostState, Timestamp};
use crate::net::messages::CoreEvent;
use crate::net::upstream::{HostActor, HostAddress, UpstreamContext};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long a host that is not listed any more keeps its id and its actor: most that return do so earlier.
/// Independent of how long the router remembers it.
const REMOVED_HOST_TTL: Duration = Duration::from_secs(30);

/// A host's actor and what is known of the host.
#[derive(Debug)]
pub(super) struct HostHandle {
    /// Its name in the endpoint list.
    pub name: String,
    pub actor: HostActor,
    /// Attempts and health checks that the actor has not brought back.
    pub outstanding: u32,
    /// Since when the host is not listed; none while it is.
    pub removed_at: Option<Instant>,
    /// Its latest entry in the endpoint list.
    pub entry: EndpointEntry,
}

/// Owns the hosts. A host keeps its id for as long as its name is known, whatever its address; ids are not reused.
#[derive(Debug)]
pub(super) struct HostRegistry {
    hosts: HashMap<HostId, HostHandle>,
    ids: HashMap<String, HostId>,
    next_id: u32,
    /// All groups that were ever listed.
    groups: HashSet<u32>,
    context: UpstreamContext,
    events: mpsc::Sender<CoreEvent>,
}

impl HostRegistry {
    /// Returns an empty registry. Actors of hosts report to `events`.
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

    /// Returns the host of this id.
    pub fn get(&self, host: HostId) -> Option<&HostHandle> {
        self.hosts.get(&host)
    }

    /// Returns the host of this id.
    pub fn get_mut(&mut self, host: HostId) -> Option<&mut HostHandle> {
        self.hosts.get_mut(&host)
    }

    /// Returns the host of this name.
    pub fn by_name(&self, name: &str) -> Option<&HostHandle> {
        self.ids.get(name).and_then(|host| self.hosts.get(host))
    }

    /// Returns the id of a listed host, and starts its actor if the name is new.
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

    /// Returns how many hosts are listed.
    pub fn listed(&self) -> usize {
        self.hosts.values().filter(|handle| handle.removed_at.is_none()).count()
    }

    /// Notes that an attempt or a health check at a host has ended.
    pub fn work_ended(&mut self, host: HostId) {
        if let Some(handle) = self.hosts.get_mut(&host) {
            handle.outstanding = handle.outstanding.saturating_sub(1);
        }
    }

    /// Forgets hosts that have been gone for long and have nothing outstanding. Without this they would add up where hosts
    /// are replaced under new names. A host's actor ends with its handle.
    pub fn remove_expired(&mut self, now: Instant) {
        self.hosts.retain(|_, handle| {
            let is_kept = |removed_at: Instant| now - removed_at < REMOVED_HOST_TTL;
            handle.outstanding > 0 || handle.removed_at.is_none_or(is_kept)
        });
        let Self { ids, hosts, .. } = self;
        ids.retain(|_, host| hosts.contains_key(host));
    }

    /// Moves the hosts' start times by `shift` microseconds, after the hosts' clock was set anew.
    pub fn shift_start_times(&mut self, shift: i64) {
        for handle in self.hosts.values_mut() {
            let started_at = &mut handle.entry.started_at;
            *started_at = started_at.map(|at| Timestamp(at.0.saturating_sub(shift)));
        }
    }

    /// Notes whether a host is listed as removed.
    pub fn update(&mut self, entry: &EndpointEntry, now: Instant) -> Option<&HostHandle> {
        let handle = self.hosts.get_mut(&entry.host)?;
        handle.entry = entry.clone();
        let is_removed = entry.state == HostState::Removed;
        handle.removed_at = is_removed.then(|| handle.removed_at.unwrap_or(now));
        Some(handle)
    }
}
