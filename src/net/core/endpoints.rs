//! Applies the endpoint lists that discovery sends.

use super::Core;
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::interface::{EndpointEntry, EndpointUpdate, Event, HostId, HostState};
use crate::net::upstream::{Command, HostAddress};
use std::collections::HashSet;
use tokio::time::Instant;

impl Core {
    /// Applies an endpoint list: updates the hosts and their actors, and notifies the router.
    pub(super) async fn update_endpoints(&mut self, list: EndpointList, kind: EndpointUpdate) {
        self.counters.endpoint_list_applied();
        let now = Instant::now();
        let mut entries = Vec::with_capacity(list.entries.len());
        let mut listed_hosts = HashSet::new();
        for listed in list.entries {
            let entry = self.update_endpoint(listed, now).await;
            listed_hosts.insert(entry.host);
            entries.push(entry);
        }
        if kind != EndpointUpdate::Delta {
            self.keep_invalid_entries(&list.invalid_hosts, &mut listed_hosts, &mut entries);
            self.remove_unlisted(&listed_hosts, now).await;
        }
        self.hosts.remove_expired(now);
        self.counters.set_listed_hosts(self.hosts.listed());
        let can_serve = entries.iter().any(|entry| entry.state == HostState::Running);
        self.notify_router(Event::EndpointList(kind, entries)).await;
        if can_serve {
            self.ready.send_replace(true);
        }
    }

    /// Registers or updates a host. Returns its entry for the router.
    async fn update_endpoint(&mut self, listed: ListedEndpoint, now: Instant) -> EndpointEntry {
        let protocol = self.config.operator.hosts.protocol(&listed.host_type);
        let address = HostAddress { address: listed.address, protocol };
        let host = self.hosts.register(&listed, address);
        let ListedEndpoint { group, zone, weight, state, started_at, .. } = listed;
        let entry = EndpointEntry {
            host,
            group,
            zone,
            weight,
            // Discovery's lists do not name the primary: it is learnt from answers and health checks.
            listed_as_primary: false,
            state,
            started_at: started_at.map(|at| self.host_clock.to_local(at)),
        };
        if let Some(handle) = self.hosts.update(&entry, now) {
            // Sent before the router gets the list, so that no attempt decided on with it arrives earlier.
            handle.actor.send(Command::Listed { address, state }).await;
        }
        entry
    }

    /// Adds the previous entries of hosts whose entries in a complete list are invalid.
    fn keep_invalid_entries(
        &self,
        names: &[String],
        listed_hosts: &mut HashSet<HostId>,
        entries: &mut Vec<EndpointEntry>,
    ) {
        for handle in names.iter().filter_map(|name| self.hosts.by_name(name)) {
            if listed_hosts.insert(handle.entry.host) {
                entries.push(handle.entry.clone());
            }
        }
    }

    /// Marks the hosts that a complete list does not name as removed.
    async fn remove_unlisted(&mut self, listed_hosts: &HashSet<HostId>, now: Instant) {
        for (host, handle) in self.hosts.iter_mut() {
            if !listed_hosts.contains(&host) {
                handle.removed_at.get_or_insert(now);
                handle.actor.send(Command::Unlisted).await;
            }
        }
    }
}
