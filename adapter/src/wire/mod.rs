//! The simulator's line protocol: reads batches of lines and writes one reply per batch.
//!
//! Only this module maps the protocol's names to the terms of the router: `events` reads messages, `actions`
//! writes them, `instance` maps names to ids.

mod actions;
mod error;
mod events;
mod fields;
mod instance;

pub use error::WireError;

use fields::Fields;
use instance::Instance;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use wheelpier_decisions::settings::{self, micros_from_seconds};
use wheelpier_decisions::{Action, EndpointEntry, Event, HostId, HostState, RequestId, Router, Timestamp};

/// Number of endpoint lists that can be stored. They are numbered from 0.
const MAX_LISTS: u64 = 16;

/// An entry of an endpoint list, with the host's name instead of an id.
#[derive(Clone)]
pub struct ListEntry {
    host: String,
    entry: EndpointEntry,
}

/// An endpoint list that still lacks entries.
#[derive(Clone, Copy)]
struct PendingList {
    number: u64,
    missing: u64,
}

/// Effect of a line on the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch is not complete, or none has begun.
    Incomplete,
    /// The line ended a batch, whose reply must be sent.
    BatchComplete,
}

/// State of the line protocol, with all routers of this process.
#[derive(Default)]
pub struct LineProtocol {
    now: Timestamp,
    /// Sequence number of the open batch, as it was received.
    batch: Option<String>,
    instances: HashMap<String, Instance>,
    lists: BTreeMap<u64, Vec<ListEntry>>,
    pending_list: Option<PendingList>,
    actions: Vec<Action>,
    reply: String,
}

impl LineProtocol {
    /// Returns the reply to the batch that has just ended.
    pub fn reply(&self) -> &str {
        &self.reply
    }

    /// Clears the reply. Must be called once it has been sent.
    pub fn clear_reply(&mut self) {
        self.reply.clear();
    }

    /// Checks that the input may end here.
    ///
    /// # Errors
    /// Returns an error if a batch is open.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch {
            Some(_) => Err(WireError::UnfinishedBatch),
            None => Ok(()),
        }
    }

    /// Handles a line, without its line break.
    ///
    /// # Errors
    /// Returns an error if the protocol does not allow the line here. No further lines can be handled after
    /// that.
    pub fn handle_line(&mut self, line: &str) -> Result<Progress, WireError> {
        let mut fields = Fields::new(line);
        if let Some(pending) = self.pending_list {
            self.add_list_entry(pending, &mut fields)?;
            return Ok(Progress::Incomplete);
        }
        if line.is_empty() {
            return Ok(Progress::Incomplete);
        }
        if fields.message() == "clock" {
            self.begin_batch(&mut fields)?;
            return Ok(Progress::Incomplete);
        }
        if self.batch.is_none() {
            return Err(WireError::OutsideBatch(fields.message().to_owned()));
        }
        match fields.message() {
            "flush" => {
                self.end_batch(&fields)?;
                return Ok(Progress::BatchComplete);
            }
            "list" => self.begin_list(&mut fields)?,
            "init" => self.start_instance(&mut fields)?,
            "killed" => self.stop_instance(&mut fields)?,
            "roster_change" | "arrival" | "reply" | "checked" | "client_left" | "begun" | "ring"
            | "whisper" => self.handle_event(&mut fields)?,
            other => return Err(WireError::UnknownMessage(other.to_owned())),
        }
        Ok(Progress::Incomplete)
    }

    fn begin_batch(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        if self.batch.is_some() {
            return Err(WireError::NestedBatch);
        }
        self.now = Timestamp(fields.seconds("clock")?.0);
        let sequence = fields.text("seq")?;
        let is_number = sequence.parse::<u64>().is_ok();
        if !is_number {
            return Err(fields.invalid("seq", format!("`{sequence}` is not a whole number")));
        }
        fields.finish()?;
        self.batch = Some(sequence.to_owned());
        Ok(())
    }

    fn end_batch(&mut self, fields: &Fields) -> Result<(), WireError> {
        fields.finish()?;
        let sequence = self.batch.take().unwrap_or_default();
        // Writing to a string cannot fail.
        let _ = writeln!(self.reply, "eor\t{sequence}");
        Ok(())
    }

    fn begin_list(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let number = fields.u64("buffer")?;
        if number >= MAX_LISTS {
            return Err(fields.invalid("buffer", "must be at most 15"));
        }
        let missing = fields.u64("members")?;
        fields.finish()?;
        self.lists.insert(number, Vec::new());
        self.pending_list = (missing > 0).then_some(PendingList { number, missing });
        Ok(())
    }

    fn add_list_entry(&mut self, pending: PendingList, fields: &mut Fields) -> Result<(), WireError> {
        let PendingList { number, missing } = pending;
        if fields.message() != "row" {
            return Err(WireError::ListIncomplete { message: fields.message().to_owned(), missing });
        }
        let entry = read_list_entry(fields)?;
        self.lists.entry(number).or_default().push(entry);
        self.pending_list = (missing > 1).then_some(PendingList { number, missing: missing - 1 });
        Ok(())
    }

    fn start_instance(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let name = fields.text("router")?.to_owned();
        let seed = fields.u64("randomSeed")?;
        let invalid = |fields: &Fields, problem: String| fields.invalid("params", problem);
        let (settings, report_format) =
            settings::read(fields.last("params")?).map_err(|error| invalid(fields, error.to_string()))?;
        let router = Router::new(settings, seed).map_err(|error| invalid(fields, error.to_string()))?;
        self.instances.insert(name, Instance::new(router, report_format));
        Ok(())
    }

    fn stop_instance(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let name = fields.text("router")?;
        fields.finish()?;
        self.instances.remove(name);
        Ok(())
    }

    fn handle_event(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let name = fields.text("router")?;
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| fields.invalid("router", format!("`{name}` is not initialized")))?;
        let event = events::read(fields, instance, &self.lists)?;
        fields.finish()?;
        let Some(event) = event else { return Ok(()) };
        let finished = finished_request(&event);
        instance.router.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            actions::write(&mut self.reply, name, instance, action);
        }
        if let Some(id) = finished {
            instance.forget_if_done(id);
        }
        Ok(())
    }
}

/// Returns the request that may be removed after this event.
fn finished_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::AttemptEnded(result) => Some(result.id),
        Event::ClientDisconnected(id) => Some(*id),
        _ => None,
    }
}

fn read_list_entry(fields: &mut Fields) -> Result<ListEntry, WireError> {
    let weight = fields.optional_number("nominal")?.unwrap_or(1.0);
    let started = fields.optional_number("onlineSince")?.filter(|seconds| *seconds > 0.0);
    let started_at = started.map(|seconds| Timestamp(micros_from_seconds(seconds)));
    let _kind = fields.optional_text("kind")?;
    let zone = fields.count("regionPart")?;
    let listed_as_primary = fields.optional_number("leader")?.is_some_and(|value| value >= 0.5);
    let state = match fields.text("phase")? {
        "Running" => HostState::Running,
        "Stopping" => HostState::Draining,
        "Deleted" => HostState::Removed,
        other => return Err(fields.invalid("phase", format!("unknown phase `{other}`"))),
    };
    let group = fields.count("db")?;
    let host = fields.text("host")?.to_owned();
    if matches!(host.as_str(), "" | "-") {
        return Err(fields.invalid("host", "missing"));
    }
    fields.finish()?;
    // A placeholder: the instance that uses the list assigns the id.
    let host_id = HostId(0);
    let entry = EndpointEntry { host: host_id, group, zone, weight, listed_as_primary, state, started_at };
    Ok(ListEntry { host, entry })
}
