//! The simulator's line protocol: lines in, one reply for each batch out.
//!
//! This is the one place where the protocol's names stand beside the terms of the decisions: `events` reads messages,
//! `actions` writes them, `instance` maps names to numbers.

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

/// Endpoint lists are numbered from 0 up to one less than this.
const MAX_LISTS: u64 = 16;

/// An entry of an endpoint list, whose host has no number yet.
#[derive(Clone)]
pub struct ListEntry {
    host: String,
    entry: EndpointEntry,
}

/// An endpoint list of which entries are still to come.
#[derive(Clone, Copy)]
struct PendingList {
    number: u64,
    missing: u64,
}

/// What a line was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch goes on, or none has begun.
    Incomplete,
    /// The line ended a batch: its reply is to be sent.
    BatchComplete,
}

/// The state of the conversation with the simulator: all routers of this process.
#[derive(Default)]
pub struct Wire {
    now: Timestamp,
    /// The sequence number of the open batch, as it was written.
    batch: Option<String>,
    instances: HashMap<String, Instance>,
    lists: BTreeMap<u64, Vec<ListEntry>>,
    pending_list: Option<PendingList>,
    actions: Vec<Action>,
    reply: String,
}

impl Wire {
    /// The reply of the batch that has just ended.
    pub fn reply(&self) -> &str {
        &self.reply
    }

    /// Clears the reply, once it has been sent.
    pub fn reply_sent(&mut self) {
        self.reply.clear();
    }

    /// Checks that the input may end here.
    ///
    /// # Errors
    /// When a batch is open.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch {
            Some(_) => Err(WireError::UnfinishedBatch),
            None => Ok(()),
        }
    }

    /// Takes one line, without its line break.
    ///
    /// # Errors
    /// When the protocol does not allow it here; nothing can be read after that.
    pub fn line(&mut self, line: &str) -> Result<Progress, WireError> {
        let mut fields = Fields::new(line);
        if let Some(pending) = self.pending_list {
            self.list_entry(pending, &mut fields)?;
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
            | "whisper" => self.event(&mut fields)?,
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
            return Err(fields.invalid("buffer", "above 15"));
        }
        let missing = fields.u64("members")?;
        fields.finish()?;
        self.lists.insert(number, Vec::new());
        self.pending_list = (missing > 0).then_some(PendingList { number, missing });
        Ok(())
    }

    fn list_entry(&mut self, pending: PendingList, fields: &mut Fields) -> Result<(), WireError> {
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

    fn event(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let name = fields.text("router")?;
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| fields.invalid("router", format!("`{name}` has not begun")))?;
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

/// The request whose name may be forgotten after this event.
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
        other => return Err(fields.invalid("phase", format!("`{other}` is no known phase"))),
    };
    let group = fields.count("db")?;
    let host = fields.text("host")?.to_owned();
    if matches!(host.as_str(), "" | "-") {
        return Err(fields.invalid("host", "missing"));
    }
    fields.finish()?;
    // The host gets its number from the instance that the list is given to.
    let host_id = HostId(0);
    let entry = EndpointEntry { host: host_id, group, zone, weight, listed_as_primary, state, started_at };
    Ok(ListEntry { host, entry })
}
