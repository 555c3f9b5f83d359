//! Positions in the replication log, and the required freshness of responses.

use crate::time::{TimeDelta, Timestamp};

/// A log position: the point in time, in microseconds, up to which every commit is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition(pub i64);

/// Required freshness of the responses of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A write: only the primary accepts it.
    Write,
    /// A read that sees every commit made before the request arrived.
    Fresh,
    /// A read that sees the writes of its session.
    Session,
    /// A read from data no older than this when the attempt is sent.
    Bounded(TimeDelta),
    /// A read from data of any age.
    Any,
}

impl Freshness {
    /// Returns whether only the primary can serve the class.
    pub fn needs_primary(self) -> bool {
        matches!(self, Self::Write | Self::Fresh)
    }
}

/// Required freshness of the response to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Data of any age.
    #[default]
    Any,
    /// Data with all commits up to this position.
    AtLeast(LogPosition),
    /// Data no older than this when the last byte of the request was written.
    MaxStaleness(TimeDelta),
}

impl ReadRequirement {
    /// Returns the requirement for a request of a class with this freshness, whose session last wrote at
    /// `session_position`; `i64::MIN` stands for a session without writes.
    pub fn for_class(freshness: Freshness, session_position: LogPosition) -> Self {
        match freshness {
            Freshness::Bounded(bound) => Self::MaxStaleness(bound),
            _ if session_position.0 == i64::MIN => Self::Any,
            _ => Self::AtLeast(session_position),
        }
    }

    /// Returns the lowest position that a host must have applied to serve a request written at `written`;
    /// `i64::MIN` if data of any age will do.
    pub fn required_position(self, written: Timestamp) -> LogPosition {
        match self {
            Self::Any => LogPosition(i64::MIN),
            Self::AtLeast(position) => position,
            Self::MaxStaleness(bound) => LogPosition(written.0 - bound.0),
        }
    }

    /// Returns whether a response that carries the position `applied` is recent enough for a request written
    /// at `written`. A response without a position meets only [`Self::Any`].
    pub fn is_met_by(self, applied: Option<LogPosition>, written: Timestamp) -> bool {
        self == Self::Any || applied.is_some_and(|applied| applied >= self.required_position(written))
    }

    /// Returns the latest time at which a request may be written to a host known to have applied the position
    /// `applied`; `None` if there is no limit.
    pub fn write_deadline(self, applied: LogPosition) -> Option<Timestamp> {
        match self {
            Self::MaxStaleness(bound) => Some(Timestamp(applied.0.saturating_add(bound.0))),
            _ => None,
        }
    }
}
