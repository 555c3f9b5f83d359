//! Outcomes of attempts and health checks.

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered; the answer goes to the client.
    Ok,
    /// The host answered with an error; the request may have been executed.
    Error,
    /// The host had no capacity; the request was not executed.
    Overloaded,
    /// No answer within the attempt's timeout; the request may have been executed, or may still be.
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
    /// Answered from data older than the request allows: it was executed, but the client does not get the
    /// answer.
    Stale,
}
