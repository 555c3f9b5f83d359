//! Closing of idle connections. A host that serves requests but accepts no new connection presumably has too
//! many idle ones, some of them from this router.

use super::context::Context;
use crate::interface::{Action, AttemptResult, Outcome, TimeDelta, Timestamp};

/// Time after a refused connection during which each connection is closed after its response.
const CONNECTION_PRESSURE_WINDOW: TimeDelta = TimeDelta::from_secs(3);

/// State of the rule: recent evidence that hosts have run out of connections.
#[derive(Debug, Default)]
pub(super) struct ConnectionPressure {
    last_refused_at: Option<Timestamp>,
}

impl ConnectionPressure {
    /// Closes idle connections if the end of an attempt shows that hosts run out of connections: all idle
    /// ones when the connection pressure starts, then each one after its response. If handshakes have a price
    /// none are closed, since the host may also have died.
    pub fn release_idle_connections(
        &mut self,
        context: Context<'_>,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let is_under_pressure =
            self.last_refused_at.is_some_and(|at| context.now - at < CONNECTION_PRESSURE_WINDOW);
        if refuses_connections(context, result) {
            self.last_refused_at = Some(context.now);
            if !is_under_pressure {
                let idle = context.hosts.iter().filter(|(_, host)| host.is_idle_and_has_responded());
                actions.extend(idle.map(|(host, _)| Action::CloseIdleConnections { host }));
            }
        } else if is_under_pressure && context.hosts.get(result.host).is_some_and(|host| host.in_flight == 0)
        {
            actions.push(Action::CloseIdleConnections { host: result.host });
        }
    }
}

/// Returns whether a host that has responded before refuses connections repeatedly.
fn refuses_connections(context: Context<'_>, result: &AttemptResult) -> bool {
    let host = context.hosts.get(result.host);
    result.outcome == Outcome::ConnectFailed
        && host.is_some_and(|host| {
            host.last_response_at.is_some() && host.circuit_breaker.is_failing_repeatedly()
        })
        && context.settings.price_handshake <= 0.0
}
