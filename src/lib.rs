//! wheelpier is a proxy that spreads reads over the replicas of a database and lets each session see its own
//! writes.
//!
//! [`cli::main`] runs the proxy according to the command line and the environment. To embed it, build a
//! [`config::Config`] and pass it to [`net::Proxy`].
//!
//! Decisions are separated from I/O. A [`Router`] is a state machine without I/O: it takes [`Event`]s with
//! their times and returns the [`Action`]s to carry out. In the common case it implements the session token
//! of BEE-19044: a read goes to a replica whose applied position has reached the session's last write, or
//! else to the primary.
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
