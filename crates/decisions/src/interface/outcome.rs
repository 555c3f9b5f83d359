//! Outcomes of attempts and health checks.

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host served the request; its response goes to the client.
    Ok,
    /// The host responded with an error; the request may have been executed.
    Error,
    /// The host had no capacity; the request was not executed.
    Overloaded,
    /// No response within the attempt's timeout; the request may have been executed, or may still be.
    Timeout,
    /// No connection was established, the request was not written completely by the attempt's deadline, or
    /// the host stopped before it was; the request was not executed.
    ConnectFailed,
    /// The connection broke after the request had been written; it may have been executed.
    Reset,
    /// The router cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The attempt was withdrawn before its request was written completely; the request was not executed.
    NotSent,
    /// The host lags too far behind for the request, or is not the primary; the request was not executed.
    Misdirected,
    /// Served from data older than the request allows: the request was executed, but its response does not
    /// go to the client.
    Stale,
}
