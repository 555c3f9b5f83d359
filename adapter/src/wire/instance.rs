//! One router, with the names that the simulator gives to its hosts and requests.

use super::error::WireError;
use super::fields::Fields;
use std::collections::HashMap;
use wheelpier_decisions::settings::ReportFormat;
use wheelpier_decisions::{HostId, LoadReport, LogPosition, RequestId, Role, Router};

/// A request's name and state, kept until its last attempt has ended.
struct RequestName {
    text: String,
    /// Whether the request has its final answer, or its client has disconnected.
    is_finished: bool,
    in_flight_attempts: u32,
}

/// A router, and the mapping between its ids and the simulator's names.
pub struct Instance {
    /// The router.
    pub router: Router,
    report_format: ReportFormat,
    host_ids: HashMap<String, HostId>,
    host_names: Vec<String>,
    request_ids: HashMap<String, RequestId>,
    request_names: HashMap<RequestId, RequestName>,
    next_request: u64,
}

impl Instance {
    /// Returns an instance without hosts and requests.
    pub fn new(router: Router, report_format: ReportFormat) -> Self {
        Self {
            router,
            report_format,
            host_ids: HashMap::new(),
            host_names: Vec::new(),
            request_ids: HashMap::new(),
            request_names: HashMap::new(),
            next_request: 0,
        }
    }

    /// Returns the id of a host. A new name gets the next id.
    pub fn host_id(&mut self, name: &str) -> HostId {
        if let Some(id) = self.host_ids.get(name) {
            return *id;
        }
        let id = HostId(self.host_names.len() as u32);
        self.host_ids.insert(name.to_owned(), id);
        self.host_names.push(name.to_owned());
        id
    }

    /// Returns the name of a host.
    pub fn host_name(&self, id: HostId) -> &str {
        self.host_names.get(id.0 as usize).map_or("", String::as_str)
    }

    /// Assigns an id to a request that has arrived; `None` if its name is in use.
    pub fn register_request(&mut self, name: &str) -> Option<RequestId> {
        if self.request_ids.contains_key(name) {
            return None;
        }
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.request_ids.insert(name.to_owned(), id);
        let entry = RequestName { text: name.to_owned(), is_finished: false, in_flight_attempts: 0 };
        self.request_names.insert(id, entry);
        Some(id)
    }

    /// Returns the id of a request; `None` if it is not known, or no longer.
    pub fn request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// Returns the name of a request.
    pub fn request_name(&self, id: RequestId) -> &str {
        self.request_names.get(&id).map_or("", |name| name.text.as_str())
    }

    /// Records that an attempt of a request has been sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.in_flight_attempts += 1;
        }
    }

    /// Records that an attempt of a request has ended.
    pub fn attempt_ended(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.in_flight_attempts = name.in_flight_attempts.saturating_sub(1);
        }
    }

    /// Records that a request has its final answer, or that its client has disconnected.
    pub fn request_finished(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.is_finished = true;
        }
    }

    /// Removes a request that is finished and has no attempt in flight.
    pub fn forget_if_done(&mut self, id: RequestId) {
        let is_done = |name: &RequestName| name.is_finished && name.in_flight_attempts == 0;
        if self.request_names.get(&id).is_some_and(is_done) {
            if let Some(name) = self.request_names.remove(&id) {
                self.request_ids.remove(&name.text);
            }
        }
    }

    /// Reads a host's load report, if there is one.
    ///
    /// # Errors
    /// Returns an error if one of its values is not a number.
    pub fn load_report(&self, text: Option<&str>, fields: &Fields) -> Result<Option<LoadReport>, WireError> {
        let Some(text) = text else { return Ok(None) };
        let mut values = Vec::with_capacity(self.report_format.field_count);
        for value in text.split(',') {
            values.push(report_value(value, fields)?);
        }
        let value = |index: Option<usize>| index.and_then(|index| values.get(index).copied().flatten());
        let position =
            value(self.report_format.position_field).map(|seconds| self.position_from_seconds(seconds));
        let role = value(self.report_format.role_field).map(role_of);
        Ok(Some(LoadReport { position, role }))
    }

    /// Converts a position in whole milliseconds, as in answers.
    pub fn position_from_millis(&self, millis: i64) -> LogPosition {
        LogPosition(self.report_format.position_origin.0 + millis * 1000)
    }

    /// Converts a position in seconds. Rounds down to whole microseconds, since the position is a lower
    /// bound.
    fn position_from_seconds(&self, seconds: f64) -> LogPosition {
        LogPosition(self.report_format.position_origin.0 + (seconds * 1e6).floor() as i64)
    }
}

fn report_value(text: &str, fields: &Fields) -> Result<Option<f64>, WireError> {
    match text {
        "-" | "" => Ok(None),
        _ => {
            let number = text.parse::<f64>();
            number.map(Some).map_err(|_| fields.invalid("serverStats", format!("`{text}` is not a number")))
        }
    }
}

/// Converts a role, which is 1 for the primary and 0 for a replica.
fn role_of(value: f64) -> Role {
    if value >= 0.5 {
        Role::Primary
    } else {
        Role::Replica
    }
}
