//! One health check.

use super::connection::{Connection, ConnectionStatus};
use super::connector::Connector;
use super::dialect::Query;
use super::exchange::Exchange;
use super::host_actor::Finished;
use crate::interface::{HostId, Outcome, TimeDelta};
use crate::net::messages::{CoreEvent, HealthCheckResult};
use tokio::time::{timeout_at, Instant};

/// Asks the host for its load report, or for any answer where the settings have no load reports.
pub(super) async fn run(host: HostId, sent_at: Instant, mut connector: Connector) -> Finished {
    let mut connection = None;
    let mut exchange = Exchange::default();
    let deadline = sent_at + connector.context.connect_timeout;
    let query = if connector.context.load_reports { Query::LoadReport } else { Query::Ping };
    let work = ask(&mut connector, deadline, &mut connection, &query, &mut exchange);
    let (outcome, status) = match timeout_at(deadline, work).await {
        Ok(Ok(status)) => (exchange.outcome(), status),
        Ok(Err(outcome)) => (outcome, ConnectionStatus::Unusable),
        Err(_) => (Outcome::Timeout, ConnectionStatus::Unusable),
    };
    let report = exchange.load_report().filter(|_| outcome == Outcome::Ok);
    let latency = TimeDelta::from(sent_at.elapsed());
    Finished {
        connection: connection.filter(|_| status == ConnectionStatus::Reusable),
        event: CoreEvent::HealthChecked(HealthCheckResult { host, outcome, latency, report }),
    }
}

async fn ask(
    connector: &mut Connector,
    deadline: Instant,
    connection: &mut Option<Connection>,
    query: &Query<'_>,
    exchange: &mut Exchange,
) -> Result<ConnectionStatus, Outcome> {
    let connection = connection.insert(connector.connect(deadline).await?);
    Ok(connection.query(query, exchange, || {}).await)
}
