//! The client side of the proxy: listeners, admission of connections, and an actor for each connection.
//!
//! | file | content |
//! | --- | --- |
//! | `listeners.rs` | the listening sockets |
//! | `port_group.rs` | the sockets of several processes that listen at one address |
//! | `acceptor.rs` | the accept loop, and the end of the process after a drain |
//! | `acceptor/handover.rs` | listeners that are handed over to another process |
//! | `admission.rs` | client connection slots, eviction of idle clients, connection pressure |
//! | `context.rs` | the state that all client actors share |
//! | `connection_registry.rs` | the open connections, for the log |
//! | `drain_report.rs` | log lines about connections that a drain waits for |
//! | `client/` | the actor of a client connection, whatever protocol the client speaks |
//! | `conversation.rs` | the interface of a client protocol; `postgres.rs` and `tds/` implement it |
//! | `request.rs` | parsing of statements into requests |
//! | `fault.rs`, `close_reason.rs` | the errors that clients are sent; the reasons for closed connections |
//! | `cancel.rs` | cancellation of requests from another connection |

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
pub(in crate::net) mod port_group;
mod postgres;
mod request;
mod tds;

pub(crate) use acceptor::Acceptor;
pub(crate) use cancel::Cancellations;
pub(crate) use connection_registry::ConnectionRegistry;
pub(crate) use context::{ClientContext, FrontendSettings};
pub(crate) use drain_report::report_drains;
pub(crate) use listeners::Listeners;
