//! The numbers of errors and notices, on both sides of the proxy.
//!
//! Drivers know some numbers as passing troubles and try again by themselves: these are used only where a
//! repeat is harmless. What may have had an effect bears a number of the range that is left to users (from
//! 50,000 on), which no driver repeats.

/// Turned away; the message ends with the time to come back after, where there is one. Passing for drivers.
pub const BUSY: i32 = 40501;
/// Not ready, or draining. Passing for drivers.
pub const UNAVAILABLE: i32 = 40613;
/// No room for one more request. Passing for drivers.
pub const RESOURCES: i32 = 49918;
/// Too many connections. Passing for drivers.
pub const LIMIT: i32 = 10928;
/// What a ledger host says when it did not begin the request.
pub const REJECTED: [i32; 4] = [BUSY, UNAVAILABLE, RESOURCES, LIMIT];
/// A write, and this is no primary.
pub const READ_ONLY: i32 = 3906;
/// A read, and this host is too far behind for it.
pub const BEHIND: i32 = 50072;
/// A ledger host's own failure; the request may have had an effect.
pub const HOST_ERROR: i32 = 50000;
/// No ledger host answered; the request may have had an effect.
pub const FAILED: i32 = 50058;
/// The client has ended its side.
pub const CLIENT_LEFT: i32 = 50014;
/// The statement makes no sense.
pub const SYNTAX: i32 = 102;
/// The statement names something that is not there.
pub const INVALID: i32 = 50022;
/// A part of the protocol that is not served here.
pub const UNSUPPORTED: i32 = 50010;
/// The stream breaks the protocol; the connection ends.
pub const PROTOCOL: i32 = 4002;
/// The login is not accepted; the connection ends.
pub const LOGIN: i32 = 18456;
/// The database has changed: told after each login.
pub const DATABASE: i32 = 5701;
/// A ledger host's notice of its role and position, before the end of its answer:
/// `role=replica applied_ms=1767225600123`.
pub const ROLE_AND_POSITION: i32 = 50100;
