//! Emulated database hosts, discovery service and clients, for tests and for the test bench.
//!
//! [`world::World`] simulates replicated groups of hosts without I/O: the caller reports which requests
//! arrive at a host and when, and the world returns the host's replies and their times. [`net`] serves the
//! world on sockets, with PostgreSQL's protocol 3 or TDS, so that both protocols meet the same behaviour.
//! [`checker::Checker`] checks the rules that a proxy has to keep against the traffic that hosts and clients
//! see. The same seed always gives the same world.
#![forbid(unsafe_code)]

pub mod checker;
pub mod host;
pub mod keys;
pub mod link;
pub mod net;
pub mod replication;
pub mod schedule;
pub mod script;
pub mod spec;
pub mod world;

/// A point in time, as microseconds since the Unix epoch, or a time span in microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
