//! Ledger sets, discovery and clients that this repository writes itself.
//!
//! [`world::World`] is one account of ledger sets without I/O: it is told what comes to a host and when, and says
//! what the host answers and when. [`net`] puts it on sockets, under PostgreSQL's protocol 3 or TDS, so that both
//! meet the same world. [`checker::Checker`] judges the rules by what crossed the sockets. Seed in, same world out.
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

/// A moment or a span, in microseconds; moments are Unix times.
pub type Micros = i64;

/// So many microseconds have a millisecond.
pub const MS: Micros = 1_000;
/// So many microseconds have a second.
pub const SECOND: Micros = 1_000_000;
