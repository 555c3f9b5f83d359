//! The state that a router keeps of each host, and the members of each group.

use super::role::RoleTracker;
use crate::interface::{HostId, HostState, LogPosition, Timestamp};
use crate::load::{CircuitBreaker, DecayingAverage};
use std::collections::BTreeMap;

/// State of one host.
#[derive(Debug, Default)]
pub(super) struct Host {
    pub group: u32,
    /// Availability zone.
    pub zone: u32,
    /// State of the process according to the endpoint list.
    pub state: HostState,
    /// Whether the endpoint list has shown the host as draining since it was last running.
    pub was_draining: bool,
    /// When the host was first found removed from the list and idle.
    pub removed_at: Option<Timestamp>,
    /// When the process started, if known.
    pub started_at: Option<Timestamp>,
    /// Whether `started_at` comes from the endpoint list.
    pub start_is_listed: bool,
    /// The latest log position that the host is known to have applied.
    pub applied_position: LogPosition,
    /// When the host last reported a position.
    pub position_observed_at: Option<Timestamp>,
    /// The observed role, and the events since that may have ended it.
    pub role: RoleTracker,
    /// When the host last responded to an attempt, or a health check showed its position advance. Other load
    /// reports do not count, as they may be old.
    pub last_response_at: Option<Timestamp>,
    /// Number of attempts of this router in flight at the host.
    pub in_flight: u32,
    /// Maximum number of attempts of this router that may be in flight.
    pub concurrency_limit: f64,
    /// Mean latency relative to the mean of the class; 1 is average.
    pub relative_latency: f64,
    /// Recent latency as a ratio of the latency objective.
    pub latency_ratio: DecayingAverage,
    /// Fraction of errors among the recent responses.
    pub error_rate: DecayingAverage,
    /// Ejects the host after failures.
    pub circuit_breaker: CircuitBreaker,
    /// When the last health check started.
    pub health_checked_at: Option<Timestamp>,
    /// Whether a health check is in flight.
    pub health_check_in_flight: bool,
    /// Whether a health check is to be started at the next dispatch of the group.
    pub health_check_requested: bool,
}

impl Host {
    /// Returns a host without any observations.
    pub fn new(group: u32, concurrency_limit: f64) -> Self {
        Self { group, concurrency_limit, relative_latency: 1.0, ..Self::default() }
    }

    /// Returns whether the host was last observed as the primary.
    pub fn is_primary(&self) -> bool {
        self.role.is_primary()
    }

    /// Returns whether the host may have lost its observed role.
    pub fn is_role_doubted(&self, now: Timestamp) -> bool {
        self.role.is_doubted(now)
    }

    /// Returns whether a fresh read may rely on the host being the primary.
    pub fn supports_fresh_read(&self, now: Timestamp) -> bool {
        self.role.supports_fresh_read(now)
    }

    /// Records that an attempt with this deadline is forwarded to the host.
    pub fn attempt_forwarded(&mut self, now: Timestamp, deadline: Timestamp) {
        self.in_flight += 1;
        self.role.record_forwarded(now, deadline);
    }

    /// Records that an attempt at the host has ended.
    pub fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.role.record_idle();
        }
    }

    /// Returns whether the host may get requests: it is running or, if removals are advisory, was removed
    /// without draining. A draining host gets no requests from the first moment, so that its grace period is
    /// never needed.
    pub fn is_usable(&self, removal_is_advisory: bool) -> bool {
        match self.state {
            HostState::Running => true,
            HostState::Draining => false,
            HostState::Removed => removal_is_advisory && !self.was_draining,
        }
    }

    /// Returns whether the host has responded before and has no attempt of this router in flight.
    pub fn is_idle_and_has_responded(&self) -> bool {
        self.in_flight == 0 && self.last_response_at.is_some()
    }

    /// Returns whether the circuit breaker ejects the host at `now`.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.circuit_breaker.is_open(now)
    }
}

/// All hosts, by id and by group, so that an event need not iterate over the whole fleet.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    hosts: BTreeMap<HostId, Host>,
    /// The hosts of each group, in the order in which they were first listed there.
    groups: BTreeMap<u32, Vec<HostId>>,
}

impl HostTable {
    /// Returns a host, if it is known.
    pub fn get(&self, id: HostId) -> Option<&Host> {
        self.hosts.get(&id)
    }

    /// Returns a mutable reference to a host, if it is known.
    pub fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.hosts.get_mut(&id)
    }

    /// Returns all hosts, by ascending id.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, &Host)> + '_ {
        self.hosts.iter().map(|(id, host)| (*id, host))
    }

    /// Returns mutable references to all hosts, by ascending id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (HostId, &mut Host)> + '_ {
        self.hosts.iter_mut().map(|(id, host)| (*id, host))
    }

    /// Returns the hosts of a group.
    pub fn members(&self, group: u32) -> impl Iterator<Item = (HostId, &Host)> + '_ {
        let ids = self.groups.get(&group).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.hosts.get(id)?)))
    }

    /// Returns each group with the number of its members that are on the endpoint list.
    pub fn listed_members(&self) -> impl Iterator<Item = (u32, usize)> + '_ {
        self.groups.keys().map(|group| {
            let listed = self.members(*group).filter(|(_, host)| host.state != HostState::Removed);
            (*group, listed.count())
        })
    }

    /// Returns whether the group has a member that is not forgotten yet.
    pub fn has_group(&self, group: u32) -> bool {
        self.groups.contains_key(&group)
    }

    /// Returns the host as a member of `group`. A new host is added with `concurrency_limit`.
    pub fn get_or_insert(&mut self, id: HostId, group: u32, concurrency_limit: f64) -> &mut Host {
        let host = self.hosts.entry(id).or_insert_with(|| {
            self.groups.entry(group).or_default().push(id);
            Host::new(group, concurrency_limit)
        });
        if host.group != group {
            let former = std::mem::replace(&mut host.group, group);
            self.groups.entry(former).or_default().retain(|member| *member != id);
            self.groups.entry(group).or_default().push(id);
        }
        host
    }

    /// Keeps the hosts for which `keep` returns true, and the groups that still have members.
    pub fn retain(&mut self, keep: impl Fn(&Host) -> bool) {
        self.hosts.retain(|_, host| keep(host));
        let hosts = &self.hosts;
        self.groups.values_mut().for_each(|ids| ids.retain(|id| hosts.contains_key(id)));
        self.groups.retain(|_, ids| !ids.is_empty());
    }

    /// Returns the latest time at which another member of the group than `id` is confirmed to have been the
    /// primary.
    pub fn other_primary_confirmed_at(&self, group: u32, id: HostId) -> Option<Timestamp> {
        let others = self.members(group).filter(|(member, _)| *member != id);
        others.filter_map(|(_, host)| host.role.primary_confirmed_at()).max()
    }

    /// Records that `primary` was the primary at `written_at`. A group has only one, so members that were
    /// confirmed as the primary before are now replicas.
    pub fn demote_other_primaries(&mut self, group: u32, primary: HostId, written_at: Timestamp) {
        let others = self.groups.get(&group).into_iter().flatten().filter(|id| **id != primary);
        for id in others {
            if let Some(host) = self.hosts.get_mut(id) {
                host.role.record_other_primary(written_at);
            }
        }
    }
}
