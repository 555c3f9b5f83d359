//! Application of the endpoint list: hosts with their groups, listed roles and start times, and the removal
//! of hosts that are no longer listed.

use super::host::{Host, HostTable};
use crate::interface::{EndpointEntry, EndpointUpdate, HostId, HostState, TimeDelta, Timestamp};
use crate::load::CircuitBreaker;
use std::collections::BTreeSet;

/// Time after which a removed and idle host is forgotten. Without this the table would grow where all hosts
/// are replaced every day. Independent of how long the caller keeps its own record of the host.
const FORGET_REMOVED_AFTER: TimeDelta = TimeDelta::from_secs(30);

/// Parameters of an update of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListUpdate {
    pub kind: EndpointUpdate,
    pub now: Timestamp,
    /// Whether this is the first list received.
    pub is_first: bool,
    /// Concurrency limit of a new host.
    pub initial_concurrency_limit: f64,
}

/// Applies an update of the endpoint list. A full list removes the hosts that it does not contain.
pub(super) fn apply(hosts: &mut HostTable, update: ListUpdate, entries: &[EndpointEntry]) {
    if matches!(update.kind, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
        let listed: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        let missing = hosts.iter_mut().filter(|(id, _)| !listed.contains(id));
        missing.for_each(|(_, host)| host.state = HostState::Removed);
    }
    entries.iter().for_each(|entry| apply_entry(hosts, update, entry));
}

fn apply_entry(hosts: &mut HostTable, update: ListUpdate, entry: &EndpointEntry) {
    let is_new = hosts.get(entry.host).is_none();
    let host = hosts.get_or_insert(entry.host, entry.group, update.initial_concurrency_limit);
    host.zone = entry.zone;
    let returns = entry.state == HostState::Running && host.state != HostState::Running;
    if returns && !is_new {
        host.role.record_restart(update.now);
    }
    host.state = entry.state;
    host.was_draining = match entry.state {
        HostState::Draining => true,
        HostState::Running => false,
        HostState::Removed => host.was_draining,
    };
    let listed_start = entry.started_at.filter(|started_at| started_at.0 > 0);
    host.start_is_listed = listed_start.is_some();
    // A host that first appears after the first list has just started, even if its entry contains no start
    // time.
    let just_started = is_new && !update.is_first;
    let started_at = if just_started { listed_start.or(Some(update.now)) } else { listed_start };
    if started_at != host.started_at {
        host.started_at = started_at;
        if !is_new && listed_start.is_some() {
            host.role.record_restart(update.now);
        }
        host.circuit_breaker = CircuitBreaker::default();
    }
    // The list is the weakest evidence of a role: a change only requests a health check.
    host.health_check_requested |= host.role.record_listed(entry.listed_as_primary) && !is_new;
}

/// Forgets hosts that have been removed and idle for [`FORGET_REMOVED_AFTER`], unless removals are advisory.
pub(super) fn forget_removed(hosts: &mut HostTable, now: Timestamp, removal_is_advisory: bool) {
    for (_, host) in hosts.iter_mut() {
        if host.state == HostState::Running {
            host.removed_at = None;
        } else if is_removed_and_idle(host) {
            host.removed_at.get_or_insert(now);
        }
    }
    if !removal_is_advisory {
        let is_recent = |host: &Host| host.removed_at.is_none_or(|at| now - at < FORGET_REMOVED_AFTER);
        hosts.retain(|host| !is_removed_and_idle(host) || is_recent(host));
    }
}

fn is_removed_and_idle(host: &Host) -> bool {
    host.state == HostState::Removed && host.in_flight == 0 && !host.health_check_in_flight
}
