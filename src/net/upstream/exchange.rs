//! One query on a connection and its answer, for any protocol.

use super::load_report;
use crate::interface::{LoadReport, Outcome, Role};
use crate::net::answer_buffers::{AnswerBuffers, AnswerPermit};
use crate::net::messages::{ReportedPosition, Value};
use bytes::{Bytes, BytesMut};
use std::ops::Range;
use tokio::time::Instant;

/// State of one query and the part of its answer that has been read.
///
/// Invariant: an answer passes through each stage at most once and in order; otherwise it is invalid.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Time at which writing the query began, which is before the host answers.
    pub write_started_at: Option<Instant>,
    /// Time at which the query's last byte was written; `None` if it has not been.
    pub written_at: Option<Instant>,
    /// Number of bytes of the answer that have been read.
    pub bytes_read: usize,
    pub position: Option<ReportedPosition>,
    pub role: Option<Role>,
    /// Length in bytes of the row's message, if the row is forwarded before the answer is complete.
    pub large_row_bytes: Option<usize>,
    /// Messages that carry the value, unchanged.
    messages: BytesMut,
    content: Content,
    /// Whether a large row may be forwarded before the answer is complete.
    may_stream: bool,
    /// The buffers for answers beyond the usual length; `None` if the answer needs none.
    buffers: Option<AnswerBuffers>,
    /// The permit to hold the answer in memory, if it is beyond the usual length.
    permit: Option<AnswerPermit>,
    stage: Stage,
    error: Option<Outcome>,
}

/// Location of the row's value.
#[derive(Debug, Default)]
enum Content {
    #[default]
    None,
    /// In this range of the kept messages.
    InMessages(Range<usize>),
    /// Not in the kept messages.
    Separate(Bytes),
}

/// Stage that the reading of an answer has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Empty,
    RowDescribed,
    Row,
    Complete,
    /// An error came instead of the remaining stages.
    Failed,
    /// The answer has ended.
    Finished,
    /// The answer violates the protocol, or belongs to another query. The query has run.
    Invalid,
}

impl Exchange {
    /// Returns an exchange. `may_stream` says whether a large row may be forwarded before the answer is
    /// complete.
    pub fn new(may_stream: bool, buffers: AnswerBuffers) -> Self {
        Self { may_stream, buffers: Some(buffers), ..Self::default() }
    }

    /// Waits for a buffer for the answer, unless it has one or needs none. Returns whether it did.
    pub async fn acquire_buffer(&mut self) -> bool {
        let (None, Some(buffers)) = (&self.permit, &self.buffers) else { return false };
        self.permit = buffers.acquire().await;
        true
    }

    /// Returns an exchange for the part of an answer that follows a forwarded row.
    pub fn after_row() -> Self {
        Self { stage: Stage::Row, ..Self::default() }
    }

    /// Returns whether the host has reported that the query succeeded or failed.
    pub fn has_result(&self) -> bool {
        matches!(self.stage, Stage::Complete | Stage::Failed | Stage::Finished)
    }

    /// Returns whether the answer has ended in accordance with the protocol.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Returns whether the query was written, but its answer ended early without reporting the host's role.
    pub fn is_role_missing(&self) -> bool {
        self.written_at.is_some() && self.role.is_none() && !self.is_finished()
    }

    /// Returns whether the answer is invalid.
    pub fn is_invalid(&self) -> bool {
        self.stage == Stage::Invalid
    }

    /// Returns whether the next message has to be a row.
    pub fn is_row_expected(&self) -> bool {
        self.stage == Stage::RowDescribed
    }

    /// Returns whether the next message is to be forwarded before the answer is complete if it is a large
    /// row.
    pub fn may_stream_row(&self) -> bool {
        self.may_stream && self.stage == Stage::RowDescribed
    }

    /// Marks the answer as invalid and discards its position and role. The outcome is [`Outcome::Error`],
    /// since the query has run. It does not count as a connection failure of the host: if all hosts sent
    /// invalid answers, ejecting each would leave none.
    pub fn invalidate(&mut self) {
        self.stage = Stage::Invalid;
        self.position = None;
        self.role = None;
        self.error = Some(Outcome::Error);
    }

    /// Records the description of rows with this many columns. Only rows of one column are valid.
    pub fn record_row_description(&mut self, columns: usize) {
        self.advance(columns == 1 && self.stage == Stage::Empty, Stage::RowDescribed);
    }

    /// Records a row whose value is in this range of the kept messages.
    pub fn record_row_in_messages(&mut self, range: Range<usize>) {
        self.advance(self.stage == Stage::RowDescribed, Stage::Row);
        self.content = Content::InMessages(range);
    }

    /// Records a row with this value.
    pub fn record_row(&mut self, value: Bytes) {
        self.advance(self.stage == Stage::RowDescribed, Stage::Row);
        self.content = Content::Separate(value);
    }

    /// Records that the statement completed.
    pub fn record_completion(&mut self) {
        self.advance(self.stage == Stage::Row, Stage::Complete);
    }

    /// Records an error. The attempt ends with `outcome` if nothing came before the error; otherwise the
    /// query has run and the outcome is [`Outcome::Error`].
    pub fn record_error(&mut self, outcome: Outcome) {
        self.error = Some(if self.stage == Stage::Empty { outcome } else { Outcome::Error });
        let has_no_result = matches!(self.stage, Stage::Empty | Stage::RowDescribed | Stage::Row);
        self.advance(has_no_result, Stage::Failed);
    }

    /// Records the end of the answer.
    pub fn record_end(&mut self) {
        self.advance(matches!(self.stage, Stage::Complete | Stage::Failed), Stage::Finished);
    }

    /// Moves to the next stage, or invalidates the answer if that is not in order.
    fn advance(&mut self, is_in_order: bool, next: Stage) {
        if is_in_order {
            self.stage = next;
        } else {
            self.invalidate();
        }
    }

    /// Parses and sets a position in Unix milliseconds: up to which the host has applied the log, or at which
    /// it committed. Zero means that there is no position.
    pub fn set_position(&mut self, text: &str) {
        let milliseconds = text.parse::<f64>().ok();
        match milliseconds.filter(|milliseconds| milliseconds.is_finite() && *milliseconds >= 0.0) {
            Some(milliseconds) => {
                self.position = Some(ReportedPosition(milliseconds)).filter(|_| milliseconds > 0.0);
            }
            None => self.invalidate(),
        }
    }

    /// Parses and sets the host's role.
    pub fn set_role(&mut self, text: &str) {
        match text {
            "primary" => self.role = Some(Role::Primary),
            "replica" => self.role = Some(Role::Replica),
            _ => self.invalidate(),
        }
    }

    /// Keeps a message that carries a part of the value. Returns its offset in the kept messages.
    pub fn keep_message(&mut self, message: &[u8]) -> usize {
        let start = self.messages.len();
        self.messages.extend_from_slice(message);
        start
    }

    /// Returns the attempt's outcome. Meaningful once nothing more is read.
    pub fn outcome(&self) -> Outcome {
        match self.error {
            Some(outcome) => outcome,
            None if self.has_result() => Outcome::Ok,
            None if self.written_at.is_some() => Outcome::Reset,
            None => Outcome::ConnectFailed,
        }
    }

    /// Converts an answer whose outcome is [`Outcome::Ok`] to its value.
    pub fn into_value(self) -> Value {
        match self.content {
            Content::None => Value::default(),
            Content::Separate(content) => Value { content, permit: self.permit, ..Value::default() },
            Content::InMessages(range) => {
                let messages = self.messages.freeze();
                let content = messages.slice(range);
                Value { content, postgres_messages: Some(messages), remainder: None, permit: self.permit }
            }
        }
    }

    /// Returns the kept messages of an incomplete answer, or of the part that follows a forwarded row.
    pub fn into_messages(self) -> Bytes {
        self.messages.freeze()
    }

    /// Parses the row as a load report; `None` if it is not one.
    pub fn load_report(&self) -> Option<LoadReport> {
        let row = match &self.content {
            Content::None => return None,
            Content::Separate(content) => &content[..],
            Content::InMessages(range) => self.messages.get(range.clone())?,
        };
        load_report::parse(std::str::from_utf8(row).ok()?)
    }
}
