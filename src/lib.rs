//! wheelpier is a proxy that spreads reads over the replicas of a database.
//!
//! [`cli::main`] runs it as its arguments and its environment say; [`net::Proxy`] takes a [`config::Config`]
//! that a program has made by itself.
//!
//! All decisions stand apart from the sockets. A [`Router`] is a state machine without I/O: it is told what
//! happened and when, and answers with the [`Action`]s to carry out. Its ordinary path is the session token
//! of BEE-19044: a read goes to a replica whose applied position has reached the session's last write, else
//! to the primary.
//!
//! ```
//! use wheelpier::{Action, EndpointEntry, EndpointUpdate, Event, HostId, HostState};
//! use wheelpier::{ReadRequirement, Request, RequestId, Router, Settings, Timestamp};
//!
//! let mut router = Router::new(Settings::example(), 7).expect("the settings are sensible");
//! let mut actions = Vec::new();
//! let host = EndpointEntry::new(HostId(0), 0, HostState::Running);
//! router.handle(Timestamp(0), Event::EndpointList(EndpointUpdate::Cached, vec![host]), &mut actions);
//!
//! let request = Request::new(RequestId(1), 0, 0, 1_000_000);
//! router.handle(Timestamp(5_000), Event::RequestArrived(request), &mut actions);
//! let (id, host) = (RequestId(1), HostId(0));
//! let sent = Action::Forward { id, host, timeout: None, requirement: ReadRequirement::Any, write_by: None };
//! assert!(actions.contains(&sent));
//! ```
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod cli;
pub mod config;
pub mod counters;
pub mod endpoint_list;
pub mod net;
pub use wheelpier_pgwire as pgwire;
pub mod peer_metrics;
pub mod protocol;
pub mod rejection_reason;

pub use wheelpier_decisions::*;
