//! Read access to the state that the rules decide from: settings, time, hosts and load estimates.

use super::host::{Host, HostTable};
use super::load_estimates::LoadEstimates;
use super::request::PendingRequest;
use crate::interface::{HostId, RequestClass, Role, Settings, Timestamp};
use crate::load::LatencyEstimate;

/// Read access to the state of a router.
#[derive(Clone, Copy)]
pub(super) struct Context<'a> {
    pub settings: &'a Settings,
    pub now: Timestamp,
    pub hosts: &'a HostTable,
    pub load: &'a LoadEstimates,
}

impl<'a> Context<'a> {
    /// Returns the class of a request.
    pub fn class(self, request: &PendingRequest) -> &'a RequestClass {
        &self.settings.classes[request.class]
    }

    /// Returns the latency estimate of a request's class.
    pub fn latency(self, request: &PendingRequest) -> &'a LatencyEstimate {
        &self.load.classes[request.class]
    }

    /// Returns whether only the primary may take the request.
    pub fn needs_primary(self, request: &PendingRequest) -> bool {
        self.class(request).freshness.needs_primary()
    }

    /// Returns the role of the hosts that normally serve the request.
    pub fn serving_role(self, request: &PendingRequest) -> Role {
        serving_role(self.class(request))
    }

    /// Returns the recent latency ratio of a group's primary or of its replicas.
    pub fn latency_ratio(self, group: u32, role: Role) -> f64 {
        self.load.groups.latency_ratio(group, role, self.now)
    }

    /// Returns whether requests may be sent to the host according to the endpoint list.
    pub fn is_usable(self, host: &Host) -> bool {
        host.is_usable(self.settings.removal_is_advisory)
    }

    /// Returns the member of a group that was most recently observed as the primary. If none was, returns the
    /// one that the endpoint list names as the primary.
    pub fn primary(self, group: u32) -> Option<(HostId, &'a Host)> {
        let usable = || self.hosts.members(group).filter(|(_, host)| self.is_usable(host));
        let observed = usable().filter(|(_, host)| host.is_primary());
        let latest = observed.max_by_key(|(id, host)| (host.role.observed_at(), *id));
        latest.or_else(|| usable().find(|(_, host)| host.role.is_primary_by_list_alone()))
    }
}

/// Returns the role of the hosts that normally serve requests of a class.
pub(super) fn serving_role(class: &RequestClass) -> Role {
    if class.freshness.needs_primary() {
        Role::Primary
    } else {
        Role::Replica
    }
}
