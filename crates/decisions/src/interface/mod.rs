//! The router's input and output: its settings, the events it is given and the actions it answers with.
//!
//! Types, and what follows from the settings alone; the decisions themselves are made elsewhere.

mod action;
mod endpoint;
mod event;
mod freshness;
mod id;
mod outcome;
mod settings;

pub use crate::time::{TimeDelta, Timestamp};
pub use action::Action;
pub use endpoint::{EndpointEntry, EndpointUpdate, HostState, Role};
pub use event::{AttemptResult, Event, LoadReport, Request};
pub use freshness::{Freshness, LogPosition, ReadRequirement};
pub use id::{HostId, RequestId, SessionId};
pub use outcome::Outcome;
pub use settings::{
    Idempotency, KeyScope, LagPolicy, ListRole, LoadReports, RequestClass, Settings, SettingsError,
    SettingsProblem, SMALL_FLEET_MAX_ROUTERS,
};
