//! One health check of a host.

use super::connection::{Connection, ConnectionStatus};
use super::connector::Connector;
use super::dialect::Query;
use super::exchange::Exchange;
use super::host_actor::TaskResult;
use crate::interface::{HostId, Outcome, TimeDelta};
use crate::net::messages::{CoreEvent, HealthCheckResult};
use tokio::time::{timeout_at, Instant};

/// Runs a health check: queries the host's load report, or sends a ping if the settings have no load reports.
pub(super) async fn run(host: HostId, sent_at: Instant, mut connector: Connector) -> TaskResult {
    let mut connection = None;
    let mut exchange = Exchange::default();
    let deadline = sent_at + connector.context.connect_timeout;
    let query = if connector.context.load_reports { Query::LoadReport } else { Query::Ping };
    let work = send_query(&mut connector, deadline, &mut connection, &query, &mut exchange);
    let (outcome, status) = match timeout_at(deadline, work).await {
        Ok(Ok(status)) => (exchange.outcome(), status),
        Ok(Err(outcome)) => (outcome, ConnectionStatus::Unusable),
        Err(_) => (Outcome::Timeout, ConnectionStatus::Unusable),
    };
    let report = exchange.load_report().filter(|_| outcome == Outcome::Ok);
    let latency = TimeDelta::from(sent_at.elapsed());
    TaskResult {
        connection: connection.filter(|_| status == ConnectionStatus::Reusable),
        event: CoreEvent::HealthChecked(HealthCheckResult { host, outcome, latency, report }),
    }
}

/// Connects and sends the query, leaving the connection in `connection`.
async fn send_query(
    connector: &mut Connector,
    deadline: Instant,
    connection: &mut Option<Connection>,
    query: &Query<'_>,
    exchange: &mut Exchange,
) -> Result<ConnectionStatus, Outcome> {
    let connection = connection.insert(connector.connect(deadline).await?);
    Ok(connection.query(query, exchange, || {}).await)
}
