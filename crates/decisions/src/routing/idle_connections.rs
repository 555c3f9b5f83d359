//! When idle connections are closed: a host that serves but takes no connection is full of idle ones, ours
//! among them.

use super::context::Context;
use crate::interface::{Action, AttemptResult, Outcome, TimeDelta, Timestamp};

/// For this time after a host took no connection, each connection is closed after its response.
const CONNECTION_PRESSURE_WINDOW: TimeDelta = TimeDelta::from_secs(3);

/// Connection pressure at the hosts.
#[derive(Debug, Default)]
pub(super) struct ConnectionPressure {
    since: Option<Timestamp>,
}

impl ConnectionPressure {
    /// Closes idle connections where an attempt's end shows that hosts run out of them: all when pressure
    /// begins, then each after its response. Where handshakes have a price none are closed, since the host
    /// may also have died.
    pub fn release_idle_connections(
        &mut self,
        context: Context<'_>,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let is_under_pressure = self.since.is_some_and(|at| context.now - at < CONNECTION_PRESSURE_WINDOW);
        if refuses_connections(context, result) {
            self.since = Some(context.now);
            if !is_under_pressure {
                let idle = context.hosts.iter().filter(|(_, host)| host.is_idle_but_known());
                actions.extend(idle.map(|(host, _)| Action::CloseIdleConnections { host }));
            }
        } else if is_under_pressure && context.hosts.get(result.host).is_some_and(|host| host.in_flight == 0)
        {
            actions.push(Action::CloseIdleConnections { host: result.host });
        }
    }
}

/// Returns whether a host that has responded before takes no connection, time and again.
fn refuses_connections(context: Context<'_>, result: &AttemptResult) -> bool {
    let host = context.hosts.get(result.host);
    result.outcome == Outcome::ConnectFailed
        && host.is_some_and(|host| {
            host.last_response_at.is_some() && host.circuit_breaker.is_failing_repeatedly()
        })
        && context.settings.price_handshake <= 0.0
}
