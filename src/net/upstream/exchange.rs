//! One request on a connection and what has come back for it, whatever protocol it came in.

use crate::interface::{LoadReport, LogPosition, Outcome, Role};
use crate::net::messages::{ReportedPosition, Value};
use bytes::{Bytes, BytesMut};
use std::ops::Range;
use tokio::time::Instant;

/// One request and what has come back for it.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// When the request's last byte was written.
    pub written: Option<Instant>,
    pub position: Option<ReportedPosition>,
    pub role: Option<Role>,
    /// What brought the value, as it came.
    messages: BytesMut,
    /// Where in it the value itself stands, or the value where that is elsewhere.
    content: Content,
    /// Whether a long row may be passed on before the answer is whole.
    may_stream: bool,
    /// How long the row is that is passed on so.
    pub large: Option<usize>,
    stage: Stage,
    error: Option<Outcome>,
}

#[derive(Debug, Default)]
enum Content {
    #[default]
    None,
    Within(Range<usize>),
    Apart(Bytes),
}

/// How far an answer has come. Each step is taken once and in this order, or the answer is spoilt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Nothing,
    Described,
    Row,
    Complete,
    /// An error instead of what was still to come.
    Failed,
    Ready,
    /// No answer, or not this request's: it has run, but nothing that came can be believed.
    Spoilt,
}

impl Exchange {
    /// Nothing has come yet; a long row may be passed on before the answer is whole, or not.
    pub fn new(may_stream: bool) -> Self {
        Self { may_stream, ..Self::default() }
    }

    /// Whether the host has said how it went.
    pub fn told(&self) -> bool {
        matches!(self.stage, Stage::Complete | Stage::Failed | Stage::Ready)
    }

    /// Whether the answer is over, and nothing of it may follow.
    pub fn over(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// What comes behind a row that was passed on.
    pub fn behind_row() -> Self {
        Self { stage: Stage::Row, ..Self::default() }
    }

    /// Whether the next message, if it is a long row, is passed on before the answer is whole.
    pub fn streams_row(&self) -> bool {
        self.may_stream && self.stage == Stage::Described
    }

    /// What has come of an answer that is not yet whole, or stands behind one.
    pub fn begun(self) -> Bytes {
        self.messages.freeze()
    }

    pub fn spoilt(&self) -> bool {
        self.stage == Stage::Spoilt
    }

    /// Nothing that came is believed, the position least of all. The request has run; the host is well: all
    /// hosts alike spoil answers, and to leave each one out for it leaves none.
    pub fn spoil(&mut self) {
        (self.stage, self.position, self.role) = (Stage::Spoilt, None, None);
        self.error = Some(Outcome::Error);
    }

    /// The rows to come have so many columns.
    pub fn described(&mut self, columns: usize) {
        self.step(columns == 1 && self.stage == Stage::Nothing, Stage::Described);
    }

    /// The row, whose value stands in what is kept from there to there.
    pub fn row_within(&mut self, place: Range<usize>) {
        self.step(self.stage == Stage::Described, Stage::Row);
        self.content = Content::Within(place);
    }

    /// The row, with its value.
    pub fn row(&mut self, value: Bytes) {
        self.step(self.stage == Stage::Described, Stage::Row);
        self.content = Content::Apart(value);
    }

    /// The statement is done.
    pub fn complete(&mut self) {
        self.step(self.stage == Stage::Row, Stage::Complete);
    }

    /// The host has answered with an error.
    pub fn failed(&mut self, outcome: Outcome) {
        // If it had begun to answer it has run.
        self.error = Some(if self.stage == Stage::Nothing { outcome } else { Outcome::Error });
        let open = matches!(self.stage, Stage::Nothing | Stage::Described | Stage::Row);
        self.step(open, Stage::Failed);
    }

    /// Nothing more comes.
    pub fn ready(&mut self) {
        self.step(matches!(self.stage, Stage::Complete | Stage::Failed), Stage::Ready);
    }

    fn step(&mut self, right: bool, next: Stage) {
        match right {
            true => self.stage = next,
            false => self.spoil(),
        }
    }

    /// The position up to which the host stands, or at which it committed, as it writes it.
    pub fn stamp(&mut self, text: &str) {
        match text.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms >= 0.0) {
            Some(ms) => self.position = Some(ReportedPosition(ms)).filter(|_| ms > 0.0),
            None => self.spoil(),
        }
    }

    /// The host's role, as it writes it.
    pub fn stand(&mut self, text: &str) {
        match text {
            "primary" => self.role = Some(Role::Primary),
            "replica" => self.role = Some(Role::Replica),
            _ => self.spoil(),
        }
    }

    /// Keeps a message that brings a part of the value; where it begins.
    pub fn keep(&mut self, raw: &[u8]) -> usize {
        let at = self.messages.len();
        self.messages.extend_from_slice(raw);
        at
    }

    /// How it went, once nothing more comes.
    pub fn outcome(&self) -> Outcome {
        match self.error {
            Some(outcome) => outcome,
            None if self.told() => Outcome::Ok,
            None if self.written.is_some() => Outcome::Reset,
            None => Outcome::ConnectFailed,
        }
    }

    /// The value, where all went well.
    pub fn value(self) -> Value {
        match self.content {
            Content::None => Value::default(),
            Content::Apart(content) => Value { content, postgres_messages: None, remainder: None },
            Content::Within(place) => {
                let messages = self.messages.freeze();
                Value { content: messages.slice(place), postgres_messages: Some(messages), remainder: None }
            }
        }
    }

    /// The load report in the row.
    pub fn report(&self) -> Option<LoadReport> {
        let row = match &self.content {
            Content::None => return None,
            Content::Apart(content) => &content[..],
            Content::Within(place) => self.messages.get(place.clone())?,
        };
        report(std::str::from_utf8(row).ok()?)
    }
}

fn report(text: &str) -> Option<LoadReport> {
    // One part that cannot be read makes the others doubtful too.
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        Some((name.trim().to_owned(), value))
    };
    let pairs: Vec<(String, f64)> = text.split(',').map(pair).collect::<Option<_>>()?;
    let value = |name: &str| pairs.iter().find(|(n, _)| n == name).map(|(_, value)| *value);
    let position = value("x0").map(|s| LogPosition((s * 1e6).floor() as i64));
    let role = match value("x1") {
        Some(1.0) => Some(Role::Primary),
        Some(0.0) => Some(Role::Replica),
        Some(_) => return None,
        None => None,
    };
    Some(LoadReport { position, role })
}
