//! Carries out the decisions of the rules: forwards waiting requests, starts health checks and hedged
//! requests, and ends requests that are given up.

use super::health_check::{self, ReadCheck};
use super::queue::{self, Ending};
use super::request::{Attempt, TrackedWrite};
use super::{freshness, hedging, outlier, selection, Router};
use crate::interface::{Action, Freshness, HostId, RequestId};
use std::collections::BTreeSet;

impl Router {
    /// Dispatches the waiting requests of every group.
    pub(super) fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        let groups: BTreeSet<u32> = self.requests.waiting().map(|(_, request)| request.group).collect();
        groups.into_iter().for_each(|group| self.dispatch(group, actions));
    }

    /// Forwards the waiting requests of a group in queue order, and starts the requested health checks.
    pub(super) fn dispatch(&mut self, group: u32, actions: &mut Vec<Action>) {
        let order = queue::dispatch_order(self.context(), &self.requests, group);
        let mut unplaced = vec![0; self.settings.classes.len()];
        for (_, id) in order {
            let Some(class) = self.requests.get(id).map(|request| request.class) else { continue };
            if unplaced[class] >= queue::MAX_UNPLACED_PER_CLASS || self.waits_for_health_check(id, actions) {
                continue;
            }
            match self.select_host(id) {
                Some(host) => self.forward(id, host, actions),
                None => unplaced[class] += 1,
            }
        }
        let members = self.hosts.members(group).filter(|(_, host)| host.health_check_requested);
        let requested: Vec<HostId> = members.map(|(id, _)| id).collect();
        for id in requested {
            self.check_health(id, actions);
        }
    }

    /// Selects a host for a request, and requests the health checks that would help to place it.
    fn select_host(&mut self, id: RequestId) -> Option<HostId> {
        let selection = selection::select_host(self.context(), &self.requests, id)?;
        for id in selection.health_checks {
            if let Some(host) = self.hosts.get_mut(id) {
                host.health_check_requested = true;
            }
        }
        selection.host
    }

    /// Returns whether a read waits for a health check, and starts that if necessary.
    fn waits_for_health_check(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        match health_check::read_check(self.context(), request) {
            ReadCheck::NotNeeded => false,
            ReadCheck::Wait => true,
            ReadCheck::Start(host) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.health_check_started_at = Some(self.now);
                }
                self.check_health(host, actions)
            }
        }
    }

    /// Starts a health check of the host if one is due. Returns whether one is in flight.
    fn check_health(&mut self, id: HostId, actions: &mut Vec<Action>) -> bool {
        let context = self.context();
        let Some(host) = context.hosts.get(id).filter(|host| context.is_usable(host)) else { return false };
        if !context.settings.can_health_check() {
            return false;
        }
        if !health_check::is_due(context, id, host) {
            return host.health_check_in_flight;
        }
        if let Some(host) = self.hosts.get_mut(id) {
            host.health_check_in_flight = true;
            host.health_check_requested = false;
            host.health_checked_at = Some(self.now);
            actions.push(Action::HealthCheck { host: id });
        }
        true
    }

    /// Forwards a request to a host. Opening a connection may take long, so a fresh read must be written
    /// while the evidence for its host holds, unless the host checks reads itself.
    pub(super) fn forward(&mut self, id: RequestId, host_id: HostId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let requirement = freshness::requirement(self.context(), request);
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(host) = self.hosts.get_mut(host_id) else { return };
        let hosts_check_reads = self.settings.replica_lag_wait().is_some();
        let write_by =
            if hosts_check_reads { None } else { freshness::write_deadline(host, requirement, self.now) };
        let number = request.attempts;
        request.attempts += 1;
        request.in_flight_attempts += 1;
        host.attempt_forwarded(self.now, request.deadline);
        // A role query to a host with a doubted role does not rely on that role.
        let relies_on_role = !hosts_check_reads && freshness::relies_on_role(host, requirement, self.now);
        host.circuit_breaker.record_attempt(self.now, outlier::BASE_EJECTION);
        let (class, group, deadline) = (request.class, request.group, request.deadline);
        let is_write = self.settings.classes[class].freshness == Freshness::Write;
        let is_tracked = self.settings.write_positions_tracked && is_write;
        let session = request.session.filter(|_| is_tracked);
        let tracked_write = session.map(|session| TrackedWrite { session, group });
        if let Some(write) = tracked_write.filter(|_| !hosts_check_reads) {
            self.sessions.write_sent(write.session, write.group, self.now);
            self.share_sent_write(write, class, deadline, actions);
        }
        let sent_at = self.now;
        let attempt =
            Attempt { host: host_id, class, sent_at, response_started: false, tracked_write, relies_on_role };
        self.requests.insert_attempt(id, number, attempt);
        actions.push(Action::Forward { id, host: host_id, timeout: None, requirement, write_by });
    }

    /// Withdraws the reads that were forwarded because of a role that their host may have lost since. Those
    /// that still wait for a connection are then not written.
    pub(super) fn withdraw_reads_with_doubted_role(&mut self, actions: &mut Vec<Action>) {
        for (id, number, attempt) in self.requests.relying_on_role() {
            let host = self.hosts.get(attempt.host);
            if host.is_none_or(|host| !host.is_primary() || host.role.is_doubted_by_event(self.now)) {
                attempt.relies_on_role = false;
                actions.push(Action::WithdrawAttempt { id, attempt: number });
            }
        }
    }

    /// Hedges a request with a slow attempt, if there is a host for a second one.
    pub(super) fn hedge_if_slow(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| request.in_flight_attempts == 1) else {
            return;
        };
        let Some((_, attempt)) = self.requests.attempts_of(id).next() else { return };
        let reason = hedging::hedge_reason(self.context(), request, attempt, &self.retry_budget);
        if reason.is_none() {
            return;
        }
        if let Some(host) = self.select_host(id) {
            self.retry_budget.withdraw();
            self.forward(id, host, actions);
        }
    }

    /// Ends a waiting request if there is a reason to give it up.
    pub(super) fn give_up_if_due(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| request.is_waiting()) else { return };
        let context = self.context();
        if queue::give_up_reason(context, request).is_none() {
            return;
        }
        match queue::ending(context.class(request), request) {
            Ending::Reject => self.reject(id, actions),
            Ending::Fail => {
                actions.push(Action::Fail { id });
                self.close_request(id, actions);
            }
        }
    }

    /// Rejects a request, with a retry delay if the settings allow it.
    pub(super) fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let retry_after = queue::retry_after(self.context(), request);
        actions.push(Action::Reject { id, retry_after });
        self.close_request(id, actions);
    }

    /// Removes a request that has ended, and cancels its attempts in flight.
    pub(super) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let was_pending = self.requests.remove(id);
        if was_pending && self.settings.cancellation_allowed {
            for (attempt, _) in self.requests.attempts_of(id) {
                actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }
}
