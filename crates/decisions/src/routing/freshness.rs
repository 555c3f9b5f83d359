//! The log position that a read requires, the position that a host has applied, and how positions and roles
//! are learnt from responses and load reports.

use super::context::Context;
use super::host::{Host, HostTable};
use super::request::PendingRequest;
use super::role::PRIMARY_EVIDENCE_MAX_AGE;
use crate::interface::{
    Freshness, HostId, LoadReport, LogPosition, ReadRequirement, Request, Role, Settings, TimeDelta,
    Timestamp,
};
use crate::state::host_clock::MAX_POSITION_LEAD;
use crate::state::session_positions::SessionPositions;

/// Positions are sent in whole milliseconds, so one may be rounded down by this much.
pub(super) const POSITION_ROUNDING: TimeDelta = TimeDelta::from_millis(1);
/// Stands for a request that requires no position.
pub(super) const NO_POSITION: LogPosition = LogPosition(i64::MIN);

/// Returns the position that a request must see, which is fixed on its arrival; [`NO_POSITION`] if it
/// requires none.
pub(super) fn minimum_position(
    settings: &Settings,
    sessions: &SessionPositions,
    request: &Request,
    now: Timestamp,
) -> LogPosition {
    match settings.classes[request.class].freshness {
        Freshness::Fresh => LogPosition(now.0),
        Freshness::Session if settings.write_positions_tracked => {
            sessions.required_position(request.session, request.group, now)
        }
        Freshness::Session => match request.time_since_write {
            Some(age) if age.0 > 0 => LogPosition((now - age + POSITION_ROUNDING).0),
            _ => NO_POSITION,
        },
        Freshness::Write | Freshness::Bounded(_) | Freshness::Any => NO_POSITION,
    }
}

/// Returns how recent the data behind a response to the request must be.
pub(super) fn requirement(context: Context<'_>, request: &PendingRequest) -> ReadRequirement {
    ReadRequirement::for_class(context.class(request).freshness, request.minimum_position)
}

/// Returns the position that a request sent at `context.now` must see.
pub(super) fn required_position(context: Context<'_>, request: &PendingRequest) -> LogPosition {
    requirement(context, request).required_position(context.now)
}

/// Returns the position that the host has probably applied by `now`, assuming that it has kept up since its
/// last report.
pub(super) fn likely_position(host: &Host, now: Timestamp) -> LogPosition {
    let Some(observed_at) = host.position_observed_at else { return host.applied_position };
    LogPosition(host.applied_position.0.saturating_add((now - observed_at).0))
}

/// Returns until when a read may be written to a host that does not check reads itself; `None` if there is no
/// time limit. The limit exists because a replica may fall behind, and a primary may lose its role, before
/// the read is written.
pub(super) fn write_deadline(host: &Host, requirement: ReadRequirement, now: Timestamp) -> Option<Timestamp> {
    let by_position = requirement.write_deadline(host.applied_position);
    if !host.supports_fresh_read(now) {
        return by_position;
    }
    let by_role = match requirement {
        ReadRequirement::Any => return None,
        ReadRequirement::AtLeast(_) => now + PRIMARY_EVIDENCE_MAX_AGE,
        ReadRequirement::MaxStaleness(bound) => now + bound,
    };
    by_position.max(Some(by_role))
}

/// Returns whether the host may serve a read with this requirement only because it is the primary, not
/// because of its applied position.
pub(super) fn relies_on_role(host: &Host, requirement: ReadRequirement, now: Timestamp) -> bool {
    host.supports_fresh_read(now) && host.applied_position < requirement.required_position(now)
}

/// Returns the latest time that a position may show at `now`: the hosts' clocks may be slightly ahead.
pub(super) fn latest_plausible_time(now: Timestamp) -> Timestamp {
    now + MAX_POSITION_LEAD
}

/// The position and role that a response or a load report contains.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub position: Option<LogPosition>,
    pub role: Option<Role>,
    /// The time that the role refers to.
    pub observed_at: Timestamp,
    /// Earliest time at which the response may have been written.
    pub sent_at: Timestamp,
}

/// Records an observation. The applied position never decreases, and a position ahead of the clock is
/// ignored; the newest role counts.
pub(super) fn record_observation(
    hosts: &mut HostTable,
    id: HostId,
    observation: Observation,
    now: Timestamp,
) {
    let Some(host) = hosts.get_mut(id) else { return };
    let plausible = |position: &LogPosition| position.0 <= latest_plausible_time(now).0;
    if let Some(position) = observation.position.filter(plausible) {
        host.position_observed_at = Some(now);
        host.applied_position = host.applied_position.max(position);
    }
    let Some(mut role) = observation.role else { return };
    let observed_at = observation.observed_at;
    // A response was written before it was received, but not before its request was sent, and not before its
    // position.
    let position = observation.position.filter(plausible);
    let written_at = position.map_or(observation.sent_at, |position| Timestamp(position.0));
    let written_at = written_at.max(observation.sent_at);
    let group = host.group;
    // Another host has become the primary since the response was written.
    if role == Role::Primary && hosts.other_primary_confirmed_at(group, id).is_some_and(|at| at > written_at)
    {
        role = Role::Replica;
    }
    let Some(host) = hosts.get_mut(id) else { return };
    let is_accepted = host.role.record_observed(role, observed_at, written_at);
    if !is_accepted && role == Role::Replica {
        // A load report is as old as its position, so it may be from before the host became the primary, or
        // from after it lost that role.
        host.role.record_unreachable(now);
    }
    if is_accepted && role == Role::Primary {
        hosts.demote_other_primaries(group, id, written_at);
    }
}

/// Records a load report, which is as old as the position in it. A position ahead of the clock is ignored.
/// The age of a report without a position is unknown, so its role gives way to that of any response.
pub(super) fn record_load_report(hosts: &mut HostTable, id: HostId, report: LoadReport, now: Timestamp) {
    let latest = latest_plausible_time(now);
    let position = report.position.filter(|position| position.0 <= latest.0);
    let observed_at = position.map_or(Timestamp::default(), |position| Timestamp(position.0));
    let observation = Observation { position, role: report.role, observed_at, sent_at: observed_at };
    record_observation(hosts, id, observation, now);
}
