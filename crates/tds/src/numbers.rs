//! Numbers of errors and information messages that the proxy sends to clients or receives from ledger hosts.
//!
//! Drivers treat some numbers as transient errors and retry by themselves: these are used only where a retry
//! is harmless. Errors of requests that may have had an effect use numbers from 50,000 on, the range reserved
//! for users, which no driver retries.

/// The request is rejected; the message ends with the time after which the client may retry, if there is one.
/// Transient for drivers.
pub const BUSY: i32 = 40501;
/// The server is not ready or is draining. Transient for drivers.
pub const UNAVAILABLE: i32 = 40613;
/// The server has no capacity for another request. Transient for drivers.
pub const RESOURCES: i32 = 49918;
/// The server has too many connections. Transient for drivers.
pub const LIMIT: i32 = 10928;
/// The errors with which a ledger host rejects a request without having started it.
pub const REJECTED: [i32; 4] = [BUSY, UNAVAILABLE, RESOURCES, LIMIT];
/// The request is a write and the host is not the primary.
pub const READ_ONLY: i32 = 3906;
/// The request is a read whose read requirement is ahead of the host's log position.
pub const BEHIND: i32 = 50072;
/// The ledger host failed internally; the request may have had an effect.
pub const HOST_ERROR: i32 = 50000;
/// No ledger host answered in time; the request may have had an effect.
pub const FAILED: i32 = 50058;
/// The client has closed its side of the connection or cancelled the request.
pub const CLIENT_LEFT: i32 = 50014;
/// The statement cannot be parsed.
pub const SYNTAX: i32 = 102;
/// The statement is well-formed but invalid: it names an unknown group or request class, for example.
pub const INVALID: i32 = 50022;
/// The client uses a part of the protocol that is not supported.
pub const UNSUPPORTED: i32 = 50010;
/// The client violates the protocol; the connection ends.
pub const PROTOCOL: i32 = 4002;
/// The login is rejected; the connection ends.
pub const LOGIN: i32 = 18456;
/// The database of the session has changed: sent after each login.
pub const DATABASE: i32 = 5701;
/// The information message in which a ledger host reports its role and log position, before the end of its
/// answer: `role=replica applied_ms=1767225600123`.
pub const ROLE_AND_POSITION: i32 = 50100;
