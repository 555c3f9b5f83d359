//! Types of the router's input and output: settings, events and actions.
//!
//! [`Router`](crate::Router) makes the decisions; functions here depend on their arguments alone.

mod action;
mod endpoint;
mod event;
mod freshness;
mod id;
mod outcome;
mod session_write;
mod settings;

pub use crate::time::{TimeDelta, Timestamp};
pub use action::Action;
pub use endpoint::{EndpointEntry, EndpointUpdate, HostState, Role};
pub use event::{AttemptResult, Event, LoadReport, Request};
pub use freshness::{Freshness, LogPosition, ReadRequirement};
pub use id::{fnv1a, HostId, RequestId, SessionId};
pub use outcome::Outcome;
pub use session_write::{SessionWrite, WriteProgress};
pub use settings::{
    Idempotency, KeyScope, LagPolicy, ListRole, LoadReports, RequestClass, Settings, SettingsError,
    SettingsProblem, SMALL_FLEET_MAX_ROUTERS,
};
