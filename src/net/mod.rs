//! The proxy on sockets: one actor for each client, for each host, for discovery and for the core. No decisions here.
//!
//! - `proxy`, `serve`: binds the addresses; starts the actors, runs and stops them
//! - `core`: owns the router and the requests in flight
//! - `frontend`: clients and their protocols
//! - `upstream`: hosts and their protocols
//! - `discovery`, `json_stream`: the endpoint lists
//! - `console`: the operators' HTTP console
//! - `peers`: the other proxies of the fleet
//! - `messages`, `stream`: what the actors send to one another
//! - `memory`, `rejections`, `clock`: shared by the actors
//! - `socket`, `local_faults`: system calls
//!
//! Why no mailbox can deadlock: the core actor may wait for a host's mailbox, so a host's actor never waits for the core's:
//! it keeps its events until there is capacity. The core actor never waits for a client: a client's mailbox has capacity
//! for the answers to all requests that the client may have in flight.

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
pub(crate) mod socket;
pub(crate) mod stream;
pub(crate) mod upstream;

pub use proxy::{Control, Proxy};
