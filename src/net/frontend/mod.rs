//! The side of the proxy that faces clients: listeners, admission of connections, and an actor for each connection.
//!
//! | file | owns |
//! | --- | --- |
//! | `listeners.rs` | the listening sockets |
//! | `port_group.rs` | the sockets of several processes that listen at one address |
//! | `acceptor.rs` | the accept loop, and the end of the process after a drain |
//! | `acceptor/handover.rs` | listeners that are handed over to another process |
//! | `admission.rs` | client connection slots, eviction of idle clients, connection pressure |
//! | `context.rs` | what all client actors share; the settings and drains as they see them |
//! | `connection_registry.rs` | the open connections, for the log |
//! | `drain_report.rs` | the log of what a drain waits for |
//! | `client/` | one client connection: its actor, whatever protocol it speaks |
//! | `conversation.rs` | what a protocol has to provide; `postgres.rs` and `tds/` implement it |
//! | `request.rs` | from a statement to a request |
//! | `fault.rs`, `close_reason.rs` | the errors that clients get, and why connections are closed |
//! | `cancel.rs` | requests that are cancelled from another connection |

mod acceptor;
mod admission;
mod cancel;
mod client;
mod close_reason;
mod connection_registry;
mod context;
mod conversation;
mod drain_report;
mod fault;
mod listeners;
mod port_group;
mod postgres;
mod request;
mod tds;

pub(crate) use acceptor::Acceptor;
pub(crate) use cancel::Cancellations;
pub(crate) use connection_registry::ConnectionRegistry;
pub(crate) use context::{ClientContext, FrontendSettings};
pub(crate) use drain_report::report_drains;
pub(crate) use listeners::Listeners;
