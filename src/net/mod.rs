//! The network side of the proxy: one actor for each client, for each host, for discovery and for the core.
//! Routing and other decisions are made in `wheelpier_decisions`, without I/O.
//!
//! - `proxy`, `serve`: bind the addresses; start the actors, run and stop them
//! - `core`: owns the router and the requests in flight
//! - `frontend`: clients and their protocols
//! - `upstream`: hosts and their protocols
//! - `discovery`, `json_stream`: the endpoint lists
//! - `console`: the operators' HTTP console
//! - `peers`: the other proxies of the fleet
//! - `session_log`: the writes of sessions that all processes of this proxy share
//! - `messages`, `stream`: the messages between actors, and the stream that carries a large answer
//! - `memory`, `rejections`, `clock`: memory accounting, records of rejections and time, shared by the actors
//! - `answer_buffers`: the memory of answers beyond the usual length
//! - `socket`, `local_faults`: TCP connections; retries of system calls that fail for lack of local resources
//!
//! Mailboxes cannot deadlock. The core actor may wait for capacity in a host actor's mailbox, so a host actor
//! never waits for the core's: it keeps its events until the core has capacity. The core actor never waits
//! for a client actor, whose mailbox has capacity for the answers to all requests that the client may have in
//! flight.

mod answer_buffers;
pub mod clock;
pub(crate) mod console;
pub(crate) mod core;
pub(crate) mod discovery;
pub(crate) mod frontend;
mod json_stream;
pub(crate) mod local_faults;
pub(crate) mod memory;
pub mod messages;
pub(crate) mod peers;
mod proxy;
pub(crate) mod rejections;
mod serve;
mod session_log;
pub(crate) mod socket;
pub(crate) mod stream;
pub(crate) mod upstream;

pub use proxy::{Control, Proxy};
